//! Records and requests that tests use.

use std::{collections::BTreeSet, time::Duration};

use fleet::{Input, RequestKind, Route, SeenCrash, Tag, TargetQuery};
use wire::{Suspect, TargetRecord, TargetState};

use super::ms;

/// The crash of a target's first process with several requests in it.
pub fn seen_crash(target: &str, suspects: &[Suspect]) -> SeenCrash {
    let (target, suspects) = (target.to_owned(), suspects.to_vec());
    SeenCrash { target, started_at: 1, suspects, ..SeenCrash::default() }
}

pub fn query(adapter: &str) -> TargetQuery {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: ms(15_000),
        latency_objective: ms(1000),
        max_pause: ms(300),
        priority: 1,
        attempts: 1,
        split: vec![("s".to_owned(), 1)],
    };
    TargetQuery {
        tokens: None,
        takes_up: false,
        route: route.into(),
        service: "s".to_owned(),
        adapter: Some(adapter.to_owned()),
        tried: BTreeSet::new(),
        arrived: Duration::ZERO,
        software: None,
    }
}

pub fn target(id: &str, started_at: u64, sequence: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: id.to_owned(),
        started_at,
        sequence,
        service: "s".to_owned(),
        addr: format!("{id}:1"),
        domain: "d1".to_owned(),
        slots: 4,
        software: "v1".to_owned(),
        state,
    }
}

/// A deregistration that arrives when so many milliseconds have passed since the Unix epoch.
pub fn deregistration(tag: Tag, id: &str, started_at: Option<u64>, arrived_at: u64) -> Input {
    Input::Deregistered { tag, id: id.to_owned(), started_at, arrived_at }
}
