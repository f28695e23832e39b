//! The cases of the review that can't be put as a day. Usage: standin CASE RECORD, with TROUBLE=0 for a
//! run without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod cluster;
mod engine;
mod http;
mod replica;

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread::{self, JoinHandle, sleep},
    time::Duration,
};

use cluster::{Cluster, Layout, Record, SMALL, unix_ms};
use engine::{Engine, SLOTS};
use http::call;
use replica::{Replica, Run};

const HOSTS: [u8; 3] = [1, 2, 3];
/// `bounds.drainMs` in the machines' settings.
const DRAIN: Duration = Duration::from_millis(2000);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns a configuration with an unsafe route to `booking` and a safe one to `lookup`.
fn document(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\"routeType\":\
             \"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":150,\"priority\":2,\
             \"service\":\"{service}\",\"maxAttempts\":2,\"sessionAffinity\":false,\
             \"resumable\":false,\"gapTargetMs\":0}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":130,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("book", "unsafe", "booking"),
        route("look", "safe", "lookup"),
        service("booking"),
        service("lookup"),
    )
}

/// The answer that a consumer got, or 0 if the channel ended without one.
struct Got {
    attempt: String,
    status: u16,
    body: String,
}

/// Sends one request of a consumer.
fn request(record: &Record, to: SocketAddr, path: &str, deadline_ms: u64) -> Got {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let attempt = format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let method = if path.starts_with("/book/") { "POST" } else { "GET" };
    let body = if method == "POST" { "a fitting" } else { "" };
    let deadline = deadline_ms.to_string();
    let headers =
        [("Host", "a.example"), ("Attempt-Id", attempt.as_str()), ("Deadline-Ms", &deadline)];
    record.note(&format!("consumer sends {attempt} {method} {path} to {to}"));
    let sent = record.now();
    let answer = call(to, method, path, &headers, body, ms(deadline_ms));
    let took = record.now() - sent;
    let (status, body) = match answer {
        Ok(it) if it.complete => (it.status(), String::from_utf8_lossy(&it.body).into_owned()),
        Ok(_) | Err(_) => (0, String::new()),
    };
    record.note(&format!(
        "consumer gets {status} for {attempt} after {} ms: {body}",
        took.as_millis()
    ));
    Got { attempt, status, body }
}

/// Sends a request every `gap` to one of `to` after the other, until it is stopped.
struct Load {
    stop: Arc<AtomicBool>,
    sender: JoinHandle<Vec<Got>>,
}

impl Load {
    fn start(record: &Record, to: Vec<SocketAddr>, path: &str, gap: Duration) -> Load {
        let (record, path) = (record.clone(), path.to_owned());
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sender = thread::spawn(move || {
            let mut waiting = Vec::new();
            for number in 0.. {
                if stopped.load(SeqCst) {
                    break;
                }
                let (record, to) = (record.clone(), to[number % to.len()]);
                let path = format!("{path}{number}");
                waiting.push(thread::spawn(move || request(&record, to, &path, 2500)));
                sleep(gap);
            }
            waiting.into_iter().filter_map(|it| it.join().ok()).collect()
        });
        Load { stop, sender }
    }

    fn finish(self) -> Vec<Got> {
        self.stop.store(true, SeqCst);
        self.sender.join().unwrap_or_default()
    }
}

/// Why a case could not run.
type Failure = &'static str;

