//! Controllers: each owns one kind of state and replaces it atomically.

mod claim_coordinator;
mod config_controller;
mod config_entry;
mod config_refusal;
mod config_tracker;
mod digest_controller;
mod drain_state;
mod host_list_watch;
mod host_tracker;
mod leaving_tracker;
mod peer_tracker;
mod peer_watch;
mod platform_watch;
mod seat_watch;
mod target_controller;
mod view_freshness;
mod work_controller;

pub(crate) use claim_coordinator::BarOutcome;
pub(crate) use claim_coordinator::ClaimCoordinator;
pub(crate) use claim_coordinator::ClaimOutcome;
pub use config_controller::ConfigController;
pub use config_controller::ConfigDependencies;
pub use config_controller::ExchangeHook;
pub use config_controller::RosterAdmission;
pub use config_controller::RosterValidator;
pub use config_controller::ViewListener;
pub use config_entry::CompiledCopy;
pub use config_entry::ConfigEntry;
pub use config_entry::ConfigSource;
pub use config_refusal::ConfigRefusal;
pub use config_tracker::ConfigTracker;
pub use config_tracker::OfferOutcome;
pub(crate) use digest_controller::DigestController;
pub(crate) use drain_state::DrainState;
pub use host_list_watch::HostListWatch;
pub use host_tracker::HostSnapshot;
pub use host_tracker::HostTracker;
pub use leaving_tracker::LeavingTracker;
pub use peer_tracker::PeerTracker;
pub use peer_watch::PeerWatch;
pub(crate) use target_controller::TargetController;
pub(crate) use target_controller::TargetStatus;
pub use view_freshness::MAX_VIEW_AGE;
pub use view_freshness::PEER_WAIT;
pub use view_freshness::READY_MAX_AGE;
pub use view_freshness::UnreadyReason;
pub use view_freshness::ViewFreshness;
pub(crate) use work_controller::WorkController;
pub(crate) use work_controller::WorkPlacement;
pub(crate) use work_controller::WorkSource;
pub(crate) use work_controller::WorkTicket;

#[cfg(test)]
mod tests;
