//! What the host believes of routes and targets, by revision, and how old that is.
//!
//! The same [`FeedUpdate`] comes from the store and from peers, so a host that is
//! cut off from the store follows what its peers read there.

mod feed_update;
mod fleet_feed;
mod fleet_source;
mod outage_track;
mod shared_feed;
mod target_record;

pub use feed_update::FeedChange;
pub use feed_update::FeedUpdate;
pub use feed_update::TargetRemoval;
pub use fleet_feed::FleetFeed;
pub use fleet_source::FleetSource;
pub use fleet_source::SourceError;
pub use fleet_source::SourceFuture;
pub use outage_track::OutageTrack;
pub use shared_feed::SharedFeed;
pub use target_record::TargetPhase;
pub use target_record::TargetRecord;
