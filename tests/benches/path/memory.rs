//! Memory of a host per running and per queued request.

use std::path::Path;

use http::Method;
use sessions::cluster::{Cluster, MODEL, completion};

use crate::process::resident;

const RUNNING: usize = 1000;
const WAITING: usize = 400;

/// A deadline of one day, which no queued request reaches.
const DEADLINE_MS: &str = "86400000";

/// Measures the owner's memory before and after it holds many open requests.
pub async fn measure(bins: &Path) {
    println!("memory of a host per open request");
    println!(
        "{:10} {:>8} {:>12} {:>12} {:>14}",
        "state", "requests", "before MiB", "after MiB", "KiB/request"
    );
    let slow = ["--token-ms", "500"];
    let mut cluster = Cluster::start(bins, 24, 3).await;
    let many = ["--requests", "2000"];
    cluster.start_engine("e1", 0, &[slow, many].concat()).await;
    measure_state(&cluster, "running", RUNNING, 0).await;
    drop(cluster);
    let mut cluster = Cluster::start(bins, 25, 3).await;
    cluster.start_engine("e1", 0, &[slow, ["--requests", "1"]].concat()).await;
    measure_state(&cluster, "waiting", WAITING, 1).await;
    println!();
}

/// Opens `first` streams, then `count` more, and prints the memory that the latter add.
async fn measure_state(cluster: &Cluster, state: &str, count: usize, first: usize) {
    let owner = cluster.wait_for_owner("e1").await;
    cluster.wait_for_completion(owner, "warm").await;
    let url = format!("http://{}/v1/completions", cluster.entry_addr(owner));
    let mut open = Vec::new();
    for i in 0..first {
        open.push(start(cluster, &url, i));
    }
    settle().await;
    let before = resident(cluster.pid(owner));
    for i in first..first + count {
        open.push(start(cluster, &url, i));
    }
    settle().await;
    let after = resident(cluster.pid(owner));
    let status = cluster.status(owner).await.expect("the host responds");
    let seen = if state == "running" {
        status.targets.iter().map(|row| row.running).sum()
    } else {
        status.queued
    };
    let mib = |bytes: u64| bytes as f64 / 1024.0 / 1024.0;
    println!(
        "{state:10} {seen:8} {:12.1} {:12.1} {:14.1}",
        mib(before),
        mib(after),
        (after.saturating_sub(before)) as f64 / 1024.0 / f64::from(seen.max(1)),
    );
    for request in open {
        request.abort();
    }
}

fn start(cluster: &Cluster, url: &str, number: usize) -> tokio::task::JoinHandle<()> {
    let client = cluster.client.clone();
    let url = url.to_owned();
    tokio::spawn(async move {
        let caller = format!("caller-{number}");
        let body = completion(MODEL, &format!("prompt {number}"), 200, true);
        let headers = [("x-caller", caller.as_str()), ("x-deadline-ms", DEADLINE_MS)];
        let Some((streamed, _)) = client.start(Method::POST, &url, &headers, body).await else {
            return;
        };
        streamed.read_to_end().await;
    })
}

async fn settle() {
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
}
