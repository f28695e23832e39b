//! A soak test of crowds that don't stay inside the limits, with real processes: random clients from fixed
//! seeds, beside signals, restarts and new limits that overlap.
//!
//! The default is a short run for every day; `CROWD_SEEDS` (first-last), `CROWD_SECONDS` (per seed),
//! `CROWD_HOSTS` and `CROWD_CLIENTS` set other ones. Checked: no process ends by itself or hangs, memory and
//! descriptors stay under the machine's, what was refused has not run, what succeeded has run with its whole
//! body, and at the end each host serves ordinary callers and one large body.

mod common;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{
    CONTROL, Cluster, DIRECTORY, ENTRY, READY, call,
    crowd::{BODY_BYTES, Client, DESCRIPTORS, Form, MACHINE, MEMORY_KB, Plan, Stop},
    document, open_descriptors,
    paced::Upload,
    seeds::{number, run_seeds},
    stops::GRACE,
    target::Target,
    until,
};
use http::Method;
use platform::stand_in;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sessions::process::peak_memory_kb;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

/// Networks that the seeds take in turn.
const FIRST_NET: u8 = 66;
const NETS: u64 = 10;
/// Callers who keep their connections in use.
const CALLERS: u64 = 12;
/// Size of their requests' bodies.
const SMALL_BYTES: usize = 2;
/// `maxBodyBytes` of the configurations.
const LIMITS: [usize; 3] = [64 * 1024, 256 * 1024, BODY_BYTES];

const FORMS: [Form; 7] = [
    Form::Length,
    Form::LargeChunks,
    Form::SmallChunks,
    Form::OverAnnounced,
    Form::OverSent,
    Form::FarOverAnnounced,
    Form::FarOverSent,
];
const STOPS: [Stop; 4] = [Stop::Never, Stop::Short, Stop::InHead, Stop::AfterHead];
const PATHS: [&str; 4] = ["/odd/x", "/read/x", "/once/x", "/nowhere/x"];

/// What clients got and processes took.
#[derive(Default)]
struct Observed {
    /// Each request's status, if it has one, with what was sent.
    sent: Vec<(String, Plan, Option<u16>)>,
    /// The running processes, by host.
    running: BTreeMap<u8, u32>,
    most_kb: u64,
    most_descriptors: usize,
    findings: Vec<String>,
}

type SharedObserved = Rc<RefCell<Observed>>;

/// Returns a configuration with another limit of bodies.
fn changed_document(version: u64, limit: usize) -> String {
    let limit = format!(r#""maxBodyBytes":{limit}"#);
    document(version).replace(r#""maxBodyBytes":100000"#, &limit)
}

/// Sends one request after the other that is inside no limit, most of them to one host, and holds its connection for a while.
async fn crowd_client(
    observed: SharedObserved,
    hosts: Vec<SocketAddr>,
    number: u64,
    mut rng: ChaCha8Rng,
) {
    for count in 0.. {
        let at_one = rng.random_bool(0.6);
        let mut addr = hosts[if at_one { 0 } else { rng.random_range(0..hosts.len()) }];
        let form = FORMS[rng.random_range(0..FORMS.len())];
        let stop = STOPS[rng.random_range(0..STOPS.len())];
        let mut plan = Plan { form, stop, path: PATHS[rng.random_range(0..PATHS.len())] };
        if rng.random_bool(0.2) {
            let ports = [CONTROL, DIRECTORY, READY];
            addr.set_port(ports[rng.random_range(0..ports.len())]);
            plan.path = platform::config::REPLACE_PATH;
        }
        let attempt = format!("crowd-{number}-{count}");
        let playing = timeout(Duration::from_secs(3), Client::play(addr, plan, attempt.clone()));
        let Ok(Some(mut client)) = playing.await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let hold = Duration::from_millis(rng.random_range(0..4000) * rng.random_range(0..2));
        let status = timeout(hold + Duration::from_millis(500), client.status()).await;
        observed.borrow_mut().sent.push((attempt, plan, status.ok().flatten()));
        sleep(hold / 4).await;
    }
}

/// Sends small requests to one host, on one connection for as long as that goes on.
async fn caller(observed: SharedObserved, addr: SocketAddr, number: u64, mut rng: ChaCha8Rng) {
    let mut count = 0;
    loop {
        sleep(Duration::from_millis(rng.random_range(10..100))).await;
        let Ok(mut upload) = Upload::connect(addr).await else { continue };
        loop {
            count += 1;
            let attempt = format!("caller-{number}-{count}");
            let path = ["/read/x", "/once/x"][rng.random_range(0..2)];
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\nDeadline-Ms: 9000\r\n\
                 Content-Length: {SMALL_BYTES}\r\n\r\n{{}}",
                stand_in::ATTEMPT
            );
            let got = upload.exchange(vec![(Duration::ZERO, request)], Duration::ZERO).await.got;
            if let Some(status @ (400 | 404 | 408 | 413 | 431)) = got.status {
                let what = format!("{attempt} is proper, and was rejected with {status}");
                observed.borrow_mut().findings.push(what);
            }
            let plan = Plan { form: Form::Length, stop: Stop::Never, path };
            observed.borrow_mut().sent.push((attempt, plan, got.status));
            if got.body.is_none() || got.head.contains("connection: close") {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(0..100))).await;
        }
    }
}

