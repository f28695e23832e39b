//! Requests that are lost together with their targets: finds out whether the target crashed, and
//! reports what may be the cause.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use fleet::{Event, Reservation};
use wire::Suspect;

use crate::edge::Edge;

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
        let crashed = edge.client.refuses_connections(&addr).await;
        let lost = edge.crash_checks.pending.borrow_mut().remove(&key).unwrap_or_default();
        if crashed {
            report(&edge, &key.0, key.1, lost);
        }
    });
}

fn report(edge: &Rc<Edge>, target: &str, started_at: u64, lost: Vec<LostRequest>) {
    let now = edge.now();
    let (mut suspects, mut trials) = (Vec::new(), Vec::new());
    for request in lost {
        edge.log.request(now, true, || Event::Crashed {
            id: request.id,
            suspects: request.contents.iter().map(Suspect::to_string).collect(),
            caller: request.caller,
            path: request.path,
            body: format!("{:x}", request.body_hash),
            target: target.to_owned(),
        });
        suspects.extend(request.contents);
        trials.extend(request.trial.map(TrialGuard::finish).unwrap_or_default());
    }
    let outputs = edge.host.borrow_mut().report_crash(now, target, started_at, suspects, trials);
    edge.carry_out(outputs);
}
