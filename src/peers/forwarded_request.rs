//! Requests that a host forwards, as it has no path to targets or no room, and their responses.

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::CatalogVersion;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;

/// A header line: its name and value.
pub type HeaderLine = (String, Vec<u8>);

/// Why a host forwards a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardCause {
    /// It has no path to the targets.
    #[display("path-lost")]
    PathLost,
    /// Its part of a bound that hosts divide is used up.
    #[display("part-used")]
    PartUsed,
}

/// A request that one host forwards to another, which serves it as one of its own callers. The
/// account's quota is charged by the calling host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// Why it is forwarded.
    pub cause: ForwardCause,
    /// The method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The header lines as the caller sent them, with its key and its deadline.
    pub headers: Vec<HeaderLine>,
    /// The complete body.
    pub body: Bytes,
    /// The catalog by which the calling host routed the request; the called host must have this
    /// or a newer one.
    pub catalog: CatalogVersion,
    /// The pool that the calling host drew for the request.
    pub pool: PoolName,
    /// Time since the request arrived at the calling host, in milliseconds.
    pub age_ms: u64,
    /// How often the calling host has sent the request to a target.
    pub attempts: u32,
    /// The targets to which it has sent the request, without those that it did not reach.
    pub tried: Vec<TargetName>,
    /// The software version that began the stream, if it has begun.
    pub version: Option<SoftwareVersion>,
}

/// The head of a target's response to a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedHead {
    /// The status.
    pub status: u16,
    /// The header lines as the target sent them.
    pub headers: Vec<HeaderLine>,
    /// Whether the target leaves the end of the response open: it ends with the connection.
    pub is_open: bool,
    /// The target.
    pub responder: TargetName,
    /// The version of its software.
    pub version: SoftwareVersion,
}

/// A part of the response to a forwarded request. The response is complete only with a part that
/// says so.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponsePart {
    /// The head; in the first part only.
    pub head: Option<ForwardedHead>,
    /// Bytes of the body; whole events of a stream.
    pub body: Bytes,
    /// Whether the response is complete.
    pub ends: bool,
}
