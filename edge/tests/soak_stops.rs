//! A soak test of planned stops with real processes: random stops from fixed seeds, and checks of what
//! callers and targets observe.
//!
//! The default is a short run for every day; `STOP_SEEDS` (first-last) and `STOP_SECONDS` (per seed, until
//! the last round of stops begins) set longer ones. Up to all hosts are told to end at overlapping times,
//! once or twice, some with SIGHUP or frozen for a moment, beside new configurations, and start again.

mod common;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{
    CONTROL, Cluster, ENTRY, call, document,
    paced::{PacedTarget, Upload, events, large, parts},
    seeds::{number, run_seeds},
    stops::{GRACE, Observed, Sent, TIMEOUTS, check},
    until,
};
use http::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

const HOSTS: u8 = 5;
/// Networks that the seeds of a test take in turn, so that some can be run at the same time.
const NETS: u64 = 15;
const CALLERS: u64 = 48;
/// Callers of these that connect while a host closes its listener.
const CLOSING_CALLERS: u64 = 12;
/// Time from SIGTERM around which the listener closes, in milliseconds.
const CLOSING_MS: std::ops::Range<u64> = 2350..2650;

/// Routes and the numbers in their requests' paths, of long answers and of short ones.
const LONG: [(&str, u64); 5] =
    [("flow", 15), ("solo", 12), ("once", 8), ("read", 4), ("stream", 1)];
const SHORT: [(&str, u64); 2] = [("brief", 1), ("odd", 0)];

/// How long the answers on a route take.
#[derive(Clone, Copy)]
enum Lengths {
    Alike,
    Random,
}

impl Lengths {
    /// Returns the first network of the test with these answers.
    fn first_net(self) -> u8 {
        match self {
            Lengths::Alike => 36,
            Lengths::Random => 51,
        }
    }

    /// Returns a random route with the number in the request's path.
    fn draw(self, is_quick: bool, rng: &mut ChaCha8Rng) -> (&'static str, u64) {
        let (route, count) = match (self, is_quick) {
            (Lengths::Alike, true) => SHORT[rng.random_range(0..SHORT.len())],
            _ => LONG[rng.random_range(0..LONG.len())],
        };
        match self {
            Lengths::Alike => (route, count),
            Lengths::Random => (route, rng.random_range(0..if is_quick { 3 } else { 16 })),
        }
    }
}

type SharedObserved = Rc<RefCell<Observed>>;

/// Returns a configuration with two routes of streams that may not be resumed, and with timeouts and services of its
/// own for the routes that either target serves.
fn changed_document(version: u64, rng: &mut ChaCha8Rng) -> String {
    let mut document: Value = serde_json::from_str(&document(version)).expect("it is JSON");
    document["limits"]["headerTimeoutMs"] = json!(10_000);
    let routes = document["routes"].as_array_mut().expect("a list");
    let flow = routes.iter().find(|it| it["name"] == "flow").expect("it is there").clone();
    for name in ["solo", "brief"] {
        let mut route = flow.clone();
        route["name"] = json!(name);
        route["pathPrefix"] = json!(format!("/{name}/"));
        route["resumable"] = json!(false);
        routes.push(route);
    }
    routes.retain(|it| it["name"] != "split" || version.is_multiple_of(2));
    for route in routes {
        route["timeoutMs"] = json!(TIMEOUTS[rng.random_range(0..TIMEOUTS.len())]);
        if route["name"] != "stream" && route["name"] != "split" {
            route["service"] = json!(["odd", "app"][rng.random_range(0..2)]);
        }
    }
    document.to_string()
}

/// Puts configurations in force in quick succession, each at a random host.
async fn operator(control: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    for version in 10.. {
        let addr = control[rng.random_range(0..control.len())];
        let body = changed_document(version, &mut rng);
        let put = call(addr, Method::POST, platform::config::REPLACE_PATH, &[], &body);
        let _ = timeout(Duration::from_secs(2), put).await;
        sleep(Duration::from_millis(rng.random_range(50..800))).await;
    }
}

