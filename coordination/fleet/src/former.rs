//! What is kept of targets that are not used any more, so that news of them that arrive late have no
//! effect: a heartbeat may be under way while its process deregisters, ends or is taken for lost.

use std::{collections::BTreeMap, time::Duration};

use wire::{RequestLimit, TargetRecord, TargetState};

use crate::{
    answers::MAX_PAUSE,
    targets::{Pause, Target},
};

/// Maximum number of former targets that are kept; the oldest are dropped first.
const MAX_FORMER: usize = 4096;
/// How long it is kept that a process has ended: far longer than a heartbeat may be under way.
pub(crate) const ENDED_LIFE: Duration = Duration::from_secs(120);
/// How long a silent target is kept: as long as the pause that it may have asked for.
const SILENT_LIFE: Duration = MAX_PAUSE;

/// The process that last had a target's name.
#[derive(Debug, Clone)]
pub(crate) struct FormerTarget {
    /// Its last record; `Gone`, or the state in which it comes back if it was only silent.
    pub(crate) record: TargetRecord,
    pub(crate) limit: RequestLimit,
    pub(crate) pause: Option<Pause>,
    /// When it was dropped.
    since: Duration,
}

impl FormerTarget {
    /// Returns `Leaving` or `Gone` if a process that started then is known to leave or to have ended.
    pub(crate) fn ending(&self, started_at: u64) -> Option<TargetState> {
        if started_at != self.record.started_at {
            return (started_at < self.record.started_at).then_some(TargetState::Gone);
        }
        Some(self.record.state).filter(|it| *it != TargetState::Ready)
    }

    /// Whether it has been kept for long enough.
    fn is_expired(&self, now: Duration) -> bool {
        let life = if self.record.state == TargetState::Gone { ENDED_LIFE } else { SILENT_LIFE };
        now >= self.since + life
    }

    /// Whether a process that started then is known to have ended.
    pub(crate) fn has_ended(&self, started_at: u64) -> bool {
        self.ending(started_at) == Some(TargetState::Gone)
    }
}

/// The former targets that a host knows, by name. None of these names is in use.
#[derive(Debug, Clone, Default)]
pub(crate) struct FormerTargets {
    by_id: BTreeMap<String, FormerTarget>,
}

impl FormerTargets {
    pub(crate) fn get(&self, id: &str) -> Option<&FormerTarget> {
        self.by_id.get(id)
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<FormerTarget> {
        self.by_id.remove(id)
    }

    /// Drops what is kept of a target if it has been kept for long enough.
    pub(crate) fn expire(&mut self, now: Duration, id: &str) {
        if self.by_id.get(id).is_some_and(|it| it.is_expired(now)) {
            self.by_id.remove(id);
        }
    }

    /// Keeps that a process has ended, unless a later one is known.
    pub(crate) fn keep_ended(&mut self, now: Duration, record: TargetRecord) {
        let known = self.by_id.get(&record.id).map(|it| it.record.started_at);
        if known <= Some(record.started_at) {
            let record = TargetRecord { state: TargetState::Gone, ..record };
            let limit = RequestLimit::Unknown;
            self.keep(FormerTarget { record, limit, pause: None, since: now });
        }
    }

    /// Keeps what a silent target said last. It holds if the same process comes back.
    pub(crate) fn keep_silent(&mut self, now: Duration, target: Target) {
        let Target { record, limit, pause, .. } = target;
        self.keep(FormerTarget { record, limit: limit.limit, pause, since: now });
    }

    fn keep(&mut self, former: FormerTarget) {
        let now = former.since;
        self.by_id.insert(former.record.id.clone(), former);
        if self.by_id.len() <= MAX_FORMER {
            return;
        }
        self.by_id.retain(|_, it| !it.is_expired(now));
        while self.by_id.len() > MAX_FORMER {
            let oldest = self.by_id.iter().min_by_key(|(_, it)| it.since);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            self.by_id.remove(&id);
        }
    }
}
