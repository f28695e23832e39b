//! A soak of real processes: faults from outside at random, by fixed seeds, and the
//! promises as callers, operators and targets see them.
//!
//! `SOAK_SEEDS` (first-last) and `SOAK_SECONDS` play more than the short run of every
//! day. Faults: hosts are killed, frozen, told to end and lose their disks; connections
//! to targets are refused, held up and delayed by a proxy. The time of day is not
//! touched.

mod common;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{CONTROL, Cluster, ENTRY, EVENTS, Target, call, document, ip, until};
use http::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::LocalSet,
    time::{sleep, timeout},
};

const HOSTS: u8 = 5;
const DISKS: u8 = 3;
const NET: u8 = 20;
/// Places for adapters at a target, as the configuration says.
const PLACES: usize = 2;
/// `bounds.leaseMs`, less what a message and a loaded machine may take.
const LEASE: Duration = Duration::from_millis(2800);

/// What the proxy before a target does with new connections and their bytes.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Open,
    Refuse,
    Hold,
    Delay,
}

/// What was seen from outside.
#[derive(Default)]
struct Seen {
    /// Status and body of each answer, by try.
    answers: BTreeMap<String, (u16, Option<String>)>,
    /// The highest number of a configuration that was acknowledged.
    acknowledged: u64,
    /// Reads of an older configuration than was acknowledged before.
    stale: Vec<String>,
    next: u64,
    over: bool,
}

type Shared = Rc<RefCell<Seen>>;

async fn proxy(number: u8, way: Rc<RefCell<Way>>) -> String {
    let shown = format!("{}:8081", ip(NET, 100 + number));
    let behind = format!("{}:8080", ip(NET, 100 + number));
    let listener = TcpListener::bind(&shown).await.expect("the address is free");
    tokio::task::spawn_local(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let (way, behind) = (way.clone(), behind.clone());
            tokio::task::spawn_local(async move {
                let now = *way.borrow();
                match now {
                    Way::Refuse => return,
                    Way::Hold => return sleep(Duration::from_secs(3)).await,
                    Way::Delay => sleep(Duration::from_millis(300)).await,
                    Way::Open => {}
                }
                let Ok(mut far) = TcpStream::connect(behind).await else { return };
                let cut = async {
                    while *way.borrow() != Way::Refuse {
                        sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => {}
                    () = cut => {}
                }
            });
        }
    });
    shown
}

