//! Hosts of which one is told to end, with slow targets, and what their callers do.

use std::{net::SocketAddr, time::Duration};

use tokio::time::sleep;

use super::{
    CONTROL, Cluster, ENTRY, document,
    paced::{Got, PacedTarget, Upload},
    until,
};

/// From SIGTERM until a slow caller ends its request. What then takes longer than 3.8 s outlasts the
/// grace time of 8 s, at the end of which the process is killed.
const LATE: Duration = Duration::from_millis(3700);

/// Starts four hosts with a configuration in force.
pub async fn start_hosts(net: u8) -> Cluster {
    let cluster = Cluster::start(net, 4);
    cluster.configure(4, &document(3)).await;
    for host in 1..=4 {
        cluster.wait_ready(host).await;
    }
    cluster
}

/// Starts hosts with a target for the routes `odd` and `flow`, and one for `once` and `read`.
pub async fn start_cluster(net: u8) -> (Cluster, PacedTarget, PacedTarget) {
    let cluster = start_hosts(net).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    let odd = PacedTarget::start(net, 1, "odd", control.clone()).await;
    let app = PacedTarget::start(net, 2, "app", control).await;
    until_served(&cluster, "/odd/0").await;
    until_served(&cluster, "/read/0").await;
    (cluster, odd, app)
}

/// Repeats a request to host 4 until it is served.
pub async fn until_served(cluster: &Cluster, path: &str) {
    until(async || ask(cluster, path, "warm").await.status == Some(200)).await;
}

/// Sends a whole request to host 4 and reads its answer.
pub async fn ask(cluster: &Cluster, path: &str, attempt: &str) -> Got {
    ask_at(cluster.addr(4, ENTRY), path, attempt).await
}

/// Sends a whole request and reads its answer.
pub async fn ask_at(addr: SocketAddr, path: &str, attempt: &str) -> Got {
    let mut upload = Upload::open(addr).await;
    upload.send_head(path, attempt).await;
    upload.send("Connection: close\r\n\r\n{}").await;
    upload.read().await
}

/// Opens a caller's connection to host 4 and sends the beginning of a request.
pub async fn begin(cluster: &Cluster, path: &str, attempt: &str, more: &str) -> Upload {
    let mut upload = Upload::open(cluster.addr(4, ENTRY)).await;
    upload.send_head(path, attempt).await;
    upload.send(more).await;
    upload
}

/// Has host 4 serve so many answers of one kind at the same time, so that it knows how long these take.
pub async fn serve_many(cluster: &Cluster, path: &'static str, count: usize) {
    let addr = cluster.addr(4, ENTRY);
    let mut asking = Vec::new();
    for number in 0..count {
        let ask = async move { ask_at(addr, path, &format!("before-{number}")).await };
        asking.push(tokio::spawn(ask));
    }
    for got in asking {
        assert_eq!(got.await.expect("it asks").status, Some(200));
    }
}

/// Sends SIGTERM to host 4, and the rest of each request [`LATE`] after it. Returns what each caller got.
pub async fn finish_late(
    cluster: &mut Cluster,
    uploads: Vec<Upload>,
    rest: &'static str,
) -> Vec<Got> {
    let sending = async {
        sleep(LATE).await;
        let mut readers = Vec::new();
        for mut upload in uploads {
            upload.send(rest).await;
            readers.push(tokio::spawn(upload.read()));
        }
        let mut got = Vec::new();
        for reader in readers {
            got.push(reader.await.expect("it reads"));
        }
        got
    };
    let (has_ended, got) = tokio::join!(cluster.terminate(4), sending);
    assert!(has_ended, "it exits by itself, with success");
    got
}
