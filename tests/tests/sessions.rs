//! End-to-end tests with real processes on loopback addresses.

use std::{
    fmt::Write as _,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use http::Method;
use sessions::{
    cluster::{Cluster, MODEL, completion},
    text,
};

fn bins() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fake-engine"))
        .parent()
        .expect("the program has a parent directory")
}

/// Returns the text of a streamed completion and whether the stream has its end marker.
fn read_events(body: &str) -> (String, bool) {
    let mut text = String::new();
    for line in body.lines() {
        let Some(json) = line.strip_prefix("data: {") else { continue };
        let event: serde_json::Value =
            serde_json::from_str(&format!("{{{json}")).expect("events are JSON");
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, body.ends_with("data: [DONE]\n\n"))
}

/// Returns the current Unix time in milliseconds, for `x-key-made-ms`.
fn now_ms() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    now.as_millis().to_string()
}

#[tokio::test]
async fn a_request_is_answered_through_every_host() {
    let mut cluster = Cluster::start(bins(), 1, 4).await;
    cluster.start_engine("e1", 0, &[]).await;
    cluster.start_engine("e2", 1, &["--fenced", "no"]).await;
    cluster.start_service("s1", 2, &[]).await;
    for host in 1..=4 {
        let prompt = format!("prompt {host}");
        let reply = cluster.complete(host, MODEL, &prompt).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.header("x-ran"), MODEL);
        let body: serde_json::Value = reply.json().expect("the answer is JSON");
        assert_eq!(body["choices"][0]["text"], text::answer(MODEL, &prompt, 4));

        let url = format!("http://{}/v1/completions", cluster.entry_addr(host));
        let reply = cluster.client.post_json(&url, completion(MODEL, &prompt, 50, true)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(read_events(&reply.body), (text::answer(MODEL, &prompt, 50), true));
    }
    let made = now_ms();
    let pay = async |host: u32, key: &str, body: &str| {
        let url = format!("http://{}/v1/services/fittings/pay", cluster.entry_addr(host));
        let headers =
            [("x-caller", "maison"), ("idempotency-key", key), ("x-key-made-ms", made.as_str())];
        cluster.client.post(&url, &headers, body.to_owned()).await
    };
    let first = pay(1, "k1", "100").await;
    assert_eq!(first.status, 200, "{}", first.body);
    for host in 1..=4 {
        let resend = pay(host, "k1", "100").await;
        assert_eq!((resend.status, resend.body), (200, first.body.clone()), "host {host}");
        assert_eq!(pay(host, "k1", "200").await.status, 422);
    }
    assert_eq!(cluster.counts("s1").await.contents.get("100"), Some(&1));
    assert_eq!(cluster.counts("s1").await.contents.get("200"), None);
}

/// Name, path, headers and body of a request.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], String);

