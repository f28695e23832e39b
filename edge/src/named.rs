//! What targets say of themselves in their answers: request limits, brittleness, pauses and that they
//! leave.

use std::time::Duration;

use fleet::Event;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use platform::{
    FormatError,
    request::{
        asked_pause, is_not_run, matches_attempt, named_brittle, named_limit, names_no_attempt,
        says_leaving,
    },
};
use wire::MilliRate;

use crate::{client::Connection, relay::Job, reservation::ReservationGuard};

/// What a target says of itself in an answer.
struct Named {
    /// Its request limit, in thousandths of a request per second.
    rate: Option<MilliRate>,
    /// Number of requests that it may turn away in a second before it falls over.
    brittle: Option<u32>,
    /// Time for which it wants nothing from this host.
    pause: Option<Duration>,
    leaving: bool,
}

impl Named {
    /// Reads an answer's headers; what can't be read counts as not named, and is returned too.
    fn read(status: u16, headers: &HeaderMap) -> (Named, Vec<FormatError>) {
        let mut errors = Vec::new();
        let named = Named {
            rate: named_limit(headers).unwrap_or_else(|error| note(&mut errors, error)),
            brittle: named_brittle(headers).unwrap_or_else(|error| note(&mut errors, error)),
            pause: asked_pause(status, headers).unwrap_or_else(|error| note(&mut errors, error)),
            leaving: says_leaving(headers),
        };
        (named, errors)
    }
}

fn note<T>(errors: &mut Vec<FormatError>, error: FormatError) -> Option<T> {
    errors.push(error);
    None
}

impl Job {
    /// Records what a target says of itself in its answer. Answers to other requests, and those that may
    /// come from another target, do not count.
    pub(crate) fn record_target(
        &mut self,
        reservation: &ReservationGuard,
        connection: &Connection,
        response: &Response<Incoming>,
    ) {
        let headers = response.headers();
        let status = response.status();
        let is_refused = is_not_run(status.as_u16(), headers);
        let is_own = matches_attempt(headers, &self.head.attempt)
            || (names_no_attempt(headers) && is_refused);
        if status == StatusCode::MISDIRECTED_REQUEST || !is_own {
            return;
        }
        let (named, errors) = Named::read(status.as_u16(), headers);
        for error in errors {
            self.edge.log.request(self.edge.now(), true, || Event::Alarm {
                what: format!("answer of {}: {error}", reservation.target()),
            });
        }
        let (edge, id) = (&self.edge, &self.head.attempt);
        let now = edge.now();
        let reservation = &reservation.reservation;
        let mut host = edge.host.borrow_mut();
        let mut outputs = host.record_brittle(now, reservation, named.brittle, is_refused);
        outputs.extend(host.record_limit(now, reservation, named.rate));
        if let Some(span) = named.pause {
            outputs.extend(host.record_pause(now, reservation, id, span, connection.relay()));
        }
        if named.leaving {
            outputs.extend(host.record_leaving(now, reservation, id));
        }
        drop(host);
        edge.carry_out(outputs);
        if let Some(span) = named.pause {
            self.retry_due = Some(self.retry_due.map_or(span, |it| it.min(span)));
        }
    }
}
