//! Throughput of a host.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use sessions::{client::Client, cluster::Cluster};

use crate::process::cpu;

const CALLERS: usize = 64;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURE_TIME: Duration = Duration::from_secs(4);

/// Measures calls of a plain service through its owner, for several numbers of worker threads.
pub async fn measure(bins: &Path) {
    println!("requests per second at one host, {CALLERS} callers in a closed loop");
    println!(
        "{:>8} {:>12} {:>10} {:>22} {:>8}",
        "workers", "requests/s", "refused", "CPU us/request", "cores"
    );
    for (i, workers) in ["1", "2", "4"].into_iter().enumerate() {
        let subnet = 21 + i as u8;
        let mut cluster = Cluster::start_with(bins, subnet, 3, &["--workers", workers]).await;
        cluster.start_service("s1", 0, &["--work-ms", "0", "--requests", "256"]).await;
        let owner = cluster.wait_for_owner("s1").await;
        let url = format!("http://{}/v1/services/fittings/status", cluster.entry_addr(owner));
        let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            callers.push(tokio::spawn(call(url.clone(), caller, counts.clone())));
        }
        tokio::time::sleep(WARM_UP).await;
        let before = (counts[0].load(Relaxed), counts[1].load(Relaxed), cpu(cluster.pid(owner)));
        let start = Instant::now();
        tokio::time::sleep(MEASURE_TIME).await;
        let answered = counts[0].load(Relaxed) - before.0;
        let refused = counts[1].load(Relaxed) - before.1;
        let time = start.elapsed().as_secs_f64();
        let used = (cpu(cluster.pid(owner)) - before.2).as_secs_f64();
        for caller in callers {
            caller.abort();
        }
        println!(
            "{workers:>8} {:12.0} {refused:10} {:22.0} {:8.2}",
            answered as f64 / time,
            used * 1e6 / answered.max(1) as f64,
            used / time,
        );
    }
    println!();
}

async fn call(url: String, caller: usize, counts: Arc<[AtomicU64; 2]>) {
    let client = Client::new(1);
    let name = format!("caller-{caller}");
    loop {
        let reply = client.post(&url, &[("x-caller", &name)], "{}").await;
        counts[usize::from(reply.status != 200)].fetch_add(1, Relaxed);
    }
}
