//! Operators' changes and reads: they go to the leader, and are answered once
//! what they are about is in force, or is known to be the newest.

use std::{collections::BTreeMap, time::Duration};

use desired::{Command, Desired};
use wire::{HostId, Index};

use crate::io::{Reply, Tag};

/// Time between two tries to reach the leader.
const RESEND: Duration = Duration::from_millis(300);
/// How long a change is tried.
const CHANGE_TIME: Duration = Duration::from_millis(2500);
/// How long a read is tried.
const READ_TIME: Duration = Duration::from_millis(900);

/// A call that waits.
#[derive(Debug)]
enum Waiting {
    Change(Command),
    /// A read, with the index that must be applied once it is known.
    Read(Option<Index>),
}

#[derive(Debug)]
struct Call {
    waiting: Waiting,
    since: Duration,
    sent: Option<Duration>,
}

/// The operators' calls at one host.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    calls: BTreeMap<Tag, Call>,
}

/// What to ask the leader.
#[derive(Debug)]
pub(crate) enum Question {
    Propose(Tag, Command),
    Confirm(Tag),
}

impl Desk {
    pub(crate) fn change(&mut self, now: Duration, tag: Tag, command: Command) {
        let waiting = Waiting::Change(command);
        self.calls.insert(tag, Call { waiting, since: now, sent: None });
    }

    pub(crate) fn read(&mut self, now: Duration, tag: Tag) {
        self.calls.insert(tag, Call { waiting: Waiting::Read(None), since: now, sent: None });
    }

    /// Takes in the index that a read must have applied.
    pub(crate) fn confirmed(&mut self, tag: Tag, index: Index) {
        if let Some(call) = self.calls.get_mut(&tag)
            && let Waiting::Read(needed) = &mut call.waiting
        {
            *needed = Some(index);
        }
    }

    /// Returns what is to be sent to the leader now.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<Question> {
        let mut due = Vec::new();
        for (&tag, call) in &mut self.calls {
            if call.sent.is_some_and(|at| now < at + RESEND) {
                continue;
            }
            match &call.waiting {
                Waiting::Change(command) => due.push(Question::Propose(tag, command.clone())),
                Waiting::Read(None) => due.push(Question::Confirm(tag)),
                Waiting::Read(Some(_)) => continue,
            }
            call.sent = Some(now);
        }
        due
    }

    /// Lets all calls be sent again: the leader changed.
    pub(crate) fn hurry(&mut self) {
        for call in self.calls.values_mut() {
            call.sent = None;
        }
    }

    /// Answers the calls that can be answered.
    pub(crate) fn answers(
        &mut self,
        now: Duration,
        applied: Index,
        state: &Desired,
    ) -> Vec<(Tag, Reply)> {
        let mut answers = Vec::new();
        for (&tag, call) in &self.calls {
            let reply = match &call.waiting {
                Waiting::Change(command) if state.is_met(command) => Some(Reply::InForce),
                Waiting::Read(Some(index)) if *index <= applied => match &state.config {
                    Some(config) => Some(Reply::Config(config.body.clone())),
                    None => Some(Reply::Unknown),
                },
                Waiting::Change(_) if now >= call.since + CHANGE_TIME => Some(Reply::Unknown),
                Waiting::Read(_) if now >= call.since + READ_TIME => Some(Reply::Unknown),
                _ => None,
            };
            if let Some(reply) = reply {
                answers.push((tag, reply));
            }
        }
        for (tag, _) in &answers {
            self.calls.remove(tag);
        }
        answers
    }
}

/// A read that the leader confirms once a quorum follows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Confirming {
    pub(crate) host: HostId,
    pub(crate) tag: Tag,
    pub(crate) asked: Duration,
}
