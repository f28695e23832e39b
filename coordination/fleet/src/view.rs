//! How current this host's state is. The state contains all that was committed when a renewal was
//! sent whose answer names a commit index that is applied here. A change is acknowledged after it was
//! committed, so for the time in which it must be obeyed after that renewal was sent, no change that
//! this host lacks can be overdue. After that time, a host that still hears its leader is behind: it
//! takes no requests until it has caught up. One that hears no leader is cut off, or there is none:
//! it goes on with the routes that it has, but does not say that there is none.

use std::{collections::VecDeque, time::Duration};

use wire::{Index, Term};

use crate::{Event, Host};

/// Answered renewals that are kept while the state has not caught up with them.
const MAX_PENDING: usize = 16;

/// What this host knows about how current its state is.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// When the newest renewal was sent whose answer the state has caught up with.
    pub(crate) confirmed_at: Option<Duration>,
    /// Answered renewals that the state has not caught up with: when each was sent, and the commit
    /// index of its answer.
    pending: VecDeque<(Duration, Index)>,
    /// The latest term whose leader this host followed, and since when.
    followed: (Term, Duration),
    /// When the leader last answered a renewal.
    answered_at: Duration,
    /// Whether this host is behind, as of the last tick.
    pub(crate) is_behind: bool,
}

impl View {
    /// Records that this host follows the leader of a term.
    pub(crate) fn follow(&mut self, now: Duration, term: Term) {
        if term > self.followed.0 {
            self.followed = (term, now);
        }
    }
}

impl Host {
    /// Records that a leader with a quorum had committed up to `commit` when it answered the renewal
    /// that was sent at `sent`.
    pub(crate) fn record_view(&mut self, now: Duration, sent: Duration, commit: Index) {
        self.view.answered_at = now;
        if self.view.pending.len() == MAX_PENDING {
            self.view.pending.pop_front();
        }
        self.view.pending.push_back((sent, commit));
        self.update_view();
    }

    /// Confirms the state as of the renewals that it has caught up with.
    pub(crate) fn update_view(&mut self) {
        if self.view.pending.is_empty() {
            return;
        }
        let applied = self.replica.status().applied;
        let View { pending, confirmed_at, .. } = &mut self.view;
        pending.retain(|&(sent, commit)| {
            if commit <= applied {
                *confirmed_at = (*confirmed_at).max(Some(sent));
            }
            commit > applied
        });
    }

    /// Until when no change that this host lacks can be overdue. A host that begins to follow a leader
    /// has as long from then on.
    fn current_until(&self) -> Duration {
        let since = self.view.confirmed_at.unwrap_or_default().max(self.view.followed.1);
        since + self.settings.bounds.config_deadline
    }

    /// Whether the state may lack a change that should be in force.
    pub(crate) fn may_be_outdated(&self, now: Duration) -> bool {
        now >= self.current_until()
    }

    /// Whether the state may lack a change that should be in force, although the leader is heard and
    /// answers renewals in a form that this host reads.
    pub(crate) fn is_behind(&self) -> bool {
        let follows = self.leader.is_some_and(|it| it != self.settings.host);
        let is_answered = self.view.answered_at > self.view.followed.1;
        let heard_at = self.replica.leader_contact().max(self.view.answered_at);
        follows && is_answered && heard_at >= self.current_until()
    }

    /// Logs when this host falls behind, and when it has caught up.
    pub(crate) fn watch_view(&mut self, now: Duration) {
        let is_behind = self.is_behind();
        if std::mem::replace(&mut self.view.is_behind, is_behind) == is_behind {
            return;
        }
        let confirmed = self.view.confirmed_at.map(|at| now.saturating_sub(at));
        let status = self.replica.status();
        let commit = self.view.pending.back().map_or(status.commit, |it| it.1);
        self.log(Event::Behind {
            behind: is_behind,
            confirmed_ms: confirmed.map(|it| it.as_millis() as u64),
            applied: status.applied,
            commit,
        });
    }
}