/// Starts three machines, puts a configuration in force, and starts two replicas of each service.
fn start_all(cluster: &mut Cluster) -> Result<Vec<Arc<Replica>>, Failure> {
    for host in HOSTS {
        if !cluster.start(host, true) {
            return Err("a machine could not be started");
        }
    }
    let mut replicas = Vec::new();
    for (last, id, service, zone, work) in [
        (101, "i-b1", "booking", "z1", 200),
        (102, "i-b2", "booking", "z2", 200),
        (103, "i-l1", "lookup", "z1", 30),
        (104, "i-l2", "lookup", "z2", 30),
    ] {
        let addr = cluster.addr(last, 8080);
        let (record, control) = (&cluster.record, cluster.control());
        let replica = Replica::start(record, id, service, addr, zone, ms(work), control);
        replicas.push(replica.ok_or("a replica could not be started")?);
    }
    cluster.replace(&HOSTS, &document(1, 2500), ms(25_000)).ok_or("no configuration in force")?;
    if !cluster.wait_ready(&HOSTS, ms(15_000)) {
        return Err("the machines did not become ready");
    }
    // Until every machine knows the replicas.
    for host in HOSTS {
        let to = cluster.addr(host, cluster.ports.frontend);
        for path in ["/book/first", "/look/first"] {
            let served = (0..40).any(|_| {
                let got = request(&cluster.record, to, path, 2500);
                sleep(ms(if got.status == 200 { 0 } else { 250 }));
                got.status == 200
            });
            if !served {
                return Err("requests are not served");
            }
        }
    }
    // Machines are in touch, and pings have reached all of them.
    sleep(ms(4000));
    Ok(replicas)
}

/// Returns a configuration with a streaming route to `models`, whose replicas hold a few adapters.
fn engine_document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"write\",\"host\":\"a.example\",\"pathPrefix\":\
         \"/write/\",\"routeType\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":1000,\
         \"priority\":1,\"service\":\"models\",\"maxAttempts\":1,\"sessionAffinity\":true,\
         \"resumable\":false,\"gapTargetMs\":300}}],\"services\":[{{\"name\":\"models\",\"healthPath\":\
         \"/healthz\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":131196,\"models\":[{{\"name\":\"m\",\"weightsMb\":42700.0,\"loadS\":2.5,\
         \"adapters\":3000,\"adapterMb\":66.0}}],\"weightsMb\":45000.0,\"adapterSlots\":{SLOTS},\
         \"loadsPerS\":2.9}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Requests of consumers for 60 adapters, at all machines in turn. They count what got no answer.
struct Prompts {
    stop: Arc<AtomicBool>,
    sender: JoinHandle<usize>,
}

impl Prompts {
    fn start(record: &Record, to: Vec<SocketAddr>) -> Prompts {
        let record = record.clone();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sender = thread::spawn(move || {
            let mut waiting = Vec::new();
            for number in 0.. {
                if stopped.load(SeqCst) {
                    break;
                }
                let (record, to) = (record.clone(), to[number % to.len()]);
                waiting.push(thread::spawn(move || prompt(&record, to, number)));
                sleep(ms(25));
            }
            waiting.into_iter().map(|it| it.join().unwrap_or(0)).sum()
        });
        Prompts { stop, sender }
    }

    fn finish(self) -> usize {
        self.stop.store(true, SeqCst);
        self.sender.join().unwrap_or_default()
    }
}

/// Sends one request for an adapter. Returns 1 if it ended without a whole answer or with a 502.
fn prompt(record: &Record, to: SocketAddr, number: usize) -> usize {
    let attempt = format!("{:08x}{number:08x}", std::process::id());
    let adapter = number * 7 % 60;
    let (model, prefix) = (format!("m/a{adapter}"), format!("{adapter:x}:100,{number:x}:50"));
    let headers = [
        ("Host", "a.example"),
        ("Attempt-Id", attempt.as_str()),
        ("Model", model.as_str()),
        ("Token-Usage", "150,20"),
        ("Prompt-Prefix", prefix.as_str()),
        ("Deadline-Ms", "10000"),
    ];
    record.note(&format!("consumer sends {attempt} for {model} to {to}"));
    let answer = call(to, "POST", "/write/", &headers, "a sketch", ms(10_000));
    let status = answer.map_or(0, |it| if it.complete { it.status() } else { 0 });
    record.note(&format!("consumer gets {status} for {attempt}"));
    usize::from(status == 0 || status == 502)
}

