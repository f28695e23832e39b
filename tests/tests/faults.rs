//! End-to-end tests with real processes and combined failures.

use std::path::Path;

use http::Method;
use sessions::{
    cluster::{Cluster, MODEL, completion},
    text,
};

const TOKENS: u32 = 200;

fn bins() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fake-engine"))
        .parent()
        .expect("the program has a parent directory")
}

/// Returns the text of a streamed completion; `None` without the end marker of the stream.
fn read_events(body: &str) -> Option<String> {
    let events = body.strip_suffix("data: [DONE]\n\n")?;
    let mut text = String::new();
    for json in events.lines().filter_map(|it| it.strip_prefix("data: ")) {
        let event: serde_json::Value = serde_json::from_str(json).ok()?;
        text.push_str(event["choices"][0]["text"].as_str()?);
    }
    Some(text)
}

#[tokio::test]
async fn entry_and_owner_leave_together_and_cut_no_stream() {
    let mut cluster = Cluster::start(bins(), 41, 4).await;
    cluster.start_engine("e1", 0, &["--token-ms", "20"]).await;
    let owner = cluster.wait_for_owner("e1").await;
    let entry = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    cluster.wait_for_completion(entry, "warm").await;
    let url = format!("http://{}/v1/completions", cluster.entry_addr(entry));
    let body = completion(MODEL, "long", TOKENS, true);
    let started = cluster.client.start(Method::POST, &url, &[], body).await;
    let (mut stream, _) = started.expect("the host responds");
    let first =
        stream.next().await.expect("the stream continues").expect("the stream does not fail");
    for host in [entry, owner] {
        cluster.signal(host, "TERM");
    }
    let (rest, clean) = stream.read_to_end().await;
    let body = format!("{}{rest}", String::from_utf8_lossy(&first));
    assert!(clean, "the stream broke");
    assert_eq!(read_events(&body), Some(text::answer(MODEL, "long", TOKENS)), "{body}");
    for host in [entry, owner] {
        let status = cluster.wait_for_exit(host).await;
        assert!(status.success(), "host {host} ended with {status}");
    }
}

#[tokio::test]
async fn a_call_of_a_killed_entry_runs_once() {
    let mut cluster = Cluster::start(bins(), 42, 4).await;
    let options = ["--service", "fittings", "--work-ms", "3000"];
    cluster.start_target("fake-service", "s1", 2, &options);
    let owner = cluster.wait_for_owner("s1").await;
    let entry = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    let made = sessions::options::new_incarnation().to_string();
    let headers =
        [("x-caller", "maison"), ("idempotency-key", "k"), ("x-key-made-ms", made.as_str())];
    let url = format!("http://{}/v1/services/fittings/pay", cluster.entry_addr(entry));
    let client = cluster.client.clone();
    let held = headers.map(|(name, value)| (name, value.to_owned()));
    let call = tokio::spawn(async move {
        let headers: Vec<_> = held.iter().map(|(name, value)| (*name, value.as_str())).collect();
        client.post(&url, &headers, "slot 9").await
    });
    cluster
        .wait_for("the call runs", async || {
            cluster.counts("s1").await.contents.get("slot 9").copied()
        })
        .await;
    cluster.kill(entry);
    assert_eq!(call.await.expect("the task does not panic").status, 0, "the connection is lost");
    for host in (1..=4).filter(|&host| host != entry) {
        let url = format!("http://{}/v1/services/fittings/pay", cluster.entry_addr(host));
        let reply = cluster.wait_for("an outcome", async || {
            let reply = cluster.client.post(&url, &headers, "slot 9").await;
            // `key_busy`: the call through the killed host still counts as in progress.
            (reply.status != 503 && !reply.body.contains("key_busy")).then_some(reply)
        });
        let reply = reply.await;
        let known = reply.status == 200 || reply.body.contains("in_doubt");
        assert!(known, "host {host}: {} {}", reply.status, reply.body);
    }
    assert_eq!(cluster.counts("s1").await.contents["slot 9"], 1);
}

#[tokio::test]
async fn a_crashing_request_sent_to_every_host_crashes_at_most_two_targets() {
    let mut cluster = Cluster::start(bins(), 43, 4).await;
    let engines = ["e0", "e1", "e2"];
    for (number, name) in engines.iter().enumerate() {
        cluster.start_engine(name, number as u8, &[]).await;
    }
    cluster.wait_for_completion(1, "warm").await;
    let mut crashes = 0;
    let mut quarantined = 0;
    for round in 0..8 {
        let host = 1 + round % 4;
        let reply = cluster.complete(host, MODEL, "please CRASH").await;
        assert_ne!(reply.status, 200, "{}", reply.body);
        quarantined += u32::from(reply.body.contains("quarantined"));
        for (number, name) in engines.iter().enumerate() {
            let url = format!("http://{}/v1/counts", cluster.target_addr(name));
            if cluster.client.get(&url).await.status == 200 {
                continue;
            }
            crashes += 1;
            cluster.kill_target(name);
            cluster.start_engine(name, number as u8, &[]).await;
        }
        cluster.wait_for_completion(host, &format!("innocent {round}")).await;
    }
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    assert!(quarantined >= 5, "{quarantined} of 8 were refused");
}
