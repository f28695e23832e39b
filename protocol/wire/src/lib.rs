//! The messages between hosts, and the types that the hosts share.
//!
//! The crate holds plain data only and no decisions. [`encode`] and [`decode`] use the `postcard`
//! format, which writes no names and depends on the order of fields and variants.

mod codec;
mod command;
mod error;
mod fleet;
mod id;
mod limit;
mod log;
mod message;
mod suspect;
mod target;

pub use crate::{
    codec::{DecodeError, MAX_FRAME_BYTES, decode, decode_state, encode},
    command::{
        Action, Claim, ClaimKey, Command, DeclFile, Intent, Move, Outcome, Proposal, Publish,
        Settle,
    },
    error::{ErrorInfo, ErrorKind, Fault, Ran, Retry, error_chain},
    fleet::{
        AdapterHash, DomainLoads, Epoch, Feed, FeedChange, FleetMsg, FoundRecord, HostRecord,
        HostStatus, Placement, PrefillRequest, Renewal, Running, SoftwareHash, StreamHash,
        TargetNumber, TargetRecord, TargetState, Topic,
    },
    id::{
        AdapterId, CallerId, DiskId, DomainId, Fence, Fingerprint, GroupId, HostId, Incarnation,
        Index, RequestId, Revision, TargetId, Term, request_id,
    },
    limit::{MilliRate, PlaceReply, PlaceRequest, RequestLimit},
    log::{Entry, EntryBody, LogBody, LogMsg, Member, Membership, Role, Snapshot},
    message::{
        Answer, Credit, Digest, DomainForce, Fail, Forward, Grant, Head, LoadEnded, LoadGrant,
        LoadRequest, PeerMsg, Piece, Pin, Query, Renew, Residency, Urgency,
    },
    suspect::{CrashId, PartId, RequestHash, ResourceHash, RouteHash, Suspect, SuspectRecord},
    target::{Capacity, Load, TargetInfo, TargetKind, TargetReport},
};
