//! Requests that may crash their targets: whether they may be sent, and what is reported when one is
//! lost with its target.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use fleet::{Admission, Event, Reservation, SeenCrash, stable_hash};
use http::{HeaderValue, header};
use tokio::{sync::oneshot, time::timeout};
use wire::Suspect;

use crate::{
    edge::Edge,
    listen::Caller,
    relay::Job,
    reservation::{NoReservation, ReservationGuard},
};

/// Time that a request waits for the check whether its target has crashed before it is sent again. A
/// crashed target refuses a connection after one round trip.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// The right to send one request with these suspects. Dropping it ends the trial without a result.
pub(crate) struct TrialGuard {
    edge: Rc<Edge>,
    suspects: Vec<Suspect>,
}

impl TrialGuard {
    pub(crate) fn new(edge: &Rc<Edge>, suspects: Vec<Suspect>) -> TrialGuard {
        TrialGuard { edge: edge.clone(), suspects }
    }

    /// Returns the suspects; the caller reports the trial's result.
    pub(crate) fn finish(mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.suspects)
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let outputs = self.edge.host.borrow_mut().end_trial(self.edge.now(), &self.suspects);
        self.edge.carry_out(outputs);
    }
}

/// A request whose target broke off before it began to answer.
pub(crate) struct LostRequest {
    pub(crate) id: String,
    pub(crate) caller: String,
    pub(crate) path: String,
    pub(crate) body_hash: u64,
    pub(crate) contents: Vec<Suspect>,
    pub(crate) trial: Option<TrialGuard>,
    /// Dropped when the check has ended.
    checked: oneshot::Sender<()>,
}

/// Requests whose targets are being checked, by the target's id and start time.
#[derive(Default)]
pub(crate) struct CrashChecks {
    pending: RefCell<HashMap<(String, u64), Vec<LostRequest>>>,
}

/// Checks whether the target of a lost request has crashed. If so, reports the contents of all
/// requests that this host has lost there meanwhile.
pub(crate) fn check(edge: &Rc<Edge>, reservation: &Reservation, lost: LostRequest) {
    let key = (reservation.target.clone(), reservation.started_at);
    let mut pending = edge.crash_checks.pending.borrow_mut();
    let waiting = pending.entry(key.clone()).or_default();
    waiting.push(lost);
    if waiting.len() > 1 {
        return;
    }
    drop(pending);
    let (edge, addr) = (edge.clone(), reservation.addr.clone());
    tokio::task::spawn_local(async move {
        let crashed = edge.refuses_connections(&key.0, &addr).await;
        let lost = edge.crash_checks.pending.borrow_mut().remove(&key).unwrap_or_default();
        if crashed {
            report(&edge, &key.0, key.1, lost);
        }
    });
}

fn report(edge: &Rc<Edge>, target: &str, started_at: u64, lost: Vec<LostRequest>) {
    let now = edge.now();
    let mut seen = SeenCrash { target: target.to_owned(), started_at, ..SeenCrash::default() };
    let mut checks = Vec::new();
    seen.alone = lost_alone(&lost);
    for request in lost {
        edge.log.request(now, true, || Event::Crashed {
            id: request.id,
            suspects: request.contents.iter().map(Suspect::to_string).collect(),
            caller: request.caller,
            path: request.path,
            body: format!("{:x}", request.body_hash),
            target: target.to_owned(),
        });
        let trial = request.trial.map(TrialGuard::finish).unwrap_or_default();
        seen.trials.extend(edge.host.borrow().tried(&request.contents, trial));
        seen.suspects.extend(request.contents);
        checks.push(request.checked);
    }
    let outputs = edge.host.borrow_mut().report_crash(now, seen);
    edge.carry_out(outputs);
}

/// Returns what all of the lost requests have in common, but for parts of prompts, which requests
/// that the target has begun to answer may share.
fn lost_alone(lost: &[LostRequest]) -> Vec<Suspect> {
    let mut common = lost.first().map(|it| it.contents.clone()).unwrap_or_default();
    common.retain(|it| !matches!(it, Suspect::Part(_)));
    common.retain(|it| lost.iter().all(|other| other.contents.contains(it)));
    common
}

