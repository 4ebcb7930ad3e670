//! Fleet documents with their compiled views.

use std::sync::Arc;

use derive_more::Display;

use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::peers::ConfigDigest;
use crate::peers::RawDocument;

/// The source of a document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigSource {
    /// The platform.
    #[display("the platform")]
    Platform,
    /// A peer.
    #[display("peer {_0}")]
    Peer(HostName),
}

/// A valid document.
#[derive(Clone, Debug)]
pub struct CompiledCopy<V> {
    /// The version stated in the document itself.
    pub version: FleetVersion,
    /// The digest by which peers see that they hold the same document.
    pub digest: ConfigDigest,
    /// The compiled view.
    pub view: Arc<V>,
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct ConfigEntry<V> {
    /// The document as received, for peers that fetch it.
    pub copy: RawDocument,
    /// The digest by which peers see that they hold the same document.
    pub digest: ConfigDigest,
    /// The compiled view.
    pub view: Arc<V>,
    /// Its source.
    pub source: ConfigSource,
}
