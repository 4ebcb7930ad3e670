//! Ejection of targets that fail request after request.

use std::time::Duration;

/// Number of successive failures after which a target is ejected. A target that fails two
/// requests of five reaches it too seldom to stay ejected.
const MIN_FAILURES: u32 = 3;
/// Failures closer together than this count as one: all requests at a target fail at once when
/// its connections are reset.
const MIN_FAILURE_INTERVAL: Duration = Duration::from_millis(2);
/// The initial and maximum time for which a target is ejected. A target that has recovered is
/// used again within the latter.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Successive failures of one target, and the ejection that follows.
///
/// A target that fails its requests at once always has free slots. While all others are full,
/// weights by success rate don't help: it would get every request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutlierEjection {
    failures: u32,
    last_failure: Option<Duration>,
    ejected_until: Duration,
    next_ejection: Duration,
}

impl Default for OutlierEjection {
    fn default() -> Self {
        Self {
            failures: 0,
            last_failure: None,
            ejected_until: Duration::ZERO,
            next_ejection: INITIAL_EJECTION,
        }
    }
}

impl OutlierEjection {
    /// Records a failed request.
    pub(super) fn record_failure(&mut self, now: Duration) {
        let is_repeated = self
            .last_failure
            .is_some_and(|last| now.saturating_sub(last) < MIN_FAILURE_INTERVAL);
        if is_repeated {
            return;
        }
        self.last_failure = Some(now);
        self.failures += 1;
        if self.failures >= MIN_FAILURES && now >= self.ejected_until {
            self.ejected_until = now + self.next_ejection;
            self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        }
    }

    /// Records a request that succeeded, which ends the ejection.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the target gets no requests now.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns whether a target with `running` requests of this host gets no more: it is ejected,
    /// or a request runs there that shows whether it has recovered.
    pub(super) fn blocks(&self, running: u32, now: Duration) -> bool {
        let is_on_trial = self.failures >= MIN_FAILURES;
        self.is_ejected(now) || is_on_trial && running > 0
    }
}
