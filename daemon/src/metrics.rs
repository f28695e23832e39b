//! Metrics in the Prometheus text format.

use std::time::Duration;

use api::StatusBody;
use node::{Output, StateChange};
use peer::{DropReason, Stats};
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder, core::Collector, proto::MetricFamily,
};
use wire::{Action, Fault, PeerMsg};

/// Value of the `code` label for successful requests and publishes.
const OK: &str = "ok";

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Metrics that the daemon keeps itself; those of the peer layer are added on output.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first_byte: Histogram,
    duration: Histogram,
    calls: IntCounter,
    resumes: IntCounter,
    forwards: IntCounter,
    orders: IntCounterVec,
    changes: IntCounterVec,
    publishes: IntCounterVec,
    state: GaugeVec,
    callers: Gauge,
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    registry.register(Box::new(collector.clone())).expect("metric names are unique");
    collector
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help).expect("metric names are valid"))
}

fn counter_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
    register(registry, counters.expect("metric names are valid"))
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
    register(registry, Histogram::with_opts(opts).expect("metric names are valid"))
}

impl Metrics {
    /// Creates and registers the metrics, all zero.
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let r = &registry;
        let state =
            GaugeVec::new(Opts::new("poplarhollow_state", "State of the host by name"), &["name"]);
        let callers = Gauge::new("poplarhollow_callers", "Callers that wait for an answer");
        Metrics {
            requests: counter_vec(
                r,
                "poplarhollow_requests_total",
                "Callers' requests by the code of their answer",
                "code",
            ),
            first_byte: histogram(
                r,
                "poplarhollow_first_byte_seconds",
                "Time from a request to the start of its answer",
            ),
            duration: histogram(
                r,
                "poplarhollow_request_seconds",
                "Time from a request to the end of its answer",
            ),
            calls: counter(r, "poplarhollow_calls_total", "Calls to targets, resumes included"),
            resumes: counter(r, "poplarhollow_resumes_total", "Answers resumed at a target"),
            forwards: counter(
                r,
                "poplarhollow_forwards_total",
                "Requests forwarded to other hosts",
            ),
            orders: counter_vec(r, "poplarhollow_orders_total", "Orders to targets", "action"),
            changes: counter_vec(r, "poplarhollow_changes_total", "Changes of state", "kind"),
            publishes: counter_vec(
                r,
                "poplarhollow_publishes_total",
                "Publishes handed in here by the code of their answer",
                "code",
            ),
            state: register(r, state.expect("metric names are valid")),
            callers: register(r, callers.expect("metric names are valid")),
            registry,
        }
    }

    /// Counts an output of the node, if there is a metric for it.
    pub(crate) fn count(&self, output: &Output) {
        match output {
            Output::Send { msg: PeerMsg::Forward(_), .. } => self.forwards.inc(),
            Output::Call(call) => {
                self.calls.inc();
                self.resumes.inc_by(u64::from(call.resume_from.is_some()));
            }
            Output::Order(order) => {
                let action = match order.action {
                    Action::Load => "load",
                    Action::Evict => "evict",
                };
                self.orders.with_label_values(&[action]).inc();
            }
            Output::StateChanged(change) => {
                self.changes.with_label_values(&[change_kind(change)]).inc()
            }
            _ => {}
        }
    }

    /// Records the time from a request to the start of its answer.
    pub(crate) fn started(&self, after: Duration) {
        self.first_byte.observe(after.as_secs_f64());
    }

    /// Counts a request by its code, `ok` if it is `None`, and records the time to its end.
    pub(crate) fn ended(&self, code: Option<&str>, after: Duration) {
        self.requests.with_label_values(&[code.unwrap_or(OK)]).inc();
        self.duration.observe(after.as_secs_f64());
    }

    /// Counts a publish by its code, `ok` without a fault.
    pub(crate) fn published(&self, fault: Option<&Fault>) {
        let code = fault.map_or(OK, |fault| fault.kind.info().code);
        self.publishes.with_label_values(&[code]).inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self, status: &StatusBody, callers: usize, stats: &Stats) -> String {
        self.callers.set(callers as f64);
        let state = [
            ("lease", f64::from(u8::from(status.lease))),
            ("leading", f64::from(u8::from(status.leader == Some(status.host)))),
            ("term", status.term as f64),
            ("commit", status.commit as f64),
            ("applied", status.applied as f64),
            ("alarms", status.alarms.len() as f64),
            ("queued", f64::from(status.queued)),
            ("stall_seconds", status.stall_seconds),
            ("batch_fullness", status.batch_fullness),
            ("quarantined", status.quarantine.len() as f64),
        ];
        for (name, value) in state {
            self.state.with_label_values(&[name]).set(value);
        }
        let mut families = self.registry.gather();
        families.extend(peer_metrics(stats));
        TextEncoder::new().encode_to_string(&families).expect("metrics are valid text")
    }
}

/// Converts the counters of the peer layer to metrics.
fn peer_metrics(stats: &Stats) -> Vec<MetricFamily> {
    let registry = Registry::new();
    let r = &registry;
    for (direction, rows) in
        [("sent", stats.sent_by_kind()), ("received", stats.received_by_kind())]
    {
        let frames = format!("poplarhollow_peer_{direction}_frames_total");
        let bytes = format!("poplarhollow_peer_{direction}_bytes_total");
        let frames = counter_vec(r, &frames, "Frames between hosts", "kind");
        let bytes = counter_vec(r, &bytes, "Bytes of the frames between hosts", "kind");
        for row in rows {
            frames.with_label_values(&[row.kind]).inc_by(row.frames);
            bytes.with_label_values(&[row.kind]).inc_by(row.bytes);
        }
    }
    let dropped =
        counter_vec(r, "poplarhollow_peer_dropped_frames_total", "Frames dropped", "reason");
    for reason in DropReason::ALL {
        dropped.with_label_values(&[reason.as_str()]).inc_by(stats.dropped(reason));
    }
    registry.gather()
}

fn change_kind(change: &StateChange) -> &'static str {
    match change {
        StateChange::Leader { .. } => "leader",
        StateChange::Lease(_) => "lease",
        StateChange::Config { .. } => "config",
        StateChange::TargetOwned { .. } => "owns",
        StateChange::TargetLost { .. } => "disowns",
        StateChange::Restarted { .. } => "restarted",
        StateChange::Strike { .. } => "strike",
        StateChange::Leaving => "leaving",
        StateChange::Alarm(_) => "alarm",
    }
}
