//! The way of a caller's request from its arrival to its answer: from target to target until one answers or
//! it is certain that none will.

use http::StatusCode;
use platform::request::is_signed;

use crate::{
    active::Stage,
    answer::Answer,
    relay::{Job, RETRY_DELAY, SendOutcome, Sent},
    reservation::NoReservation,
    stop::STOPPING,
    stream,
};

/// What a request led to.
enum Relayed {
    /// The whole answer for the caller.
    Answer(Answer),
    /// A target began to send a stream.
    Stream(Box<Sent>),
}

/// The status for the caller and the outcome of a request that can't be served.
type Failure = (StatusCode, &'static str);

/// Relays a request and returns the answer for its caller. It begins before the process ends, if that is
/// told to end meanwhile.
pub(crate) async fn relay(mut job: Job) -> Answer {
    let edge = job.edge.clone();
    let relayed = tokio::select! {
        relayed = try_targets(&mut job) => relayed,
        () = edge.answers_due() => return job.end_in_stop(),
    };
    match relayed {
        Ok(Relayed::Answer(answer)) => answer,
        Ok(Relayed::Stream(sent)) => stream::forward(job, *sent),
        Err((status, why)) => job.fail(status, why),
    }
}

/// Sends a request to one target after the other. An error holds the caller's status and the outcome.
async fn try_targets(job: &mut Job) -> Result<Relayed, Failure> {
    if let Some(event) = job.head.last_event.filter(|_| job.kind().is_stream()) {
        let first = job.head.first_attempt.clone().unwrap_or_default();
        job.add_step("takes up", &format!("{first} after {event}"));
        if !job.find_software().await {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "unknown_version"));
        }
    }
    loop {
        job.reach(Stage::Waiting);
        let reservation = match job.reserve_with_permit().await {
            Ok(reservation) => reservation,
            Err(NoReservation::Busy) => return Err((StatusCode::SERVICE_UNAVAILABLE, "busy")),
            Err(NoReservation::NoPermit) => {
                return Err((StatusCode::SERVICE_UNAVAILABLE, "no_turn"));
            }
            Err(NoReservation::NoTarget) => {
                return Err((StatusCode::SERVICE_UNAVAILABLE, "no_target"));
            }
            Err(NoReservation::Limited(due)) => {
                job.retry_due = Some(due.max(RETRY_DELAY));
                return Err((StatusCode::SERVICE_UNAVAILABLE, "limited"));
            }
            Err(NoReservation::Quarantined(due)) => {
                job.retry_due = Some(due);
                return Err((StatusCode::SERVICE_UNAVAILABLE, "barred"));
            }
            Err(NoReservation::Stopping) => {
                job.note_stop();
                return Err((StatusCode::SERVICE_UNAVAILABLE, STOPPING));
            }
            Err(NoReservation::DeadlinePassed) => {
                return Err((StatusCode::GATEWAY_TIMEOUT, "late"));
            }
        };
        let last_event = job.head.last_event;
        let (response, connection, reservation, delay) =
            match job.send(reservation, last_event).await {
                SendOutcome::Head(sent) => *sent,
                SendOutcome::Retry => continue,
                SendOutcome::Final(status) => return Err((status, "unanswered")),
            };
        if job.kind().is_stream() && response.status().is_success() {
            if !is_signed(response.headers()) {
                match job.fail_send(reservation, "unsigned", StatusCode::BAD_GATEWAY) {
                    SendOutcome::Final(status) => return Err((status, "unsigned")),
                    SendOutcome::Retry | SendOutcome::Head(_) => continue,
                }
            }
            return Ok(Relayed::Stream(Box::new((response, connection, reservation, delay))));
        }
        if let Some(answer) = job.forward_whole(response, connection, reservation, delay).await {
            return Ok(Relayed::Answer(answer));
        }
    }
}
