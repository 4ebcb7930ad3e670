//! The messages that hosts exchange.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::DigestDelta;
use super::DocumentIdentity;
use super::ForwardedRequest;
use super::PartHolders;
use super::PartQuery;
use super::ResponsePart;
use crate::claim::ClaimCall;
use crate::claim::ClaimReply;
use crate::dispatch::PoolGrants;
use crate::dispatch::PoolReach;
use crate::dispatch::SlotReport;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::http::AnswerHead;
use crate::http::RequestHead;
use crate::ids::AccountName;
use crate::ids::CatalogVersion;
use crate::ids::FleetVersion;
use crate::ids::RequestId;
use crate::members::GossipMessage;
use crate::poison::PoisonEntry;
use crate::policy::HostDigest;
use crate::roster::RosterDigest;
use crate::streams::OriginAnswer;
use crate::streams::OriginQuery;

/// The SHA-256 digest of the bytes of a fleet document.
pub type ConfigDigest = [u8; 32];

/// A call from one host to another.
///
/// New variants are added at the end and raise [`super::PROTOCOL_VERSION`]: bincode
/// encodes a variant by its position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// Sends the full digest of the calling host; answered with [`PeerReply::Digest`], which leaves
    /// out the policy's part.
    Digest(Box<PeerDigest>),
    /// Requests the document in force; answered with [`PeerReply::Document`].
    Document,
    /// Requests the answer of a request that the called host runs or has run; streamed.
    Join {
        /// The request whose answer is wanted.
        request: RequestId,
        /// The account that asks; the answer of another account's request is never sent.
        account: AccountName,
    },
    /// Forwards a request; the answer is streamed back.
    Serve {
        /// The request's head.
        head: RequestHead,
        /// The complete body.
        body: Bytes,
    },
    /// Sends a claim message to the called host's seat; answered with [`PeerReply::Claim`].
    Claim(ClaimCall),
    /// Sends the changes since the digest that the called host last confirmed; answered
    /// with [`PeerReply::Receipt`].
    DigestDelta(Box<DigestDelta>),
    /// Sends the load and quota usage of the calling host and what it knows of other
    /// hosts; answered with [`PeerReply::Gossip`].
    Gossip(Box<GossipMessage>),
    /// Requests all targets and evacuations; answered with a stream of
    /// [`PeerReply::PackageChunk`].
    FleetView,
    /// Requests the catalog; answered with a stream of [`PeerReply::PackageChunk`], which
    /// is empty if the called host has no newer one.
    Catalog {
        /// The version of the catalog that the calling host has.
        known: CatalogVersion,
    },
    /// Forwards a request of a host that has lost its path to targets; answered with a stream of
    /// [`PeerReply::ResponsePart`], or with [`PeerReply::Refused`].
    Forward(Box<ForwardedRequest>),
    /// Sends the calling host's paths to the targets of each pool; answered with
    /// [`PeerReply::Paths`].
    Paths(Vec<PoolReach>),
    /// Asks which software version began a stream; answered with [`PeerReply::StreamOrigin`].
    StreamOrigin(OriginQuery),
    /// Sends the slots that a member of a group wants and its loads to the leader; answered with
    /// [`PeerReply::SlotGrants`], or with [`PeerReply::Refused`] by a host that is no leader.
    SlotReport(Box<SlotReport>),
    /// Asks which targets of a pool hold a part of a prompt; answered with
    /// [`PeerReply::PartHolders`], or with [`PeerReply::Refused`] by a host that is asked for all
    /// targets and is no leader.
    PartHolders(PartQuery),
}

/// A reply of a called host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// The digest of the called host.
    Digest(Box<PeerDigest>),
    /// The document in force, if there is one.
    Document(Option<RawDocument>),
    /// The head of an answer; [`PeerReply::AnswerBody`] chunks follow.
    AnswerHead(AnswerHead),
    /// A chunk of an answer's body.
    AnswerBody(Bytes),
    /// The answer is complete; a stream that ends without this reply is truncated.
    AnswerEnd {
        /// The outcome that the caller is told.
        outcome: RequestOutcome,
    },
    /// The call was refused or the request ended with an error.
    Refused {
        /// The kind of error.
        kind: ErrorKind,
        /// When to retry, in milliseconds, if the policy computed it.
        retry_after_ms: Option<u64>,
    },
    /// The answer of the called host's seat.
    Claim(ClaimReply),
    /// The result of a [`PeerCall::DigestDelta`].
    Receipt(DigestReceipt),
    /// The load and quota usage of the called host and what it knows of other hosts.
    Gossip(Box<GossipMessage>),
    /// A chunk of a package.
    PackageChunk(Bytes),
    /// A part of the response to a forwarded request.
    ResponsePart(ResponsePart),
    /// The called host's paths to the targets of each pool.
    Paths(Vec<PoolReach>),
    /// What the called host knows of the origin of a stream.
    StreamOrigin(OriginAnswer),
    /// The slots that the calling host may use.
    SlotGrants(Vec<PoolGrants>),
    /// The targets that hold a part.
    PartHolders(PartHolders),
}

/// The result of a digest delta, and which document the called host has in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DigestReceipt {
    /// The called host doesn't have the base digest; a full digest is needed.
    UnknownBase,
    /// Applied; both hosts have the same document.
    SameDocument,
    /// Applied; the called host has another document, or none.
    OtherDocument(DocumentIdentity),
}

/// The state that a host shares with its peers, each second and after each change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerDigest {
    /// The version of the document in force; 0 when there is none.
    pub version: FleetVersion,
    /// The SHA-256 digest of the document in force.
    pub digest: ConfigDigest,
    /// The host's roster state.
    pub roster: Option<RosterDigest>,
    /// What the host's policy shares with its peers.
    pub policy: Option<HostDigest>,
    /// Requests suspected of crashing targets.
    pub suspects: Vec<PoisonEntry>,
    /// How long losses that the host doesn't know may still count, in milliseconds.
    pub history_gap_ms: u64,
}

/// A fleet document as raw bytes, so that every host computes the same digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RawDocument {
    /// The document's version.
    pub version: FleetVersion,
    /// The document as received from the platform.
    pub body: Bytes,
}