/// One of three replicas hands out a few of its answers a second time, for at most 5 s.
fn second_copy(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    for host in HOSTS {
        if !cluster.start(host, true) {
            return Err("a machine could not be started");
        }
    }
    let record = cluster.record.clone();
    let mut engines = Vec::new();
    for (last, id, zone) in [(101, "i-1", "z1"), (102, "i-2", "z2"), (103, "i-3", "z3")] {
        let addr = cluster.addr(last, 8080);
        let engine = Engine::start(&record, id, addr, zone, cluster.control());
        engines.push(engine.ok_or("a replica could not be started")?);
    }
    cluster.replace(&HOSTS, &engine_document(1), ms(25_000)).ok_or("no configuration in force")?;
    if !cluster.wait_ready(&HOSTS, ms(15_000)) {
        return Err("the machines did not become ready");
    }
    sleep(ms(4000));
    let load = Prompts::start(&record, frontends(cluster));
    sleep(ms(6000));
    // Again after a while, unless a replica has crashed.
    for _ in 0..10 {
        engines[1].faulty.store(trouble, SeqCst);
        sleep(ms(5000));
        engines[1].faulty.store(false, SeqCst);
        if engines.iter().any(|it| it.has_crashed()) {
            break;
        }
        sleep(ms(1500));
    }
    sleep(ms(1000));
    let (answers, doubled) = engines[1].doubled();
    record.note(&format!("i-2 handed out {doubled} of {answers} answers a second time"));
    let crashed = engines.iter().filter(|it| it.has_crashed()).count();
    let lost = load.finish();
    record.note(&format!("LIMIT: {crashed} replicas crashed; {lost} requests got no whole answer"));
    Ok(crashed > 0)
}

fn frontends(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.layout.hosts.iter().map(|&host| cluster.addr(host, cluster.ports.frontend)).collect()
}

/// Counts the requests that reached a replica later than the bound after `acked`.
fn late_runs(record: &Record, replica: &Replica, acked: Duration) -> Vec<Run> {
    let mut late = replica.runs.lock().unwrap().clone();
    late.retain(|it| it.at > acked + DRAIN);
    if let Some(first) = late.first() {
        let after = (first.at - acked).as_millis();
        record.note(&format!(
            "DRAIN: {} requests reached {} later than {} ms after it was acknowledged to be gone; the \
             first, {}, {after} ms after it, from {}",
            late.len(),
            replica.id,
            DRAIN.as_millis(),
            first.attempt,
            first.from
        ));
    }
    late
}

/// Reports the requests among `late` that got no answer of the replica.
fn lost(record: &Record, got: &[Got], late: &[Run]) {
    let mut lost = 0;
    for it in got.iter().filter(|it| it.status != 200) {
        if late.iter().any(|run| run.attempt == it.attempt) {
            lost += 1;
            record.note(&format!(
                "{} was run by the leaving replica, and got {}",
                it.attempt, it.status
            ));
        }
    }
    record.note(&format!("{lost} requests were lost when the replica exited"));
}

/// A replica's pings are cut off for 5 s, so that the machines drop it; it then deregisters, and a
/// ping that the cut delayed arrives after that.
fn gone_unknown(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    let replicas = start_all(cluster)?;
    let record = cluster.record.clone();
    let leaving = &replicas[0];
    let before = Load::start(&record, frontends(cluster), "/book/", ms(100));
    sleep(ms(1500));
    before.finish();
    let delayed;
    if trouble {
        leaving.beats.store(false, SeqCst);
        record.note("the path from i-b1 to the control addresses is cut");
        sleep(ms(3800));
        delayed = leaving.next_ping();
        record.note("i-b1 sends a ping that the cut holds up");
        sleep(ms(1200));
        record.note("the cut heals");
    } else {
        sleep(ms(3800));
        delayed = leaving.next_ping();
        sleep(ms(1200));
        leaving.beats.store(false, SeqCst);
        sleep(ms(1100));
    }
    let to = cluster.addr(1, cluster.ports.control);
    if !leaving.deregister(to) {
        return Err("the deregistration was not acknowledged");
    }
    let acked = record.now();
    record.note(&format!(
        "machine 1 acknowledges that i-b1 (sequence {}) is gone",
        leaving.sequence()
    ));
    sleep(ms(2200));
    let answered = leaving.send(cluster.addr(2, cluster.ports.control), &delayed);
    record
        .note(&format!("the delayed ping of i-b1 arrives at machine 2, acknowledged: {answered}"));
    // Machines are in touch with each other all the while; the cut healed more than contactMs ago
    // when these are sent.
    sleep(ms(1200));
    let load = Load::start(&record, frontends(cluster), "/book/", ms(20));
    sleep(ms(2500));
    leaving.exit();
    sleep(ms(1000));
    let got = load.finish();
    let late = late_runs(&record, leaving, acked);
    lost(&record, &got, &late);
    Ok(!late.is_empty())
}