/// Sends one random request and records what it got. Returns whether the connection may be used again.
async fn request(
    observed: &SharedObserved,
    upload: &mut Upload,
    host: u8,
    (lengths, is_quick): (Lengths, bool),
    rng: &mut ChaCha8Rng,
) -> bool {
    let (route, count) = lengths.draw(is_quick, rng);
    let slow_ms = if is_quick { 0 } else { rng.random_range(0..8000) * rng.random_range(0..2) };
    let is_large = route == "read" && !is_quick && slow_ms == 0;
    let pause = Duration::from_millis(if is_large { rng.random_range(0..150) } else { 0 });
    let (whole, more) = match route {
        "flow" | "solo" | "brief" => (events(count), ""),
        _ if is_large => (large(), "large/"),
        _ => ("done".to_owned(), ""),
    };
    let path = format!("/{route}/{more}{count}");
    observed.borrow_mut().next += 1;
    let attempt = format!("{route}-{}", observed.borrow().next);
    let exchange = upload.exchange(parts(&path, &attempt, slow_ms, rng), pause).await;
    let goes_on = exchange.got.body.is_some() && !exchange.got.head.contains("connection: close");
    let plan = format!("{path}, sent over {slow_ms} ms, read with pauses of {pause:?}");
    observed.borrow_mut().sent.push(Sent { attempt, route, host, whole, plan, exchange });
    goes_on
}

/// Sends requests to random hosts, some of them on connections that it keeps for a while.
async fn caller(
    observed: SharedObserved,
    entries: Vec<SocketAddr>,
    lengths: Lengths,
    mut rng: ChaCha8Rng,
) {
    loop {
        let host = rng.random_range(1..=HOSTS);
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
        let Ok(mut upload) = Upload::connect(entries[usize::from(host) - 1]).await else {
            continue;
        };
        let (kept, is_quick) = (f64::from(rng.random_range(0..2)) * 0.9, rng.random_bool(0.5));
        while request(&observed, &mut upload, host, (lengths, is_quick), &mut rng).await
            && rng.random_bool(kept)
        {
            sleep(Duration::from_millis(rng.random_range(0..50))).await;
        }
    }
}

/// Connects while the listener of a host is closed, and sends at once or a moment later.
async fn closing_caller(
    observed: SharedObserved,
    entries: Vec<SocketAddr>,
    lengths: Lengths,
    mut rng: ChaCha8Rng,
) {
    let mut done = 0;
    loop {
        sleep(Duration::from_millis(20)).await;
        let Some((host, at)) = observed.borrow().stops.get(done).copied() else { continue };
        done += 1;
        let due = at + Duration::from_millis(rng.random_range(CLOSING_MS));
        sleep(due.saturating_duration_since(Instant::now())).await;
        let Ok(mut upload) = Upload::connect(entries[usize::from(host) - 1]).await else {
            continue;
        };
        sleep(Duration::from_millis(rng.random_range(0..150) * rng.random_range(0..2))).await;
        request(&observed, &mut upload, host, (lengths, true), &mut rng).await;
    }
}

/// Returns a random series of signals with their times, in order.
fn signals(rng: &mut ChaCha8Rng) -> Vec<(Duration, u8, &'static str)> {
    let mut signals = Vec::new();
    let count = [1, 1, 2, 2, 3, HOSTS][rng.random_range(0..6)];
    let first = rng.random_range(0..HOSTS);
    for number in 0..count {
        let host = (first + number) % HOSTS + 1;
        let mut add = |at, signal| signals.push((Duration::from_millis(at), host, signal));
        let at = rng.random_range(50..3000);
        add(at, "-TERM");
        match rng.random_range(0..7) {
            0 => add(at + rng.random_range(0..4000), "-TERM"),
            1 => add(at + rng.random_range(0..2000), "-HUP"),
            2 => add(at - rng.random_range(0..50), "-HUP"),
            3 => {
                let frozen_at = at + rng.random_range(0..5000);
                add(frozen_at, "-STOP");
                add(frozen_at + rng.random_range(100..800), "-CONT");
            }
            _ => {}
        }
    }
    let host = rng.random_range(1..=HOSTS);
    signals.push((Duration::from_millis(rng.random_range(0..4000)), host, "-HUP"));
    signals.sort();
    signals
}

