//! What a host that was told to end may still begin.

mod common;

use std::time::Duration;

use common::{ms, settings::settings};
use fleet::{AnswerTime, Host, Input, RequestKind, Route};

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

fn route() -> Route {
    Route {
        name: "plans".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/plans/".to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: Duration::from_secs(15),
        latency_objective: Duration::from_secs(1),
        max_pause: ms(300),
        priority: 1,
        split: vec![("models".to_owned(), 1)],
        attempts: 1,
    }
}

fn answer(first_ms: u64, rest_ms: u64, tokens: u32) -> AnswerTime {
    AnswerTime { first: ms(first_ms), rest: ms(rest_ms), tokens: Some(tokens) }
}

#[test]
fn nothing_is_limited_until_the_host_is_told_to_end() {
    let mut host = host(GRACE);
    assert_eq!(host.last_start(&route(), Some(80), LATE), None);
    assert_eq!(host.time_to_end(TOLD), None);
    host.handle(TOLD, Input::Stop);
    assert_eq!(host.time_to_end(TOLD), Some(ms(7_500)));
}

#[test]
fn a_request_is_sent_only_if_its_answer_can_end_in_time() {
    let mut host = host(GRACE);
    for _ in 0..10 {
        host.record_answer("plans", answer(200, 800, 80));
    }
    host.handle(TOLD, Input::Stop);
    let end = host.shutdown().expect("it was told to end").answers_until;
    assert!(end < TOLD + GRACE);
    assert_eq!(host.last_start(&route(), Some(80), LATE), Some(end - ms(1_000)));
    assert_eq!(
        host.last_start(&route(), Some(400), LATE),
        Some(end - ms(4_200)),
        "a longer answer"
    );
    assert_eq!(host.last_start(&route(), Some(80), end), None, "its deadline comes first");
    let unstated = host.last_start(&route(), None, LATE).expect("it is limited");
    assert!(unstated < TOLD, "only answers of a stated size have ended");
    let other = Route { name: "notes".to_owned(), ..route() };
    let never = host.last_start(&other, Some(80), LATE).expect("it is limited");
    assert!(never < TOLD, "nothing is known of the route");
}

/// One answer that takes ten times as long as any other doesn't keep all others from being begun, as long as
/// callers are accepted.
#[test]
fn a_single_slow_answer_limits_only_requests_that_come_late() {
    let mut host = host(GRACE);
    for number in 0..40 {
        let rest = if number == 20 { 8_000 } else { 800 };
        host.record_answer("plans", answer(200, rest, 80));
    }
    host.handle(TOLD, Input::Stop);
    let shutdown = host.shutdown().expect("it was told to end");
    assert_eq!(host.last_start(&route(), Some(80), LATE), Some(shutdown.listen_until));
    let end = shutdown.answers_until;
    assert_eq!(host.last_start(&route(), Some(700), LATE), Some(end - ms(7_200)), "long answers");
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
