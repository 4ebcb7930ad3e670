//! What hosts say to each other.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::DigestDelta;
use super::DocumentIdentity;
use crate::claim::ClaimCall;
use crate::claim::ClaimReply;
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

/// A SHA-256 over the bytes of a fleet document.
pub type ConfigDigest = [u8; 32];

/// What one host asks of another.
///
/// New variants go to the end and raise [`super::PROTOCOL_VERSION`]: bincode
/// writes a variant by its place in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// Says all that the caller knows; answered with [`PeerReply::Digest`], which
    /// leaves the policy's part out.
    Digest(Box<PeerDigest>),
    /// Asks for the document in force; answered with [`PeerReply::Document`].
    Document,
    /// Joins the answer of a request that the called host holds; streamed.
    Join {
        /// The request whose answer is wanted.
        request: RequestId,
        /// The account that asks; another account's answer is never given.
        account: AccountName,
    },
    /// Hands a request over; the answer is streamed back.
    Serve {
        /// The request's head.
        head: RequestHead,
        /// The whole body.
        body: Bytes,
    },
    /// Asks the called host's seat; answered with [`PeerReply::Claim`].
    Claim(ClaimCall),
    /// Says what changed since the digest that the called host confirmed last;
    /// answered with [`PeerReply::Receipt`].
    DigestDelta(Box<DigestDelta>),
    /// Tells what the calling host runs, spends and knows of others; answered with
    /// [`PeerReply::Gossip`].
    Gossip(Box<GossipMessage>),
    /// Asks for all targets and evacuations; [`PeerReply::PackageChunk`]s are streamed back.
    FleetView,
    /// Asks for the catalog; [`PeerReply::PackageChunk`]s are streamed back, none where the
    /// called host has no newer one.
    Catalog {
        /// The version of the catalog that the caller has.
        known: CatalogVersion,
    },
}

/// What a called host answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// What the called host knows.
    Digest(Box<PeerDigest>),
    /// The document in force, or nothing when none is.
    Document(Option<RawDocument>),
    /// The head of an answer; [`PeerReply::AnswerBody`] pieces follow.
    AnswerHead(AnswerHead),
    /// A piece of an answer's body.
    AnswerBody(Bytes),
    /// The answer is whole; a stream that ends without it was cut.
    AnswerEnd {
        /// What the caller is told about its request.
        outcome: RequestOutcome,
    },
    /// The call was refused or the request ended with an error.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// When to come back, in milliseconds, where the policy worked it out.
        retry_after_ms: Option<u64>,
    },
    /// What the seat says.
    Claim(ClaimReply),
    /// What became of a [`PeerCall::DigestDelta`].
    Receipt(DigestReceipt),
    /// What the called host runs, spends and knows of others.
    Gossip(Box<GossipMessage>),
    /// A piece of a package.
    PackageChunk(Bytes),
}

/// What became of a delta, and which document the called host has in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DigestReceipt {
    /// The digest that the delta starts from is not held: the whole is wanted.
    UnknownBase,
    /// Taken; the called host's document is the one that the call told.
    SameDocument,
    /// Taken; the called host has another document, or none.
    OtherDocument(DocumentIdentity),
}

/// What a host knows, exchanged each second and after each change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerDigest {
    /// The version of the document in force; 0 when there is none.
    pub version: FleetVersion,
    /// The digest of the document in force.
    pub digest: ConfigDigest,
    /// What the host knows of rosters.
    pub roster: Option<RosterDigest>,
    /// What the host's policy tells its peers.
    pub policy: Option<HostDigest>,
    /// Requests that targets were lost to.
    pub suspects: Vec<PoisonEntry>,
}

/// A fleet document as its bytes, so that every host digests the same ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RawDocument {
    /// The document's version.
    pub version: FleetVersion,
    /// The document as the platform gave it.
    pub body: Bytes,
}
