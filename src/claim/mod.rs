//! Claims: a request is dispatched only by the process that holds a claim on its id.
//!
//! A claim is a write-once register, replicated in the memory of a majority of the
//! seats. A seat is a voting member of the fleet. There is no log, no leader and no
//! election; the proof is in `docs/PROOFS.md`, section "Claims". The code performs no
//! I/O: time and messages are passed in as values.
//!
//! - A [`SeatRegister`] answers calls to claim, release or bar an id.
//! - A [`ClaimRound`] requests a claim from the seats and yields a [`HeldClaim`].
//! - A [`HeldClaim`] is either dispatched once or released, never both.
//! - A [`BarRound`] releases a claim or bars an attempt. A caller is told `not-run`
//!   only on the basis of its [`NotRunProof`].
//!
//! ```
//! use std::sync::Arc;
//!
//! use cardamomgw::claim::ClaimRound;
//! use cardamomgw::claim::ClaimStatus;
//! use cardamomgw::claim::ClaimTicket;
//! use cardamomgw::claim::RegisterSettings;
//! use cardamomgw::claim::SeatRegister;
//! use cardamomgw::fleet::SeatRoster;
//! use cardamomgw::ids::RequestId;
//! use cardamomgw::roster::RosterPlan;
//! use cardamomgw::roster::SeatIncarnation;
//!
//! let seat = serde_json::json!({"host": "e1", "address": "127.0.0.1:1", "availability_zone": "z1"});
//! let roster: SeatRoster = serde_json::from_value(serde_json::json!({"number": 1, "seats": [seat]}))?;
//! let incarnation = SeatIncarnation { started: 1_000, id: 7 };
//! let mut register = SeatRegister::open("e1".into(), incarnation, RegisterSettings::default());
//! register.roster_mut().offer(RosterPlan::new(&roster, None, false), 1_000)?;
//! let view = Arc::new(register.roster().view().expect("a fleet of one bootstraps itself"));
//!
//! let ticket = ClaimTicket { host: "e1".into(), incarnation: 7, round: 1, attempt: 1 };
//! let mut round = ClaimRound::begin(RequestId::generate(9_000), ticket, view);
//! for (host, call) in round.calls() {
//!     round.accept(&host, register.handle(call, 9_001));
//! }
//! assert_eq!(round.status(), ClaimStatus::Granted);
//! let sent = round.win().map_err(|_| "not granted")?.dispatch();
//! assert_eq!(sent.id().time(), 9_000);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A claim can be released before it is dispatched:
//!
//! ```
//! # use std::sync::Arc;
//! # use cardamomgw::claim::*;
//! # use cardamomgw::roster::RosterView;
//! fn either(claim: HeldClaim<UnsentStage>, view: Arc<RosterView>) {
//!     claim.release(view);
//! }
//! ```
//!
//! A dispatched claim can't be released; this does not compile:
//!
//! ```compile_fail,E0599
//! # use std::sync::Arc;
//! # use cardamomgw::claim::*;
//! # use cardamomgw::roster::RosterView;
//! fn both(claim: HeldClaim<UnsentStage>, view: Arc<RosterView>) {
//!     let sent = claim.dispatch();
//!     sent.release(view);
//! }
//! ```

mod bar_round;
mod claim_message;
mod claim_round;
mod claim_rules;
mod held_claim;
mod quorum_tally;
mod register_entry;
mod seat_register;
mod seat_round;

pub use bar_round::BarRound;
pub use bar_round::BarStatus;
pub use bar_round::BarringKind;
pub use bar_round::NotRunProof;
pub use claim_message::ClaimCall;
pub use claim_message::ClaimOperation;
pub use claim_message::ClaimReply;
pub use claim_message::ClaimTicket;
pub use claim_message::RoundNumber;
pub use claim_message::SeatAnswer;
pub use claim_round::ClaimRound;
pub use claim_round::ClaimStatus;
pub use claim_round::ClaimingKind;
pub use claim_rules::ClaimRules;
pub use held_claim::HeldClaim;
pub use held_claim::SentStage;
pub use held_claim::UnsentStage;
pub use seat_register::RegisterSettings;
pub use seat_register::SeatRegister;
pub use seat_round::SeatRound;
