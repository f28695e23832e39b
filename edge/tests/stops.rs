//! What callers get from a host that was told to end: each request that it has read gets a whole answer.
//! A success is whole; what can't be finished is refused, in time, and has not run.

mod common;

use std::time::Duration;

use common::{
    CONTROL,
    paced::{PacedTarget, events},
    stopping::{begin, finish_late, serve_many, start_cluster},
    until,
};
use tokio::time::sleep;

/// Events of a stream that lasts 4.5 s.
const LONG: u64 = 15;
/// Guards against a host that takes requests which it can't finish before it ends: streams are cut off that
/// another host would have served, and requests that may run once get no answer. Load pattern: uploads that
/// begin before SIGTERM and end 3.7 s after it, of answers that take 4.5 s.
#[tokio::test]
async fn a_request_whose_upload_ends_late_in_a_stop_is_refused_or_whole() {
    let (mut cluster, odd, app) = start_cluster(30).await;
    let mut uploads = Vec::new();
    for number in 0..8 {
        let path = if number < 4 { format!("/flow/{LONG}") } else { format!("/once/{LONG}") };
        uploads.push(begin(&cluster, &path, &format!("late-{number}"), "\r\n{").await);
    }
    let got = finish_late(&mut cluster, uploads, "}").await;
    for (number, got) in got.iter().enumerate() {
        let attempt = format!("late-{number}");
        let is_refused = got.is_refusal() && !odd.has_run(&attempt) && !app.has_run(&attempt);
        let whole = if number < 4 { events(LONG) } else { "done".to_owned() };
        assert!(is_refused || got.is_success(&whole), "request {number} got {got:?}");
    }
}

/// Guards against the same where the request's head ends late. Load pattern: heads without their last line,
/// which comes 3.7 s after SIGTERM, of streams that last 4.5 s.
#[tokio::test]
async fn a_request_whose_head_ends_late_in_a_stop_is_refused_or_whole() {
    let (mut cluster, odd, _app) = start_cluster(31).await;
    let mut uploads = Vec::new();
    for number in 0..8 {
        let attempt = format!("head-{number}");
        uploads.push(begin(&cluster, &format!("/flow/{LONG}"), &attempt, "").await);
    }
    let got = finish_late(&mut cluster, uploads, "\r\n{}").await;
    for (number, got) in got.iter().enumerate() {
        let is_refused = got.is_refusal() && !odd.has_run(&format!("head-{number}"));
        assert!(is_refused || got.is_success(&events(LONG)), "request {number} got {got:?}");
    }
}

/// Guards against a stop that refuses what it could have finished. Load pattern: uploads that end 3.7 s after
/// SIGTERM, of answers that take 0.6 s as the 24 before did.
#[tokio::test]
async fn a_short_request_whose_upload_ends_late_in_a_stop_is_served() {
    let (mut cluster, _odd, _app) = start_cluster(32).await;
    for path in ["/flow/2", "/once/2"] {
        serve_many(&cluster, path, 24).await;
    }
    let mut uploads = Vec::new();
    for number in 0..8 {
        let path = if number < 4 { "/flow/2" } else { "/once/2" };
        uploads.push(begin(&cluster, path, &format!("short-{number}"), "\r\n{").await);
    }
    let got = finish_late(&mut cluster, uploads, "}").await;
    for (number, got) in got.iter().enumerate() {
        let whole = if number < 4 { events(2) } else { "done".to_owned() };
        assert!(got.is_success(&whole), "request {number} got {got:?}");
    }
}

/// Guards against requests that get no answer because they wait, for an adapter or for their target, when the
/// process ends. Load pattern: an adapter that no target loads, requested 6.9 s after SIGTERM; requests that
/// may run once, sent just before SIGTERM, to a target that takes 9 s.
#[tokio::test]
async fn a_request_that_waits_when_the_process_ends_is_answered() {
    let (mut cluster, _odd, app) = start_cluster(33).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    let models = PacedTarget::start(33, 3, "models", control).await;
    let (mut waiting, mut sent) = (Vec::new(), Vec::new());
    for number in 0..4 {
        let attempt = format!("waits-{number}");
        let more = "Model: m/a1\r\nToken-Usage: 100,20\r\n\r\n{";
        waiting.push(begin(&cluster, "/stream/2", &attempt, more).await);
        sent.push(begin(&cluster, "/once/30", &format!("sent-{number}"), "\r\n{}").await);
    }
    until(async || (0..4).all(|it| app.has_run(&format!("sent-{it}")))).await;
    let reading = async {
        sleep(Duration::from_millis(6900)).await;
        let mut readers = Vec::new();
        for mut upload in waiting {
            upload.send("}").await;
            readers.push(tokio::spawn(upload.read()));
        }
        readers.extend(sent.into_iter().map(|it| tokio::spawn(it.read())));
        let mut got = Vec::new();
        for reader in readers {
            got.push(reader.await.expect("it reads"));
        }
        got
    };
    let (has_ended, got) = tokio::join!(cluster.terminate(4), reading);
    assert!(has_ended, "it exits by itself, with success");
    for (number, got) in got.iter().enumerate() {
        if number < 4 {
            let is_refused = got.is_refusal() && !models.has_run(&format!("waits-{number}"));
            assert!(is_refused, "request {number} got {got:?}");
        } else {
            assert!(got.status.is_some() && got.body.is_some(), "request {number} got {got:?}");
            assert_ne!(got.status, Some(503), "it has run");
        }
    }
}

/// Guards against callers without an answer whose connections the kernel accepts while the listener is being
/// closed. Load pattern: a process that stands still from 2.0 to 2.6 s after SIGTERM, and 40 callers who
/// connect and send meanwhile.
#[tokio::test]
async fn callers_who_connect_while_the_listener_closes_are_answered() {
    let (mut cluster, _odd, _app) = start_cluster(34).await;
    cluster.signal(4, "-TERM");
    sleep(Duration::from_millis(2000)).await;
    cluster.signal(4, "-STOP");
    let mut readers = Vec::new();
    for number in 0..40 {
        let upload = begin(&cluster, "/odd/0", &format!("meanwhile-{number}"), "\r\n{}").await;
        readers.push(tokio::spawn(upload.read()));
    }
    sleep(Duration::from_millis(600)).await;
    cluster.signal(4, "-CONT");
    for (number, reader) in readers.into_iter().enumerate() {
        let got = reader.await.expect("it reads");
        assert!(got.is_refusal() || got.is_success("done"), "request {number} got {got:?}");
    }
    cluster.kill(4);
}
