//! The state of a target as seen by this host.

use std::time::Duration;

use crate::fleet::TargetKind;
use crate::fleet::TargetState;
use crate::ids::TokenCount;

use super::LoadReport;
use super::TargetFacts;
use super::WorkItem;
use super::concurrency_limit::ConcurrencyLimit;
use super::pace_estimate::PaceEstimate;

/// How long a load report, and the dispatch times that correct it, are used.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// The state of a target as seen by this host.
#[derive(Debug)]
pub(super) struct TargetView {
    pub(super) facts: TargetFacts,
    pub(super) pace: PaceEstimate,
    pub(super) limit: ConcurrencyLimit,
    /// This host's work that runs at the target.
    pub(super) running: u32,
    /// The slots that this host may fill.
    pub(super) share: u32,
    /// Prompt tokens sent for which no answer token has arrived yet.
    pub(super) pending_prefill_tokens: u64,
    /// Whether the target takes brief work only.
    pub(super) express: bool,
    /// When the target, being slow, was last probed.
    pub(super) probed_at: Option<Duration>,
    /// Requests queued inside the target, by its last report.
    queued: u32,
    reported_at: Duration,
    /// The times of this host's last dispatches, the newest last.
    dispatch_times: Vec<Duration>,
}

impl TargetView {
    pub(super) const fn new(facts: TargetFacts) -> Self {
        let pace = PaceEstimate::new(facts.kind);
        Self {
            facts,
            pace,
            limit: ConcurrencyLimit::new(),
            running: 0,
            share: 0,
            pending_prefill_tokens: 0,
            express: false,
            probed_at: None,
            queued: 0,
            reported_at: Duration::ZERO,
            dispatch_times: Vec::new(),
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.facts.state == TargetState::Live
    }

    pub(super) fn is_engine(&self) -> bool {
        self.facts.kind == TargetKind::Engine
    }

    /// Returns how many slots this host may still fill at the target.
    pub(super) fn free(&self) -> u32 {
        if !self.is_live() {
            return 0;
        }
        self.limit.usable(self.share).saturating_sub(self.running)
    }

    /// Applies the target's load report.
    ///
    /// The report does not include work that was sent after it was made; the expected wait adds
    /// that work.
    pub(super) fn apply_report(&mut self, report: LoadReport) {
        if report.measured_at < self.reported_at {
            return;
        }
        self.reported_at = report.measured_at;
        self.queued = report.waiting;
        self.dispatch_times
            .retain(|at| *at + REPORT_MAX_AGE > report.measured_at);
    }

    pub(super) fn record_dispatch(&mut self, now: Duration, item: &WorkItem) {
        self.running += 1;
        self.pending_prefill_tokens += u64::from(item.prompt_tokens);
        self.dispatch_times.push(now);
        let surplus = self
            .dispatch_times
            .len()
            .saturating_sub(self.facts.slots as usize);
        self.dispatch_times.drain(..surplus);
    }

    pub(super) fn record_prefill_end(&mut self, prompt_tokens: TokenCount) {
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_sub(u64::from(prompt_tokens));
    }

    /// Returns the expected seconds to the first token of work sent now.
    pub(super) fn first_token_seconds(&self, now: Duration, item: &WorkItem) -> f64 {
        let pending = self.pending_prefill_tokens.min(u64::from(TokenCount::MAX)) as TokenCount;
        let prompts = item.prompt_tokens.saturating_add(pending);
        self.pace.first_token_seconds(prompts) + self.queue_wait(now)
    }

    /// Returns the expected seconds to the end of work sent now.
    pub(super) fn total_seconds(&self, now: Duration, item: &WorkItem) -> f64 {
        let generation_seconds = self.pace.total_seconds(0, item.output_tokens);
        match self.facts.kind {
            TargetKind::Engine => generation_seconds + self.first_token_seconds(now, item),
            TargetKind::Service => generation_seconds + self.queue_wait(now),
        }
    }

    /// Returns the expected seconds of the work alone, ignoring work ahead of it.
    pub(super) fn service_seconds(&self, item: &WorkItem) -> f64 {
        self.pace
            .total_seconds(item.prompt_tokens, item.output_tokens)
    }

    /// Returns the expected wait inside the target, from the requests queued by its report and
    /// those sent after the report was made.
    fn queue_wait(&self, now: Duration) -> f64 {
        if self.queued == 0 || now > self.reported_at + REPORT_MAX_AGE {
            return 0.0;
        }
        let after = self
            .dispatch_times
            .iter()
            .filter(|at| **at > self.reported_at)
            .count();
        let queued = f64::from(self.queued) + after as f64;
        queued * self.pace.token_seconds()
    }
}
