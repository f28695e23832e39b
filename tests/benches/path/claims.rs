//! Throughput and latency of non-idempotent calls.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use sessions::{client::Client, cluster::Cluster};

use crate::process::cpu;

const SUBNET: u8 = 31;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURE_TIME: Duration = Duration::from_secs(4);

/// Measures calls that each commit a claim and an outcome, for several numbers of callers.
pub async fn measure(bins: &Path) {
    println!(
        "non-idempotent calls per second through one host, 3 voters, each claim synced to disk"
    );
    println!(
        "{:>8} {:>9} {:>10} {:>9} {:>8} {:>24}",
        "callers", "calls/s", "median ms", "99th ms", "refused", "leader CPU us/call"
    );
    let mut cluster = Cluster::start(bins, SUBNET, 4).await;
    cluster.start_service("s1", 0, &["--work-ms", "0", "--requests", "256"]).await;
    let leader = cluster.wait_for_leader().await;
    cluster.wait_for_owner("s1").await;
    let url = format!("http://{}/v1/services/fittings/pay", cluster.entry_addr(4));
    for count in [1, 8, 64, 256] {
        let times = Arc::new(Mutex::new(Vec::new()));
        let refused = Arc::new(Mutex::new(0u64));
        let mut callers = Vec::new();
        for caller in 0..count {
            let name = format!("caller-{count}-{caller}");
            callers.push(tokio::spawn(call(url.clone(), name, times.clone(), refused.clone())));
        }
        tokio::time::sleep(WARM_UP).await;
        times.lock().expect("the lock is not poisoned").clear();
        let (before, start) = (cpu(cluster.pid(leader)), Instant::now());
        tokio::time::sleep(MEASURE_TIME).await;
        let mut took: Vec<Duration> =
            std::mem::take(&mut *times.lock().expect("the lock is not poisoned"));
        let time = start.elapsed().as_secs_f64();
        let used = (cpu(cluster.pid(leader)) - before).as_secs_f64();
        for caller in callers {
            caller.abort();
        }
        took.sort_unstable();
        let at = |quantile: f64| took.get((took.len() as f64 * quantile) as usize).copied();
        println!(
            "{count:>8} {:9.0} {:10.2} {:9.2} {:8} {:24.0}",
            took.len() as f64 / time,
            at(0.5).unwrap_or_default().as_secs_f64() * 1e3,
            at(0.99).unwrap_or_default().as_secs_f64() * 1e3,
            refused.lock().expect("the lock is not poisoned"),
            used * 1e6 / took.len().max(1) as f64,
        );
    }
    println!();
}

async fn call(
    url: String,
    name: String,
    times: Arc<Mutex<Vec<Duration>>>,
    refused: Arc<Mutex<u64>>,
) {
    let client = Client::new(1);
    for number in 0u64.. {
        let key = format!("{name}-{number}");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let made = since.as_millis().to_string();
        let headers = [("x-caller", &*name), ("idempotency-key", &*key), ("x-key-made-ms", &*made)];
        let start = Instant::now();
        let reply = client.post(&url, &headers, "{}").await;
        if reply.status == 200 {
            times.lock().expect("the lock is not poisoned").push(start.elapsed());
        } else {
            *refused.lock().expect("the lock is not poisoned") += 1;
        }
    }
}
