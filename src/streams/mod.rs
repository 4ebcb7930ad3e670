//! Which software version of a pool's targets began each stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it. Hosts remember the streams that they began, and report them to peers while a pool has
//! targets of several versions.

mod stream_directory;
mod stream_messages;
mod version_claims;
mod version_history;

pub use stream_directory::StreamDirectory;
pub use stream_messages::OriginAnswer;
pub use stream_messages::OriginQuery;
pub use stream_messages::StreamKey;
pub use stream_messages::VersionStreams;
pub use stream_messages::stream_key;
pub use version_claims::PeriodClaim;
pub use version_claims::VersionClaim;
pub use version_claims::VersionFinding;
pub use version_claims::find_sole_version;
