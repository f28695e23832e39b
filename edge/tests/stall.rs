//! Callers that take an answer too slowly.

#[path = "../src/stall.rs"]
mod stall;

use std::{cell::Cell, io::ErrorKind, rc::Rc, time::Duration};

use stall::{Observer, StallLimit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::sleep,
};

/// Size of the pipe between both ends, in bytes.
const PIPE_BYTES: usize = 64;
const ANSWER_BYTES: usize = 4096;

/// What was reported of a connection.
#[derive(Default)]
struct Seen {
    reports: Cell<usize>,
    is_blocked: Cell<bool>,
}

impl Observer for Seen {
    fn record_activity(&self) {
        self.reports.set(self.reports.get() + 1);
    }

    fn record_blocked(&self, is_blocked: bool) {
        self.is_blocked.set(is_blocked);
    }
}

/// Writes an answer to an end that takes `piece` bytes every 10 ms. Returns how that went.
async fn write_to(piece: usize, limit: Duration) -> Result<(), ErrorKind> {
    let (near, mut far) = duplex(PIPE_BYTES);
    let taking = tokio::spawn(async move {
        let mut bytes = vec![0; piece];
        while far.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            sleep(Duration::from_millis(10)).await;
        }
    });
    let seen = Rc::new(Seen::default());
    let mut near = StallLimit::new(near, limit, seen.clone());
    let written = near.write_all(&[1; ANSWER_BYTES]).await.map_err(|it| it.kind());
    drop(near);
    assert_eq!(seen.is_blocked.get(), written.is_err(), "bytes wait after an error only");
    assert!(seen.reports.get() > 0, "bytes were taken");
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
