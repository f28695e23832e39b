//! Answers that come as a series of events.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fleet::{Kind, Outcome};
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::request::{answer_headers, is_signed};
use tokio::{
    sync::mpsc::{Sender, channel},
    time::sleep,
};

use crate::{
    answer::{Answer, AnswerBody, BrokenOff, Piece},
    client::Connection,
    placed::Placed,
    relay::{Job, Sent},
};

/// Pieces that may wait for a slow caller; the target's connection is read no
/// further meanwhile.
const WAITING_PIECES: usize = 16;
/// The longest event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a target's bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    partial: BytesMut,
    /// The last event that was passed on.
    last: Option<u64>,
    /// When that was.
    passed: Option<Duration>,
    /// The longest pause between two of them.
    pause: Duration,
}

impl Events {
    /// Takes bytes in and returns the events that are whole and new; none if they
    /// are no events.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let number = event_number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            out.extend_from_slice(&event);
        }
        (self.partial.len() <= MAX_EVENT_BYTES).then(|| out.freeze())
    }

    /// Notes that events are passed on.
    fn pass(&mut self, now: Duration) {
        let pause = self.passed.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.pause = self.pause.max(pause);
        self.passed = Some(now);
    }

    /// Forgets an event that was broken off.
    fn cut(&mut self) {
        self.partial.clear();
    }
}

/// Returns where the first event ends: after an empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    for (at, pair) in bytes.windows(2).enumerate() {
        if pair == b"\n\n" {
            return Some(at + 2);
        }
        if pair == b"\n\r" && bytes.get(at + 2) == Some(&b'\n') {
            return Some(at + 3);
        }
    }
    None
}

fn event_number(event: &[u8]) -> Option<u64> {
    for line in event.split(|&byte| byte == b'\n') {
        let Some(rest) = line.strip_prefix(b"id:") else { continue };
        return std::str::from_utf8(rest).ok()?.trim().parse().ok();
    }
    None
}

/// Passes a stream on while it arrives.
pub(crate) fn pass(
    job: Job,
    response: Response<Incoming>,
    connection: Connection,
    placed: Placed,
    delay: Duration,
) -> Answer {
    let (parts, body) = response.into_parts();
    let (sender, receiver) = channel(WAITING_PIECES);
    let mut answer = Response::new(AnswerBody::Stream(receiver));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = answer_headers(&parts.headers);
    job.edge.metrics.part("first", delay.as_secs_f64());
    let source = Source { body, headers: parts.headers, connection, placed, delay, begun: false };
    let events = Events { last: job.head.last_event, ..Events::default() };
    tokio::task::spawn_local(pump(job, source, events, sender));
    answer
}

/// Where a stream comes from.
struct Source {
    body: Incoming,
    headers: HeaderMap,
    connection: Connection,
    placed: Placed,
    delay: Duration,
    /// Whether an event came from there.
    begun: bool,
}

/// How reading a source ended.
enum Ended {
    Whole,
    Broken,
    CallerLeft,
    TimeUp,
}

async fn pump(mut job: Job, mut source: Source, mut events: Events, sender: Sender<Piece>) {
    loop {
        match read(&job, &mut source, &mut events, &sender).await {
            Ended::Whole => {
                source.placed.end(Outcome::Answered(source.delay));
                job.edge.client.keep(source.connection, &source.headers);
                if events.pause > job.ask.route.pause && !job.ask.route.pause.is_zero() {
                    job.note("longest pause", &format!("{} ms", events.pause.as_millis()));
                }
                job.done("served", 200);
                return;
            }
            Ended::CallerLeft => {
                source.placed.end(Outcome::Left);
                job.done("caller_left", 0);
                return;
            }
            Ended::TimeUp => {
                source.placed.end(Outcome::Left);
                let _ = sender.try_send(Err(BrokenOff));
                job.done("late", 0);
                return;
            }
            Ended::Broken => {}
        }
        drop(source.connection);
        if !source.begun {
            job.suspect(&source.placed);
        }
        let again =
            matches!(job.lost(source.placed, "broken", http::StatusCode::BAD_GATEWAY), Sent::Again);
        events.cut();
        let resumable = job.kind() == Kind::Stream { resumable: true };
        let next = if again && resumable {
            tokio::select! {
                next = resume(&mut job, events.last) => next,
                () = sender.closed() => None,
            }
        } else {
            None
        };
        let Some(next) = next else {
            let _ = sender.send(Err(BrokenOff)).await;
            job.done("broken_off", 0);
            return;
        };
        source = next;
    }
}

/// Goes on with a stream at another target.
async fn resume(job: &mut Job, last: Option<u64>) -> Option<Source> {
    loop {
        let placed = job.place_in_turn().await.ok()?;
        let (response, connection, placed, delay) = match job.send(placed, last).await {
            Sent::Head(sent) => *sent,
            Sent::Again => continue,
            Sent::Over(_) => return None,
        };
        let (parts, body) = response.into_parts();
        if !parts.status.is_success() || !is_signed(&parts.headers) {
            match job.lost(placed, "not resumed", parts.status) {
                Sent::Again => continue,
                Sent::Over(_) | Sent::Head(_) => return None,
            }
        }
        job.note("resumed", placed.target());
        return Some(Source {
            body,
            headers: parts.headers,
            connection,
            placed,
            delay,
            begun: false,
        });
    }
}

async fn read(
    job: &Job,
    source: &mut Source,
    events: &mut Events,
    sender: &Sender<Piece>,
) -> Ended {
    let left = job.end.saturating_sub(job.edge.now());
    let mut late = std::pin::pin!(sleep(left));
    loop {
        let frame = tokio::select! {
            frame = source.body.frame() => frame,
            () = sender.closed() => return Ended::CallerLeft,
            () = &mut late => return Ended::TimeUp,
        };
        let bytes = match frame {
            None if events.partial.is_empty() => return Ended::Whole,
            None | Some(Err(_)) => return Ended::Broken,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
        };
        source.placed.prompt_read();
        source.begun = true;
        let Some(whole) = events.push(&bytes) else { return Ended::Broken };
        if whole.is_empty() {
            continue;
        }
        events.pass(job.edge.now());
        tokio::select! {
            sent = sender.send(Ok(whole)) => {
                if sent.is_err() {
                    return Ended::CallerLeft;
                }
            }
            () = &mut late => return Ended::TimeUp,
        }
    }
}
