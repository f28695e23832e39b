//! What callers see when a host is killed.

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
const PROBING: Duration = Duration::from_secs(10);

/// One request of a caller, with times since the kill.
struct Probe {
    start: Duration,
    end: Duration,
    ok: bool,
    code: String,
}

/// Kills the owner of a target, the leader and the entry, several times each,
/// and sends a request every 20 ms meanwhile.
pub async fn measure(bins: &Path) {
    println!("a host is killed; a request starts every 20 ms, at the next address if one is dead");
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
        cluster.engine(name, number as u8, &["--token-ms", "1"]).await;
    }
    for victim in ["owner", "leader", "entry"] {
        for round in 1..=ROUNDS {
            one_round(&mut cluster, victim, round).await;
        }
    }
    drop(cluster);
    let mut cluster = Cluster::start(bins, 29, 5).await;
    cluster.engine("e1", 0, &["--token-ms", "1"]).await;
    for round in 1..=ROUNDS {
        one_round(&mut cluster, "sole owner", round).await;
    }
    println!();
}

async fn one_round(cluster: &mut Cluster, victim: &str, round: usize) {
    let leader = cluster.until_live().await;
    let first = cluster.until_owned("e1").await;
    let second = if victim == "sole owner" { first } else { cluster.until_owned("e2").await };
    let owners = [first, second];
    let special = [owners[0], owners[1], leader];
    let free = (1..=5).find(|host| !special.contains(host)).expect("there are more hosts");
    let spare = (1..=5).find(|host| !special.contains(host) && *host != free).unwrap_or(leader);
    cluster.until_complete(free, "warm").await;
    // The owner of the engine that holds the adapter, unless that is the leader.
    let owner = owners.into_iter().find(|&host| host != leader).unwrap_or(leader);
    let (killed, entries) = match victim {
        "sole owner" => (first, [free, spare]),
        "owner" => (owner, [free, spare]),
        "leader" => (leader, [free, spare]),
        _ => (free, [free, spare]),
    };
    let urls = entries.map(|host| format!("http://{}/v1/completions", cluster.entry(host)));
    let start = Instant::now();
    cluster.kill(killed);
    let mut probes = Vec::new();
    let mut ticks = tokio::time::interval(PROBE_PERIOD);
    while start.elapsed() < PROBING {
        ticks.tick().await;
        probes.push(tokio::spawn(probe(cluster.client.clone(), urls.clone(), start)));
    }
    let mut results = Vec::new();
    for probe in probes {
        results.push(probe.await.expect("a probe ends"));
    }
    print(victim, round, killed, &results);
    cluster.start_host(killed, &[]);
}

/// Sends one request, to the second address if the first is not reached.
async fn probe(client: sessions::client::Client, urls: [String; 2], since: Instant) -> Probe {
    let start = since.elapsed();
    let asking = async {
        for url in &urls {
            let reply = client.post_json(url, completion(MODEL, "probe", 1, false)).await;
            if reply.status != 0 {
                let code = reply.json().map(|body: api::ErrorBody| body.error.code);
                return (reply.status == 200, code.unwrap_or_default());
            }
        }
        (false, "not reached".to_owned())
    };
    let answer = timeout(PROBE_TIMEOUT, asking).await;
    let (ok, code) = answer.unwrap_or((false, "no answer".to_owned()));
    Probe { start, end: since.elapsed(), ok, code }
}

fn print(victim: &str, round: usize, killed: u32, probes: &[Probe]) {
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