/// Puts configurations with other limits in force.
async fn operator(control: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    for version in 10.. {
        let addr = control[rng.random_range(0..control.len())];
        let body = changed_document(version, LIMITS[rng.random_range(0..LIMITS.len())]);
        let put = call(addr, Method::POST, platform::config::REPLACE_PATH, &[], &body);
        let _ = timeout(Duration::from_secs(2), put).await;
        sleep(Duration::from_millis(rng.random_range(100..2000))).await;
    }
}

/// Looks at the memory and the descriptors of all processes, again and again.
async fn watch(observed: SharedObserved) {
    loop {
        let running = observed.borrow().running.clone();
        for (host, pid) in running {
            let (Some(kb), Some(open)) = (peak_memory_kb(pid), open_descriptors(pid)) else {
                continue;
            };
            let mut seen = observed.borrow_mut();
            seen.most_kb = seen.most_kb.max(kb);
            seen.most_descriptors = seen.most_descriptors.max(open);
            if kb > MEMORY_KB || open > DESCRIPTORS {
                seen.running.remove(&host);
                seen.findings.push(format!("host {host}: {kb} KB, {open} descriptors"));
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends signals to some hosts at overlapping times, and starts the processes again that end.
async fn disturb(
    cluster: &mut Cluster,
    observed: &SharedObserved,
    hosts: u8,
    rng: &mut ChaCha8Rng,
) {
    let mut ending: BTreeMap<u8, Instant> = BTreeMap::new();
    for _ in 0..rng.random_range(1..6) {
        let host = rng.random_range(1..=hosts);
        match rng.random_range(0..6) {
            0 | 1 => {
                cluster.signal(host, "-TERM");
                ending.entry(host).or_insert_with(Instant::now);
            }
            2 if !ending.contains_key(&host) => {
                cluster.kill(host);
                cluster.start_host(host);
                observed.borrow_mut().running.insert(host, cluster.pid(host));
                // A new process may not handle signals yet.
                cluster.wait_ready(host).await;
            }
            _ => cluster.signal(host, "-HUP"),
        }
        sleep(Duration::from_millis(rng.random_range(0..1500) * rng.random_range(0..2))).await;
    }
    while !ending.is_empty() {
        for (host, at) in ending.clone() {
            let exited = cluster.exited(host);
            if exited.is_none() && at.elapsed() < GRACE {
                continue;
            }
            if exited != Some(true) {
                let what = format!("host {host}: {exited:?} {:?} after SIGTERM", at.elapsed());
                observed.borrow_mut().findings.push(what);
                cluster.kill(host);
            }
            ending.remove(&host);
            cluster.start_host(host);
            observed.borrow_mut().running.insert(host, cluster.pid(host));
        }
        sleep(Duration::from_millis(20)).await;
    }
    cluster.assert_running();
    for host in 1..=hosts {
        cluster.wait_ready(host).await;
    }
}

/// Checks what clients got against what targets ran.
fn check(seed: u64, observed: &mut Observed, targets: &[Target]) {
    let mut runs: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for target in targets {
        for (attempt, size) in target.runs().into_iter().zip(target.body_sizes()) {
            runs.entry(attempt).or_default().push(size);
        }
    }
    let mut counts: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    let mut findings = std::mem::take(&mut observed.findings);
    let known: BTreeSet<&str> = observed.sent.iter().map(|it| it.0.as_str()).collect();
    assert_eq!(known.len(), observed.sent.len(), "each request has an id of its own");
    for (attempt, plan, status) in &observed.sent {
        *counts.entry(*status).or_default() += 1;
        let ran = runs.get(attempt).map_or(&[][..], Vec::as_slice);
        let size = if attempt.starts_with("caller") { SMALL_BYTES } else { plan.size() };
        let what = match status {
            Some(408 | 413 | 421 | 429 | 503) if !ran.is_empty() => "was refused and ran",
            Some(200) if ran.is_empty() && plan.path != platform::config::REPLACE_PATH => {
                "succeeded and has not run"
            }
            _ if plan.path == "/once/x" && ran.len() > 1 => "may run once, and ran again",
            _ if ran.iter().any(|it| *it != size) => "ran with another body",
            _ if plan.stop != Stop::Never && !ran.is_empty() => "was not sent whole, and ran",
            _ => continue,
        };
        findings.push(format!("{attempt} {plan:?}: {what} (status {status:?}, runs {ran:?})"));
    }
    let (kb, open) = (observed.most_kb, observed.most_descriptors);
    println!("seed {seed}: {kb} KB, {open} descriptors at most, {counts:?}");
    assert!(findings.is_empty(), "seed {seed}:\n{}", findings.join("\n"));
}

async fn run_seed(seed: u64) {
    let (seconds, hosts) = (number("CROWD_SECONDS", 15), number("CROWD_HOSTS", 4) as u8);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let net = FIRST_NET + (seed % NETS) as u8;
    let mut cluster = Cluster::start_with(net, hosts, MACHINE);
    cluster.configure(1, &changed_document(3, BODY_BYTES)).await;
    let addrs =
        |port| -> Vec<SocketAddr> { (1..=hosts).map(|it| cluster.addr(it, port)).collect() };
    let (entries, control) = (addrs(ENTRY), addrs(CONTROL));
    let mut targets = Vec::new();
    for (number, service) in [(1, "odd"), (2, "app")] {
        targets.push(Target::start(net, number, service, control.clone()).await);
    }
    targets[0].slow_down(Duration::from_millis(rng.random_range(0..2000)));
    let observed = SharedObserved::default();
    for host in 1..=hosts {
        cluster.wait_ready(host).await;
        observed.borrow_mut().running.insert(host, cluster.pid(host));
    }
    let own = |number| ChaCha8Rng::seed_from_u64(seed * 1000 + number);
    let mut tasks: Vec<JoinHandle<()>> = vec![spawn_local(watch(observed.clone()))];
    tasks.push(spawn_local(operator(control, own(999))));
    for number in 0..number("CROWD_CLIENTS", 100) {
        let client = crowd_client(observed.clone(), entries.clone(), number, own(number));
        tasks.push(spawn_local(client));
    }
    for number in 0..CALLERS {
        let addr = entries[number as usize % entries.len()];
        tasks.push(spawn_local(caller(observed.clone(), addr, number, own(500 + number))));
    }
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        disturb(&mut cluster, &observed, hosts, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(0..1000))).await;
    }
    for task in tasks.drain(1..) {
        task.abort();
        assert!(task.await.is_err_and(|it| it.is_cancelled()), "no task ends by itself");
    }
    // The crowd has left: each host serves, also one large body.
    targets[0].slow_down(Duration::ZERO);
    cluster.configure(1, &changed_document(1_000_000, BODY_BYTES)).await;
    for (number, addr) in entries.iter().enumerate() {
        let mut count = 0;
        until(async || {
            count += 1;
            let plan = Plan { form: Form::Length, stop: Stop::Never, path: "/read/x" };
            let attempt = format!("last-{number}-{count}");
            let client = Client::play(*addr, plan, attempt.clone()).await;
            let status = client.expect("it connects").status().await;
            observed.borrow_mut().sent.push((attempt, plan, status));
            status == Some(200)
        })
        .await;
    }
    cluster.assert_running();
    check(seed, &mut observed.borrow_mut(), &targets);
}

/// Guards against clients that end a process, keep it from ending, fill it, or lead it to break a promise. Load
/// pattern: random bodies in all forms, whole and not, at all addresses of all hosts, held for up to 4 s; callers who
/// keep connections in use; SIGTERM, SIGKILL and SIGHUP in series that overlap; new limits.
#[test]
fn crowds_end_no_process_and_break_no_promise() {
    run_seeds("CROWD_SEEDS", run_seed);
}
