//! Targets that leave while the processes of all hosts are killed, and heartbeats of theirs that arrive late: no
//! request reaches a target later than the time to drain after the acknowledgement. Real processes, seeded;
//! `DEPARTURE_SEEDS` (first-last) plays others, `DEPARTURE_HOSTS` with more hosts.

mod common;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{
    CONTROL, Cluster, ENTRY, call, document, ip,
    paced::PacedTarget,
    seeds::{number, run_seeds},
    send_heartbeat,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use platform::{registry::DEREGISTER_PATH, stand_in};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use wire::{TargetRecord, TargetState};

const FIRST_NET: u8 = 20;
const NETS: u64 = 15;
/// Time after the acknowledgement within which hosts stop sending requests.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time after its start from which a host is held to that.
const CONTACT: Duration = Duration::from_millis(3000);
const CLIENTS: u64 = 6;
/// The targets that leave, one after the other, beside one that stays.
const LEAVING: [u8; 3] = [2, 3, 4];
/// How long a target waits for an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The faults that hosts are put to.
struct Faults {
    cluster: Cluster,
    hosts: u8,
    /// When each host last started or went on, by its address.
    troubled: Vec<(String, Instant)>,
    net: u8,
}

impl Faults {
    fn start_host(&mut self, host: u8) {
        self.cluster.start_host(host);
        self.troubled.push((ip(self.net, host), Instant::now()));
    }

    /// Kills or stops hosts: all at once, twice, one after the other, or one, with a change of the configuration.
    async fn disturb(&mut self, rng: &mut ChaCha8Rng, version: u64) {
        let all: Vec<u8> = (1..=self.hosts).collect();
        let one = vec![rng.random_range(1..=self.hosts)];
        let (rounds, down, gap): (Vec<Vec<u8>>, _, _) = match rng.random_range(0..5) {
            0 | 1 => (vec![all], 500, 0),
            2 => (vec![all.clone(), all], 500, 1500),
            3 => (all.iter().map(|it| vec![*it]).collect(), 300, 1200),
            _ => (vec![one], rng.random_range(100..2500), 0),
        };
        let control: SocketAddr = self.cluster.addr(1, CONTROL);
        tokio::task::spawn_local(async move {
            let put = Method::POST;
            let document = document(version);
            let path = platform::config::REPLACE_PATH;
            // Whether the change comes through doesn't matter here.
            let _ = timeout(ms(3000), call(control, put, path, &[], &document)).await;
        });
        let is_planned = rounds.len() != 1 && rng.random_bool(0.3);
        for hosts in rounds {
            if is_planned && hosts.len() == 1 {
                self.cluster.terminate(hosts[0]).await;
            }
            hosts.iter().for_each(|host| self.cluster.kill(*host));
            sleep(ms(down)).await;
            hosts.iter().for_each(|host| self.start_host(*host));
            sleep(ms(gap)).await;
        }
    }
}

/// Sends requests to one host after the other over connections that it keeps for as long as they last.
async fn client(entries: Vec<SocketAddr>, number: u64, stopped: Rc<Cell<bool>>) -> u64 {
    let mut served = 0;
    let mut turn = number as usize;
    while !stopped.get() {
        turn += 1;
        let Ok(stream) = TcpStream::connect(entries[turn % entries.len()]).await else {
            sleep(ms(50)).await;
            continue;
        };
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            continue;
        };
        tokio::spawn(connection);
        let mut sent = 0;
        while !stopped.get() && sent < 200 && sender.ready().await.is_ok() {
            sent += 1;
            let kind = if sent % 3 == 0 { "once" } else { "read" };
            let request = Request::post(format!("/{kind}/0"))
                .header("host", "a.example")
                .header("attempt-id", format!("{number}-{turn}-{sent}"))
                .header("deadline-ms", "3000")
                .body(Full::new(Bytes::new()))
                .expect("it is a request");
            let Ok(Ok(answer)) = timeout(ms(4000), sender.send_request(request)).await else {
                break;
            };
            served += u64::from(answer.status() == StatusCode::OK);
            if answer.into_body().collect().await.is_err() {
                break;
            }
            sleep(ms(15)).await;
        }
    }
    served
}

/// Calls a host as a target does. Returns whether the host acknowledged it in time.
async fn tell(addr: SocketAddr, path: &str, body: &str) -> bool {
    let telling = call(addr, Method::POST, path, &[], body);
    let answer = timeout(ACK_TIMEOUT, telling).await;
    matches!(answer, Ok(Ok(answer)) if answer.status == StatusCode::OK)
}