/// Sends a series of signals, and starts the processes again that end.
async fn play(cluster: &mut Cluster, observed: &SharedObserved, rng: &mut ChaCha8Rng) {
    let begin = Instant::now();
    let mut signals = signals(rng).into_iter().peekable();
    let (mut stopping, mut frozen) = (BTreeMap::new(), BTreeMap::new());
    let mut restarted = Vec::new();
    while signals.peek().is_some() || !stopping.is_empty() {
        while let Some((_, host, signal)) = signals.next_if(|it| begin.elapsed() >= it.0) {
            let now = Instant::now();
            // A new process may not handle signals yet.
            if restarted.contains(&host) {
                continue;
            }
            match signal {
                "-TERM" if !stopping.contains_key(&host) => {
                    stopping.insert(host, now);
                    observed.borrow_mut().stops.push((host, now));
                }
                "-STOP" => drop(frozen.insert(host, now)),
                _ => {}
            }
            cluster.signal(host, signal);
            if signal == "-CONT"
                && let Some(from) = frozen.remove(&host)
            {
                observed.borrow_mut().freezes.push((host, from, Instant::now()));
            }
        }
        stopping.retain(|host, at| {
            let exited = cluster.exited(*host);
            if exited.is_none() && at.elapsed() < GRACE {
                return true;
            }
            if exited != Some(true) {
                let what = format!("host {host}: {exited:?} {:?} after SIGTERM", at.elapsed());
                observed.borrow_mut().findings.push(what);
                cluster.kill(*host);
            }
            cluster.start_host(*host);
            restarted.push(*host);
            false
        });
        sleep(Duration::from_millis(10)).await;
    }
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
}

async fn run_seed(lengths: Lengths, seed: u64, duration: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let net = lengths.first_net() + (seed % NETS) as u8;
    let mut cluster = Cluster::start(net, HOSTS);
    cluster.configure(1, &changed_document(3, &mut rng)).await;
    let control: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
    let entries: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, ENTRY)).collect();
    let mut targets = Vec::new();
    for (number, service) in [(1, "odd"), (2, "app"), (3, "odd"), (4, "app")] {
        targets.push(PacedTarget::start(net, number, service, control.clone()).await);
    }
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
    let observed = SharedObserved::default();
    let own = |number| ChaCha8Rng::seed_from_u64(seed * 100 + number);
    let mut tasks: Vec<JoinHandle<()>> = vec![spawn_local(operator(control, own(99)))];
    for number in 0..CALLERS {
        let (observed, entries) = (observed.clone(), entries.clone());
        tasks.push(match number < CLOSING_CALLERS {
            true => spawn_local(closing_caller(observed, entries, lengths, own(number))),
            false => spawn_local(caller(observed, entries, lengths, own(number))),
        });
    }
    let end = Instant::now() + duration;
    while Instant::now() < end {
        play(&mut cluster, &observed, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    }
    // All hosts have started again, and serve.
    for host in 1..=HOSTS {
        let is_served = |it: &Sent| it.host == host && it.exchange.got.status == Some(200);
        let served = || observed.borrow().sent.iter().filter(|it| is_served(it)).count();
        let before = served();
        until(async || served() > before).await;
    }
    for task in tasks {
        task.abort();
        assert!(task.await.is_err_and(|it| it.is_cancelled()), "no task ends by itself");
    }
    cluster.assert_running();
    check(seed, &mut observed.borrow_mut(), &targets);
}

fn play_seeds(lengths: Lengths) {
    let duration = Duration::from_secs(number("STOP_SECONDS", 8));
    run_seeds("STOP_SEEDS", async |seed| run_seed(lengths, seed, duration).await);
}

/// Guards against requests that a planned stop of their host cuts off, loses or repeats. Load pattern: whole
/// and slow requests of up to 8 s, by length and in chunks, on new and kept connections, some opened while
/// the listener closes; answers of up to 4.5 s, some taken slowly, that take as long as the others on their
/// route.
#[test]
fn planned_stops_cut_no_request_off() {
    play_seeds(Lengths::Alike);
}

/// Guards against a host that takes the answers that it has seen end for all that may come, and sends requests
/// on in a stop whose answers take longer. Load pattern: the same, with answers of 0 to 4.5 s on each route.
#[test]
fn planned_stops_cut_no_answer_of_random_length_off() {
    play_seeds(Lengths::Random);
}
