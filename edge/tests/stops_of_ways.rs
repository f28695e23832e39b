//! Hosts that are told to end while other hosts use them as ways to their targets.

mod common;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use common::{
    CONTROL, Cluster, ENTRY, RELAY, cut, document, ip,
    paced::{PacedTarget, events},
    stopping::ask_at,
    until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const HOSTS: u8 = 5;
/// The hosts that are cut off from all targets.
const CUT: [u8; 2] = [4, 5];
/// [`common::paced::PACE`]s that an answer takes: 5.4 s, which fits into the grace time of 8 s.
const PACES: u64 = 18;
/// Requests of each kind.
const REQUESTS: usize = 6;
/// Longer than a connection to a target is kept for reuse.
const POOLED: Duration = Duration::from_secs(1);
/// From SIGTERM until the host is asked for a new connection.
const TOLD: Duration = Duration::from_millis(300);
/// A host's reply that it has opened a connection.
const OPENED: u8 = 0;
/// A host's reply that it opens none.
const REJECTED: u8 = 3;

/// Starts hosts with a target for the route `flow`, and one for `once` and `read`. Returns once host 4 reaches
/// both through other hosts only.
async fn start(net: u8) -> (Cluster, PacedTarget, PacedTarget) {
    let cluster = Cluster::start(net, HOSTS);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let odd = PacedTarget::start(net, 1, "odd", control.clone()).await;
    let app = PacedTarget::start(net, 2, "app", control).await;
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
    for (target, path) in [(&odd, "/odd/0"), (&app, "/read/0")] {
        cut::cut(&target.listener, net, &CUT);
        until(async || {
            let got = ask_at(cluster.addr(CUT[0], ENTRY), path, "warm").await;
            let run = target.runs_of("warm").pop();
            got.is_success("done") && run.is_some_and(|it| it.from != ip(net, CUT[0]))
        })
        .await;
    }
    sleep(POOLED).await;
    (cluster, odd, app)
}

/// Asks a host to open a connection to a target, as another host does. Returns its reply.
async fn ask_way(way: SocketAddr, target: &str, addr: &str) -> u8 {
    let mut stream = TcpStream::connect(way).await.expect("it listens");
    let body = wire::encode(&(target, addr));
    stream.write_u16(body.len() as u16).await.expect("it reads");
    stream.write_all(&body).await.expect("it reads");
    stream.read_u8().await.expect("it replies")
}

/// Returns the address from which most of the attempts came.
fn most_used(targets: &[&PacedTarget], attempts: &[String]) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for run in targets.iter().flat_map(|target| attempts.iter().flat_map(|it| target.runs_of(it))) {
        *counts.entry(run.from).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).expect("there are runs").0
}

/// Guards against answers that break off because the host through which they come ends while it has grace time
/// left, and against a host that opens connections for others after it was told to end. Load pattern: streams
/// and requests that may run once, which take 5.4 s, at a host without a path to targets; SIGTERM to the host
/// through which most of them go, which has no callers of its own.
#[tokio::test]
async fn a_host_that_is_told_to_end_finishes_what_it_passes_on() {
    let net = 40;
    let (mut cluster, odd, app) = start(net).await;
    let entry = cluster.addr(CUT[0], ENTRY);
    let (mut attempts, mut calls) = (Vec::new(), Vec::new());
    for number in 0..2 * REQUESTS {
        let kind = if number % 2 == 0 { "flow" } else { "once" };
        let (path, attempt) = (format!("/{kind}/{PACES}"), format!("{kind}-{number}"));
        attempts.push(attempt.clone());
        calls.push(tokio::spawn(async move { ask_at(entry, &path, &attempt).await }));
    }
    until(async || attempts.iter().all(|it| odd.has_run(it) || app.has_run(it))).await;
    let way = most_used(&[&odd, &app], &attempts);
    let host = (1..=3).find(|host| ip(net, *host) == way).expect("a host that reaches targets");
    let (relay, addr) = (cluster.addr(host, RELAY), format!("{}:8080", ip(net, 101)));
    assert_eq!(ask_way(relay, "i-1", &addr).await, OPENED);
    let others = async {
        sleep(TOLD).await;
        let reply = ask_way(relay, "i-1", &addr).await;
        let mut later = Vec::new();
        for number in 0..REQUESTS {
            later.push(ask_at(entry, "/read/0", &format!("later-{number}")).await);
        }
        (reply, later)
    };
    let (has_ended, (reply, later)) = tokio::join!(cluster.terminate(host), others);
    assert!(has_ended, "it exits by itself, with success");
    for (attempt, call) in attempts.iter().zip(calls) {
        let got = call.await.expect("it reads");
        let whole = if attempt.starts_with("flow") { events(PACES) } else { "done".to_owned() };
        assert!(got.is_success(&whole), "{attempt} got {got:?}");
        let runs = [odd.runs_of(attempt), app.runs_of(attempt)].concat();
        assert_eq!(runs.len(), 1, "{attempt}: {runs:?}");
    }
    assert_eq!(reply, REJECTED, "the reply to a request for a new connection");
    for (number, got) in later.iter().enumerate() {
        assert!(got.is_success("done"), "request {number} got {got:?}");
    }
}
