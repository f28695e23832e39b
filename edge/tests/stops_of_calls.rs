//! What operators and targets get from a host that was told to end: each call that it has in hand gets a whole
//! answer.

mod common;

use std::{io, net::SocketAddr, time::Duration};

use common::{
    CONTROL, Cluster, ENTRY, document,
    paced::{Got, PacedTarget, Upload},
    target_record, until,
};
use platform::{config, stand_in};
use tokio::time::{Instant, sleep};

/// From SIGTERM until the last heartbeats are begun that have to be taken. Callers' connections are accepted 0.1 s
/// longer; a host without callers has nothing else to wait for then.
const LAST_BEGUN: Duration = Duration::from_millis(2400);
/// The header of a caller that may use its connection again, so that the host has to end it.
const KEPT: &str = "keep-alive";
/// Longest time from SIGTERM to the end of a host that waits for calls which take up to 0.4 s. It would be killed
/// after 8 s.
const END: Duration = Duration::from_secs(4);
/// Time that a slow heartbeat takes to arrive.
const SLOW: Duration = Duration::from_millis(400);
/// Targets that send such heartbeats.
const SLOW_TARGETS: u8 = 10;

async fn start(net: u8) -> (Cluster, PacedTarget) {
    let cluster = Cluster::start(net, 4);
    cluster.configure(4, &document(3)).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    let app = PacedTarget::start(net, 2, "app", control).await;
    for host in 1..=4 {
        cluster.wait_ready(host).await;
    }
    (cluster, app)
}

/// Opens a connection and sends a call, but for the last byte of its body.
async fn begin(addr: SocketAddr, connection: &str, path: &str, body: &str) -> io::Result<Upload> {
    let mut upload = Upload::connect(addr).await?;
    let method = if body.is_empty() { "GET" } else { "POST" };
    let length = body.len();
    let begun = &body[..length.saturating_sub(1)];
    let call = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nConnection: {connection}\r\n\
         Content-Length: {length}\r\n\r\n{begun}"
    );
    upload.send(&call).await;
    Ok(upload)
}

/// Sends the last byte of a call, and reads until the connection ends.
async fn finish(mut upload: Upload, body: &str) -> Got {
    upload.send(&body[body.len().saturating_sub(1)..]).await;
    upload.read().await
}

/// Makes a call some time from now.
async fn call_after(delay: Duration, addr: SocketAddr, path: &str, body: &str) -> Got {
    sleep(delay).await;
    finish(begin(addr, KEPT, path, body).await.expect("it listens"), body).await
}

fn assert_refused(got: &Got, what: &str) {
    assert!(got.status == Some(503) && got.body.is_some(), "{what} got {got:?}");
}

/// Guards against operators' calls and heartbeats that get a closed connection because the host ends while it has
/// grace time left. Load pattern: two of three voters frozen, so that no change and no read can be confirmed; a
/// heartbeat whose last byte comes late; no callers.
#[tokio::test]
async fn a_call_in_hand_when_a_host_has_no_callers_left_is_answered() {
    let (mut cluster, _app) = start(41).await;
    let control = cluster.addr(4, CONTROL);
    cluster.signal(1, "-STOP");
    cluster.signal(2, "-STOP");
    let record = target_record(9, "app", "127.0.0.1:1".to_owned());
    let (path, heartbeat) = stand_in::heartbeat(&record, &[]);
    let slow = begin(control, KEPT, &path, &heartbeat).await.expect("it listens");
    cluster.signal(4, "-TERM");
    let slow = async {
        sleep(Duration::from_millis(3200)).await;
        finish(slow, &heartbeat).await
    };
    let change = document(4);
    let (change, read, slow) = tokio::join!(
        call_after(Duration::from_millis(1500), control, config::REPLACE_PATH, &change),
        call_after(Duration::from_millis(2100), control, config::FETCH_PATH, ""),
        slow,
    );
    assert_refused(&change, "the change");
    assert_refused(&read, "the read");
    assert!(slow.status == Some(200) && slow.body.is_some(), "the heartbeat got {slow:?}");
    assert!(cluster.wait_end(4).await, "it exits by itself, with success");
}

/// Guards against calls that get no answer because they wait for the leader or for their last byte when the grace
/// time is over. Load pattern: two of three voters frozen; a caller's request that keeps the host until its
/// end; calls shortly before it.
#[tokio::test]
async fn a_call_that_waits_when_answers_are_due_is_refused() {
    let (mut cluster, app) = start(42).await;
    let mut upload = Upload::open(cluster.addr(4, ENTRY)).await;
    upload.send_head("/once/30", "long").await;
    upload.send("\r\n{}").await;
    until(async || app.has_run("long")).await;
    cluster.signal(1, "-STOP");
    cluster.signal(2, "-STOP");
    cluster.signal(4, "-TERM");
    sleep(Duration::from_secs(6)).await;
    let control = cluster.addr(4, CONTROL);
    let change = document(4);
    let begun = begin(control, KEPT, config::REPLACE_PATH, &change).await.expect("it listens");
    let (late, unfinished) = tokio::join!(
        call_after(Duration::ZERO, control, config::REPLACE_PATH, &change),
        begun.read(),
    );
    assert_refused(&late, "the change");
    assert_refused(&unfinished, "the change whose last byte is missing");
    assert!(cluster.wait_end(4).await, "it exits by itself, with success");
}

/// Sends heartbeats that arrive slowly until a host ends. Returns when each was begun, and what it got.
async fn send_slowly(control: SocketAddr, number: u8) -> Vec<(Instant, Got)> {
    let mut all = Vec::new();
    let mut record = target_record(number, "app", format!("127.0.0.1:{number}"));
    // The targets take turns, so that there are always some on their way.
    sleep(SLOW / u32::from(SLOW_TARGETS) * u32::from(number % SLOW_TARGETS)).await;
    loop {
        record.sequence += 1;
        let (path, body) = stand_in::heartbeat(&record, &[]);
        let begun = Instant::now();
        let Ok(upload) = begin(control, "close", &path, &body).await else { return all };
        sleep(SLOW).await;
        all.push((begun, finish(upload, &body).await));
    }
}

/// Guards against a host whose end is delayed by targets' heartbeats, which go on while it stops, and against
/// heartbeats that are cut off by its end. Load pattern: ten targets whose heartbeats take 0.4 s to arrive, so that
/// there are always some on their way; no callers.
#[tokio::test]
async fn heartbeats_that_go_on_are_answered_and_do_not_delay_the_end() {
    let (mut cluster, _app) = start(43).await;
    let control = cluster.addr(4, CONTROL);
    let mut senders = Vec::new();
    for number in 1..=SLOW_TARGETS {
        senders.push(tokio::spawn(send_slowly(control, 10 + number)));
    }
    sleep(SLOW * 5).await;
    let told = Instant::now();
    assert!(cluster.terminate(4).await, "it exits by itself, with success");
    let took = told.elapsed();
    assert!(took < END, "it ended after {took:?}");
    for sender in senders {
        for (begun, got) in sender.await.expect("it sends") {
            let is_late = begun >= told + LAST_BEGUN;
            assert!(
                got.status == Some(200) || is_late,
                "{:?} after SIGTERM: {got:?}",
                begun - told
            );
        }
    }
}
