//! Network traffic, processor time and memory of an idle host.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use sessions::cluster::Cluster;

use crate::process::{cpu, resident};

const SETTLE: Duration = Duration::from_secs(5);
const MEASURE_TIME: Duration = Duration::from_secs(10);
const HOSTS: [u32; 2] = [4, 10];

/// Compares the hosts' counters before and after a period without requests.
pub async fn measure(bins: &Path) {
    println!("an idle host, with two engines that report 3 times per second");
    println!(
        "{:>6} {:>6} {:10} {:>12} {:>12} {:>10} {:>8} {:>8}",
        "hosts", "host", "role", "sent B/s", "received B/s", "frames/s", "core %", "MiB"
    );
    for (i, count) in HOSTS.into_iter().enumerate() {
        let mut cluster = Cluster::start(bins, 26 + i as u8, count).await;
        cluster.start_engine("e1", 0, &[]).await;
        cluster.start_engine("e2", 1, &[]).await;
        tokio::time::sleep(SETTLE).await;
        let leader = cluster.wait_for_leader().await;
        let before = read(&cluster, count).await;
        let start = Instant::now();
        tokio::time::sleep(MEASURE_TIME).await;
        let after = read(&cluster, count).await;
        let time = start.elapsed().as_secs_f64();
        for (host, (before, after)) in (1..).zip(before.iter().zip(&after)) {
            let role = match host {
                host if host == leader => "leader",
                1..=3 => "voter",
                _ => "diskless",
            };
            println!(
                "{count:6} {host:6} {role:10} {:12.0} {:12.0} {:10.1} {:8.2} {:8.1}",
                (after.sent - before.sent) / time,
                (after.received - before.received) / time,
                (after.frames - before.frames) / time,
                (after.cpu - before.cpu).as_secs_f64() * 100.0 / time,
                resident(cluster.pid(host)) as f64 / 1024.0 / 1024.0,
            );
        }
    }
    println!();
}

struct Reading {
    sent: f64,
    received: f64,
    frames: f64,
    cpu: Duration,
}

async fn read(cluster: &Cluster, count: u32) -> Vec<Reading> {
    let mut readings = Vec::new();
    for host in 1..=count {
        let text = cluster.metrics(host).await;
        readings.push(Reading {
            sent: sum(&text, "poplarhollow_peer_sent_bytes_total"),
            received: sum(&text, "poplarhollow_peer_received_bytes_total"),
            frames: sum(&text, "poplarhollow_peer_sent_frames_total"),
            cpu: cpu(cluster.pid(host)),
        });
    }
    readings
}

/// Sums a metric over all its labels.
fn sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}
