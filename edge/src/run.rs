//! Starts the process, runs its tasks, and stops it in order.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::{Event, Host, Input, Listener, Settings, UnsentMessages};
use peer::{Hub, Peers};
use platform::settings::SETTINGS_VARIABLE;
use store::{KeptRecords, RecordFile};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::LocalSet,
    time::{MissedTickBehavior, interval, timeout},
};

use crate::{
    control,
    disk::DiskQueue,
    disk::open,
    edge::{Edge, clock, unix_ms},
    error::EdgeError,
    front, listen,
    log::Log,
    stop, way,
};

/// Time between two ticks of the host.
const TICK: Duration = Duration::from_millis(50);
/// Ticks between two removals of expired idle connections, and between two log lines about
/// messages that were not sent.
const CLEANUP_TICKS: u64 = 20;
/// Receivers that a log line about messages that were not sent names.
const NAMED_RECEIVERS: usize = 8;
/// Time for a signal that came during the start to be delivered.
const SIGNAL_WAIT: Duration = Duration::from_millis(1);

/// Runs the host until SIGTERM. SIGHUP reloads the settings.
pub(crate) fn run(path: Option<PathBuf>, log_lines: bool) -> Result<(), EdgeError> {
    let path = match path {
        Some(path) => path,
        None => match std::env::var_os(SETTINGS_VARIABLE) {
            Some(path) => PathBuf::from(path),
            None => return Err(EdgeError::NoSettings(SETTINGS_VARIABLE)),
        },
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(serve(path, log_lines)))
}

fn read_settings(path: &Path) -> Result<Settings, EdgeError> {
    let read = |source| EdgeError::Read { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(read)?;
    let invalid = |source| EdgeError::Settings { path: path.to_owned(), source };
    platform::settings::read(&text).map_err(invalid)
}

/// Passes the messages of other hosts to the host as inputs.
struct Inbox(UnboundedSender<Input>);

impl peer::Inbox for Inbox {
    fn deliver(
        &self,
        event: peer::Event,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        if let peer::Event::Message { from, msg } = event {
            let _ = self.0.send(Input::Peer { from, msg });
        }
        Box::pin(std::future::ready(()))
    }
}

async fn serve(path: PathBuf, log_lines: bool) -> Result<(), EdgeError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hup = signal(SignalKind::hangup())?;
    let settings = read_settings(&path)?;
    let (sender, inputs) = unbounded_channel();
    let edge = start(settings, &sender, log_lines).await?;
    if timeout(SIGNAL_WAIT, term.recv()).await.is_ok() {
        // When the grace period began isn't known.
        edge.step(Input::Stop);
        stop::end(&edge).await;
        return Ok(());
    }
    listen_all(&edge).await?;
    tokio::task::spawn_local(handle_inputs(edge.clone(), inputs));
    tokio::task::spawn_local(tick(edge.clone()));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(&edge, &path),
        }
    }
    stop::stop(&edge).await;
    Ok(())
}

async fn start(
    settings: Settings,
    sender: &UnboundedSender<Input>,
    log_lines: bool,
) -> Result<Rc<Edge>, EdgeError> {
    let log = Log::start(&settings.name, log_lines);
    // Higher than those of earlier processes, unless the system clock was set back.
    let incarnation = unix_ms();
    let (mut disk, mut recovered, mut kept) = (None, None, KeptRecords::default());
    if let Some(dir) = &settings.data_dir {
        let (files, state) = open(dir)?;
        let (record_file, records) = RecordFile::open(dir)?;
        disk = Some(DiskQueue::start(dir.clone(), files, record_file, sender.clone())?);
        recovered = Some(state);
        kept = records;
    }
    let config = peer::Config {
        host: settings.host,
        incarnation,
        peers: Peers::ByAddress,
        port: settings.peer_port,
        key: Vec::new(),
    };
    let relay_port = settings.relay_port;
    let hub = Hub::start(config, Arc::new(Inbox(sender.clone()))).await?;
    let started = clock();
    let (mut host, outputs) =
        Host::new(Duration::ZERO, settings, incarnation, recovered, rand::random());
    host.restore_records(Duration::ZERO, kept.records, kept.is_complete);
    let edge = Edge::new(host, hub, disk, log, started);
    edge.carry_out(outputs);
    way::serve(&edge, relay_port).await?;
    Ok(edge)
}

async fn listen_all(edge: &Rc<Edge>) -> Result<(), EdgeError> {
    let settings = edge.host.borrow().settings().clone();
    if settings.entry.port() != 0 {
        let limits = front::connection_limits;
        listen::serve(edge, settings.entry, Listener::Entry, limits, front::serve).await?;
    }
    let limits = control::limits;
    if let Some(addr) = settings.ready {
        listen::serve(edge, addr, Listener::Ready, limits, control::ready).await?;
    }
    if let Some(addr) = settings.control {
        listen::serve(edge, addr, Listener::Control, limits, control::serve).await?;
    }
    if let Some(addr) = settings.directory {
        listen::serve(edge, addr, Listener::Directory, limits, control::resolve).await?;
    }
    let mut addr = settings.entry;
    addr.set_port(settings.metrics_port);
    listen::serve(edge, addr, Listener::Metrics, limits, control::metrics).await?;
    Ok(())
}

/// Passes inputs to the host as they arrive.
async fn handle_inputs(edge: Rc<Edge>, mut inputs: UnboundedReceiver<Input>) {
    while let Some(input) = inputs.recv().await {
        edge.step(input);
    }
}

async fn tick(edge: Rc<Edge>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    loop {
        ticks.tick().await;
        edge.step(Input::Tick);
        count += 1;
        if count.is_multiple_of(CLEANUP_TICKS) {
            edge.client.remove_expired();
            edge.control_client.remove_expired();
            log_unsent(&edge);
            log_shed(&edge);
        }
    }
}

/// Logs the messages to other hosts that were dropped since the last call, most first.
fn log_unsent(edge: &Edge) {
    let mut rows = edge.hub.stats().take_unsent();
    if rows.is_empty() {
        return;
    }
    rows.sort_by_key(|it| std::cmp::Reverse(it.messages));
    let left_out = rows.iter().skip(NAMED_RECEIVERS).map(|it| it.messages).sum();
    let named = rows.iter().take(NAMED_RECEIVERS).map(|it| UnsentMessages {
        peer: it.host,
        kind: it.kind,
        reason: it.reason.as_str(),
        messages: it.messages,
    });
    edge.log.event(&Event::Unsent { messages: named.collect(), left_out });
}

/// Logs how many connections of clients had no place since the last call.
fn log_shed(edge: &Edge) {
    for places in edge.places.borrow().iter() {
        if let Some(event) = places.take_shed() {
            edge.log.event(&event);
        }
    }
}

fn reload(edge: &Rc<Edge>, path: &Path) {
    match read_settings(path) {
        Ok(settings) => edge.step(Input::Reload(Box::new(settings))),
        Err(error) => {
            let what = wire::error_chain(&error);
            edge.log.event(&Event::Alarm { what });
        }
    }
}
