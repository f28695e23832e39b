//! Latency that hosts add to a call.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use sessions::{client::Client, cluster::Cluster};

const WARM_UP: usize = 200;
const CALLS: usize = 2000;

/// Compares calls through the owner and through another host with direct calls of the target. The
/// three routes alternate call by call.
pub async fn measure(bins: &Path) {
    let mut cluster = Cluster::start(bins, 20, 4).await;
    cluster.start_service("s1", 0, &["--work-ms", "0"]).await;
    let owner = cluster.wait_for_owner("s1").await;
    let other = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    let call = |host| format!("http://{}/v1/services/fittings/status", cluster.entry_addr(host));
    let urls = [format!("http://{}/status", cluster.target_addr("s1")), call(owner), call(other)];
    let client = Client::new(4);
    let mut times: [Vec<Duration>; 3] = Default::default();
    for i in 0..WARM_UP + CALLS {
        for (url, times) in urls.iter().zip(&mut times) {
            let start = Instant::now();
            let reply = client.post(url, &[("x-request", "1")], "{}").await;
            assert_eq!(reply.status, 200, "{url}: {}", reply.body);
            if i >= WARM_UP {
                times.push(start.elapsed());
            }
        }
    }
    println!("latency of {CALLS} sequential calls of a plain service (ms)");
    println!(
        "{:28} {:>8} {:>8} {:>14} {:>12}",
        "route", "median", "99th", "added median", "added 99th"
    );
    let mut direct = (0.0, 0.0);
    for (name, mut times) in
        ["direct", "through the owner", "through another host"].into_iter().zip(times)
    {
        times.sort();
        let (median, high) = (quantile_ms(&times, 0.5), quantile_ms(&times, 0.99));
        if name == "direct" {
            direct = (median, high);
        }
        let added = (median - direct.0, high - direct.1);
        println!("{name:28} {median:8.3} {high:8.3} {:14.3} {:12.3}", added.0, added.1);
    }
    println!();
}

/// Returns the given quantile in milliseconds.
fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let at = ((sorted.len() as f64 * quantile) as usize).min(sorted.len() - 1);
    sorted[at].as_secs_f64() * 1000.0
}
