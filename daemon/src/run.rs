//! Start, operation and shutdown of the daemon.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use api::PublishKey;
use decl::Settings;
use futures::future::{BoxFuture, select_all};
use node::{Input, Node, Start};
use peer::Hub;
use rand::Rng;
use replog::Recovered;
use slog::{Logger, info, warn};
use store::Disk;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use web::{Server, TargetClient};
use wire::{DiskId, HostId};

use crate::{
    callers::Callers, disk::DiskQueue, error::DaemonError, handlers::Handlers, host::Host,
    host::wall_clock_ms, logger::logger, metrics::Metrics, options::Options, shards::Shards,
};

const MAX_WORKERS: usize = 4;
/// Interval of the node's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time beyond the configured drain time after which a shutdown is cut short.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Time limit of each step after the last request: closing connections once the drain time is over,
/// flushing messages to peers and ending the runtime.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the listeners to accept what waits for them before they close, and how much later its end
/// may come. If it comes later, the process stood still, and more connections wait.
const ACCEPT_TIME: Duration = Duration::from_millis(20);
const ACCEPT_DELAY: Duration = Duration::from_millis(10);

/// The identity of a data folder holds the host's number from this bit on and random bits below it.
const DISK_ID_HOST_SHIFT: u32 = 48;
const DISK_ID_RANDOM_MASK: u64 = (1 << DISK_ID_HOST_SHIFT) - 1;

/// Keys read from the key files of the settings.
struct Keys {
    /// Key shared by all hosts; empty without a key file.
    peer: Vec<u8>,
    /// Key that authenticates publishes; `None` if they are not checked.
    publish: Option<PublishKey>,
}

/// Runs the daemon until a signal ends it. Returns an error if it can't start or a task ends early.
pub(crate) fn run(options: &Options) -> Result<ExitCode, DaemonError> {
    let settings = read_settings(&options.config)?;
    let keys = Keys { peer: read_peer_key(&settings)?, publish: read_publish_key(&settings)? };
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let workers = options.workers.unwrap_or(cores.min(MAX_WORKERS)).max(1);
    let (log, guard) = logger(&settings);
    let runtime = Builder::new_multi_thread().worker_threads(workers).enable_all().build()?;
    let result = runtime.block_on(serve(settings, keys, workers, log));
    runtime.shutdown_timeout(CLOSE_TIMEOUT);
    drop(guard);
    result
}

fn read(path: &Path) -> Result<Vec<u8>, DaemonError> {
    fs::read(path).map_err(|source| DaemonError::Read { path: path.to_owned(), source })
}

fn read_settings(path: &Path) -> Result<Settings, DaemonError> {
    let bytes = read(path)?;
    let text = String::from_utf8_lossy(&bytes);
    Settings::parse(&path.to_string_lossy(), &text).map_err(DaemonError::Settings)
}

fn read_peer_key(settings: &Settings) -> Result<Vec<u8>, DaemonError> {
    let Some(path) = &settings.key_file else { return Ok(Vec::new()) };
    Ok(read(path)?.trim_ascii().to_vec())
}

fn read_publish_key(settings: &Settings) -> Result<Option<PublishKey>, DaemonError> {
    let Some(path) = &settings.publish_key_file else { return Ok(None) };
    let key = PublishKey::new(&read(path)?);
    key.map(Some).ok_or_else(|| DaemonError::EmptyKey { path: path.to_owned() })
}

/// Creates the identity of a new data folder.
fn new_disk_id(host: HostId) -> DiskId {
    let random: u64 = rand::rng().random();
    (u64::from(host) << DISK_ID_HOST_SHIFT) | (random & DISK_ID_RANDOM_MASK)
}

/// A voter's open data folder and the state recovered from it.
type OpenedDisk = (Box<dyn Disk>, Recovered);

fn open_disk(settings: &Settings) -> Result<Option<OpenedDisk>, DaemonError> {
    let Some(dir) = &settings.data_dir else { return Ok(None) };
    Ok(Some(store::open(dir, new_disk_id(settings.host))?))
}

/// Starts the host and its servers, waits for a signal and shuts down. The exit code is a failure if
/// the shutdown was cut short.
async fn serve(
    settings: Settings,
    keys: Keys,
    workers: usize,
    log: Logger,
) -> Result<ExitCode, DaemonError> {
    let mut signals = Signals::new()?;
    let drain = settings.timing.drain;
    let unchecked = keys.publish.is_none();
    let (exit, mut exited) = unbounded_channel();
    let (host, mut tasks) = start_host(settings, keys, workers, log.clone(), exit).await?;
    let server = start_server(&host, &log)?;
    tasks.push(tokio::spawn(tick(host.clone())));
    info!(log, "started"; "workers" => workers);
    if unchecked {
        warn!(log, "without publish_key_file anyone who reaches the operator port may publish");
    }
    tokio::select! {
        () = signals.next() => {}
        _ = select_all(tasks) => return Err(DaemonError::Worker),
    }
    let drained = Instant::now() + drain;
    host.shards.send(Input::Shutdown).await;
    let cut = wait_for_exit(&mut signals, &mut exited, drain + DRAIN_GRACE).await;
    let (cut, code) = match cut {
        Some(cut) => (cut, close(server, &mut signals, drained, &log).await),
        None => (host.callers.count() as u32, ExitCode::FAILURE),
    };
    host.hub.flush(CLOSE_TIMEOUT).await;
    info!(log, "ended"; "cut_requests" => cut);
    Ok(code)
}

