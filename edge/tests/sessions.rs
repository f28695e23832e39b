//! Several hosts as processes on loopback addresses: discovery, configuration, and callers'
//! requests to stand-in targets.

mod common;

use common::{
    Answer, CONTROL, Cluster, DIRECTORY, ENTRY, call, document,
    paced::{self, PacedTarget},
    target::{EVENT_COUNT, Target},
    until,
};
use http::{Method, StatusCode};

async fn send(cluster: &Cluster, host: u8, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
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

async fn start_cluster(net: u8, hosts: u8) -> (Cluster, Target, Target) {
    let cluster = Cluster::start(net, hosts);
    cluster.configure(hosts, &document(3)).await;
    let control: Vec<_> = (1..=hosts).map(|host| cluster.addr(host, CONTROL)).collect();
    let models = Target::start(net, 1, "models", control.clone()).await;
    let app = Target::start(net, 2, "app", control).await;
    for host in 1..=hosts {
        cluster.wait_ready(host).await;
    }
    (cluster, models, app)
}

/// Repeats a request until it is served: heartbeats and loads take some time.
async fn until_served(cluster: &Cluster, host: u8, path: &str, headers: &[(&str, &str)]) -> Answer {
    let mut found = None;
    until(async || {
        found = send(cluster, host, path, headers).await.filter(|it| it.status == StatusCode::OK);
        found.is_some()
    })
    .await;
    found.expect("it was served")
}

fn events(adapter: &str) -> String {
    (1..=EVENT_COUNT).map(|number| format!("id: {number}\ndata: {adapter} {number}\n\n")).collect()
}

#[tokio::test]
async fn requests_are_served_through_every_host() {
    let (cluster, models, app) = start_cluster(1, 4).await;
    for host in 1..=4 {
        let attempt = format!("stream{host}");
        let adapter = format!("m/a{host}");
        let answer =
            until_served(&cluster, host, "/stream/x", &stream_headers(&attempt, &adapter)).await;
        assert_eq!(answer.body.as_deref(), Some(events(&adapter).as_str()), "host {host}");
        assert_eq!(answer.headers["attempt-id"], attempt.as_str());
        let once = format!("once{host}");
        until_served(
            &cluster,
            host,
            "/once/x?q=1",
            &[("attempt-id", &once), ("deadline-ms", "900")],
        )
        .await;
        let runs = app.runs();
        assert_eq!(runs.iter().filter(|it| **it == once).count(), 1, "host {host}: {runs:?}");
    }
    assert_eq!(models.fence_count(), 1, "all orders came from one holder");
}

/// Guards against an order that takes a caller's answer for its own: targets may send a second copy of an
/// answer when the next request arrives on a connection, and answers to orders carry no id.
#[tokio::test]
async fn orders_and_reports_have_connections_of_their_own() {
    let (cluster, models, _app) = start_cluster(6, 3).await;
    for number in 0..12 {
        let (attempt, adapter) = (format!("s{number}"), format!("m/a{}", number % 4));
        until_served(&cluster, 1, "/stream/x", &stream_headers(&attempt, &adapter)).await;
    }
    assert!(models.orders().len() > 4, "adapters were loaded in between");
    assert_eq!(models.mixed_connections(), 0);
}

#[tokio::test]
async fn invalid_input_is_rejected_without_effects() {
    let (cluster, _models, app) = start_cluster(2, 3).await;
    until_served(&cluster, 1, "/once/x", &[("attempt-id", "first")]).await;
    let mut seen = String::new();
    let entry = cluster.addr(1, ENTRY);
    let control = cluster.addr(2, CONTROL);
    let replace = platform::config::REPLACE_PATH;
    let heartbeat = format!("{}i-9", platform::registry::HEARTBEAT_PATH);
    let deregister = format!("{}i-2", platform::registry::DEREGISTER_PATH);
    let long = "x".repeat(200_000);
    let invalid = document(9).replacen(r#""service":"app""#, r#""service":"nobody""#, 1);
    let truncated = &document(9)[..200];
    for (what, addr, path, headers, body) in [
        ("an unknown path", entry, "/nothing/x", vec![("attempt-id", "a")], "{}"),
        ("a request without an attempt id", entry, "/once/x", vec![], "{}"),
        ("a body above the limit", entry, "/once/x", vec![("attempt-id", "b")], long.as_str()),
        ("an invalid configuration", control, replace, vec![], invalid.as_str()),
        ("a truncated configuration", control, replace, vec![], truncated),
        ("a damaged heartbeat", control, heartbeat.as_str(), vec![], "{\"service\":5}"),
        ("a damaged deregistration", control, deregister.as_str(), vec![], "{\"born\":\"x\"}"),
        ("an unknown call", control, "/poplarhollow/nothing", vec![], "{}"),
    ] {
        let answer = call(addr, Method::POST, path, &headers, body).await;
        let status = answer.map(|it| it.status.as_u16()).unwrap_or(0);
        seen += &format!("{what}: {status}\n");
    }
    insta::assert_snapshot!(seen);
    until_served(&cluster, 1, "/once/x", &[("attempt-id", "last")]).await;
    assert_eq!(app.runs(), ["first", "last"]);
}

#[tokio::test]
async fn the_configuration_survives_killed_hosts() {
    let (mut cluster, _models, _app) = start_cluster(3, 4).await;
    cluster.configure(4, &document(7)).await;
    for host in 1..=3 {
        cluster.kill(host);
        until_served(&cluster, 4, "/read/x", &[("attempt-id", "r")]).await;
        cluster.start_host(host);
        cluster.wait_ready(host).await;
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
async fn a_terminated_host_exits_cleanly_and_is_delisted() {
    let (mut cluster, _models, _app) = start_cluster(4, 4).await;
    until_served(&cluster, 4, "/stream/x", &stream_headers("s", "m/a1")).await;
    let directory = cluster.addr(1, DIRECTORY);
    let path = format!("{}?name=a.example&zone=nowhere", platform::registry::RESOLVE_PATH);
    let lists = async |host: &str| {
        let answer = call(directory, Method::GET, &path, &[], "").await.expect("it answers");
        answer.body.unwrap_or_default().contains(host)
    };
    let leaving = cluster.addr(4, ENTRY).to_string();
    until(async || lists(&leaving).await).await;
    assert!(cluster.terminate(4).await, "it exits by itself, with success");
    assert!(!lists(&leaving).await, "callers are not sent there any more");
}

/// Guards against a host that blocks on its log: if nobody reads it, the pipe is full, lines are
/// dropped, and requests are still served.
#[tokio::test]
async fn a_stalled_log_reader_blocks_no_requests() {
    let (mut cluster, _models, _app) = start_cluster(5, 3).await;
    cluster.kill(3);
    cluster.stall_logs = true;
    cluster.start_host(3);
    cluster.wait_ready(3).await;
    // Each rejected configuration logs a line of about 300 bytes. Together they are more than
    // twice the capacity of a pipe.
    for number in 0..600 {
        let addr = cluster.addr(3, CONTROL);
        let path = platform::config::REPLACE_PATH;
        let body = document(9).replacen(r#""service":"app""#, r#""service":"nobody""#, 1);
        let answer = call(addr, Method::POST, path, &[], &body).await;
        assert!(answer.is_ok_and(|it| it.status == StatusCode::BAD_REQUEST), "{number}");
    }
    for number in 0..20 {
        let attempt = format!("r{number}");
        until_served(&cluster, 3, "/read/x", &[("attempt-id", &attempt)]).await;
    }
}

/// Guards against streams that are never sent, and against a host that keeps trying without a pause, where a
/// service without an engine takes requests that name a model. Load pattern: one such stream.
#[tokio::test]
async fn a_stream_that_names_a_model_is_served_by_a_service_without_an_engine() {
    let cluster = Cluster::start(35, 3);
    cluster.configure(3, &document(3)).await;
    let control: Vec<_> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let _odd = PacedTarget::start(35, 1, "odd", control).await;
    cluster.wait_ready(1).await;
    until_served(&cluster, 1, "/odd/0", &[("attempt-id", "first")]).await;
    let answer = send(&cluster, 1, "/flow/1", &stream_headers("stream", "m/a1")).await;
    let answer = answer.expect("it is answered");
    assert_eq!((answer.status, answer.body), (StatusCode::OK, Some(paced::events(1))));
}
