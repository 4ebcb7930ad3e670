//! Timing of one request for the histograms.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::clock::boot_now;
use crate::errors::RequestOutcome;
use crate::ids::TokenCount;
use crate::metrics::RequestSeries;

/// Records the timing of one request.
#[derive(Debug)]
pub(crate) struct RequestMeter {
    series: Arc<RequestSeries>,
    arrived: Duration,
    deadline: Duration,
    last_token: Mutex<Option<(Duration, TokenCount)>>,
}

impl RequestMeter {
    /// Starts measuring a request that arrived now.
    pub(crate) fn begin(series: Arc<RequestSeries>, deadline: Duration) -> Self {
        Self {
            series,
            arrived: boot_now(),
            deadline,
            last_token: Mutex::new(None),
        }
    }

    /// Records that the request left the queue.
    pub(crate) fn record_placement(&self) {
        self.series.record_queue_time(self.elapsed());
    }

    /// Records the number of prompt tokens sent to a target.
    pub(crate) fn record_dispatch(&self, prompt_tokens: TokenCount) {
        self.series.add_prefill_tokens(prompt_tokens);
    }

    /// Records the number of tokens received so far.
    pub(crate) fn record_progress(&self, tokens: TokenCount) {
        let now = boot_now();
        let mut last = self
            .last_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match *last {
            None => self.series.record_first_token(now - self.arrived),
            Some((time, before)) if tokens > before => {
                let gap = now.saturating_sub(time) / (tokens - before);
                self.series.record_token_gap(gap);
            }
            Some(_) => return,
        }
        *last = Some((now, tokens));
    }

    /// Records the outcome of the request.
    pub(crate) fn record_end(&self, outcome: RequestOutcome) {
        let in_time = outcome == RequestOutcome::Done && boot_now() <= self.deadline;
        self.series.record_answer(outcome, self.elapsed(), in_time);
    }

    /// Returns when the request arrived, on the boot clock.
    pub(crate) const fn arrived(&self) -> Duration {
        self.arrived
    }

    /// Returns how many tokens of the answer were received.
    pub(crate) fn tokens(&self) -> TokenCount {
        let last = self
            .last_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.map_or(0, |(_, tokens)| tokens)
    }

    fn elapsed(&self) -> Duration {
        boot_now().saturating_sub(self.arrived)
    }
}
