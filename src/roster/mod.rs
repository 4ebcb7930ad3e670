//! Determines which roster of seats is active and whether this process may vote in it.
//!
//! The rules and their proof are in `docs/PROOFS.md`, section "Claims". In short:
//! - A process adopts only a direct successor of the roster that it knows to be
//!   active, and only one; from then on it answers no calls of the older roster.
//! - The successor is active once a majority of the older roster has adopted it. An
//!   activation is never undone, so any process may pass it on.
//! - A restarted seat may not vote until a majority of the other seats, after recording
//!   its new incarnation, has reported what they adopted. Votes are counted together
//!   only if they agree on each other's incarnations (a crash vector): a vote of an
//!   earlier incarnation, which the seat no longer remembers, is not counted.
//! - Non-voting seats bootstrap a roster only if none of them votes at one moment, and
//!   only a roster without a predecessor: from a document without `former`, or with
//!   `former_lost`.
//!
//! ```
//! use cardamomgw::fleet::SeatRoster;
//! use cardamomgw::roster::RosterPlan;
//! use cardamomgw::roster::RosterTracker;
//! use cardamomgw::roster::SeatIncarnation;
//! use cardamomgw::roster::TrackerSettings;
//!
//! let seat = serde_json::json!({"host": "e1", "address": "127.0.0.1:1", "availability_zone": "z1"});
//! let roster: SeatRoster = serde_json::from_value(serde_json::json!({"number": 1, "seats": [seat]}))?;
//! let plan = RosterPlan::new(&roster, None, false);
//! let incarnation = SeatIncarnation { started: 1_000, id: 7 };
//! let mut tracker = RosterTracker::new("e1".into(), incarnation, TrackerSettings::default());
//! tracker.offer(plan, 1_000)?;
//! assert!(tracker.voting_range().is_some(), "a fleet of one bootstraps itself");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod blocked_bootstrap;
mod known_rosters;
mod offer_check;
mod peer_table;
mod quorum_check;
mod roster_digest;
mod roster_plan;
mod roster_refusal;
mod roster_tracker;
mod roster_view;
mod seat_incarnation;
mod tracker_settings;

pub use blocked_bootstrap::BlockedBootstrap;
pub(crate) use quorum_check::majority;
pub use roster_digest::BootstrapRecord;
pub use roster_digest::RosterDigest;
pub use roster_plan::RosterPlan;
pub use roster_plan::RosterTag;
pub use roster_refusal::RosterDecision;
pub use roster_refusal::RosterRefusal;
pub use roster_tracker::RosterTracker;
pub use roster_view::RosterView;
pub use roster_view::VotingRange;
pub use seat_incarnation::SeatIncarnation;
pub use tracker_settings::TrackerSettings;
