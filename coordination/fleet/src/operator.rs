//! Operators' changes and reads, and departures of targets. They are sent to the leader, and answered once the
//! change is in force at the hosts, the departure is in the log, or the configuration here is known to be the
//! newest.

use std::{collections::BTreeMap, time::Duration};

use desired::{Command, Desired};
use wire::{HostId, Index};

use crate::io::{Reply, Tag};

/// Time before a request to the leader is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time before an unfinished change is answered as unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time before a departure that is not recorded is answered as unknown: within the second after which targets call
/// another host.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time before an unfinished read is answered as unknown.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// What an operator's call asks for.
#[derive(Debug)]
enum CallKind {
    Change {
        command: Command,
        /// Whether the leader knows that the hosts obey it, or that the log holds a departure.
        confirmed: bool,
    },
    /// A read, with the index that must be applied first; `None` until the leader has sent it.
    Read(Option<Index>),
}

#[derive(Debug)]
struct Call {
    kind: CallKind,
    since: Duration,
    sent: Option<Duration>,
}

impl Call {
    /// Returns the time after which it is answered as unknown.
    fn timeout(&self) -> Duration {
        match &self.kind {
            CallKind::Change { command: Command::Depart { .. }, .. } => DEPARTURE_TIMEOUT,
            CallKind::Change { .. } => CHANGE_TIMEOUT,
            CallKind::Read(_) => READ_TIMEOUT,
        }
    }
}

/// Unanswered calls of operators and leaving targets at one host.
#[derive(Debug, Default)]
pub(crate) struct OperatorCalls {
    calls: BTreeMap<Tag, Call>,
}

/// A request to the leader for an operator's call.
#[derive(Debug)]
pub(crate) enum LeaderRequest {
    Propose(Tag, Command),
    ReadIndex(Tag),
}

impl OperatorCalls {
    pub(crate) fn change(&mut self, now: Duration, tag: Tag, command: Command) {
        let kind = CallKind::Change { command, confirmed: false };
        self.calls.insert(tag, Call { kind, since: now, sent: None });
    }

    pub(crate) fn read(&mut self, now: Duration, tag: Tag) {
        self.calls.insert(tag, Call { kind: CallKind::Read(None), since: now, sent: None });
    }

    /// Records that the hosts obey a change, or that the log holds a departure.
    pub(crate) fn confirm(&mut self, tag: Tag) {
        if let Some(call) = self.calls.get_mut(&tag)
            && let CallKind::Change { confirmed, .. } = &mut call.kind
        {
            *confirmed = true;
        }
    }

    /// Sets the index that must be applied before a read is answered.
    pub(crate) fn set_read_index(&mut self, tag: Tag, index: Index) {
        if let Some(call) = self.calls.get_mut(&tag)
            && let CallKind::Read(needed) = &mut call.kind
        {
            *needed = Some(index);
        }
    }

    /// Returns the requests that are due, and marks them as sent.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<LeaderRequest> {
        let mut due = Vec::new();
        for (&tag, call) in &mut self.calls {
            if call.sent.is_some_and(|at| now < at + RESEND_INTERVAL) {
                continue;
            }
            match &call.kind {
                CallKind::Change { confirmed: true, .. } => continue,
                CallKind::Change { command, .. } => {
                    due.push(LeaderRequest::Propose(tag, command.clone()));
                }
                CallKind::Read(None) => due.push(LeaderRequest::ReadIndex(tag)),
                CallKind::Read(Some(_)) => continue,
            }
            call.sent = Some(now);
        }
        due
    }

    /// Makes all requests due again, since the leader has changed.
    pub(crate) fn resend_all(&mut self) {
        for call in self.calls.values_mut() {
            call.sent = None;
        }
    }

    /// Removes the calls that can be answered or have timed out, and returns their replies.
    pub(crate) fn take_replies(
        &mut self,
        now: Duration,
        applied: Index,
        state: &Desired,
    ) -> Vec<(Tag, Reply)> {
        let mut replies = Vec::new();
        for (&tag, call) in &self.calls {
            let reply = match &call.kind {
                CallKind::Change { command, confirmed: true } if state.is_redundant(command) => {
                    Some(Reply::InForce)
                }
                CallKind::Read(Some(index)) if *index <= applied => match &state.config {
                    Some(config) => Some(Reply::Config(config.body.clone())),
                    None => Some(Reply::Unknown),
                },
                _ if now >= call.since + call.timeout() => Some(Reply::Unknown),
                _ => None,
            };
            if let Some(reply) = reply {
                replies.push((tag, reply));
            }
        }
        for (tag, _) in &replies {
            self.calls.remove(tag);
        }
        replies
    }
}

/// A read index request at the leader, answered once a quorum has followed it since.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    pub(crate) host: HostId,
    pub(crate) tag: Tag,
    pub(crate) requested: Duration,
}
