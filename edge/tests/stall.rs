//! Callers that take an answer too slowly.

#[path = "../src/stall.rs"]
mod stall;

use std::{io::ErrorKind, time::Duration};

use stall::StallLimit;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::sleep,
};

/// Size of the pipe between both ends, in bytes.
const PIPE_BYTES: usize = 64;
const ANSWER_BYTES: usize = 4096;

/// Writes an answer to an end that takes `piece` bytes every 10 ms. Returns how that went.
async fn write_to(piece: usize, limit: Duration) -> Result<(), ErrorKind> {
    let (near, mut far) = duplex(PIPE_BYTES);
    let taking = tokio::spawn(async move {
        let mut bytes = vec![0; piece];
        while far.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            sleep(Duration::from_millis(10)).await;
        }
    });
    let mut near = StallLimit::new(near, limit);
    let written = near.write_all(&[1; ANSWER_BYTES]).await.map_err(|it| it.kind());
    drop(near);
    taking.await.expect("it ends");
    written
}

/// Guards against an answer that is kept in memory without end, for a caller that takes a byte now and
/// then: each byte taken is no progress, the whole is.
#[tokio::test]
async fn a_caller_that_takes_a_byte_at_a_time_is_given_up() {
    assert_eq!(write_to(1, Duration::from_millis(200)).await, Err(ErrorKind::TimedOut));
}

/// Guards against slow callers that are cut off although they take the whole answer in time.
#[tokio::test]
async fn a_slow_caller_gets_its_answer() {
    assert_eq!(write_to(16, Duration::from_secs(60)).await, Ok(()));
}
