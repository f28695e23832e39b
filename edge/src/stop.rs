//! What a host does once it was told to end: which requests it still takes, what it tells the others, and
//! what it waits for.

use std::{rc::Rc, time::Duration};

use fleet::{Event, Input, TargetQuery};
use tokio::time::{sleep, timeout};

use crate::edge::Edge;

/// Outcome of a request that can't be finished before the process ends.
pub(crate) const STOPPING: &str = "stopping";
/// Span over which the retries of callers are spread that may go to another host.
const OTHER_HOST_SPREAD: Duration = Duration::from_millis(200);
/// Minimum `Retry-After` while no other host accepts callers: hosts have to start and elect a leader first.
const RESTART_DELAY: Duration = Duration::from_millis(1800);
/// Span over which the retries of several callers are spread then.
const RESTART_DELAY_SPREAD: Duration = Duration::from_millis(800);
/// Time between two looks at what the process still waits for.
const TICK: Duration = Duration::from_millis(50);
/// Time limit for sending the queued messages to other hosts before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the minimum `Retry-After` of a request that can't be finished before the process ends, and the span
/// over which the retries are spread. Other hosts serve it at once, if there are any.
pub(crate) fn retry_delay(edge: &Edge) -> (Duration, Duration) {
    match edge.host.borrow().has_other_entries() {
        true => (Duration::ZERO, OTHER_HOST_SPREAD),
        false => (RESTART_DELAY, RESTART_DELAY_SPREAD),
    }
}

impl Edge {
    /// Waits until the process was told to end and answers have to be given.
    pub(crate) async fn answers_due(&self) {
        self.stopping.wait().await;
        let shutdown = self.host.borrow().shutdown();
        self.sleep_until(shutdown.map_or(Duration::ZERO, |it| it.answers_until)).await;
    }

    /// Waits until the process was told to end and it is too late to send a request.
    pub(crate) async fn too_late(&self, query: &TargetQuery, deadline: Duration) {
        self.stopping.wait().await;
        match self.last_start(query, deadline) {
            Some(at) => self.sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Returns until when a request may be sent, if the end of the process limits that.
    pub(crate) fn last_start(&self, query: &TargetQuery, deadline: Duration) -> Option<Duration> {
        if !self.stopping.is_set() {
            return None;
        }
        let longest = self.active.longest(self.now(), &query.route.name);
        self.host.borrow().last_start(query, deadline, longest)
    }

    async fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.now())).await;
    }
}

fn stopped_event(edge: &Edge) -> Event {
    let stats = edge.hub.stats();
    let (sent, sent_bytes) = stats.total_sent();
    let (received, received_bytes) = stats.total_received();
    Event::Stopped {
        cut: edge.active.count() as u64,
        requests: edge.active.oldest(edge.now()),
        passed_on: edge.passed_on.get() as u64,
        calls: edge.calls.get() as u64,
        up_ms: edge.now().as_millis() as u64,
        sent,
        sent_bytes,
        received,
        received_bytes,
    }
}

/// Whether callers, or other hosts whose connections this one passes on, still wait for something.
fn is_draining(edge: &Edge) -> bool {
    edge.active.count() > 0 || edge.unfinished.get() > 0 || edge.passed_on.get() > 0
}

/// Stops the host. Returns once no caller's request is active, all answers were taken, no connection is passed on
/// for another host and no call is in hand, or the grace period is nearly over.
pub(crate) async fn stop(edge: &Rc<Edge>) {
    edge.step(Input::Stop);
    edge.stopping.set();
    edge.wake.notify_waiters();
    let Some(shutdown) = edge.host.borrow().shutdown() else { return };
    let draining = async {
        sleep(shutdown.listen_until.saturating_sub(edge.now())).await;
        edge.closing.set();
        while is_draining(edge) {
            sleep(TICK).await;
        }
        // Calls that come from now on would delay the end without limit.
        edge.drained.set();
        while edge.calls.get() > 0 {
            sleep(TICK).await;
        }
    };
    let _ = timeout(shutdown.ends_at.saturating_sub(edge.now()), draining).await;
    end(edge).await;
}

/// Sends the queued messages and writes the last log line.
pub(crate) async fn end(edge: &Edge) {
    edge.hub.flush(FLUSH_TIMEOUT).await;
    edge.log.event(&stopped_event(edge));
    edge.log.flush();
}
