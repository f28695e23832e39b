//! The leader's side of snapshots: sends them in chunks to hosts that lack entries which the log no
//! longer holds.

use bytes::Bytes;
use wire::{HostId, Index, LogBody, Snapshot};

use crate::{Replica, group::within, lead::ReplyHeader, peer::SnapshotTransfer, replica::Role};

/// Most bytes of a snapshot in one message.
const CHUNK_BYTES: u64 = 256 * 1024;

impl Replica {
    pub(crate) fn start_install(&mut self, host: HostId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        let Role::Leader(lead) = &self.role else {
            return;
        };
        if !lead.peers.get(&host).is_some_and(|peer| self.is_reachable(peer)) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&host) else {
            return;
        };
        peer.install = Some(SnapshotTransfer { snapshot, offset: 0, sent_at: now });
        self.send_chunk(host);
    }

    fn send_chunk(&mut self, host: HostId) {
        let now = self.now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round;
        let Some(transfer) = lead.peers.get_mut(&host).and_then(|p| p.install.as_mut()) else {
            return;
        };
        transfer.sent_at = now;
        let state = &transfer.snapshot.state;
        let total = state.len() as u64;
        let offset = transfer.offset.min(total);
        let end = total.min(offset + CHUNK_BYTES);
        let chunk = state.slice(offset as usize..end as usize);
        let head = Snapshot { state: Bytes::new(), ..transfer.snapshot.clone() };
        let commit = self.commit;
        self.send(host, LogBody::Install { round, head, total, offset, chunk, commit });
    }

    /// Resends the last chunk to a reachable host that has not replied to it for half an election
    /// timeout.
    pub(crate) fn resend_chunk(&mut self, host: HostId) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let election = self.settings.election;
        let peer = lead.peers.get(&host).filter(|peer| self.is_reachable(peer));
        let Some(transfer) = peer.and_then(|p| p.install.as_ref()) else {
            return;
        };
        if !within(self.now, transfer.sent_at, election / 2) {
            self.send_chunk(host);
        }
    }

    pub(crate) fn on_installed(
        &mut self,
        from: HostId,
        reply: ReplyHeader,
        index: Index,
        offset: u64,
    ) {
        if !self.record_reply(from, reply) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        let Some(transfer) = peer.install.as_mut().filter(|t| t.snapshot.index == index) else {
            return;
        };
        if offset >= transfer.snapshot.state.len() as u64 {
            peer.install = None;
            peer.next_index = index + 1;
            peer.unacked.clear();
            peer.advance(index, index);
        } else {
            transfer.offset = offset;
            self.send_chunk(from);
        }
        self.replicate(from);
        self.advance_commit();
        self.advance_membership();
    }
}
