//! Forwards answers that are streams of server-sent events, and resumes them at another target.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fleet::Outcome;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::request::{answer_headers, is_signed};
use tokio::time::sleep;

use crate::{
    active::Stage,
    answer::{Answer, AnswerBody, StreamWriter},
    client::{Connection, tells_end},
    relay::{Job, SendOutcome, Sent},
    reservation::ReservationGuard,
};

/// Chunks queued for a slow caller. While the queue is full, the target's connection is not read.
const QUEUED_CHUNKS: usize = 16;
/// Maximum number of bytes that end an event.
const MAX_EVENT_END: usize = 3;
/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a target's bytes into complete events and skips those that were forwarded before.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// The beginning of an event whose end has not arrived.
    partial: BytesMut,
    /// Number of its bytes in which no event ends.
    searched: usize,
    /// Id of the last event that was forwarded.
    last_event: Option<u64>,
    /// When events were last forwarded, by `Edge::now`.
    forwarded_at: Option<Duration>,
    /// Longest time between two forwarded chunks of events.
    longest_pause: Duration,
}

impl EventBuffer {
    /// Adds bytes and returns the complete new events; none if the incomplete one is longer than
    /// `MAX_EVENT_BYTES`.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.partial, self.searched) {
            let event = self.partial.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            if id.is_some() && id <= self.last_event {
                continue;
            }
            self.last_event = id.or(self.last_event);
            out.extend_from_slice(&event);
        }
        self.searched = self.partial.len().saturating_sub(MAX_EVENT_END - 1);
        (self.partial.len() <= MAX_EVENT_BYTES).then(|| out.freeze())
    }

    /// Records that events are forwarded now.
    fn record_forwarded(&mut self, now: Duration) {
        let pause = self.forwarded_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.longest_pause = self.longest_pause.max(pause);
        self.forwarded_at = Some(now);
    }

    /// Discards an incomplete event, after its source broke off.
    fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }
}

/// Returns the length of the first event, with the empty line that ends it; the line does not begin
/// before `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for (at, pair) in bytes.windows(2).enumerate().skip(from) {
        if pair == b"\n\n" {
            return Some(at + 2);
        }
        if pair == b"\n\r" && bytes.get(at + 2) == Some(&b'\n') {
            return Some(at + 3);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|&byte| byte == b'\n') {
        let Some(rest) = line.strip_prefix(b"id:") else { continue };
        return std::str::from_utf8(rest).ok()?.trim().parse().ok();
    }
    None
}

/// Starts to forward a stream, and returns the answer that carries it.
pub(crate) fn forward(mut job: Job, sent: Sent) -> Answer {
    job.is_answering = true;
    let (response, connection, reservation, delay) = sent;
    job.reach(Stage::Answering);
    let (parts, body) = response.into_parts();
    let (writer, stream) = StreamWriter::new(QUEUED_CHUNKS);
    let mut answer = Response::new(AnswerBody::Stream(stream));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = answer_headers(&parts.headers);
    job.edge.metrics.observe_part("first", delay.as_secs_f64());
    let source = Source::new(body, parts.headers, connection, reservation, delay);
    let events = EventBuffer { last_event: job.head.last_event, ..EventBuffer::default() };
    tokio::task::spawn_local(forward_events(job, source, events, writer));
    answer
}

/// The target that a stream is read from.
struct Source {
    body: Incoming,
    headers: HeaderMap,
    connection: Connection,
    reservation: ReservationGuard,
    /// Time until the head of its answer arrived.
    delay: Duration,
    /// Whether a complete event has arrived from it.
    begun: bool,
    /// Whether its answer tells where it ends.
    tells_end: bool,
}

impl Source {
    fn new(
        body: Incoming,
        headers: HeaderMap,
        connection: Connection,
        reservation: ReservationGuard,
        delay: Duration,
    ) -> Source {
        let tells_end = tells_end(&headers, &body);
        Source { body, headers, connection, reservation, delay, begun: false, tells_end }
    }
}

/// Why reading from a source ended.
enum StreamEnd {
    Complete,
    Broken,
    CallerLeft,
    DeadlinePassed,
    /// It could not be recorded which software version began it.
    Unrecorded,
}

