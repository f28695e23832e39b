//! What a host that was told to end may still begin.

mod common;

use std::time::Duration;

use common::{ms, records, settings::settings};
use fleet::{AnswerTime, Host, Input, Shutdown, TargetQuery};

/// Grace time of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// When the host is told to end.
const TOLD: Duration = Duration::from_secs(100);
/// A deadline long after the end of the process.
const LATE: Duration = Duration::from_secs(200);

fn host(grace: Duration) -> Host {
    let mut settings = settings(1, &[1], true, false);
    settings.bounds.shutdown_grace = grace;
    Host::new(Duration::ZERO, settings, 1, None, 1).0
}

fn query(tokens: u32) -> TargetQuery {
    TargetQuery { tokens: Some(tokens), ..records::query("") }
}

fn answer(whole_ms: u64, tokens: u32) -> AnswerTime {
    AnswerTime { whole: ms(whole_ms), tokens: Some(tokens) }
}

/// Returns a host that was told to end after these answers, and when answers have to be given.
fn told_to_end(answers: impl Iterator<Item = AnswerTime>) -> (Host, Shutdown) {
    let mut host = host(GRACE);
    for time in answers {
        host.record_answer(&query(1).route.name, time);
    }
    host.handle(TOLD, Input::Stop);
    let shutdown = host.shutdown().expect("it was told to end");
    (host, shutdown)
}

fn last_start(host: &Host, tokens: u32) -> Option<Duration> {
    host.last_start(&query(tokens), LATE, Duration::ZERO)
}

#[test]
fn nothing_is_limited_until_the_host_is_told_to_end() {
    let mut host = host(GRACE);
    assert_eq!(last_start(&host, 80), None);
    assert_eq!(host.time_to_end(TOLD), None);
    host.handle(TOLD, Input::Stop);
    assert_eq!(host.time_to_end(TOLD), Some(ms(7_500)));
}

/// What comes late has to fit with a reserve of a quarter.
#[test]
fn a_request_is_sent_only_if_its_answer_can_end_in_time() {
    let (host, shutdown) = told_to_end((0..20).map(|_| answer(1_000, 80)));
    let end = shutdown.answers_until;
    assert!(end < TOLD + GRACE);
    assert_eq!(last_start(&host, 80), Some(end - ms(1_250)));
    assert_eq!(last_start(&host, 160), Some(end - ms(1_250)), "twice the size");
    assert_eq!(host.last_start(&query(80), end, ms(0)), None, "its deadline comes first");
    let running = host.last_start(&query(80), LATE, ms(3_000));
    assert_eq!(running, Some(end - ms(3_000)), "another one takes 3 s already");
}

/// What isn't known is not taken for short: it is sent while callers are accepted, and not later.
#[test]
fn a_request_of_unknown_length_is_not_sent_late() {
    let (host, shutdown) = told_to_end((0..19).map(|_| answer(1_000, 80)));
    assert_eq!(last_start(&host, 80), Some(shutdown.listen_until), "too few answers");
    let (host, shutdown) = told_to_end((0..64).map(|_| answer(1_000, 80)));
    assert_eq!(last_start(&host, 161), Some(shutdown.listen_until), "more than twice the size");
    let unstated = TargetQuery { tokens: None, ..query(80) };
    let last = host.last_start(&unstated, LATE, ms(0));
    assert_eq!(last, Some(shutdown.listen_until), "its size is not stated");
}

/// Answers that take eight times as long as most others don't keep these from being begun, as long as callers are
/// accepted: more of them are whole than cut off.
#[test]
fn some_long_answers_limit_only_requests_that_come_late() {
    let times = (0..40).map(|it| answer(if it % 3 == 0 { 8_200 } else { 1_000 }, 80));
    let (host, shutdown) = told_to_end(times);
    assert_eq!(last_start(&host, 80), Some(shutdown.listen_until));
    let (host, shutdown) = told_to_end((0..40).map(|_| answer(7_200, 80)));
    let end = shutdown.answers_until;
    assert_eq!(last_start(&host, 80), Some(end - ms(7_200)), "all are long");
    let part = TargetQuery { takes_up: true, ..query(80) };
    let last = host.last_start(&part, LATE, ms(0));
    assert_eq!(last, Some(shutdown.listen_until), "a part of a long one");
}

/// An answer that was given up tells that others may take at least as long, not that they are short.
#[test]
fn answers_that_are_given_up_count_if_they_are_long() {
    let (mut host, shutdown) = told_to_end((0..20).map(|_| answer(1_000, 80)));
    let end = shutdown.answers_until;
    for _ in 0..64 {
        host.record_unfinished(&query(80).route.name, answer(30, 80));
    }
    assert_eq!(last_start(&host, 80), Some(end - ms(1_250)));
    host.record_unfinished(&query(80).route.name, answer(3_200, 80));
    assert_eq!(last_start(&host, 80), Some(end - ms(4_000)));
}

/// Listeners close before answers have to be given, and these before the process ends, whatever the
/// grace time is; the first of two signals counts.
#[test]
fn the_parts_of_a_shutdown_are_in_order() {
    for grace_ms in [0, 1, 100, 400, 700, 1_000, 2_500, 8_000, 30_000] {
        let mut host = host(ms(grace_ms));
        host.handle(TOLD, Input::Stop);
        let shutdown = host.shutdown().expect("it was told to end");
        host.handle(TOLD + ms(100), Input::Stop);
        assert_eq!(host.shutdown(), Some(shutdown), "grace {grace_ms} ms");
        assert!(TOLD <= shutdown.listen_until, "grace {grace_ms} ms");
        assert!(shutdown.listen_until <= shutdown.answers_until, "grace {grace_ms} ms");
        assert!(shutdown.answers_until <= shutdown.ends_at, "grace {grace_ms} ms");
        assert!(shutdown.ends_at <= TOLD + ms(grace_ms), "grace {grace_ms} ms");
    }
}
