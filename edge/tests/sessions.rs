//! Whole processes on loopback: hosts that find each other, a configuration, and
//! callers' requests to stand-in targets.

mod common;

use common::{Answer, CONTROL, Cluster, DIRECTORY, ENTRY, EVENTS, Target, call, document, until};
use http::{Method, StatusCode};

async fn ask(cluster: &Cluster, host: u8, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
    call(cluster.addr(host, ENTRY), Method::POST, path, headers, "{}").await.ok()
}

fn stream_headers<'a>(attempt: &'a str, adapter: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("attempt-id", attempt),
        ("model", adapter),
        ("token-usage", "100,20"),
        ("deadline-ms", "9000"),
    ]
}

async fn begin(net: u8, hosts: u8) -> (Cluster, Target, Target) {
    let cluster = Cluster::start(net, hosts);
    cluster.configure(hosts, &document(3)).await;
    let control: Vec<_> = (1..=hosts).map(|host| cluster.addr(host, CONTROL)).collect();
    let models = Target::start(net, 1, "models", control.clone()).await;
    let app = Target::start(net, 2, "app", control).await;
    for host in 1..=hosts {
        cluster.ready(host).await;
    }
    (cluster, models, app)
}

/// Asks until a request is served: heartbeats and loads take their time.
async fn served(cluster: &Cluster, host: u8, path: &str, headers: &[(&str, &str)]) -> Answer {
    let mut found = None;
    until(async || {
        found = ask(cluster, host, path, headers).await.filter(|it| it.status == StatusCode::OK);
        found.is_some()
    })
    .await;
    found.expect("it was served")
}

fn events(adapter: &str) -> String {
    (1..=EVENTS).map(|number| format!("id: {number}\ndata: {adapter} {number}\n\n")).collect()
}

#[tokio::test]
async fn requests_are_served_through_every_host() {
    let (cluster, models, app) = begin(1, 4).await;
    for host in 1..=4 {
        let attempt = format!("stream{host}");
        let adapter = format!("m/a{host}");
        let answer = served(&cluster, host, "/stream/x", &stream_headers(&attempt, &adapter)).await;
        assert_eq!(answer.body.as_deref(), Some(events(&adapter).as_str()), "host {host}");
        assert_eq!(answer.headers["attempt-id"], attempt.as_str());
        let once = format!("once{host}");
        served(&cluster, host, "/once/x?q=1", &[("attempt-id", &once), ("deadline-ms", "900")])
            .await;
        let runs = app.runs();
        assert_eq!(runs.iter().filter(|it| **it == once).count(), 1, "host {host}: {runs:?}");
    }
    assert_eq!(models.fences(), 1, "one host gave all orders");
}

#[tokio::test]
async fn bad_input_gets_an_answer_and_ends_nothing() {
    let (cluster, _models, app) = begin(2, 3).await;
    served(&cluster, 1, "/once/x", &[("attempt-id", "first")]).await;
    let mut seen = String::new();
    let entry = cluster.addr(1, ENTRY);
    let control = cluster.addr(2, CONTROL);
    let replace = platform::config::REPLACE_PATH;
    let beat = format!("{}i-9", platform::registry::BEAT_PATH);
    let long = "x".repeat(200_000);
    let invalid = document(9).replacen(r#""service":"app""#, r#""service":"nobody""#, 1);
    let cut = &document(9)[..200];
    for (what, addr, path, headers, body) in [
        ("an unknown path", entry, "/nothing/x", vec![("attempt-id", "a")], "{}"),
        ("a request without a name", entry, "/once/x", vec![], "{}"),
        ("a long body", entry, "/once/x", vec![("attempt-id", "b")], long.as_str()),
        ("an invalid configuration", control, replace, vec![], invalid.as_str()),
        ("a configuration that was cut", control, replace, vec![], cut),
        ("a damaged heartbeat", control, beat.as_str(), vec![], "{\"service\":5}"),
        ("an unknown call", control, "/poplarhollow/nothing", vec![], "{}"),
    ] {
        let answer = call(addr, Method::POST, path, &headers, body).await;
        let status = answer.map(|it| it.status.as_u16()).unwrap_or(0);
        seen += &format!("{what}: {status}\n");
    }
    insta::assert_snapshot!(seen);
    served(&cluster, 1, "/once/x", &[("attempt-id", "last")]).await;
    assert_eq!(app.runs(), ["first", "last"]);
}

#[tokio::test]
async fn what_is_in_force_outlives_killed_hosts() {
    let (mut cluster, _models, _app) = begin(3, 4).await;
    cluster.configure(4, &document(7)).await;
    for host in 1..=3 {
        cluster.kill(host);
        served(&cluster, 4, "/read/x", &[("attempt-id", "r")]).await;
        cluster.run(host);
        cluster.ready(host).await;
    }
    for host in 1..=4 {
        let addr = cluster.addr(host, CONTROL);
        until(async || {
            let path = platform::config::FETCH_PATH;
            let answer = call(addr, Method::GET, path, &[], "").await;
            let body = answer.ok().filter(|it| it.status == StatusCode::OK).and_then(|it| it.body);
            body.is_some_and(|it| it == document(7))
        })
        .await;
    }
}

#[tokio::test]
async fn a_host_that_is_told_to_end_leaves_without_a_cut() {
    let (mut cluster, _models, _app) = begin(4, 4).await;
    served(&cluster, 4, "/stream/x", &stream_headers("s", "m/a1")).await;
    let directory = cluster.addr(1, DIRECTORY);
    let path = format!("{}?name=a.example&zone=nowhere", platform::registry::RESOLVE_PATH);
    let names = async |host: &str| {
        let answer = call(directory, Method::GET, &path, &[], "").await.expect("it answers");
        answer.body.unwrap_or_default().contains(host)
    };
    let leaving = cluster.addr(4, ENTRY).to_string();
    until(async || names(&leaving).await).await;
    assert!(cluster.term(4).await, "it ends by itself, with success");
    assert!(!names(&leaving).await, "callers are not sent there any more");
}

/// Whoever reads the logs has stopped: the pipe is full, lines are left out, and
/// requests are served as before.
#[tokio::test]
async fn a_reader_of_the_logs_that_stops_blocks_nothing() {
    let (mut cluster, _models, _app) = begin(5, 3).await;
    cluster.kill(3);
    cluster.unread = true;
    cluster.run(3);
    cluster.ready(3).await;
    // Each refused configuration makes a line of about 300 bytes: twice what a pipe
    // holds.
    for number in 0..600 {
        let addr = cluster.addr(3, CONTROL);
        let path = platform::config::REPLACE_PATH;
        let body = document(9).replacen(r#""service":"app""#, r#""service":"nobody""#, 1);
        let answer = call(addr, Method::POST, path, &[], &body).await;
        assert!(answer.is_ok_and(|it| it.status == StatusCode::BAD_REQUEST), "{number}");
    }
    for number in 0..20 {
        let attempt = format!("r{number}");
        served(&cluster, 3, "/read/x", &[("attempt-id", &attempt)]).await;
    }
}