async fn start_host(
    settings: Settings,
    keys: Keys,
    workers: usize,
    log: Logger,
    exit: tokio::sync::mpsc::UnboundedSender<u32>,
) -> Result<(Arc<Host>, Vec<JoinHandle<()>>), DaemonError> {
    let (disk, recovered) = open_disk(&settings)?.unzip();
    let start = Instant::now();
    let incarnation = wall_clock_ms();
    let (shards, receivers) = Shards::new(workers);
    let inbox = Arc::new(shards.clone());
    let peers: BTreeMap<_, _> = settings.peers.iter().map(|peer| (peer.host, peer.ip)).collect();
    let config = peer::Config {
        host: settings.host,
        incarnation,
        peers: peer::Peers::Listed(peers),
        port: settings.peer_port,
        key: keys.peer,
    };
    let hub = Hub::start(config, inbox.clone()).await?;
    let disk = match disk {
        Some(disk) => Some(DiskQueue::start(disk, shards.clone())?),
        None => None,
    };
    let start_state = Start { incarnation, recovered, wall_ms: incarnation };
    let (node, outputs) = Node::new(start.elapsed(), settings.clone(), start_state);
    let metrics = Arc::new(Metrics::new());
    let host = Arc::new(Host {
        targets: TargetClient::new(start, inbox),
        settings,
        publish_key: keys.publish,
        start,
        node,
        hub,
        shards,
        callers: Callers::new(metrics.clone()),
        publishes: Mutex::new(HashMap::new()),
        disk,
        metrics,
        log,
        exit,
    });
    host.execute(outputs);
    let mut tasks = Vec::with_capacity(workers + 1);
    for receiver in receivers {
        tasks.push(tokio::spawn(host.clone().run_worker(receiver)));
    }
    Ok((host, tasks))
}

fn start_server(host: &Arc<Host>, log: &Logger) -> Result<Server, DaemonError> {
    let settings = &host.settings;
    let entry = SocketAddr::new(settings.ip, settings.entry_port);
    let operator = SocketAddr::new(settings.ip, settings.operator_port);
    let handlers = Arc::new(Handlers(host.clone()));
    let server_log = errors_only(log);
    Ok(Server::start((entry, handlers.clone()), (operator, handlers), &server_log)?)
}

/// Returns a logger for the servers that passes only errors: a line for each request is too much.
fn errors_only(log: &Logger) -> Logger {
    use slog::Drain;
    let drain = slog::LevelFilter::new(log.clone(), slog::Level::Error).ignore_res();
    Logger::root(drain, slog::o!())
}

async fn tick(host: Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        host.shards.offer(Input::Tick { wall_ms: wall_clock_ms() });
    }
}

/// The signals that end the daemon: SIGTERM and SIGINT.
struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        let term = signal(SignalKind::terminate())?;
        Ok(Signals { term, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next signal.
    async fn next(&mut self) {
        let waits: [BoxFuture<'_, Option<()>>; 2] =
            [Box::pin(self.term.recv()), Box::pin(self.interrupt.recv())];
        select_all(waits).await;
    }
}

/// Closes the servers and waits until the requests that callers are still sending are answered, at
/// most until the drain time is over. Returns the exit code: a failure if another signal comes first.
async fn close(server: Server, signals: &mut Signals, drained: Instant, log: &Logger) -> ExitCode {
    let limit = drained.saturating_duration_since(Instant::now()).max(CLOSE_TIMEOUT);
    let closing = async {
        accept_waiting().await;
        server.close().await;
    };
    tokio::select! {
        result = timeout(limit, closing) => {
            if result.is_err() {
                warn!(log, "connections stayed open"; "after_ms" => limit.as_millis() as u64);
            }
            ExitCode::SUCCESS
        }
        () = signals.next() => ExitCode::FAILURE,
    }
}

/// Lets the listeners accept the connections that the kernel holds for them: closing a listener resets
/// these. Waits at most half of [`CLOSE_TIMEOUT`], which leaves the rest for closing them.
async fn accept_waiting() {
    let waiting = async {
        loop {
            let since = Instant::now();
            sleep(ACCEPT_TIME).await;
            if since.elapsed() < ACCEPT_TIME + ACCEPT_DELAY {
                return;
            }
        }
    };
    // A busy machine may never be on time.
    let _ = timeout(CLOSE_TIMEOUT / 2, waiting).await;
}

/// Waits for the end of the shutdown and returns the number of requests that were cut, or `None` if
/// another signal or the time limit came first.
async fn wait_for_exit(
    signals: &mut Signals,
    exited: &mut UnboundedReceiver<u32>,
    limit: Duration,
) -> Option<u32> {
    tokio::select! {
        cut = exited.recv() => cut,
        () = signals.next() => None,
        () = sleep(limit) => None,
    }
}
