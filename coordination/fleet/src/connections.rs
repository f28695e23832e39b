//! The connections of clients at one listener, and which of them is closed when a further client comes.
//!
//! A connection whose request is being served stays. Of the others, which wait for their clients, the one
//! over which nothing has come or gone for the longest time is closed.

use std::{collections::BTreeMap, time::Duration};

use thiserror::Error;

/// A connection, by number.
pub type ConnectionId = u64;

/// A connection whose client takes nothing for so long has stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// All connections are being served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no connection is free")]
pub struct NoConnection;

#[derive(Debug)]
struct Connection {
    is_served: bool,
    /// Whether bytes wait for the client to take them.
    is_blocked: bool,
    /// When bytes last came or went.
    active_at: Duration,
}

/// The open connections, no more than a limit.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    next: ConnectionId,
    open: BTreeMap<ConnectionId, Connection>,
}

impl Connections {
    /// Returns an empty table for so many connections, one at least.
    pub fn new(limit: usize) -> Connections {
        Connections { limit: limit.max(1), next: 0, open: BTreeMap::new() }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection, and returns the one that has to be closed for it, if the limit is reached. That has been
    /// removed.
    ///
    /// # Errors
    ///
    /// If the limit is reached and all connections are being served.
    pub fn open(
        &mut self,
        now: Duration,
    ) -> Result<(ConnectionId, Option<ConnectionId>), NoConnection> {
        let mut closed = None;
        if self.open.len() >= self.limit {
            let waiting = self.open.iter().filter(|(_, it)| !it.is_served);
            let least = waiting.min_by_key(|(id, it)| (it.active_at, **id));
            let least = *least.ok_or(NoConnection)?.0;
            self.open.remove(&least);
            closed = Some(least);
        }
        self.next += 1;
        let connection = Connection { is_served: false, is_blocked: false, active_at: now };
        self.open.insert(self.next, connection);
        Ok((self.next, closed))
    }

    /// Records that bytes came or went.
    pub fn record_activity(&mut self, now: Duration, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.active_at = now;
        }
    }

    /// Records that a request has come whole, and is served from now on.
    pub fn serve(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.is_served = true;
        }
    }

    /// Records that a request was answered; its client has to take the answer, or to send another one.
    pub fn wait(&mut self, now: Duration, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            (connection.is_served, connection.active_at) = (false, now);
        }
    }

    /// Records whether bytes wait for the client to take them.
    pub fn record_blocked(&mut self, id: ConnectionId, is_blocked: bool) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.is_blocked = is_blocked;
        }
    }

    /// Removes the connection whose client has taken nothing of a whole answer for the longest time, if one has
    /// stalled, so that its memory can be used.
    pub fn remove_stalled(&mut self, now: Duration) -> Option<ConnectionId> {
        let is_stalled =
            |it: &Connection| it.is_blocked && !it.is_served && now >= it.active_at + STALL_TIME;
        let stalled = self.open.iter().filter(|(_, it)| is_stalled(it));
        let (id, _) = stalled.min_by_key(|(id, it)| (it.active_at, **id))?;
        let id = *id;
        self.open.remove(&id);
        Some(id)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}
