//! Prompt tokens that were read for nothing, by cause.
//!
//! Load: overload, where work is dispatched that can't be in time, and hot
//! prefixes spread over many engines. Without the counts neither is seen: the
//! engines look busy and the callers get nothing.

use serde::Serialize;

use crate::ids::TokenCount;

use super::WorkOutcome;

/// Prompt tokens that were read for nothing, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct WastedTokens {
    /// The caller left or its deadline came.
    pub cancelled: u64,
    /// The target was lost or fell silent.
    pub failed: u64,
    /// The prompt's prefix was sent to a target that had not read it lately,
    /// though another one had; the whole prompt is counted.
    pub repeated: u64,
}

impl WastedTokens {
    /// Counts the end of work whose prompt was sent.
    pub(super) fn record_end(&mut self, end: WorkOutcome, prompt_tokens: TokenCount) {
        match end {
            WorkOutcome::Cancelled => self.cancelled += u64::from(prompt_tokens),
            WorkOutcome::Failed => self.failed += u64::from(prompt_tokens),
            WorkOutcome::Finished | WorkOutcome::NotSent => (),
        }
    }

    /// Counts a prompt that goes to another target than its prefix did before.
    pub(super) fn record_repeat(&mut self, prompt_tokens: TokenCount) {
        self.repeated += u64::from(prompt_tokens);
    }
}
