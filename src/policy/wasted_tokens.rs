//! Counters of wasted prefill, by cause.
//!
//! Prefill is wasted under overload, when dispatched work can't meet its deadline, and when
//! frequent prefixes are spread over many engines. Without these counters neither is visible:
//! the engines look busy while callers get no answers.

use serde::Serialize;

use crate::ids::TokenCount;

use super::WorkOutcome;

/// Prompt tokens whose prefill was wasted, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct WastedTokens {
    /// The caller left or the deadline passed.
    pub cancelled: u64,
    /// The target was lost or became unresponsive.
    pub failed: u64,
    /// The prompt's prefix was sent to a target that had not processed it recently although
    /// another one had. The whole prompt is counted.
    pub repeated: u64,
}

impl WastedTokens {
    /// Counts the prompt of work that ended, unless the work finished or was not sent.
    pub(super) fn record_end(&mut self, end: WorkOutcome, prompt_tokens: TokenCount) {
        match end {
            WorkOutcome::Cancelled => self.cancelled += u64::from(prompt_tokens),
            WorkOutcome::Failed => self.failed += u64::from(prompt_tokens),
            WorkOutcome::Finished | WorkOutcome::NotSent => (),
        }
    }

    /// Counts a prompt that is sent to another target than its prefix was before.
    pub(super) fn record_repeat(&mut self, prompt_tokens: TokenCount) {
        self.repeated += u64::from(prompt_tokens);
    }
}