#[tokio::test]
async fn bad_input_gets_typed_errors() {
    let mut cluster = Cluster::start(bins(), 2, 3).await;
    cluster.start_engine("e1", 0, &[]).await;
    let good = completion(MODEL, "p", 2, false);
    let large = completion(MODEL, &"x".repeat(api::MAX_BODY_BYTES), 2, false);
    let other = |model| completion(model, "p", 2, false);
    let long = "k".repeat(300);
    let completions = "/v1/completions";
    let pay = "/v1/services/fittings/pay";
    let cases: &[Case<'_>] = &[
        ("good", completions, &[], good.clone()),
        ("empty body", completions, &[], String::new()),
        ("no JSON", completions, &[], "hello".to_owned()),
        ("no model", completions, &[], "{\"prompt\":\"p\"}".to_owned()),
        ("model of another form", completions, &[], other("stylist-8b")),
        ("unknown adapter", completions, &[], other("stylist-8b@none@v1")),
        ("unknown version", completions, &[], other("stylist-8b@pouf-marie@v9")),
        ("too large", completions, &[], large),
        ("bad deadline", completions, &[("x-deadline-ms", "soon")], good.clone()),
        ("no time", completions, &[("x-deadline-ms", "0")], good.clone()),
        ("caller not ASCII", completions, &[("x-caller", "é")], good.clone()),
        ("caller too long", completions, &[("x-caller", &long)], good.clone()),
        ("caller twice", completions, &[("x-caller", "a"), ("x-caller", "b")], good.clone()),
        ("key missing", pay, &[], "1".to_owned()),
        ("unknown service", "/v1/services/none/pay", &[], "1".to_owned()),
        ("unknown call", "/v1/services/fittings/none", &[], "1".to_owned()),
        ("bad report", "/v1/targets", &[], "{}".to_owned()),
    ];
    let mut report = String::new();
    for (name, path, headers, body) in cases {
        let url = format!("http://{}{path}", cluster.entry_addr(2));
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        let reply = cluster.client.post(&url, &headers, body.clone()).await;
        let _ = write!(report, "{name}: {}", reply.status);
        if let Some(api::ErrorBody { error }) = reply.json() {
            let _ = write!(report, " {} ran={} retry={}", error.code, error.ran, error.retry);
        }
        report.push('\n');
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn the_leader_is_killed_and_nothing_accepted_is_lost() {
    let mut cluster = Cluster::start(bins(), 3, 4).await;
    cluster.start_engine("e1", 0, &[]).await;
    cluster.start_service("s1", 1, &[]).await;
    let leader = cluster.wait_for_leader().await;
    let url = format!("http://{}/v1/services/fittings/pay", cluster.entry_addr(4));
    let made = now_ms();
    let headers =
        [("x-caller", "maison"), ("idempotency-key", "k1"), ("x-key-made-ms", made.as_str())];
    let paid = cluster.client.post(&url, &headers, "5").await;
    assert_eq!(paid.status, 200, "{}", paid.body);
    let before = cluster.status(4).await.expect("the host responds").services;

    cluster.kill(leader);
    cluster.wait_for_leader().await;
    cluster.wait_for_owner("e1").await;
    for host in (1..=4).filter(|&host| host != leader) {
        cluster.wait_for_completion(host, "after").await;
        let services = cluster.status(host).await.expect("the host responds").services;
        assert_eq!(services, before, "host {host}");
    }
    let resend = cluster.client.post(&url, &headers, "5").await;
    assert_eq!((resend.status, &resend.body), (200, &paid.body));
    assert_eq!(cluster.counts("s1").await.contents.get("5"), Some(&1));

    cluster.start_host(leader, &[]);
    cluster.wait_for_leader().await;
    let services = cluster.status(leader).await.expect("the host responds").services;
    assert_eq!(services, before);
    cluster.wait_for_completion(leader, "again").await;
}

#[tokio::test]
async fn a_graceful_shutdown_cuts_no_stream() {
    let mut cluster = Cluster::start(bins(), 4, 4).await;
    cluster.start_engine("e1", 0, &["--token-ms", "10"]).await;
    let owner = cluster.wait_for_owner("e1").await;
    let entry = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    cluster.wait_for_completion(entry, "warm").await;
    // First the entry host of a stream leaves, then the owner of its target.
    for leaving in [entry, owner] {
        let through = if leaving == entry { entry } else { (owner % 4) + 1 };
        let through =
            if through == entry && leaving == owner { (through % 4) + 1 } else { through };
        cluster.wait_for_completion(through, "warm").await;
        let url = format!("http://{}/v1/completions", cluster.entry_addr(through));
        let body = completion(MODEL, "long", 200, true);
        let started = cluster.client.start(Method::POST, &url, &[], body).await;
        let (mut stream, _) = started.expect("the host responds");
        let first =
            stream.next().await.expect("the stream continues").expect("the stream does not fail");
        cluster.signal(leaving, "TERM");
        let (rest, clean) = stream.read_to_end().await;
        let body = format!("{}{rest}", String::from_utf8_lossy(&first));
        assert!(clean, "the stream broke when host {leaving} left");
        assert_eq!(read_events(&body), (text::answer(MODEL, "long", 200), true));
        let status = cluster.wait_for_exit(leaving).await;
        assert!(status.success(), "host {leaving} ended with {status}");
        cluster.wait_for_leader().await;
    }
    cluster.wait_for_owner("e1").await;
}

/// Guards against a leaving voter that ends before the next owner of its targets is committed, which then lacks
/// a quorum. Load pattern: no requests; two of three voters leave one after the other, the owner last.
#[tokio::test]
async fn voters_that_leave_leave_no_target_without_an_owner() {
    let mut cluster = Cluster::start(bins(), 7, 4).await;
    cluster.start_engine("e1", 0, &[]).await;
    let owner = cluster.wait_for_owner("e1").await;
    assert!(owner <= 3, "the owner is a voter");
    for leaving in [(owner % 3) + 1, owner] {
        cluster.signal(leaving, "TERM");
        let status = cluster.wait_for_exit(leaving).await;
        assert!(status.success(), "host {leaving} ended with {status}");
        if leaving != owner {
            cluster.wait_for_leader().await;
        }
    }
    cluster.wait_for_owner("e1").await;
}

#[tokio::test]
async fn a_frozen_owner_is_replaced_and_causes_no_violation_when_resumed() {
    let mut cluster = Cluster::start(bins(), 5, 4).await;
    cluster.start_engine("e1", 0, &["--fenced", "no", "--adapters", "1"]).await;
    let owner = cluster.wait_for_owner("e1").await;
    let entry = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    cluster.wait_for_completion(entry, "before").await;
    cluster.signal(owner, "STOP");
    cluster.wait_for_completion(entry, "while frozen").await;
    cluster.signal(owner, "CONT");
    cluster.wait_for_leader().await;
    let mut models = [MODEL, "stylist-8b@cadogan-court@v3"].iter().cycle();
    for i in 0..6 {
        let model = models.next().expect("the cycle does not end");
        let prompt = format!("after {i}");
        cluster
            .wait_for("the completion is answered", async || {
                let reply = cluster.complete(1 + i % 4, model, &prompt).await;
                let body: serde_json::Value = reply.json()?;
                let right = body["choices"][0]["text"] == text::answer(model, &prompt, 4);
                (reply.status == 200 && right).then_some(())
            })
            .await;
    }
    let counts = cluster.counts("e1").await;
    assert_eq!(counts.violations, Vec::<String>::new());
}

#[tokio::test]
async fn a_caller_that_leaves_frees_the_target() {
    let mut cluster = Cluster::start(bins(), 6, 3).await;
    cluster.start_engine("e1", 0, &["--requests", "1", "--token-ms", "100"]).await;
    let owner = cluster.wait_for_owner("e1").await;
    let entry = (1..=3).find(|&host| host != owner).expect("there are several hosts");
    cluster.wait_for_completion(entry, "warm").await;
    let url = format!("http://{}/v1/completions", cluster.entry_addr(entry));
    // At 100 ms per token, it would run far longer than `WAIT_LIMIT`.
    let body = completion(MODEL, "long", 100_000, true);
    let started = cluster.client.start(Method::POST, &url, &[], body).await;
    let (mut stream, _) = started.expect("the host responds");
    stream.next().await.expect("the stream continues").expect("the stream does not fail");
    drop(stream);
    cluster.wait_for_completion(entry, "next").await;
    assert_eq!(cluster.counts("e1").await.cancelled, 1);
    let metrics = cluster.metrics(entry).await;
    assert!(metrics.contains("poplarhollow_requests_total{code=\"cancelled\"} 1"), "{metrics}");
}
