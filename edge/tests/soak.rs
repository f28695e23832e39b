//! A soak test with real processes: random faults from fixed seeds, and checks of the guarantees as
//! callers, operators and targets observe them.
//!
//! The default is a short run for every day; `SOAK_SEEDS` (first-last) and `SOAK_SECONDS` (per
//! seed) set longer ones. Faults: hosts are killed, frozen, terminated and lose their disks; a
//! proxy refuses, stalls and delays connections to targets; targets say in their answers that they
//! leave, want nothing for a while or are brittle. The system clock is not changed.

mod common;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{
    CONTROL, Cluster, ENTRY, call, document, ip,
    seeds::{number, run_seeds},
    target::{EVENT_COUNT, Says, Target},
    until,
};
use http::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const HOSTS: u8 = 5;
const DISK_HOSTS: u8 = 3;
const NET: u8 = 20;
/// Adapter slots of a target in the configuration.
const ADAPTER_SLOTS: usize = 2;
/// Minimum time between orders of two holders: `bounds.leaseMs` less an allowance for the delay of
/// a message and of a loaded machine.
const MIN_HOLDER_GAP: Duration = Duration::from_millis(2800);

/// How the proxy in front of a target handles connections.
#[derive(Clone, Copy, PartialEq)]
enum ProxyMode {
    Open,
    /// Close new connections at once, and cut open ones.
    Refuse,
    /// Keep the connection open for a while, without forwarding, and then close it.
    Stall,
    Delay,
}

/// What callers and the operator have observed.
#[derive(Default)]
struct Observed {
    /// Status and body of each answer, by attempt id.
    answers: BTreeMap<String, (u16, Option<String>)>,
    /// The highest number of an acknowledged configuration.
    acknowledged: u64,
    /// Reads that returned an older configuration than one acknowledged before the read.
    stale: Vec<String>,
    next: u64,
    /// Whether callers and the operator should stop.
    stopped: bool,
}

type SharedObserved = Rc<RefCell<Observed>>;

/// Starts the proxy of a target and returns its address.
async fn proxy(number: u8, mode: Rc<RefCell<ProxyMode>>) -> String {
    let advertised = format!("{}:8081", ip(NET, 100 + number));
    let backend = format!("{}:8080", ip(NET, 100 + number));
    let listener = TcpListener::bind(&advertised).await.expect("the address is free");
    tokio::task::spawn_local(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let (mode, backend) = (mode.clone(), backend.clone());
            tokio::task::spawn_local(async move {
                let now = *mode.borrow();
                match now {
                    ProxyMode::Refuse => return,
                    ProxyMode::Stall => return sleep(Duration::from_secs(3)).await,
                    ProxyMode::Delay => sleep(Duration::from_millis(300)).await,
                    ProxyMode::Open => {}
                }
                let Ok(mut server) = TcpStream::connect(backend).await else { return };
                let cut = async {
                    while *mode.borrow() != ProxyMode::Refuse {
                        sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut client, &mut server) => {}
                    () = cut => {}
                }
            });
        }
    });
    advertised
}

