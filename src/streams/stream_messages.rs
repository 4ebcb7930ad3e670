//! What hosts tell each other of the streams that they began.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::VersionClaim;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;

/// Hash of the id of the attempt that began a stream.
pub type StreamKey = u64;

/// Returns the key of a stream that the attempt `request` began.
pub fn stream_key(request: &str) -> StreamKey {
    xxh3_64(request.as_bytes())
}

/// Streams that targets of one software version began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionStreams {
    /// The pool.
    pub pool: PoolName,
    /// The software version.
    pub version: SoftwareVersion,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Asks which software version began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginQuery {
    /// The stream.
    pub stream: StreamKey,
    /// The pool that the calling host would use.
    pub pool: PoolName,
    /// Age of the oldest stream that it can be, in milliseconds.
    pub max_age_ms: u64,
    /// Whether the called host, if it leads a group, asks other leaders too.
    pub relays: bool,
}

/// What a host knows of the origin of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// The version that began the stream, if the host knows it.
    pub version: Option<SoftwareVersion>,
    /// What the host, and those that it asked, state about the versions of the pool.
    pub claims: Vec<VersionClaim>,
}
