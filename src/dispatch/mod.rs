//! Decisions under load: which target runs a request, what waits and in which order.
//!
//! [`DispatchBoard`] is pure: it is told what happened and when, and has neither
//! clock nor network. [`DispatchDesk`] shares one among the requests of a host.

mod dispatch_board;
mod dispatch_desk;
mod dispatch_wish;
mod first_estimate;
mod home_range;
mod pace_track;
mod peer_loads;
mod rate_track;
mod slot_guard;
mod target_board;
mod target_choice;
mod wait_line;

pub use dispatch_board::DispatchBoard;
pub use dispatch_board::PoolMember;
pub(crate) use dispatch_desk::DispatchDesk;
pub(crate) use dispatch_desk::WaitVerdict;
pub use dispatch_wish::DispatchWish;
pub use dispatch_wish::PlacedTarget;
pub use dispatch_wish::UrgencyRank;
pub use dispatch_wish::WaitNumber;
pub use dispatch_wish::WorkEnd;
pub use home_range::HomeRange;
pub use peer_loads::TargetLoad;
pub(crate) use slot_guard::SlotGuard;
