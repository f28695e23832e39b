//! Ends of answers that give no length: the body ends with the connection, and the kernel closes that
//! in the ordinary way too when the target's process dies in the midst of it. So the target is asked whether
//! its process goes on; if it doesn't say so, the answer counts as cut off.

use std::{fmt, rc::Rc, time::Duration};

use fleet::Reservation;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{edge::Edge, relay::Job, reservation::ReservationGuard};

/// Time limit for the whole question, connections included: one of them may have to be tried twice.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for the body of the answer, which is read for the start of the process only.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// What a target shows after the end of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    /// The process that answered goes on.
    GoesOn,
    /// Another process answers at its address, or is known to have followed it.
    Replaced,
    /// No connection can be opened to it, from here or from other hosts.
    Unreached,
    /// It accepts a connection and doesn't answer.
    Silent,
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Shown::GoesOn => "goes_on",
            Shown::Replaced => "replaced",
            Shown::Unreached => "unreached",
            Shown::Silent => "silent",
        })
    }
}

impl Job {
    /// Whether an answer whose connection has ended, and which gave no length, is complete: the process that
    /// answered goes on.
    pub(crate) async fn confirm_end(&mut self, reservation: &ReservationGuard) -> bool {
        let left = self.deadline.saturating_sub(self.edge.now());
        let question = ask(&self.edge, &reservation.reservation);
        let asked = timeout(left.min(QUESTION_TIMEOUT), question).await;
        let shown = asked.unwrap_or(Shown::Silent);
        self.edge.metrics.unframed_ended(&shown.to_string());
        self.add_step("asked after its end", &format!("{} {shown}", reservation.target()));
        shown == Shown::GoesOn
    }
}

async fn ask(edge: &Rc<Edge>, reservation: &Reservation) -> Shown {
    let Reservation { target, addr, .. } = reservation;
    let path = platform::target::REPORT_PATH;
    let Some(request) = edge.control_request(Method::GET, path, target, addr, Vec::new()) else {
        return Shown::Unreached;
    };
    let Some(mut connection) = edge.open_any_way(target, addr).await else {
        return Shown::Unreached;
    };
    let Ok(response) = connection.send(request).await else { return Shown::Silent };
    let is_other = is_other_process(edge, reservation, response).await;
    if is_other || edge.host.borrow().is_replaced(reservation) {
        return Shown::Replaced;
    }
    Shown::GoesOn
}

/// Whether the answer to a request that is meant for a target comes from another process than the one with
/// the reservation: a target of another name says so, one that was started again states another start. A
/// service without reports answers with some other status.
async fn is_other_process(
    edge: &Rc<Edge>,
    reservation: &Reservation,
    response: Response<Incoming>,
) -> bool {
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return true;
    }
    if !status.is_success() {
        return false;
    }
    let body = edge.control_client.collect(response.into_body());
    let body = timeout(REPORT_TIMEOUT, body).await.ok().flatten();
    let report = body.and_then(|it| platform::target::read_report(&it).ok());
    let started_at = report.and_then(|it| it.started_at);
    // A target that names no start in its heartbeats is known by its name alone.
    reservation.started_at > 0 && started_at.is_some_and(|it| it != reservation.started_at)
}
