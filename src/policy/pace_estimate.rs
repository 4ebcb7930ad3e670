//! Estimates how long work takes on a target, learned from the progress of its streams.
//!
//! Engines run on different hardware, lengths differ by a factor of a hundred, and load reports
//! are old when they arrive. Placement by reported load would send long work to a slow engine
//! that looks idle, and continue sending to one that has just become ten times slower, as its
//! reports still look normal.
//!
//! Each token that arrives is a sample of the time per token. An unresponsive target gives no
//! samples, so a wait far beyond the expected time counts as a sample as well.

use std::time::Duration;

use crate::fleet::TargetKind;
use crate::ids::TokenCount;

/// Initial seconds per token of an engine without samples. It only orders the first few
/// requests; a typical engine takes 20 to 30 ms.
const INITIAL_PACE: f64 = 0.025;
/// Initial seconds per service call.
const INITIAL_CALL_SECONDS: f64 = 0.05;
/// Initial ratio of prefill speed to generation speed.
const INITIAL_PREFILL_RATIO: f64 = 200.0;
/// The weight of a new sample of the time per token. At 0.15 some ten tokens, a quarter of a
/// second of one stream, replace most of the former estimate.
const PACE_GAIN: f64 = 0.15;
/// The weight of a new sample of the prefill time; prompts are rarer than tokens.
const PREFILL_GAIN: f64 = 0.1;
/// The decay of the best time per token, per sample: an engine that was moved to other hardware
/// is judged anew after some minutes of full load. At 0.0002 the best time followed the load
/// within seconds, and hosts disagreed on the fastest engine.
const BEST_DECAY: f64 = 0.000_01;
/// A target is slow if its time per token exceeds the best one seen by this factor. A full
/// batch together with a long prompt costs up to 4.2 times an idle step, so 5 is above normal
/// load and far below the factor of ten of a fault. At 3 a run of short requests made the
/// express engine look slow, and a long prompt was sent there as a probe.
const SLOW_RATIO: f64 = 5.0;
/// A wait for progress of at least this many times the expected one counts as a sample.
const OVERDUE_RATIO: f64 = 4.0;
/// Shorter waits are not counted, since prefill chunks of another request's long prompt may
/// delay a step for that long.
const MIN_OVERDUE_SECONDS: f64 = 0.25;
/// A peer's estimate is adopted if no own sample is younger than this.
const OWN_SAMPLE_MAX_AGE: Duration = Duration::from_secs(2);

/// Learned parameters of the time that work takes on a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceEstimate {
    kind: TargetKind,
    /// Seconds per token, or per call of a service.
    token_seconds: f64,
    /// The best seconds per token seen; infinite without samples.
    best_token_seconds: f64,
    /// Seconds per prompt token.
    prefill: f64,
    sampled_at: Option<Duration>,
}

impl PaceEstimate {
    pub(super) const fn new(kind: TargetKind) -> Self {
        let token_seconds = initial_pace(kind);
        Self {
            kind,
            token_seconds,
            best_token_seconds: f64::INFINITY,
            prefill: token_seconds / INITIAL_PREFILL_RATIO,
            sampled_at: None,
        }
    }

    /// Adds a sample of the time of one token, or of one service call.
    pub(super) fn sample_token(&mut self, now: Duration, seconds: f64) {
        if self.sampled_at.is_none() && !self.best_token_seconds.is_finite() {
            self.token_seconds = seconds;
        }
        self.token_seconds += PACE_GAIN * (seconds - self.token_seconds);
        self.best_token_seconds = self.best_token_seconds.min(self.token_seconds);
        if !self.is_slow() {
            self.best_token_seconds += BEST_DECAY * (self.token_seconds - self.best_token_seconds);
        }
        self.sampled_at = Some(now);
    }

