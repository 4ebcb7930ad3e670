//! Decisions under load: which work is admitted, queued or refused, and which target runs it.
//!
//! The module is deterministic: it uses no network, clock or random numbers. The daemon and
//! `replay` run the same code and pass in the time as a [`Duration`] since the process (or the
//! replay) began. docs/POLICY.md has the figures.
//!
//! [`Duration`]: std::time::Duration
//!
//! Units: times are durations, lengths are tokens, weights have none. No call fails: work that
//! can't be served gets [`PolicyAction::Refuse`] with an
//! [`ErrorKind`](crate::errors::ErrorKind) and the time after which to retry.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use cardamomgw::fleet::TargetKind;
//! use cardamomgw::fleet::TargetState;
//! use cardamomgw::policy::DispatchPolicy;
//! use cardamomgw::policy::PolicyAction;
//! use cardamomgw::policy::PolicySettings;
//! use cardamomgw::policy::TargetFacts;
//! use cardamomgw::policy::WorkOutcome;
//! use cardamomgw::policy::WorkItem;
//!
//! let engine = TargetFacts {
//!     name: "engine-1".into(),
//!     kind: TargetKind::Engine,
//!     slots: 1,
//!     state: TargetState::Live,
//!     availability_zone: "zone-a".into(),
//! };
//! let item = |work, tier| WorkItem {
//!     work,
//!     tier,
//!     account: "crews".into(),
//!     weight: 1,
//!     class: "verdict".into(),
//!     prompt_tokens: 100,
//!     output_tokens: 10,
//!     prefix: 0,
//!     deadline: Duration::from_secs(30),
//!     first_token_goal: None,
//!     allowed: Arc::new(vec!["engine-1".into()]),
//! };
//! let mut policy = DispatchPolicy::new("entry-1".into(), PolicySettings::default());
//! policy.set_targets(Duration::ZERO, vec![engine]);
//! policy.set_hosts(Duration::ZERO, vec!["entry-1".into()]);
//!
//! let first = policy.arrive(Duration::ZERO, item(1, 2));
//! policy.arrive(Duration::ZERO, item(2, 2));
//! policy.arrive(Duration::ZERO, item(3, 0));
//! let next = policy.record_end(Duration::from_secs(1), 1, WorkOutcome::Finished);
//!
//! assert!(matches!(first[..], [PolicyAction::Dispatch { work: 1, .. }]));
//! assert!(matches!(next[..], [PolicyAction::Dispatch { work: 3, .. }]), "the upper tier goes first");
//! ```

mod admission;
mod concurrency_limit;
mod decide;
mod dispatch_policy;
mod fair_queue;
mod host_digest;
mod observe;
mod pace_estimate;
mod peer_capacity;
mod policy_action;
mod policy_settings;
mod pool_state;
mod prefix_home;
mod retry_advice;
mod share;
mod shed_level;
mod slot_ledger;
mod slot_reserve;
mod target_facts;
mod target_view;
mod tier_load;
mod wasted_tokens;
mod work_item;

pub use dispatch_policy::DispatchPolicy;
pub use host_digest::HostDigest;
pub use host_digest::LentSlots;
pub use host_digest::TargetDemand;
pub use host_digest::TierWait;
pub use policy_action::PolicyAction;
pub use policy_action::WorkOutcome;
pub use policy_settings::PolicySettings;
pub(crate) use retry_advice::retry_advice;
pub(crate) use share::base_share;
pub use target_facts::LoadReport;
pub use target_facts::TargetFacts;
pub use wasted_tokens::WastedTokens;
pub use work_item::WorkId;
pub use work_item::WorkItem;