impl Job {
    /// Whether the request may be sent now, as far as its contents may crash targets. Otherwise it
    /// waits for a trial; `started` is when it began to wait.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        started: Duration,
    ) -> Result<bool, NoReservation> {
        if self.trial.is_some() || !self.edge.host.borrow().has_suspects() {
            return Ok(true);
        }
        let waited = now.saturating_sub(started);
        let (admission, outputs) = self.edge.host.borrow_mut().admit(now, self.contents(), waited);
        self.edge.carry_out(outputs);
        match admission {
            Admission::Free => Ok(true),
            Admission::Trial(suspects) => {
                self.add_step("tries", &join(&suspects));
                self.trial = Some(TrialGuard::new(&self.edge, suspects));
                Ok(true)
            }
            Admission::Wait => Ok(false),
            Admission::Refused(due) => Err(NoReservation::Quarantined(due)),
        }
    }

    /// Whether the request has become suspected since it was admitted.
    pub(crate) fn needs_trial(&self) -> bool {
        let host = self.edge.host.borrow();
        self.trial.is_none()
            && host.has_suspects()
            && host.needs_trial(self.edge.now(), self.contents())
    }

    /// Records that a target began to answer the request, so that nothing in it crashes targets.
    pub(crate) fn record_begun(&mut self) {
        if let Some(trial) = self.trial.take() {
            trial.finish();
        }
        let outputs = self.edge.host.borrow_mut().report_sound(self.edge.now(), self.contents());
        self.edge.carry_out(outputs);
    }

    /// Returns what other requests may share with this one: the whole content, as a hash of its
    /// method, host, path and body, since a caller may repeat it from another address, and the
    /// parts of its prompt, or its route and what it names there without one.
    fn contents(&self) -> &[Suspect] {
        self.contents.get_or_init(|| {
            let has_prompt = self.query.adapter.is_some() || self.head.prompt_tokens.is_some();
            let (service, prefix) = (&self.query.service, &self.query.route.prefix);
            let route = (!has_prompt).then(|| stable_hash(&(service, prefix)));
            let named = self.parts.uri.path().strip_prefix(prefix);
            let named = named.filter(|it| !it.is_empty() && !has_prompt);
            let named = named.map(|it| stable_hash(&(service, it)));
            let parts = self.head.shared_parts.iter().copied().map(Suspect::Part);
            let host = self.parts.headers.get(header::HOST).map(HeaderValue::as_bytes);
            let whole =
                stable_hash(&(self.parts.method.as_str(), host, self.path(), self.body.as_slice()));
            let shared = named.map(Suspect::Resource).into_iter().chain(route.map(Suspect::Route));
            std::iter::once(Suspect::Request(whole)).chain(shared).chain(parts).collect()
        })
    }

    /// Checks whether a target that broke off before it began to answer has crashed. If so, the
    /// request may be the cause, and the crash is counted against it. A request that may be sent again
    /// waits for the check.
    pub(crate) async fn check_crash(&mut self, reservation: &ReservationGuard) {
        let (checked, ended) = oneshot::channel();
        let caller = self.parts.extensions.get::<Caller>();
        let lost = LostRequest {
            id: self.head.attempt.clone(),
            caller: caller.map(ToString::to_string).unwrap_or_default(),
            path: self.path().to_owned(),
            body_hash: stable_hash(&self.body.as_slice()),
            contents: self.contents().to_vec(),
            trial: self.trial.take(),
            checked,
        };
        check(&self.edge, &reservation.reservation, lost);
        if self.kind().is_idempotent() {
            let _ = timeout(CHECK_WAIT, ended).await;
        }
    }
}

fn join(suspects: &[Suspect]) -> String {
    let texts: Vec<String> = suspects.iter().map(Suspect::to_string).collect();
    texts.join(" ")
}
