//! The messages between hosts, and the types that the hosts share.
//!
//! The crate holds plain data only and no decisions. [`encode`] and [`decode`] use the `postcard`
//! format, which writes no names and depends on the order of fields and variants.

mod codec;
mod command;
mod error;
mod fleet;
mod id;
mod log;
mod message;
mod target;

pub use crate::{
    codec::{DecodeError, MAX_FRAME_BYTES, decode, decode_state, encode},
    command::{
        Action, Claim, ClaimKey, Command, DeclFile, Intent, Move, Outcome, Proposal, Publish,
        Settle,
    },
    error::{ErrorInfo, ErrorKind, Fault, Ran, Retry, error_chain},
    fleet::{
        AdapterHash, CrashId, DomainLoads, Epoch, Feed, FeedChange, FleetMsg, FoundRecord,
        HostRecord, HostStatus, MilliRate, PartId, PlaceReply, PlaceRequest, Placement,
        PrefillRequest, Renewal, RequestHash, RequestLimit, ResourceHash, RouteHash, Running,
        SoftwareHash, StreamHash, Suspect, SuspectRecord, TargetNumber, TargetRecord, TargetState,
        Topic,
    },
    id::{
        AdapterId, CallerId, DiskId, DomainId, Fence, Fingerprint, GroupId, HostId, Incarnation,
        Index, RequestId, Revision, TargetId, Term, request_id,
    },
    log::{Entry, EntryBody, LogBody, LogMsg, Member, Membership, Role, Snapshot},
    message::{
        Answer, Credit, Digest, DomainForce, Fail, Forward, Grant, Head, LoadEnded, LoadGrant,
        LoadRequest, PeerMsg, Piece, Pin, Query, Renew, Residency, Urgency,
    },
    target::{Capacity, Load, TargetInfo, TargetKind, TargetReport},
};
