//! The reasons for refusing a document.

use derive_more::Display;
use derive_more::Error;

use crate::ids::FleetVersion;

/// The reason that a document is not put in force.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigRefusal {
    /// A newer document is in force: the platform or the peer is out of date.
    #[display("version {offered} is older than {in_force}, which is in force")]
    Older {
        /// The version that was offered.
        offered: FleetVersion,
        /// The version in force.
        in_force: FleetVersion,
    },
    /// Another document of the same version is in force: two edits raced.
    #[display("version {version} is in force with another content")]
    Conflict {
        /// The version of both documents.
        version: FleetVersion,
    },
    /// The document states another version than its source.
    #[display("the document says version {found}, its source {declared}")]
    VersionMismatch {
        /// The version that the source gave.
        declared: FleetVersion,
        /// The version in the document.
        found: FleetVersion,
    },
    /// The document is invalid.
    #[display("version {version}: {}", faults.join("; "))]
    Invalid {
        /// The version that the source gave.
        version: FleetVersion,
        /// All faults.
        faults: Vec<String>,
    },
    /// The document's roster can't follow the active one.
    #[display("version {version}: {reason}")]
    Roster {
        /// The version that was offered.
        version: FleetVersion,
        /// The reason given by the roster rules.
        reason: String,
    },
}

impl ConfigRefusal {
    /// Returns the first fault of a document, or the reason of another refusal.
    ///
    /// A log line with all faults of an invalid document could be as long as the
    /// document.
    pub fn first_fault(&self) -> String {
        match self {
            Self::Invalid { faults, .. } => faults.first().cloned().unwrap_or_default(),
            refusal => refusal.to_string(),
        }
    }
}
