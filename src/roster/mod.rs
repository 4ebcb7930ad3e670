//! Which roster of seats is active, and whether this process has a voice in it.
//!
//! The rules and their proof are in `docs/PROOFS.md`, section "Claims". In short:
//! - A process takes up only a direct successor of the roster that it knows to be
//!   active, and only one; from then on it answers no call of the older roster.
//! - The successor is active once a majority of the older roster took it up.
//!   That is a stable fact, which anybody may pass on.
//! - A restarted seat has no voice until a majority of other seats, which noted its
//!   new life first, told it what they took up. Votes are counted together only
//!   when they agree about each other's lives (a crash vector): a vote of an
//!   earlier life, which the seat itself forgot, counts for nothing.
//! - Seats without a voice found a roster only when all of them are voiceless at
//!   once, and only one that follows none: a document without `former`, or with
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
//! let life = SeatIncarnation { started: 1_000, id: 7 };
//! let mut tracker = RosterTracker::new("e1".into(), life, TrackerSettings::default());
//! tracker.offer(plan, 1_000)?;
//! assert!(tracker.voting_range().is_some(), "a fleet of one bootstraps itself");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod bootstrap_block;
mod known_rosters;
mod offer_judgement;
mod peer_table;
mod quorum_check;
mod roster_digest;
mod roster_plan;
mod roster_refusal;
mod roster_tracker;
mod roster_view;
mod seat_incarnation;
mod tracker_settings;

pub use bootstrap_block::BootstrapBlock;
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