/// A replica deregisters; then the processes of all machines are killed at the same moment and come
/// back, and a ping that was sent before arrives late.
fn forgotten(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    let replicas = start_all(cluster)?;
    let record = cluster.record.clone();
    let leaving = &replicas[0];
    let before = Load::start(&record, frontends(cluster), "/book/", ms(100));
    sleep(ms(1500));
    before.finish();
    leaving.beats.store(false, SeqCst);
    sleep(ms(1100));
    let delayed = leaving.next_ping();
    record.note("i-b1 sends a ping that is late");
    sleep(ms(400));
    let to = cluster.addr(1, cluster.ports.control);
    if !leaving.deregister(to) {
        return Err("the deregistration was not acknowledged");
    }
    let acked = record.now();
    record.note("machine 1 acknowledges that i-b1 is gone");
    sleep(ms(300));
    if trouble {
        cluster.kill_all(&HOSTS);
        sleep(ms(500));
        for host in HOSTS {
            cluster.start(host, false);
        }
    } else {
        sleep(ms(500));
    }
    let back = record.now();
    if !cluster.wait_ready(&HOSTS, ms(12_000)) {
        return Err("the machines did not come back");
    }
    // Machines are in touch `contactMs` after they are back.
    sleep((back + ms(3500)).saturating_sub(record.now()));
    let answered = leaving.send(cluster.addr(2, cluster.ports.control), &delayed);
    record.note(&format!("the late ping of i-b1 arrives at machine 2, acknowledged: {answered}"));
    sleep(ms(300));
    let load = Load::start(&record, frontends(cluster), "/book/", ms(20));
    sleep(ms(2500));
    leaving.exit();
    sleep(ms(1000));
    let got = load.finish();
    let late = late_runs(&record, leaving, acked);
    lost(&record, &got, &late);
    Ok(!late.is_empty())
}

/// Another writer sends a ping under the id of a replica; fields are missing in it, and it names
/// another service.
fn other_writer(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    let replicas = start_all(cluster)?;
    let record = cluster.record.clone();
    let named = &replicas[0];
    let load = Load::start(&record, frontends(cluster), "/look/", ms(50));
    sleep(ms(1000));
    if trouble {
        // No `version`, `slots`, `coldRemainingMs` and `sequence`.
        let body = format!(
            "{{\"service\":\"lookup\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\",\"born\":{}}}",
            named.addr,
            named.zone,
            unix_ms()
        );
        let answered = named.send(cluster.addr(1, cluster.ports.control), &body);
        record.note(&format!(
            "another writer sends under the id i-b1: {body}, acknowledged: {answered}"
        ));
    }
    sleep(ms(8000));
    let got = load.finish();
    let runs = named.runs.lock().unwrap().clone();
    let foreign: Vec<&Run> = runs.iter().filter(|it| it.path.starts_with("/look/")).collect();
    let answers =
        got.iter().filter(|it| it.status == 200 && it.body.contains("of booking")).count();
    record.note(&format!(
        "ROUTE: i-b1, a replica of booking, ran {} requests of the route to lookup; {answers} consumers \
         got its answer",
        foreign.len()
    ));
    Ok(!foreign.is_empty())
}

