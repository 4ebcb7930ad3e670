//! Usage since the last reports, estimated from their age.

use std::time::Duration;

use super::QuotaLimiter;
use super::peer_usage::UsageScope;

/// Usage of some hosts since their last report.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsageGap {
    /// Share of the account's usage that is theirs, 0 to 1.
    pub(super) share: f64,
    /// Age of what is known of their usage.
    pub(super) age: Duration,
}

impl UsageGap {
    /// Returns the part of a fleet's usage over the last period that is not reported yet, in
    /// seconds of the fleet's rate.
    pub(super) fn seconds(self, period: Duration) -> f64 {
        self.share * period.min(self.age).as_secs_f64()
    }
}

impl QuotaLimiter {
    /// Returns the mean age of what this host knows of the usage of the hosts in a scope.
    pub(super) fn mean_age(&self, scope: UsageScope, now: Duration) -> Duration {
        if scope == UsageScope::Host {
            return Duration::ZERO;
        }
        let mut hosts = 1.0;
        let mut ages = 0.0;
        for peer in self.peers_of(scope).filter(|peer| peer.is_reporting(now)) {
            hosts += peer.hosts as f64;
            ages += peer.hosts as f64 * peer.usage_age(now).as_secs_f64();
        }
        Duration::from_secs_f64(ages / hosts)
    }

    /// Returns the gaps between the reports of all other hosts and now. Unresponsive hosts are
    /// left out.
    pub(super) fn usage_gaps(&self, now: Duration) -> Vec<UsageGap> {
        let counts = self.host_counts(now);
        let hosts = counts.sharing as f64;
        let peers = self.peers.values().filter(|peer| peer.is_reporting(now));
        let mut gaps: Vec<UsageGap> = peers
            .map(|peer| UsageGap {
                share: peer.hosts as f64 / hosts,
                age: peer.usage_age(now),
            })
            .collect();
        if let Some(since) = self.last_coverage(now)
            && counts.unreported > 0
        {
            gaps.push(UsageGap {
                share: counts.unreported as f64 / hosts,
                age: self.mean_age(UsageScope::Fleet, now) + since,
            });
        }
        gaps
    }
}
