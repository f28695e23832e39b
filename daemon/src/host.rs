//! State shared by all tasks of the daemon, and the execution of the outputs of [`Node`].

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use api::PublishKey;
use decl::Settings;
use node::{Input, Node, Output, Published, StateChange, Tag};
use peer::Hub;
use slog::{Logger, error, info};
use tokio::sync::{mpsc::Receiver, mpsc::UnboundedSender, oneshot};
use web::{TargetClient, interface::AnswerStep};
use wire::{Fault, HostId};

use crate::{callers::Callers, disk::DiskQueue, metrics::Metrics, shards::Shards};

/// Result of a publish.
pub(crate) type PublishResult = Result<Published, Fault>;

/// A running host: its node with the transports, the disk and the callers that it serves.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) publish_key: Option<PublishKey>,
    pub(crate) start: Instant,
    pub(crate) node: Node,
    pub(crate) hub: Hub,
    pub(crate) targets: TargetClient,
    pub(crate) shards: Shards,
    pub(crate) callers: Arc<Callers>,
    pub(crate) publishes: Mutex<HashMap<Tag, oneshot::Sender<PublishResult>>>,
    pub(crate) disk: Option<DiskQueue>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    /// Takes the number of requests cut, once the shutdown is complete.
    pub(crate) exit: UnboundedSender<u32>,
}

/// Returns the wall-clock time in milliseconds since the epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

impl Host {
    /// Returns the time since the start of this host.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the entry address of a host, or `None` if the settings do not list the host.
    pub(crate) fn entry_addr(&self, host: HostId) -> Option<String> {
        let peer = self.settings.peers.iter().find(|peer| peer.host == host)?;
        let addr = std::net::SocketAddr::new(peer.ip, self.settings.entry_port);
        Some(addr.to_string())
    }

    /// Handles the inputs of one worker until its queue closes.
    pub(crate) async fn run_worker(self: Arc<Host>, mut inputs: Receiver<Input>) {
        while let Some(input) = inputs.recv().await {
            let outputs = self.node.handle(self.now(), input);
            self.execute(outputs);
        }
    }

    /// Executes outputs in order.
    pub(crate) fn execute(&self, outputs: Vec<Output>) {
        for output in outputs {
            self.metrics.count(&output);
            self.execute_one(output);
        }
    }

    fn execute_one(&self, output: Output) {
        match output {
            Output::Send { to, msg } => self.hub.send(to, &msg),
            Output::Write(write) => match &self.disk {
                Some(disk) => disk.write(write),
                None => error!(self.log, "write without data folder"),
            },
            Output::Call(call) => self.targets.call(call),
            Output::ReadMore { request, bytes } => self.targets.add_credit(request, bytes),
            Output::CancelCall { request, addr } => self.targets.cancel(request, &addr),
            Output::Order(order) => self.targets.order(order),
            Output::Head { tag, status, target, ran } => {
                let better_entry = self.better_entry(tag);
                self.callers.step(tag, AnswerStep::Head { status, target, ran, better_entry });
            }
            Output::Piece { tag, bytes, last } => self.send_piece(tag, bytes, last),
            Output::Failed { tag, fault } => {
                let code = fault.kind.info().code;
                let waiting = self.callers.end(tag, AnswerStep::Failed(fault));
                let Some(waiting) = waiting else { return };
                self.metrics.ended(Some(code), waiting.since.elapsed());
            }
            Output::Published { tag, result } => self.answer_publish(tag, result),
            Output::StateChanged(change) => self.log_change(&change),
            Output::Exit(cut) => {
                let _ = self.exit.send(cut);
            }
        }
    }

    fn send_piece(&self, tag: Tag, bytes: bytes::Bytes, last: bool) {
        let step = AnswerStep::Piece { bytes, last };
        if !last {
            self.callers.step(tag, step);
            return;
        }
        let Some(waiting) = self.callers.end(tag, step) else { return };
        self.metrics.ended(None, waiting.since.elapsed());
    }

    /// Records the time to the start of an answer. Returns the best entry address for the caller if
    /// that is another host.
    fn better_entry(&self, tag: Tag) -> Option<String> {
        let (model, since) = self.callers.model_and_start(tag)?;
        self.metrics.started(since.elapsed());
        let best = *self.node.entries(self.now(), model.as_deref()).first()?;
        if best == self.settings.host {
            return None;
        }
        self.entry_addr(best)
    }

    fn answer_publish(&self, tag: Tag, result: PublishResult) {
        let waiting = self.publishes.lock().expect("the lock is not poisoned").remove(&tag);
        if let Some(waiting) = waiting {
            let _ = waiting.send(result);
        }
    }

    fn log_change(&self, change: &StateChange) {
        match change {
            StateChange::Leader { leader, term } => {
                info!(self.log, "leader"; "leader" => leader, "term" => term);
            }
            StateChange::Lease(held) => info!(self.log, "lease"; "held" => held),
            StateChange::Config { revision, sequence } => {
                info!(self.log, "configuration"; "revision" => revision, "sequence" => sequence);
            }
            StateChange::TargetOwned { target, fence } => {
                info!(self.log, "owns target"; "target" => target, "fence" => fence);
            }
            StateChange::TargetLost { target } => {
                info!(self.log, "lost target"; "target" => target)
            }
            StateChange::Restarted { target } => {
                info!(self.log, "target restarted"; "target" => target);
            }
            StateChange::Strike { count } => info!(self.log, "strike"; "count" => count),
            StateChange::Leaving => info!(self.log, "leaving"),
            StateChange::Alarm(text) => error!(self.log, "alarm"; "text" => text),
        }
    }
}