/// Two of three machines end right after the first start; the third acknowledges a configuration alone
/// and then loses its disk.
fn one_disk(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    for host in HOSTS {
        if !cluster.start(host, true) {
            return Err("a machine could not be started");
        }
    }
    sleep(ms(500));
    let record = cluster.record.clone();
    if trouble {
        cluster.kill_all(&[2, 3]);
    }
    let document = document(7, 2500);
    let hosts: &[u8] = if trouble { &[1] } else { &HOSTS };
    let Some(host) = cluster.replace(hosts, &document, ms(25_000)) else {
        record.note("no machine acknowledged the configuration: nothing was promised");
        return Ok(false);
    };
    let acked = record.now();
    if trouble {
        cluster.kill(host);
        cluster.wipe(host);
        sleep(ms(1000));
        for host in HOSTS {
            cluster.start(host, false);
        }
    }
    let back = record.now();
    let ready = cluster.wait_ready(&HOSTS, ms(20_000));
    record.note(&format!("all machines are ready: {ready}"));
    // After `recoveryS` and `contactMs`, the operator reads back repeatedly for `contactMs`.
    sleep((back + ms(15_000)).saturating_sub(record.now()));
    let mut held = false;
    let until = record.now() + ms(4000);
    while record.now() < until {
        for host in HOSTS {
            let read = cluster.fetch(host);
            let text = read.map(|it| (it.status(), String::from_utf8_lossy(&it.body).into_owned()));
            let shown = match &text {
                Ok((status, body)) => {
                    held |= *status == 200 && body == &document;
                    format!("{status} {}", body.chars().take(60).collect::<String>())
                }
                Err(error) => error.to_string(),
            };
            record.note(&format!("Config.Fetch at {host}: {shown}"));
        }
        sleep(ms(500));
    }
    let after = (record.now() - acked).as_secs_f64();
    record.note(&format!("read back {after:.1} s after its acknowledgement: {held}"));
    Ok(!held)
}

/// The machine with the lowest address ends half a second after the first start and is back after 3.5 s.
/// The other two run all the while.
fn no_founder(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    for host in HOSTS {
        if !cluster.start(host, true) {
            return Err("a machine could not be started");
        }
    }
    let record = cluster.record.clone();
    let addr = cluster.addr(101, 8080);
    Replica::start(&record, "i-b1", "booking", addr, "z1", ms(30), cluster.control())
        .ok_or("a replica could not be started")?;
    sleep(ms(500));
    if trouble {
        cluster.kill(1);
        sleep(ms(3500));
        cluster.start(1, false);
    }
    let back = record.now();
    let acked = cluster.replace(&HOSTS, &document(1, 2500), ms(60_000));
    // `ackMs` (4 s) after the core was stable again, `contactMs` (3 s) after the start.
    let took = (record.now() - back).as_secs_f64();
    match acked {
        Some(_) => {
            record.note(&format!("the first configuration is acknowledged after {took:.1} s"))
        }
        None => record.note(&format!("no machine acknowledges a configuration for {took:.1} s")),
    }
    let mut served = 0;
    for number in 0..30 {
        let to = frontends(cluster)[number % 3];
        served += usize::from(request(&record, to, &format!("/book/{number}"), 2500).status == 200);
        sleep(ms(200));
    }
    for host in HOSTS {
        record.note(&format!("machine {host} is ready: {}", cluster.is_ready(host)));
    }
    record.note(&format!("{served} of 30 requests are served"));
    // The operator reads back repeatedly for at least `contactMs`.
    let mut came = false;
    let until = record.now() + ms(4000);
    while record.now() < until {
        for host in HOSTS {
            let status = cluster.fetch(host).map_or(0, |it| it.status());
            came |= status == 200;
            record.note(&format!("Config.Fetch at {host}: {status}"));
        }
        sleep(ms(500));
    }
    record.note(&format!("the configuration is read back: {came}"));
    Ok(acked.is_none() && served == 0 && !came)
}

/// Machines without a disk have the lowest addresses and are the seeds.
const MIXED: Layout = Layout { hosts: &[1, 2, 3, 4, 5, 6], disks: &[4, 5, 6], seeds: &[1, 2, 3] };

