//! Signals and new configurations that come at a bad moment.

mod common;

use std::{net::SocketAddr, process::Command, time::Duration};

use common::{
    BOUNDS, Cluster, ENTRY, document,
    paced::{Got, Upload, events},
    stopping::{ask_at, start_cluster},
    until,
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Bounds that are shorter than those of [`BOUNDS`].
const SHORTER: &str = "bounds.graceS=1\nbounds.retryAllowance=0\nbounds.leaseMs=3000\n";
/// [`common::paced::PACE`]s that an answer takes, 4.5 s.
const PACES: u64 = 15;

/// Begins requests of each kind, and requests whose last byte comes 1.5 s later, of answers that are short.
async fn begin(entry: SocketAddr) -> Vec<(String, String, JoinHandle<Got>)> {
    let mut calls = Vec::new();
    for (kind, whole) in [("flow", events(PACES)), ("once", "done".to_owned())] {
        for number in 0..4 {
            let (path, attempt) = (format!("/{kind}/{PACES}"), format!("{kind}-{number}"));
            let name = attempt.clone();
            let call = tokio::spawn(async move { ask_at(entry, &path, &name).await });
            calls.push((attempt, whole.clone(), call));
        }
    }
    for number in 0..4 {
        let attempt = format!("slow-{number}");
        let mut upload = Upload::open(entry).await;
        upload.send_head("/read/1", &attempt).await;
        upload.send("Connection: close\r\n\r\n{").await;
        let call = tokio::spawn(async move {
            sleep(Duration::from_millis(1500)).await;
            upload.send("}").await;
            upload.read().await
        });
        calls.push((attempt, "done".to_owned(), call));
    }
    calls
}

/// Reads all answers, which were begun just before. A failure says whether the route's timeout of 9 s had passed.
async fn assert_whole(calls: Vec<(String, String, JoinHandle<Got>)>) {
    let begun = Instant::now();
    for (attempt, whole, call) in calls {
        let got = call.await.expect("it reads");
        assert!(got.is_success(&whole), "{attempt} got {got:?} within {:?}", begun.elapsed());
    }
}

/// Guards against accepted requests that a shorter limit ends, which came into force after them: of a route's time,
/// of a body's size, of idle connections, or by SIGHUP of the retries and the grace time. Load pattern: streams,
/// requests that may run once and slow uploads, while the configuration and then the settings change.
#[tokio::test]
async fn shorter_limits_end_no_accepted_request() {
    let (cluster, odd, app) = start_cluster(44).await;
    let calls = begin(cluster.addr(4, ENTRY)).await;
    until(async || odd.has_run("flow-3") && app.has_run("once-3")).await;
    let shorter = document(4)
        .replace(r#""timeoutMs":9000"#, r#""timeoutMs":1000"#)
        .replace(r#""maxBodyBytes":100000"#, r#""maxBodyBytes":1"#)
        .replace(r#""idleTimeoutMs":15000"#, r#""idleTimeoutMs":100"#);
    assert_ne!(shorter, document(4));
    cluster.configure(4, &shorter).await;
    cluster.write_settings(4, false, SHORTER);
    cluster.signal(4, "-HUP");
    assert_whole(calls).await;
}

/// Guards against requests that a further signal ends while a host stops. Load pattern: SIGTERM, SIGHUP with a
/// shorter grace time and again SIGTERM to a host with streams, requests that may run once and slow uploads.
#[tokio::test]
async fn further_signals_end_no_accepted_request() {
    let (mut cluster, odd, app) = start_cluster(45).await;
    let calls = begin(cluster.addr(4, ENTRY)).await;
    until(async || odd.has_run("flow-3") && app.has_run("once-3")).await;
    cluster.write_settings(4, false, SHORTER);
    cluster.signal(4, "-TERM");
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        cluster.signal(4, signal);
        sleep(Duration::from_millis(200)).await;
    }
    assert_whole(calls).await;
    assert!(cluster.wait_end(4).await, "it exits by itself, with success");
}

/// Guards against a host that begins to accept work after it was told to end, with a grace time that counts from
/// then. Load pattern: SIGTERM while the settings are read, which takes 3 s.
#[tokio::test]
async fn a_host_that_is_told_to_end_while_it_starts_accepts_nothing() {
    let mut cluster = Cluster::start(46, 4);
    cluster.configure(4, &document(3)).await;
    cluster.kill(4);
    let path = cluster.settings_path(4);
    std::fs::remove_file(&path).expect("it exists");
    Command::new("mkfifo").arg(&path).status().expect("a pipe can be made");
    cluster.spawn_host(4);
    sleep(Duration::from_millis(500)).await;
    cluster.signal(4, "-TERM");
    sleep(Duration::from_secs(3)).await;
    cluster.write_settings(4, false, BOUNDS);
    let entry = cluster.addr(4, ENTRY);
    let connecting = async {
        for _ in 0..100 {
            if TcpStream::connect(entry).await.is_ok() {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    };
    let (has_ended, has_accepted) = tokio::join!(cluster.wait_end(4), connecting);
    assert!(has_ended, "it exits by itself, with success");
    assert!(!has_accepted, "it accepts callers");
}