/// Sends requests one after the other, each to a random host.
async fn caller(observed: SharedObserved, entries: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    while !observed.borrow().stopped {
        let number = {
            let mut observed = observed.borrow_mut();
            observed.next += 1;
            observed.next
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
        let sending = call(entry, Method::POST, &path, &headers, "{}");
        if let Ok(Ok(answer)) = timeout(Duration::from_secs(6), sending).await {
            let what = (answer.status.as_u16(), answer.body.map(|it| it.replace(&adapter, "A")));
            observed.borrow_mut().answers.insert(attempt, what);
        }
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

async fn fetch(addr: SocketAddr) -> Option<u64> {
    let sending = call(addr, Method::GET, platform::config::FETCH_PATH, &[], "");
    let answer = timeout(Duration::from_secs(2), sending).await.ok()?.ok()?;
    let body = answer.body.filter(|_| answer.status == StatusCode::OK)?;
    Some(platform::config::read_config(body.as_bytes()).expect("it is a configuration").number)
}

/// Puts configurations in force and reads them back, each at a random host.
async fn operator(observed: SharedObserved, control: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    let mut number = 10;
    while !observed.borrow().stopped {
        number += 1;
        let addr = control[rng.random_range(0..control.len())];
        let body = document(number);
        let put = call(addr, Method::POST, platform::config::REPLACE_PATH, &[], &body);
        if let Ok(Ok(answer)) = timeout(Duration::from_secs(4), put).await
            && answer.status == StatusCode::OK
        {
            let mut observed = observed.borrow_mut();
            observed.acknowledged = observed.acknowledged.max(number);
        }
        let addr = control[rng.random_range(0..control.len())];
        let before = observed.borrow().acknowledged;
        if let Some(read) = fetch(addr).await.filter(|read| *read < before) {
            observed
                .borrow_mut()
                .stale
                .push(format!("{read} at {addr}, {before} was acknowledged"));
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Injects one fault per round and repairs it. What a target says in its answers lasts through the
/// next fault.
async fn inject_faults(
    cluster: &mut Cluster,
    modes: &[Rc<RefCell<ProxyMode>>],
    apps: &[Target],
    rng: &mut ChaCha8Rng,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        cluster.assert_running();
        let app = &apps[rng.random_range(0..apps.len())];
        app.say(match rng.random_range(0..6) {
            0 => Says::Leaving,
            1 => Says::Pause(rng.random_range(0.2..4.0)),
            2 => Says::Brittle(3),
            _ => Says::Nothing,
        });
        let host = rng.random_range(1..=HOSTS);
        let mode = &modes[rng.random_range(0..modes.len())];
        let delay = Duration::from_millis(rng.random_range(200..2500));
        match rng.random_range(0..7) {
            0 => {
                cluster.kill(host);
                sleep(delay).await;
                cluster.start_host(host);
            }
            1 => {
                cluster.signal(host, "-STOP");
                sleep(delay).await;
                cluster.signal(host, "-CONT");
            }
            2 => {
                cluster.terminate(host).await;
                cluster.start_host(host);
            }
            3 if host <= DISK_HOSTS => {
                cluster.lose_disk(host);
                sleep(delay).await;
                cluster.start_host(host);
                // A disk counts as lost until its host has caught up.
                sleep(Duration::from_secs(4)).await;
            }
            4 => *mode.borrow_mut() = ProxyMode::Refuse,
            5 => *mode.borrow_mut() = ProxyMode::Stall,
            _ => *mode.borrow_mut() = ProxyMode::Delay,
        }
        sleep(delay).await;
        *mode.borrow_mut() = ProxyMode::Open;
        app.restart();
        sleep(Duration::from_millis(rng.random_range(100..1500))).await;
    }
}

fn check(seed: u64, observed: &Observed, models: &[Target], apps: &[Target]) {
    assert_eq!(observed.stale, Vec::<String>::new(), "seed {seed}: older configurations were read");
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for target in models.iter().chain(apps) {
        for attempt in target.runs() {
            *runs.entry(attempt).or_default() += 1;
        }
    }
    let events: String =
        (1..=EVENT_COUNT).map(|number| format!("id: {number}\ndata: A {number}\n\n")).collect();
    for (attempt, count) in runs.iter().filter(|(attempt, _)| attempt.starts_with("once")) {
        assert_eq!(*count, 1, "seed {seed}: {attempt} ran more than once");
    }
    for (attempt, (status, body)) in &observed.answers {
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
        assert!(
            target.max_adapters() <= ADAPTER_SLOTS,
            "seed {seed}: {} adapters ordered",
            target.max_adapters()
        );
        let mut last: Option<(Instant, String, u64)> = None;
        for (at, holder, fence) in target.orders() {
            if let Some((before, other, former)) = &last {
                assert!(fence >= *former, "seed {seed}: fence {fence} after {former}");
                let apart = *other == holder || at - *before >= MIN_HOLDER_GAP;
                assert!(apart, "seed {seed}: orders of {other}, then {holder} {:?}", at - *before);
            }
            last = Some((at, holder, fence));
        }
    }
}

async fn run_seed(seed: u64, duration: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(NET, HOSTS);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
    let entries: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, ENTRY)).collect();
    let (mut models, mut apps, mut modes) = (Vec::new(), Vec::new(), Vec::new());
    for (number, service) in [(1, "models"), (2, "models"), (3, "app"), (4, "app")] {
        let mode = Rc::new(RefCell::new(ProxyMode::Open));
        let advertised = proxy(number, mode.clone()).await;
        let target = Target::start_at(NET, number, service, control.clone(), advertised).await;
        if service == "models" {
            models.push(target)
        } else {
            apps.push(target)
        }
        modes.push(mode);
    }
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
    let observed = SharedObserved::default();
    let mut tasks = Vec::new();
    for number in 0..6 {
        let rng = ChaCha8Rng::seed_from_u64(seed * 100 + number);
        tasks.push(tokio::task::spawn_local(caller(observed.clone(), entries.clone(), rng)));
    }
    let own = ChaCha8Rng::seed_from_u64(seed * 100 + 99);
    tasks.push(tokio::task::spawn_local(operator(observed.clone(), control.clone(), own)));
    inject_faults(&mut cluster, &modes, &apps, &mut rng, duration).await;
    // All faults are repaired: the acknowledged configuration is in force, and requests are served.
    let before = observed.borrow().acknowledged;
    for addr in &control {
        until(async || fetch(*addr).await.is_some_and(|read| read >= before)).await;
    }
    for kind in ["once", "read", "stream"] {
        let served = |observed: &Observed| {
            let is_served = |(attempt, answer): (&String, &(u16, Option<String>))| {
                attempt.starts_with(kind) && answer.0 == 200
            };
            observed.answers.iter().filter(|it| is_served(*it)).count()
        };
        let before_count = served(&observed.borrow());
        until(async || served(&observed.borrow()) >= before_count + 5).await;
    }
    observed.borrow_mut().stopped = true;
    for task in tasks {
        task.await.expect("no task panics");
    }
    check(seed, &observed.borrow(), &models, &apps);
    let served = observed.borrow().answers.values().filter(|it| it.0 == 200).count();
    println!("seed {seed}: {served} of {} served", observed.borrow().answers.len());
}

#[test]
fn guarantees_hold_under_random_faults() {
    let duration = Duration::from_secs(number("SOAK_SECONDS", 10));
    run_seeds("SOAK_SEEDS", async |seed| run_seed(seed, duration).await);
}
