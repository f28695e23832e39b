//! The life of the daemon.

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
    time::{MissedTickBehavior, interval, timeout},
};
use web::{Server, Targets};
use wire::{HostId, VoterId};

use crate::{
    border::Border, callers::Callers, disk::DiskQueue, error::DaemonError, host::Host, host::wall,
    logger::logger, metrics::Metrics, options::Options, shards::Shards,
};

const MAX_WORKERS: usize = 4;
const TICK: Duration = Duration::from_millis(20);

/// Time that a shutdown gets beyond the configured limit.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Time for open connections to end after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

const VOTER_HOST_SHIFT: u32 = 48;
const VOTER_RANDOM_MASK: u64 = (1 << VOTER_HOST_SHIFT) - 1;

/// The keys from the host's files.
struct Keys {
    /// Shared by the hosts; empty without a file.
    peer: Vec<u8>,
    /// For publishes, if they are checked.
    publish: Option<PublishKey>,
}

/// Runs the daemon until it is told to end.
pub(crate) fn run(options: &Options) -> Result<ExitCode, DaemonError> {
    let settings = read_settings(&options.config)?;
    let keys = Keys { peer: read_key(&settings)?, publish: read_publish_key(&settings)? };
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let workers = options.workers.unwrap_or(cores.min(MAX_WORKERS)).max(1);
    let (log, guard) = logger(&settings);
    let runtime = Builder::new_multi_thread().worker_threads(workers).enable_all().build()?;
    let ended = runtime.block_on(serve(settings, keys, workers, log));
    runtime.shutdown_timeout(CLOSE_TIMEOUT);
    drop(guard);
    ended
}

fn read(path: &Path) -> Result<Vec<u8>, DaemonError> {
    fs::read(path).map_err(|source| DaemonError::Read { path: path.to_owned(), source })
}

fn read_settings(path: &Path) -> Result<Settings, DaemonError> {
    let bytes = read(path)?;
    let text = String::from_utf8_lossy(&bytes);
    Settings::parse(&path.to_string_lossy(), &text).map_err(DaemonError::Settings)
}

fn read_key(settings: &Settings) -> Result<Vec<u8>, DaemonError> {
    let Some(path) = &settings.key_file else { return Ok(Vec::new()) };
    Ok(read(path)?.trim_ascii().to_vec())
}

fn read_publish_key(settings: &Settings) -> Result<Option<PublishKey>, DaemonError> {
    let Some(path) = &settings.publish_key_file else { return Ok(None) };
    let key = PublishKey::new(&read(path)?);
    key.map(Some).ok_or_else(|| DaemonError::EmptyKey { path: path.to_owned() })
}

/// Makes the identity that a new data folder gets.
fn new_voter(host: HostId) -> VoterId {
    let random: u64 = rand::rng().random();
    (u64::from(host) << VOTER_HOST_SHIFT) | (random & VOTER_RANDOM_MASK)
}

/// A voter's data folder and what was found in it.
type Opened = (Box<dyn Disk>, Recovered);

fn open_disk(settings: &Settings) -> Result<Option<Opened>, DaemonError> {
    let Some(dir) = &settings.data_dir else { return Ok(None) };
    Ok(Some(store::open(dir, new_voter(settings.host))?))
}

/// Starts all parts and waits for the end.
async fn serve(
    settings: Settings,
    keys: Keys,
    workers: usize,
    log: Logger,
) -> Result<ExitCode, DaemonError> {
    let mut signals = Signals::new()?;
    let drain = settings.timing.drain;
    let open = keys.publish.is_none();
    let (exit, mut exited) = unbounded_channel();
    let (host, mut tasks) = start_host(settings, keys, workers, log.clone(), exit).await?;
    let server = start_server(&host, &log)?;
    tasks.push(tokio::spawn(tick(host.clone())));
    info!(log, "started"; "workers" => workers);
    if open {
        warn!(log, "without publish_key_file anyone who reaches the operator port may publish");
    }
    tokio::select! {
        () = signals.next() => {}
        _ = select_all(tasks) => return Err(DaemonError::Worker),
    }
    host.shards.send(Input::Shutdown).await;
    let cut = wait_for_exit(&mut signals, &mut exited, drain + DRAIN_GRACE).await;
    let (cut, code) = match cut {
        Some(cut) => (cut, ExitCode::SUCCESS),
        None => (host.callers.count() as u32, ExitCode::FAILURE),
    };
    if code == ExitCode::SUCCESS && timeout(CLOSE_TIMEOUT, server.close()).await.is_err() {
        warn!(log, "connections stayed open");
    }
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
    let incarnation = wall();
    let (shards, receivers) = Shards::new(workers);
    let inbox = Arc::new(shards.clone());
    let peers: BTreeMap<_, _> = settings.peers.iter().map(|peer| (peer.host, peer.ip)).collect();
    let config = peer::Config {
        host: settings.host,
        run: incarnation,
        peers: peer::Peers::Listed(peers),
        port: settings.peer_port,
        key: keys.peer,
    };
    let hub = Hub::start(config, inbox.clone()).await?;
    let disk = match disk {
        Some(disk) => Some(DiskQueue::start(disk, shards.clone())?),
        None => None,
    };
    let start_state = Start { incarnation, disk: recovered, wall: incarnation };
    let (node, outputs) = Node::new(start.elapsed(), settings.clone(), start_state);
    let metrics = Arc::new(Metrics::new());
    let host = Arc::new(Host {
        targets: Targets::new(start, inbox),
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
    host.carry_out(outputs);
    let mut tasks = Vec::with_capacity(workers + 1);
    for receiver in receivers {
        tasks.push(tokio::spawn(host.clone().work(receiver)));
    }
    Ok((host, tasks))
}

fn start_server(host: &Arc<Host>, log: &Logger) -> Result<Server, DaemonError> {
    let settings = &host.settings;
    let entry = SocketAddr::new(settings.ip, settings.entry_port);
    let operator = SocketAddr::new(settings.ip, settings.operator_port);
    let border = Arc::new(Border(host.clone()));
    let quiet = quiet(log);
    Ok(Server::start((entry, border.clone()), (operator, border), &quiet)?)
}

/// Keeps only the servers' warnings: a line for each request is too much.
fn quiet(log: &Logger) -> Logger {
    use slog::Drain;
    let drain = slog::LevelFilter::new(log.clone(), slog::Level::Error).ignore_res();
    Logger::root(drain, slog::o!())
}

async fn tick(host: Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        host.shards.offer(Input::Tick { wall: wall() });
    }
}

/// The signals that end the daemon.
struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        let term = signal(SignalKind::terminate())?;
        Ok(Signals { term, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next of them.
    async fn next(&mut self) {
        let waits: [BoxFuture<'_, Option<()>>; 2] =
            [Box::pin(self.term.recv()), Box::pin(self.interrupt.recv())];
        select_all(waits).await;
    }
}

/// Waits for the end of the shutdown; none if a second signal or the limit came
/// first.
async fn wait_for_exit(
    signals: &mut Signals,
    exited: &mut UnboundedReceiver<u32>,
    limit: Duration,
) -> Option<u32> {
    tokio::select! {
        cut = exited.recv() => cut,
        () = signals.next() => None,
        () = tokio::time::sleep(limit) => None,
    }
}
