//! Fleet-wide admission rate of an account, with tolerance.

use std::time::Duration;

use crate::catalog::TokenRate;

/// Fraction of the tolerated amount per window that hosts plan to use. The rest covers
/// requests admitted before reports arrive: it keeps an account within its window when its
/// load rises to eight times the usual and 300 hosts exchange reports once a second.
const USABLE_FRACTION: f64 = 0.92;
/// Fraction of the usable amount that may be admitted as a burst; the rest accrues evenly
/// over the window. An account that could use a whole window in one burst would occupy all
/// engines for a second and then have nearly everything rejected until the window had passed.
const BURST_FRACTION: f64 = 0.1;
/// Fraction of the burst that is admitted by priority only.
const RESERVED_FRACTION: f64 = 0.5;

/// How far the fleet may exceed a quota.
///
/// Without it, accounts that request exactly their quota are rejected occasionally, since
/// peer reports arrive late and requests arrive in bursts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Fraction of the rate and the burst by which they may be exceeded.
    pub overage: f64,
    /// Fixed additional amount per window.
    pub slack: f64,
}

/// Rate at which requests of one account are admitted: a burst, and an amount per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuotaRate {
    pub(super) per_second: f64,
    pub(super) burst: f64,
    /// Remaining amount below which requests are admitted by priority.
    pub(super) reserved: f64,
    /// Amount by which a request may exceed what remains.
    pub(super) overdraft: f64,
}

impl QuotaTolerance {
    /// Returns the admission rate for a quota.
    pub(super) fn quota_rate(self, quota: TokenRate) -> QuotaRate {
        if self.overage <= 0.0 {
            return QuotaRate {
                per_second: quota.per_second,
                burst: quota.burst,
                reserved: 0.0,
                overdraft: 0.0,
            };
        }
        let seconds = self.window.as_secs_f64().max(0.001);
        let nominal = quota.per_second * seconds + quota.burst;
        let limit = nominal * (1.0 + self.overage) + self.slack;
        let usable = limit * USABLE_FRACTION;
        let burst = usable * BURST_FRACTION;
        QuotaRate {
            per_second: (usable - burst) / seconds,
            burst,
            reserved: burst * RESERVED_FRACTION,
            overdraft: limit - usable,
        }
    }
}

/// Quota of an account, with a gradual transition after it was lowered.
///
/// The lower quota applies to the part of the window after the change. Usage before the change
/// was within the previous quota, and a compliant account must not be rejected for a whole
/// window.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaTransition {
    current: TokenRate,
    previous: TokenRate,
    changed_at: Duration,
}

impl QuotaTransition {
    /// Creates the state of a quota that did not change recently.
    pub(super) const fn new(quota: TokenRate) -> Self {
        Self {
            current: quota,
            previous: quota,
            changed_at: Duration::ZERO,
        }
    }

    /// Returns the effective quota, where `configured` is the one in the catalog.
    pub(super) fn effective(
        &mut self,
        configured: TokenRate,
        window: Duration,
        now: Duration,
    ) -> TokenRate {
        if configured != self.current {
            self.previous = self.current;
            self.current = configured;
            self.changed_at = now;
        }
        let elapsed = now.saturating_sub(self.changed_at).as_secs_f64();
        let weight = (1.0 - elapsed / window.as_secs_f64().max(0.001)).max(0.0);
        let blend = |previous: f64, current: f64| current + (previous - current).max(0.0) * weight;
        TokenRate {
            per_second: blend(self.previous.per_second, self.current.per_second),
            burst: blend(self.previous.burst, self.current.burst),
        }
    }
}