/// Forwards a stream from one source after the other until it is complete or abandoned.
async fn forward_events(
    mut job: Job,
    mut source: Source,
    mut events: EventBuffer,
    writer: StreamWriter,
) {
    loop {
        match forward_source(&mut job, &mut source, &mut events, &writer).await {
            StreamEnd::Complete => {
                source.reservation.end(Outcome::Answered(source.delay));
                job.edge.client.keep(source.connection, &source.headers);
                if events.longest_pause > job.query.route.max_pause
                    && !job.query.route.max_pause.is_zero()
                {
                    job.add_step(
                        "longest pause",
                        &format!("{} ms", events.longest_pause.as_millis()),
                    );
                }
                job.record_answer(true);
                job.complete("served", 200);
                writer.finish();
                return;
            }
            StreamEnd::CallerLeft => {
                job.record_answer(false);
                source.reservation.end(Outcome::Left);
                job.complete("caller_left", 0);
                return;
            }
            StreamEnd::DeadlinePassed => {
                job.record_answer(false);
                source.reservation.end(Outcome::Left);
                job.complete("late", 0);
                return;
            }
            StreamEnd::Unrecorded => {
                source.reservation.end(Outcome::Left);
                job.complete("unrecorded", 0);
                return;
            }
            StreamEnd::Broken => {}
        }
        drop(source.connection);
        if !source.begun {
            job.check_crash(&source.reservation).await;
        }
        let retry = matches!(
            job.fail_send(source.reservation, "broken", http::StatusCode::BAD_GATEWAY),
            SendOutcome::Retry
        );
        events.discard_partial();
        let next = if retry && job.is_resumable() {
            tokio::select! {
                next = resume(&mut job, events.last_event) => next,
                () = writer.closed() => None,
            }
        } else {
            None
        };
        let Some(next) = next else {
            job.complete("broken_off", 0);
            return;
        };
        source = next;
    }
}

/// Resumes a stream after the given event at another target; none if that is not possible.
async fn resume(job: &mut Job, last_event: Option<u64>) -> Option<Source> {
    loop {
        let reservation = match job.reserve_with_permit().await {
            Ok(reservation) => reservation,
            Err(why) => {
                job.add_step("not resumed", &format!("{why:?}"));
                return None;
            }
        };
        let (response, connection, reservation, delay) =
            match job.send(reservation, last_event).await {
                SendOutcome::Head(sent) => *sent,
                SendOutcome::Retry => continue,
                SendOutcome::Final(_) => return None,
            };
        let (parts, body) = response.into_parts();
        if !parts.status.is_success() || !is_signed(&parts.headers) {
            match job.fail_send(reservation, "not resumed", parts.status) {
                SendOutcome::Retry => continue,
                SendOutcome::Final(_) | SendOutcome::Head(_) => return None,
            }
        }
        job.add_step("resumed", reservation.target());
        return Some(Source::new(body, parts.headers, connection, reservation, delay));
    }
}

/// Whether a stream that ended between two events is complete. One whose end looks like that of its
/// target's process has to be confirmed; without any event, only a stream that was resumed can be.
async fn is_complete(job: &mut Job, source: &Source, events: &EventBuffer) -> bool {
    if source.tells_end {
        return true;
    }
    let has_events = source.begun || events.last_event.is_some();
    has_events && job.confirm_end(&source.reservation).await
}

/// Forwards the events of one source until it ends.
async fn forward_source(
    job: &mut Job,
    source: &mut Source,
    events: &mut EventBuffer,
    writer: &StreamWriter,
) -> StreamEnd {
    let left = job.deadline.saturating_sub(job.edge.now());
    let mut deadline = std::pin::pin!(sleep(left));
    loop {
        let frame = tokio::select! {
            frame = source.body.frame() => frame,
            () = writer.closed() => return StreamEnd::CallerLeft,
            () = &mut deadline => return StreamEnd::DeadlinePassed,
        };
        let bytes = match frame {
            None if events.partial.is_empty() && is_complete(job, source, events).await => {
                return StreamEnd::Complete;
            }
            None | Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
        };
        source.reservation.prompt_prefilled();
        let Some(complete) = events.push(&bytes) else { return StreamEnd::Broken };
        if complete.is_empty() {
            continue;
        }
        if !std::mem::replace(&mut source.begun, true) {
            job.record_begun();
            let software = source.reservation.reservation.software;
            tokio::select! {
                may_forward = job.bind_software(software) => {
                    if !may_forward {
                        return StreamEnd::Unrecorded;
                    }
                }
                () = writer.closed() => return StreamEnd::CallerLeft,
                () = &mut deadline => return StreamEnd::DeadlinePassed,
            }
        }
        events.record_forwarded(job.edge.now());
        tokio::select! {
            is_taken = writer.write(complete) => {
                if !is_taken {
                    return StreamEnd::CallerLeft;
                }
            }
            () = &mut deadline => return StreamEnd::DeadlinePassed,
        }
    }
}