/// Starts the whole system for the first time, up to three times; each time one machine with a disk stands
/// still for 1.45 s as it starts.
fn two_groups(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    let hosts = cluster.layout.hosts;
    for start in 1..=3 {
        cluster.record.note(&format!("first start, number {start}, with empty disks"));
        if start_frozen(cluster, trouble)? {
            return Ok(true);
        }
        cluster.kill_all(hosts);
        for &host in cluster.layout.disks {
            cluster.wipe(host);
        }
    }
    Ok(false)
}

/// Starts the system, changes the configuration and reads it. Returns whether a read was answered with an
/// older version than the acknowledged one.
fn start_frozen(cluster: &mut Cluster, trouble: bool) -> Result<bool, Failure> {
    for host in [1, 2, 3, 5, 6, 4] {
        if !cluster.start(host, true) {
            return Err("a machine could not be started");
        }
    }
    let record = cluster.record.clone();
    if trouble {
        cluster.freeze(4, true);
    }
    sleep(ms(1450));
    if trouble {
        cluster.freeze(4, false);
    }
    let hosts = cluster.layout.hosts;
    cluster.replace(hosts, &document(1, 2500), ms(25_000)).ok_or("no configuration in force")?;
    // `contactMs` and more: all machines are in touch, and the core is stable.
    sleep(ms(5000));
    let mut stale = 0;
    for version in 2..=5 {
        let mut order = hosts.to_vec();
        order.rotate_left(version as usize % hosts.len());
        if cluster.replace(&order, &document(version, 2500), ms(4000)).is_none() {
            record.note(&format!("version {version} is not acknowledged"));
            continue;
        }
        // Later than `configApplyMs` after the acknowledgement.
        sleep(ms(2200));
        stale += stale_reads(cluster, version);
    }
    record.note(&format!("CONFIG: {stale} reads got an older version than the acknowledged one"));
    Ok(stale > 0)
}

/// Reads the configuration at all machines, and counts the answers with an older version.
fn stale_reads(cluster: &Cluster, acked: u64) -> usize {
    let mut stale = 0;
    for &host in cluster.layout.hosts {
        let Ok(read) = cluster.fetch(host) else { continue };
        let text = String::from_utf8_lossy(&read.body).into_owned();
        let number = text.strip_prefix("{\"version\":").and_then(|it| it.split(',').next());
        let number: Option<u64> = number.and_then(|it| it.parse().ok());
        let is_stale = read.status() == 200 && number.is_some_and(|it| it < acked);
        stale += usize::from(is_stale);
        let what =
            if is_stale { format!(", though {acked} is acknowledged") } else { String::new() };
        let status = read.status();
        cluster.record.note(&format!("Config.Fetch at {host}: {status}, version {number:?}{what}"));
    }
    stale
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("could not write {path}");
        return ExitCode::from(2);
    };
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let layout = if case == "two-groups" { MIXED } else { SMALL };
    let Some(mut cluster) = Cluster::new(&record, layout) else {
        eprintln!("no free loopback addresses");
        return ExitCode::from(2);
    };
    let result = match case.as_str() {
        "gone-unknown" => gone_unknown(&mut cluster, trouble),
        "forgotten" => forgotten(&mut cluster, trouble),
        "other-writer" => other_writer(&mut cluster, trouble),
        "no-founder" => no_founder(&mut cluster, trouble),
        "two-groups" => two_groups(&mut cluster, trouble),
        "second-copy" => second_copy(&mut cluster, trouble),
        "one-disk" => one_disk(&mut cluster, trouble),
        _ => Err("no such case"),
    };
    let all_run = cluster.all_run();
    cluster.copy_logs(&["\"target_silent\"", "\"target\"", "\"alarm\"", "\"leader\""]);
    let code = match result {
        Ok(_) if !all_run => (2, "could not run: a machine ended by itself"),
        Ok(true) => (1, "the rule was broken"),
        Ok(false) => (0, "the rule held"),
        Err(why) => (2, why),
    };
    record.note(code.1);
    println!("{case}: {}", code.1);
    ExitCode::from(code.0)
}
