//! Functions on memberships.

use std::time::Duration;

use wire::{GroupId, HostId, Member, Membership, Role, VoterId};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Derives the id of a group from its founding members. Never zero.
pub(crate) fn group_id(members: &Membership) -> GroupId {
    let mut hash = FNV_OFFSET;
    for byte in wire::encode(members) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    hash.max(1)
}

pub(crate) fn member(members: &Membership, host: HostId) -> Option<&Member> {
    members.members.iter().find(|m| m.host == host)
}

pub(crate) fn is_voter(members: &Membership, host: HostId, voter: VoterId) -> bool {
    member(members, host).is_some_and(|m| m.voter == voter && m.role == Role::Voter)
}

pub(crate) fn voters(members: &Membership) -> impl Iterator<Item = &Member> {
    members.members.iter().filter(|m| m.role == Role::Voter)
}

/// Tells whether `count` voters are a quorum.
pub(crate) fn is_quorum(members: &Membership, count: usize) -> bool {
    count > voters(members).count() / 2
}

/// Returns the highest value that a quorum has reached, given each voter's.
pub(crate) fn quorum_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable();
    let below = values.len().checked_sub(1)? / 2;
    values.get(below).copied()
}

/// Returns the membership with the member of a host set or replaced.
pub(crate) fn with(members: &Membership, member: Member) -> Membership {
    let mut next = without(members, member.host);
    next.members.push(member);
    next.members.sort_by_key(|m| m.host);
    next
}

/// Returns the membership without a host.
pub(crate) fn without(members: &Membership, host: HostId) -> Membership {
    let kept = members.members.iter().filter(|m| m.host != host);
    Membership { members: kept.copied().collect() }
}

/// Tells whether `at` lies within `span` before `now`.
pub(crate) fn within(now: Duration, at: Duration, span: Duration) -> bool {
    now < at + span
}
