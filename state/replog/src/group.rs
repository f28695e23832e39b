//! Queries and changes of memberships, and quorum arithmetic.

use std::time::Duration;

use wire::{DiskId, GroupId, HostId, Member, Membership, Role};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Derives the id of a group from its founding members, as an FNV-1a hash. It is never 0.
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

pub(crate) fn is_voter(members: &Membership, host: HostId, disk: DiskId) -> bool {
    member(members, host).is_some_and(|m| m.disk == disk && m.role == Role::Voter)
}

pub(crate) fn voters(members: &Membership) -> impl Iterator<Item = &Member> {
    members.members.iter().filter(|m| m.role == Role::Voter)
}

/// Returns whether `count` voters form a quorum.
pub(crate) fn is_quorum(members: &Membership, count: usize) -> bool {
    count > voters(members).count() / 2
}

/// Returns the highest value that a quorum has reached, given the value of each voter.
pub(crate) fn quorum_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable();
    let below = values.len().checked_sub(1)? / 2;
    values.get(below).copied()
}

/// Returns the membership with a member added, in place of any other member on its host.
pub(crate) fn with_member(members: &Membership, member: Member) -> Membership {
    let mut next = without_host(members, member.host);
    next.members.push(member);
    next.members.sort_by_key(|m| m.host);
    next
}

/// Returns the membership without the member on a host.
pub(crate) fn without_host(members: &Membership, host: HostId) -> Membership {
    let kept = members.members.iter().filter(|m| m.host != host);
    Membership { members: kept.copied().collect() }
}

/// Returns whether less than `span` has passed from `at` to `now`.
pub(crate) fn within(now: Duration, at: Duration, span: Duration) -> bool {
    now < at + span
}
