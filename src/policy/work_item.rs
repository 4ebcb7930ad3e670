//! A request as seen by the policy.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::ids::TokenCount;

/// Identifies one piece of work within one process.
pub type WorkId = u64;

/// A request as seen by the policy: its caller, its length, and the targets it may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// The work's id, which is never reused within one process.
    pub work: WorkId,
    /// The tier; 0 is the highest.
    pub tier: TierRank,
    /// The caller's account.
    pub account: AccountName,
    /// The account's weight in the fair queue.
    pub weight: u32,
    /// The request's class.
    pub class: ClassName,
    /// The length of the prompt in tokens.
    pub prompt_tokens: TokenCount,
    /// The expected length of the answer in tokens.
    pub output_tokens: TokenCount,
    /// The hash of the prompt's first bytes. Requests with the same hash may share a cached
    /// prefix.
    pub prefix: u64,
    /// When the complete answer is due.
    pub deadline: Duration,
    /// When the first token is due, if the class has such a goal.
    pub first_token_goal: Option<Duration>,
    /// The targets that the selectors allow, sorted.
    pub allowed: Arc<Vec<TargetName>>,
}
