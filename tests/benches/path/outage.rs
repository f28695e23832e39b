//! Failures and delays of callers when a host is killed.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use sessions::cluster::{Cluster, MODEL, completion};
use tokio::time::timeout;

const ROUNDS: usize = 3;
const PROBE_PERIOD: Duration = Duration::from_millis(20);
const PROBE_TIMEOUT: Duration = Duration::from_secs(20);
const PROBE_TIME: Duration = Duration::from_secs(10);

/// The result of one request; times are relative to the kill.
struct Probe {
    start: Duration,
    end: Duration,
    ok: bool,
    code: String,
}

/// Kills the owner of a target, the leader and the entry host, several times each, and sends a
/// request every 20 ms meanwhile.
pub async fn measure(bins: &Path) {
    println!("host killed; one request every 20 ms, to a second host if the first is unreachable");
    println!(
        "{:10} {:>6} {:>9} {:>9} {:>7} {:>20} {:>18} {:>16}",
        "victim",
        "round",
        "killed",
        "requests",
        "failed",
        "first answer (ms)",
        "last failure (ms)",
        "slowest (ms)"
    );
    let mut cluster = Cluster::start(bins, 28, 5).await;
    for (number, name) in ["e1", "e2"].into_iter().enumerate() {
        cluster.start_engine(name, number as u8, &["--token-ms", "1"]).await;
    }
    for victim in ["owner", "leader", "entry"] {
        for round in 1..=ROUNDS {
            run_round(&mut cluster, victim, round).await;
        }
    }
    drop(cluster);
    let mut cluster = Cluster::start(bins, 29, 5).await;
    cluster.start_engine("e1", 0, &["--token-ms", "1"]).await;
    for round in 1..=ROUNDS {
        run_round(&mut cluster, "sole owner", round).await;
    }
    println!();
}

async fn run_round(cluster: &mut Cluster, victim: &str, round: usize) {
    let leader = cluster.wait_for_leader().await;
    let first = cluster.wait_for_owner("e1").await;
    let second = if victim == "sole owner" { first } else { cluster.wait_for_owner("e2").await };
    let owners = [first, second];
    let special = [owners[0], owners[1], leader];
    let free = (1..=5).find(|host| !special.contains(host)).expect("there are more hosts");
    let spare = (1..=5).find(|host| !special.contains(host) && *host != free).unwrap_or(leader);
    cluster.wait_for_completion(free, "warm").await;
    // Prefers an owner that is not the leader.
    let owner = owners.into_iter().find(|&host| host != leader).unwrap_or(leader);
    let (killed, entries) = match victim {
        "sole owner" => (first, [free, spare]),
        "owner" => (owner, [free, spare]),
        "leader" => (leader, [free, spare]),
        _ => (free, [free, spare]),
    };
    let urls = entries.map(|host| format!("http://{}/v1/completions", cluster.entry_addr(host)));
    let start = Instant::now();
    cluster.kill(killed);
    let mut probes = Vec::new();
    let mut ticks = tokio::time::interval(PROBE_PERIOD);
    while start.elapsed() < PROBE_TIME {
        ticks.tick().await;
        probes.push(tokio::spawn(probe(cluster.client.clone(), urls.clone(), start)));
    }
    let mut results = Vec::new();
    for probe in probes {
        results.push(probe.await.expect("the probe does not panic"));
    }
    print_round(victim, round, killed, &results);
    cluster.start_host(killed, &[]);
}

/// Sends one request, to the second address if the first cannot be reached.
async fn probe(client: sessions::client::Client, urls: [String; 2], since: Instant) -> Probe {
    let start = since.elapsed();
    let exchange = async {
        for url in &urls {
            let reply = client.post_json(url, completion(MODEL, "probe", 1, false)).await;
            if reply.status != 0 {
                let code = reply.json().map(|body: api::ErrorBody| body.error.code);
                return (reply.status == 200, code.unwrap_or_default());
            }
        }
        (false, "unreachable".to_owned())
    };
    let answer = timeout(PROBE_TIMEOUT, exchange).await;
    let (ok, code) = answer.unwrap_or((false, "no answer".to_owned()));
    Probe { start, end: since.elapsed(), ok, code }
}

fn print_round(victim: &str, round: usize, killed: u32, probes: &[Probe]) {
    let ms = |time: Option<Duration>| time.map_or(-1.0, |time| time.as_secs_f64() * 1000.0);
    let answered = || probes.iter().filter(|probe| probe.ok);
    let failed = || probes.iter().filter(|probe| !probe.ok);
    let mut codes: BTreeMap<&str, u32> = BTreeMap::new();
    for probe in failed() {
        *codes.entry(&probe.code).or_default() += 1;
    }
    println!(
        "{victim:10} {round:6} {killed:>9} {:9} {:7} {:20.0} {:18.0} {:16.0}  {codes:?}",
        probes.len(),
        failed().count(),
        ms(answered().map(|probe| probe.end).min()),
        ms(failed().map(|probe| probe.end).max()),
        ms(answered().map(|probe| probe.end - probe.start).max()),
    );
}
