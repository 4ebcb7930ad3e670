//! The host's view of routes and targets, with revisions and age.
//!
//! The store and peers provide the same [`ViewUpdate`], so a host that is cut off from the
//! store follows it through its peers.

mod fleet_source;
mod lease_grace;
mod platform_view;
mod shared_view;
mod target_record;
mod view_update;
mod zone_evacuation;

pub use fleet_source::FleetSource;
pub use fleet_source::SourceError;
pub use fleet_source::SourceFuture;
pub use lease_grace::LeaseGrace;
pub use platform_view::PlatformView;
pub use shared_view::SharedView;
pub use target_record::TargetIncarnation;
pub use target_record::TargetPhase;
pub use target_record::TargetRecord;
pub use view_update::StoreRewind;
pub use view_update::TargetRemoval;
pub use view_update::ViewChange;
pub use view_update::ViewUpdate;
pub use zone_evacuation::ZoneEvacuation;
