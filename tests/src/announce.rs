//! Sends a stand-in's reports (heartbeats) to the hosts and drains it on SIGTERM.

use std::{collections::VecDeque, io, net::SocketAddr, sync::Arc, time::Duration};

use api::{ReportBody, ReportReply};
use bytes::Bytes;
use http::{Request, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::Notify,
    time::{Instant, sleep, timeout},
};
use wire::Fence;

use crate::options::Options;

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_POLL: Duration = Duration::from_millis(20);
/// Reports that a leaving stand-in still sends after its last request has ended.
const FINAL_REPORTS: u32 = 2;

/// A target that [`announce`] reports to the hosts.
pub trait StandIn: Send + Sync + 'static {
    /// Returns the current report; `seq` and `age_ms` are zero and filled in by the sender.
    fn report(&self) -> ReportBody;
    /// Records the fencing number of an owner's reply to a report.
    fn observe_fence(&self, fence: Fence);
    /// Refuses new requests from now on.
    fn leave(&self);
    /// Returns whether no request is in progress and no response is being sent.
    fn is_idle(&self) -> bool;
}

struct Reporter {
    options: Options,
    client: Client<HttpConnector, Full<Bytes>>,
    rng: ChaCha8Rng,
    /// Index, modulo the number of hosts, of the host used while the owner is unknown.
    next_host: usize,
    owner: Option<SocketAddr>,
    seq: u64,
    /// Reports that have not yet reached the configured age, oldest first.
    delayed: VecDeque<(Instant, ReportBody)>,
}

/// Reports a stand-in at intervals until the process ends. `wake` triggers a report at once.
pub async fn announce(target: Arc<dyn StandIn>, options: Options, wake: Arc<Notify>) {
    let mut reporter = Reporter {
        client: Client::builder(TokioExecutor::new()).build_http(),
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        next_host: 0,
        owner: None,
        seq: 0,
        delayed: VecDeque::new(),
        options,
    };
    loop {
        let reply = reporter.report(target.report()).await;
        if let Some(reply) = reply {
            target.observe_fence(reply.fence);
        }
        let _ = timeout(reporter.options.report_interval, wake.notified()).await;
    }
}

impl Reporter {
    async fn report(&mut self, body: ReportBody) -> Option<ReportReply> {
        self.delayed.push_back((Instant::now(), body));
        let (made, mut body) = self.newest_due()?;
        self.seq += 1;
        if self.rng.random_range(0..100) < self.options.drop_percent {
            return None;
        }
        body.seq = self.seq;
        body.age_ms = made.elapsed().as_millis() as u64;
        let addr = self.owner.or_else(|| self.current_host())?;
        let reply = self.send(addr, &body).await;
        match &reply {
            Some(reply) => {
                self.owner = reply.report_to.as_ref().and_then(|it| it.parse().ok());
            }
            None => {
                self.owner = None;
                self.next_host += 1;
            }
        }
        reply
    }

    fn current_host(&self) -> Option<SocketAddr> {
        let hosts = &self.options.hosts;
        hosts.get(self.next_host % hosts.len().max(1)).copied()
    }

    fn newest_due(&mut self) -> Option<(Instant, ReportBody)> {
        let mut newest = None;
        while let Some((made, _)) = self.delayed.front()
            && made.elapsed() >= self.options.report_delay
        {
            newest = self.delayed.pop_front();
        }
        newest
    }

    async fn send(&self, addr: SocketAddr, body: &ReportBody) -> Option<ReportReply> {
        let bytes = serde_json::to_vec(body).ok()?;
        let request = Request::post(format!("http://{addr}/v1/targets"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = Limited::new(response.into_body(), api::MAX_BODY_BYTES);
            serde_json::from_slice(&body.collect().await.ok()?.to_bytes()).ok()
        };
        timeout(REPORT_TIMEOUT, exchange).await.ok().flatten()
    }
}

/// Waits for SIGTERM, refuses new requests, and returns once the stand-in is idle and had time
/// for its final reports.
///
/// # Errors
/// If the signal handler cannot be installed.
pub async fn leave_on_signal(
    target: Arc<dyn StandIn>,
    options: &Options,
    wake: &Notify,
    log: &Logger,
) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    term.recv().await;
    info!(log, "leaving");
    target.leave();
    wake.notify_one();
    while !target.is_idle() {
        sleep(IDLE_POLL).await;
    }
    sleep(options.report_delay + options.report_interval * FINAL_REPORTS).await;
    Ok(())
}
