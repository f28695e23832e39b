//! Announces a stand-in to the hosts and ends it on SIGTERM.

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
const IDLE_CHECK: Duration = Duration::from_millis(20);
/// Reports that a leaving stand-in still sends after its last request.
const LAST_REPORTS: u32 = 2;

/// What announces itself.
pub trait Announced: Send + Sync + 'static {
    /// Returns the report's content as it is now. `seq` and `age_ms` are left zero.
    fn report(&self) -> ReportBody;
    /// Notes a fencing number that an owner told it.
    fn saw_fence(&self, fence: Fence);
    /// Stops taking new work.
    fn leave(&self);
    /// Returns whether no request is in progress.
    fn idle(&self) -> bool;
}

struct Reporter {
    options: Options,
    client: Client<HttpConnector, Full<Bytes>>,
    rng: ChaCha8Rng,
    /// Which of the hosts is used without an owner's address.
    next: usize,
    owner: Option<SocketAddr>,
    seq: u64,
    /// Contents that are not old enough to be sent.
    delayed: VecDeque<(Instant, ReportBody)>,
}

/// Announces a stand-in until the process ends. `wake` asks for a report at once.
pub async fn announce(target: Arc<dyn Announced>, options: Options, wake: Arc<Notify>) {
    let mut reporter = Reporter {
        client: Client::builder(TokioExecutor::new()).build_http(),
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        next: 0,
        owner: None,
        seq: 0,
        delayed: VecDeque::new(),
        options,
    };
    loop {
        let reply = reporter.turn(target.report()).await;
        if let Some(reply) = reply {
            target.saw_fence(reply.fence);
        }
        let _ = timeout(reporter.options.period, wake.notified()).await;
    }
}

impl Reporter {
    async fn turn(&mut self, body: ReportBody) -> Option<ReportReply> {
        self.delayed.push_back((Instant::now(), body));
        let (made, mut body) = self.newest_due()?;
        self.seq += 1;
        if self.rng.random_range(0..100) < self.options.dropped {
            return None;
        }
        body.seq = self.seq;
        body.age_ms = made.elapsed().as_millis() as u64;
        let addr = self.owner.or_else(|| self.host())?;
        let reply = self.send(addr, &body).await;
        match &reply {
            Some(reply) => {
                self.owner = reply.report_to.as_ref().and_then(|it| it.parse().ok());
            }
            None => {
                self.owner = None;
                self.next += 1;
            }
        }
        reply
    }

    fn host(&self) -> Option<SocketAddr> {
        let hosts = &self.options.hosts;
        hosts.get(self.next % hosts.len().max(1)).copied()
    }

    fn newest_due(&mut self) -> Option<(Instant, ReportBody)> {
        let mut newest = None;
        while let Some((made, _)) = self.delayed.front()
            && made.elapsed() >= self.options.delay
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

/// Waits for SIGTERM, then until no request is in progress.
pub async fn leave_on_signal(
    target: Arc<dyn Announced>,
    options: &Options,
    wake: &Notify,
    log: &Logger,
) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    term.recv().await;
    info!(log, "leaving");
    target.leave();
    wake.notify_one();
    while !target.idle() {
        sleep(IDLE_CHECK).await;
    }
    sleep(options.delay + options.period * LAST_REPORTS).await;
    Ok(())
}
