//! Dispatch under load: which target runs a request, which requests wait, and in which order.
//!
//! [`PoolTable`] is deterministic: events and their times are passed in, and it uses neither a
//! clock nor the network. [`DispatchQueue`] shares one table among the requests of a host.

mod cold_start;
mod dispatch_queue;
mod gap_tracker;
mod limit_table;
mod notice_table;
mod output_estimate;
mod peer_choice;
mod peer_loads;
mod placement_request;
mod pool_entry;
mod pool_feedback;
mod pool_reach;
mod pool_table;
mod prefill_estimate;
mod rate_meter;
mod reach_tracker;
mod request_limit;
mod request_queue;
mod shard_range;
mod shared_rate;
mod slot_grants;
mod slot_guard;
mod slot_shares;
mod target_choice;
mod target_locations;
mod target_runtime;

pub(crate) use dispatch_queue::DispatchQueue;
pub(crate) use dispatch_queue::WaitOutcome;
pub use gap_tracker::PaceSource;
pub use gap_tracker::TargetPace;
pub use limit_table::BrittleLimit;
pub use limit_table::StatedLimit;
pub use limit_table::TargetLimit;
pub use notice_table::LeavingTarget;
pub use notice_table::ReturningTarget;
pub use peer_choice::PeerCandidate;
pub use peer_choice::choose_peer;
pub use peer_loads::TargetLoad;
pub use placement_request::AttemptOutcome;
pub use placement_request::PlacedTarget;
pub use placement_request::PlacementRequest;
pub use placement_request::QueueTicket;
pub use placement_request::RequestPriority;
pub use pool_reach::PathProbe;
pub use pool_reach::PeerReporting;
pub use pool_reach::ReachingPeer;
pub use pool_reach::ReportedPaths;
pub use pool_table::PoolMember;
pub use pool_table::PoolTable;
pub use reach_tracker::PathChange;
pub use reach_tracker::PoolReach;
pub use shard_range::ShardRange;
pub use shared_rate::HostPosition;
pub use slot_grants::GrantTarget;
pub use slot_grants::PoolGrants;
pub use slot_grants::SlotGrant;
pub use slot_grants::SlotGrants;
pub(crate) use slot_guard::SlotGuard;
pub use slot_shares::SlotDemand;
pub use slot_shares::SlotShare;
pub use slot_shares::SlotShares;