/// Sends requests one after the other to hosts at random.
async fn caller(seen: Shared, entries: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    while !seen.borrow().over {
        let number = {
            let mut seen = seen.borrow_mut();
            seen.next += 1;
            seen.next
        };
        let entry = entries[rng.random_range(0..entries.len())];
        let kind = ["once", "read", "stream"][rng.random_range(0..3)];
        let attempt = format!("{kind}-{number}");
        let adapter = format!("m/a{}", rng.random_range(0..8));
        let mut headers = vec![("attempt-id", attempt.as_str()), ("deadline-ms", "4000")];
        if kind == "stream" {
            headers.extend([("model", adapter.as_str()), ("token-usage", "100,20")]);
        }
        let path = format!("/{kind}/x");
        let asked = call(entry, Method::POST, &path, &headers, "{}");
        if let Ok(Ok(answer)) = timeout(Duration::from_secs(6), asked).await {
            let what = (answer.status.as_u16(), answer.body.map(|it| it.replace(&adapter, "A")));
            seen.borrow_mut().answers.insert(attempt, what);
        }
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

async fn fetch(addr: SocketAddr) -> Option<u64> {
    let asked = call(addr, Method::GET, platform::config::FETCH_PATH, &[], "");
    let answer = timeout(Duration::from_secs(2), asked).await.ok()?.ok()?;
    let body = answer.body.filter(|_| answer.status == StatusCode::OK)?;
    Some(platform::config::read_config(body.as_bytes()).expect("it is a configuration").number)
}

/// Puts configurations in force and reads them back, at hosts at random.
async fn operator(seen: Shared, control: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    let mut number = 10;
    while !seen.borrow().over {
        number += 1;
        let addr = control[rng.random_range(0..control.len())];
        let body = document(number);
        let put = call(addr, Method::POST, platform::config::REPLACE_PATH, &[], &body);
        if let Ok(Ok(answer)) = timeout(Duration::from_secs(4), put).await
            && answer.status == StatusCode::OK
        {
            let mut seen = seen.borrow_mut();
            seen.acknowledged = seen.acknowledged.max(number);
        }
        let addr = control[rng.random_range(0..control.len())];
        let before = seen.borrow().acknowledged;
        if let Some(read) = fetch(addr).await.filter(|read| *read < before) {
            seen.borrow_mut().stale.push(format!("{read} at {addr}, {before} was acknowledged"));
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Brings faults about, one or two at a time, and mends them.
async fn trouble(
    cluster: &mut Cluster,
    ways: &[Rc<RefCell<Way>>],
    rng: &mut ChaCha8Rng,
    span: Duration,
) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        cluster.assert_running();
        let host = rng.random_range(1..=HOSTS);
        let way = &ways[rng.random_range(0..ways.len())];
        let rest = Duration::from_millis(rng.random_range(200..2500));
        match rng.random_range(0..7) {
            0 => {
                cluster.kill(host);
                sleep(rest).await;
                cluster.run(host);
            }
            1 => {
                cluster.signal(host, "-STOP");
                sleep(rest).await;
                cluster.signal(host, "-CONT");
            }
            2 => {
                cluster.term(host).await;
                cluster.run(host);
            }
            3 if host <= DISKS => {
                cluster.wipe(host);
                sleep(rest).await;
                cluster.run(host);
                // A disk counts as lost until its host has caught up.
                sleep(Duration::from_secs(4)).await;
            }
            4 => *way.borrow_mut() = Way::Refuse,
            5 => *way.borrow_mut() = Way::Hold,
            _ => *way.borrow_mut() = Way::Delay,
        }
        sleep(rest).await;
        *way.borrow_mut() = Way::Open;
        sleep(Duration::from_millis(rng.random_range(100..1500))).await;
    }
}

fn check(seed: u64, seen: &Seen, models: &[Target], apps: &[Target]) {
    assert_eq!(seen.stale, Vec::<String>::new(), "seed {seed}: older configurations were read");
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for target in models.iter().chain(apps) {
        for attempt in target.runs() {
            *runs.entry(attempt).or_default() += 1;
        }
    }
    let events: String =
        (1..=EVENTS).map(|number| format!("id: {number}\ndata: A {number}\n\n")).collect();
    for (attempt, count) in runs.iter().filter(|(attempt, _)| attempt.starts_with("once")) {
        assert_eq!(*count, 1, "seed {seed}: {attempt} ran more than once");
    }
    for (attempt, (status, body)) in &seen.answers {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        match status {
            200 => {
                let whole = if attempt.starts_with("stream") { &events } else { "done" };
                assert!(
                    body.as_deref().is_none_or(|it| it == whole),
                    "seed {seed}: {attempt} got {body:?}"
                );
                assert!(ran > 0, "seed {seed}: {attempt} was answered and never ran");
            }
            429 | 503 => assert_eq!(ran, 0, "seed {seed}: {attempt} was refused and ran"),
            _ => {}
        }
    }
    for target in models {
        assert!(target.most() <= PLACES, "seed {seed}: {} adapters ordered", target.most());
        let mut last: Option<(Instant, String, u64)> = None;
        for (at, holder, fence) in target.orders() {
            if let Some((before, other, former)) = &last {
                assert!(fence >= *former, "seed {seed}: fence {fence} after {former}");
                let apart = *other == holder || at - *before >= LEASE;
                assert!(apart, "seed {seed}: orders of {other}, then {holder} {:?}", at - *before);
            }
            last = Some((at, holder, fence));
        }
    }
}

async fn play(seed: u64, span: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(NET, HOSTS);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
    let entries: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, ENTRY)).collect();
    let (mut models, mut apps, mut ways) = (Vec::new(), Vec::new(), Vec::new());
    for (number, service) in [(1, "models"), (2, "models"), (3, "app"), (4, "app")] {
        let way = Rc::new(RefCell::new(Way::Open));
        let shown = proxy(number, way.clone()).await;
        let target = Target::start_behind(NET, number, service, control.clone(), shown).await;
        if service == "models" {
            models.push(target)
        } else {
            apps.push(target)
        }
        ways.push(way);
    }
    for host in 1..=HOSTS {
        cluster.ready(host).await;
    }
    let seen = Shared::default();
    let mut tasks = Vec::new();
    for number in 0..6 {
        let rng = ChaCha8Rng::seed_from_u64(seed * 100 + number);
        tasks.push(tokio::task::spawn_local(caller(seen.clone(), entries.clone(), rng)));
    }
    let own = ChaCha8Rng::seed_from_u64(seed * 100 + 99);
    tasks.push(tokio::task::spawn_local(operator(seen.clone(), control.clone(), own)));
    trouble(&mut cluster, &ways, &mut rng, span).await;
    // All is mended: what was acknowledged is there, and requests are served.
    let before = seen.borrow().acknowledged;
    for addr in &control {
        until(async || fetch(*addr).await.is_some_and(|read| read >= before)).await;
    }
    for kind in ["once", "read", "stream"] {
        let served = |seen: &Seen| {
            let of = |(attempt, answer): (&String, &(u16, Option<String>))| {
                attempt.starts_with(kind) && answer.0 == 200
            };
            seen.answers.iter().filter(|it| of(*it)).count()
        };
        let so_far = served(&seen.borrow());
        until(async || served(&seen.borrow()) >= so_far + 5).await;
    }
    seen.borrow_mut().over = true;
    for task in tasks {
        task.await.expect("no task panics");
    }
    check(seed, &seen.borrow(), &models, &apps);
    let served = seen.borrow().answers.values().filter(|it| it.0 == 200).count();
    println!("seed {seed}: {served} of {} served", seen.borrow().answers.len());
}

fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_owned())
}

#[test]
fn promises_are_kept_under_faults_at_random() {
    let seeds = setting("SOAK_SEEDS", "1-2");
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS is first-last");
    let seconds = setting("SOAK_SECONDS", "10").parse().expect("SOAK_SECONDS is a number");
    for seed in first.parse().expect("a seed")..=last.parse().expect("a seed") {
        // A runtime for each seed: its targets and proxies end with it.
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("it starts");
        LocalSet::new().block_on(&runtime, play(seed, Duration::from_secs(seconds)));
    }
}