/// Sends heartbeats for a while, and returns the last one, which arrives late.
async fn live(
    record: &mut TargetRecord,
    control: &[SocketAddr],
    span: Duration,
) -> (String, String) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        send_heartbeat(record, control, &[]).await;
    }
    record.sequence += 1;
    stand_in::heartbeat(record, &[])
}

/// Says that a target leaves, to one host after the other, until it is acknowledged. Returns when that was.
async fn leave(
    record: &TargetRecord,
    control: &[SocketAddr],
    drains: bool,
    first: usize,
) -> Instant {
    let (path, body) = match drains {
        true => {
            let leaving = TargetRecord { state: TargetState::Leaving, ..record.clone() };
            stand_in::heartbeat(&TargetRecord { sequence: record.sequence + 1, ..leaving }, &[])
        }
        false => {
            let path = format!("{DEREGISTER_PATH}{}", record.id);
            (path, format!("{{\"born\":{}}}", record.started_at))
        }
    };
    for turn in first.. {
        if tell(control[turn % control.len()], &path, &body).await {
            break;
        }
        sleep(ms(50)).await;
    }
    Instant::now()
}

/// Returns the requests that reached a target too late, sent by hosts that had run for a while.
fn late_runs(target: &PacedTarget, left: Instant, troubled: &[(String, Instant)]) -> Vec<String> {
    let is_in_touch = |from: &str, at: Instant| {
        let mut own = troubled.iter().filter(|(host, _)| host == from);
        own.all(|(_, since)| at < *since || at > *since + CONTACT)
    };
    let mut late = Vec::new();
    for run in target.runs() {
        if run.began > left + DRAIN && is_in_touch(&run.from, run.began) {
            late.push(format!(
                "{} from {}, {:?} after it",
                run.attempt,
                run.from,
                run.began - left
            ));
        }
    }
    late
}

async fn run_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let net = FIRST_NET + (seed % NETS) as u8;
    let hosts = number("DEPARTURE_HOSTS", 5) as u8;
    let cluster = Cluster::start(net, hosts);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=hosts).map(|host| cluster.addr(host, CONTROL)).collect();
    let entries: Vec<_> = (1..=hosts).map(|host| cluster.addr(host, ENTRY)).collect();
    for host in 1..=hosts {
        cluster.wait_ready(host).await;
    }
    let _stays = PacedTarget::start(net, 1, "app", control.clone()).await;
    let stopped = Rc::new(Cell::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = client(entries.clone(), number, stopped.clone());
        clients.push(tokio::task::spawn_local(client));
    }
    let mut faults = Faults { cluster, hosts, troubled: Vec::new(), net };
    let mut findings = Vec::new();
    for (turn, number) in (0..).zip(LEAVING) {
        let (target, mut record) = PacedTarget::start_silent(net, number, "app").await;
        let late = live(&mut record, &control, ms(2000)).await;
        let drains = rng.random_bool(0.5);
        let left = leave(&record, &control, drains, rng.random_range(0..control.len())).await;
        sleep(ms(rng.random_range(0..600))).await;
        faults.disturb(&mut rng, 10 + turn).await;
        sleep(CONTACT + ms(rng.random_range(200..2500))).await;
        let receivers = if rng.random_bool(0.5) { control.len() } else { 1 };
        for turn in 0..receivers {
            tell(control[(turn + usize::from(number)) % control.len()], &late.0, &late.1).await;
        }
        sleep(ms(1500)).await;
        let runs = late_runs(&target, left, &faults.troubled);
        findings.extend(runs.iter().map(|run| format!("i-{number} (drains: {drains}): {run}")));
        assert!(!target.runs().is_empty(), "seed {seed}: i-{number} was used before it left");
    }
    stopped.set(true);
    let mut served = 0;
    for client in clients {
        served += client.await.expect("no client panics");
    }
    println!("seed {seed}: {served} served, {} starts of hosts", faults.troubled.len());
    assert!(findings.is_empty(), "seed {seed}: {} late: {findings:.5?}", findings.len());
}

/// Guards against requests to targets that left, after all processes were killed: that a target had left was known in
/// memory only, and a heartbeat that it had sent before was believed (review/9).
#[test]
fn no_request_reaches_a_target_that_left_before_all_hosts_were_killed() {
    run_seeds("DEPARTURE_SEEDS", run_seed);
}
