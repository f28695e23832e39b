//! The process' metrics, in Prometheus' text format.

use std::time::Duration;

use fleet::{Host, Listener, OrderOutcome};
use peer::Stats;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// The metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    sends: IntCounterVec,
    orders: IntCounterVec,
    unframed: IntCounterVec,
    shed: IntCounterVec,
    seconds: HistogramVec,
    state: GaugeVec,
    ages: GaugeVec,
    active: Gauge,
    peer_bytes: IntCounterVec,
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    registry.register(Box::new(counter.clone())).expect("a new name");
    counter
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let opts = HistogramOpts::new(
            "poplarhollow_request_seconds",
            "Time of a request's parts: wait, first, whole",
        );
        let seconds = HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["part"])
            .expect("a valid name");
        registry.register(Box::new(seconds.clone())).expect("a new name");
        let opts = Opts::new("poplarhollow_state", "What the host believes");
        let state = GaugeVec::new(opts, &["name"]).expect("a valid name");
        registry.register(Box::new(state.clone())).expect("a new name");
        let opts = Opts::new("poplarhollow_belief_age_seconds", "Age of what the host believes");
        let ages = GaugeVec::new(opts, &["belief"]).expect("a valid name");
        registry.register(Box::new(ages.clone())).expect("a new name");
        let active = Gauge::new("poplarhollow_requests_active", "Requests in progress")
            .expect("a valid name");
        registry.register(Box::new(active.clone())).expect("a new name");
        Metrics {
            requests: counter(
                &registry,
                "poplarhollow_requests_total",
                "Requests by their end",
                &["outcome"],
            ),
            sends: counter(
                &registry,
                "poplarhollow_sends_total",
                "Sends to targets by their end",
                &["outcome"],
            ),
            orders: counter(
                &registry,
                "poplarhollow_orders_total",
                "Orders to targets by kind and answer",
                &["kind", "outcome"],
            ),
            unframed: counter(
                &registry,
                "poplarhollow_unframed_answers_total",
                "Answers that don't tell their end, by what their target showed after it",
                &["outcome"],
            ),
            shed: counter(
                &registry,
                "poplarhollow_connections_shed_total",
                "Connections of clients that were closed for others or not taken",
                &["listener", "how"],
            ),
            peer_bytes: counter(
                &registry,
                "poplarhollow_peer_bytes_total",
                "Bytes of messages between hosts",
                &["way"],
            ),
            seconds,
            state,
            ages,
            active,
            registry,
        }
    }

    /// Counts an answer that didn't tell its end, by what its target showed after it.
    pub(crate) fn unframed_ended(&self, outcome: &str) {
        self.unframed.with_label_values(&[outcome]).inc();
    }

    /// Counts a client's connection that a listener had no place for, or that took nothing of its answer; `how` is
    /// `closed`, `refused` or `stalled`.
    pub(crate) fn connection_shed(&self, listener: Listener, how: &str) {
        self.shed.with_label_values(&[listener.as_str(), how]).inc();
    }

    /// Counts the end of a request, with the seconds since its arrival.
    pub(crate) fn request_ended(&self, outcome: &str, seconds: f64) {
        self.requests.with_label_values(&[outcome]).inc();
        self.seconds.with_label_values(&["whole"]).observe(seconds);
    }

    /// Counts the end of a reservation at a target, whether or not the request was sent.
    pub(crate) fn reservation_ended(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Records the seconds that a part of a request took.
    pub(crate) fn observe_part(&self, part: &str, seconds: f64) {
        self.seconds.with_label_values(&[part]).observe(seconds);
    }

    /// Counts the outcome of an order; `kind` is `load`, `unload` or `check`.
    pub(crate) fn order_ended(&self, kind: &str, outcome: OrderOutcome) {
        let outcome = format!("{outcome:?}").to_lowercase();
        self.orders.with_label_values(&[kind, &outcome]).inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn render(
        &self,
        now: Duration,
        host: &Host,
        active: usize,
        peers: &Stats,
    ) -> String {
        self.active.set(active as f64);
        self.ages.reset();
        for (view, age) in host.view_ages(now) {
            self.ages.with_label_values(&[&view]).set(age.as_secs_f64());
        }
        self.peer_bytes.reset();
        for (way, (_, bytes)) in
            [("sent", peers.total_sent()), ("received", peers.total_received())]
        {
            self.peer_bytes.with_label_values(&[way]).inc_by(bytes);
        }
        let gauges = [
            ("ready", f64::from(u8::from(host.is_ready()))),
            ("leader", host.leader().map_or(0.0, f64::from)),
            ("config", host.config().map_or(0.0, |it| it.number as f64)),
            ("targets", host.targets().iter().count() as f64),
            ("entries", host.entries(None).len() as f64),
        ];
        for (name, value) in gauges {
            self.state.with_label_values(&[name]).set(value);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