    /// Adds a sample of the prefill time of a prompt whose prefix was most likely not cached.
    pub(super) fn sample_prefill(&mut self, seconds: f64, prompt_tokens: TokenCount) {
        let sample = (seconds - self.token_seconds).max(0.0) / f64::from(prompt_tokens.max(1));
        self.prefill += PREFILL_GAIN * (sample - self.prefill);
    }

    /// Adds a sample of work that should have made progress and has not for `waited` seconds.
    pub(super) fn sample_overdue(&mut self, now: Duration, waited: f64, expected: f64) {
        if waited < MIN_OVERDUE_SECONDS || waited < OVERDUE_RATIO * expected {
            return;
        }
        // A lower bound: the true time per token may be longer still.
        let at_least = self.token_seconds * waited / expected.max(self.token_seconds);
        self.token_seconds += PACE_GAIN * (at_least - self.token_seconds).max(0.0);
        self.sampled_at = Some(now);
    }

    /// Adopts a peer's estimate if this host has no recent sample.
    pub(super) fn adopt(&mut self, now: Duration, pace_us: u32, best_us: u32) {
        if best_us == 0 {
            return;
        }
        self.best_token_seconds = self.best_token_seconds.min(f64::from(best_us) / 1e6);
        let own = self
            .sampled_at
            .is_some_and(|at| now < at + OWN_SAMPLE_MAX_AGE);
        if !own && pace_us > 0 {
            self.token_seconds = f64::from(pace_us) / 1e6;
        }
    }

    /// Returns the current and the best time per token for peers, in microseconds; 0 if unknown.
    pub(super) fn gossiped(&self) -> (u32, u32) {
        if !self.best_token_seconds.is_finite() {
            return (0, 0);
        }
        (
            (self.token_seconds * 1e6) as u32,
            (self.best_token_seconds * 1e6) as u32,
        )
    }

    /// Returns the seconds per token.
    pub(super) const fn token_seconds(&self) -> f64 {
        self.token_seconds
    }

    /// Returns the best seconds per token, or an initial estimate.
    pub(super) fn best_token_seconds(&self) -> f64 {
        if self.best_token_seconds.is_finite() {
            self.best_token_seconds
        } else {
            self.token_seconds.min(initial_pace(self.kind))
        }
    }

    /// Returns whether there was no sample for `age`.
    pub(super) fn is_stale(&self, now: Duration, age: Duration) -> bool {
        self.sampled_at.is_none_or(|at| now >= at + age)
    }

    /// Returns whether the target is far slower than at its best.
    pub(super) fn is_slow(&self) -> bool {
        self.token_seconds > SLOW_RATIO * self.best_token_seconds()
    }

    /// Returns the expected seconds to the first token.
    pub(super) fn first_token_seconds(&self, prompt_tokens: TokenCount) -> f64 {
        match self.kind {
            TargetKind::Engine => self.prefill * f64::from(prompt_tokens) + self.token_seconds,
            TargetKind::Service => self.token_seconds,
        }
    }

    /// Returns the expected seconds to the end of the answer on an idle target.
    pub(super) fn idle_total_seconds(
        &self,
        prompt_tokens: TokenCount,
        output_tokens: TokenCount,
    ) -> f64 {
        let speedup = (self.best_token_seconds() / self.token_seconds).min(1.0);
        speedup * self.total_seconds(prompt_tokens, output_tokens)
    }

    /// Returns the expected seconds to the end of the answer.
    pub(super) fn total_seconds(
        &self,
        prompt_tokens: TokenCount,
        output_tokens: TokenCount,
    ) -> f64 {
        match self.kind {
            TargetKind::Engine => {
                self.first_token_seconds(prompt_tokens)
                    + self.token_seconds * f64::from(output_tokens)
            }
            TargetKind::Service => self.token_seconds,
        }
    }
}

const fn initial_pace(kind: TargetKind) -> f64 {
    match kind {
        TargetKind::Engine => INITIAL_PACE,
        TargetKind::Service => INITIAL_CALL_SECONDS,
    }
}
