//! Shares of a quota that belong to hosts without reports.

use std::time::Duration;

use super::QuotaLimiter;
use super::peer_usage::ESTIMATE_PERIOD;
use super::peer_usage::PeerUsage;
use super::peer_usage::REPORT_TIMEOUT;
use super::peer_usage::UsageScope;
use super::report_age::UsageGap;

/// Fraction of an unresponsive peer's quota share that is an equal split among hosts; the rest
/// follows the demand it reported before. Callers may move to another host when theirs is cut
/// off.
pub(super) const EVEN_FRACTION: f64 = 0.25;
/// Dead hosts that did not announce a shutdown. They may be serving callers on the other side of
/// a network partition.
///
/// They are counted apart from unresponsive peers: a change of the number of live hosts may change
/// the mode of reporting, which drops the peers of the former one.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeadHosts {
    pub(super) count: usize,
    /// When the first of them was last seen.
    last_seen: Duration,
}

/// Numbers of hosts by what is known of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostCounts {
    /// Hosts, including this one, among which quotas are divided.
    pub(super) sharing: usize,
    /// Dead hosts that count as unresponsive in no report.
    dead: usize,
    /// Live hosts that no report includes.
    pub(super) unreported: usize,
}

impl DeadHosts {
    pub(super) const NONE: Self = Self {
        count: 0,
        last_seen: Duration::MAX,
    };

    /// Returns the dead hosts, given when each was last seen. Those that are away for longer than
    /// [`ESTIMATE_PERIOD`] have been replaced or serve no callers.
    pub(super) fn since(last_seen: &[Duration], now: Duration) -> Self {
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < ESTIMATE_PERIOD;
        let recent = last_seen.iter().filter(is_recent);
        Self {
            count: recent.clone().count(),
            last_seen: recent.min().copied().unwrap_or(Duration::MAX),
        }
    }
}

impl QuotaLimiter {
    /// Returns the number of other hosts whose usage the reports of peers include.
    pub(super) fn counted_hosts(&self, now: Duration) -> usize {
        let peers = self.peers.values();
        peers.map(|peer| peer.counted_hosts(now)).sum()
    }

    /// Returns the numbers of hosts.
    pub(super) fn host_counts(&self, now: Duration) -> HostCounts {
        let counted = self.counted_hosts(now) + 1;
        let sharing = counted.max(self.hosts + self.dead.count);
        let unresponsive = self.unresponsive_hosts(UsageScope::Fleet, now).hosts;
        let dead = self.dead.count.saturating_sub(usize::from(unresponsive));
        HostCounts {
            sharing,
            dead,
            unreported: (sharing - counted).saturating_sub(dead),
        }
    }

    /// Returns the shares of an account's requests that reach unresponsive hosts, each with the
    /// time since their last report. Hosts that never reported count since this host started,
    /// and dead ones since they were last seen.
    pub(super) fn unresponsive_gaps(&self, name: &str, now: Duration) -> Vec<UsageGap> {
        let counts = self.host_counts(now);
        let hosts = counts.sharing as f64;
        let mut gaps = self.unresponsive_peer_gaps(name, counts, UsageScope::Fleet, now);
        if counts.dead > 0 {
            gaps.push(UsageGap {
                share: counts.dead as f64 / hosts,
                age: now.saturating_sub(self.dead.last_seen),
            });
        }
        let is_blind =
            self.counted_hosts(now) == 0 && now.saturating_sub(self.started_at) < REPORT_TIMEOUT;
        if counts.unreported > 0 && !is_blind && !self.was_just_covered(now) {
            let since = self.covered_at.unwrap_or(self.started_at);
            gaps.push(UsageGap {
                share: counts.unreported as f64 / hosts,
                age: now.saturating_sub(since),
            });
        }
        gaps
    }

    /// Returns the same for the hosts covered by reports of a scope.
    pub(super) fn unresponsive_peer_gaps(
        &self,
        name: &str,
        counts: HostCounts,
        scope: UsageScope,
        now: Duration,
    ) -> Vec<UsageGap> {
        let hosts = counts.sharing as f64;
        // The demand at hosts that no report includes is taken for the average.
        let reported = 1.0 - (counts.dead + counts.unreported) as f64 / hosts;
        let mut gaps = Vec::new();
        for peer in self.peers_of(scope).filter(|peer| peer.may_consume(now)) {
            let account = peer.account(name);
            if peer.is_unresponsive(now) {
                let demanded = account.map_or(0.0, |account| reported * account.share);
                let even_fraction = match peer.knows_demand() {
                    true => EVEN_FRACTION,
                    false => 1.0,
                };
                let even = even_fraction * peer.hosts as f64 / hosts;
                gaps.push(UsageGap {
                    share: (even + (1.0 - even_fraction) * demanded) * peer.unseen,
                    age: now.saturating_sub(peer.received_at),
                });
            } else if peer.unresponsive.hosts > 0 {
                let demanded = account.map_or(0.0, |account| account.usage.unresponsive_share);
                gaps.push(UsageGap {
                    share: EVEN_FRACTION * f64::from(peer.unresponsive.hosts) / hosts + demanded,
                    age: Duration::from_millis(u64::from(peer.unresponsive.age_ms)),
                });
            }
        }
        gaps.retain(|gap| gap.share > 0.0);
        gaps
    }

    /// Returns the peers whose usage is included in a report of this scope.
    pub(super) fn peers_of(&self, scope: UsageScope) -> impl Iterator<Item = &PeerUsage> {
        let peers = self.peers.values();
        peers.filter(move |peer| scope != UsageScope::Group || peer.scope == UsageScope::Host)
    }
}
