//! Application of usage reports of peers.

use std::time::Duration;

use super::QuotaLimiter;
use super::account_state::PUBLISH_PERIOD;
use super::demand_tracker::add_demand;
use super::host_clock::ClockOffset;
use super::host_clock::HostClock;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerAccount;
use super::peer_usage::PeerUsage;
use super::peer_usage::ReportBasis;
use super::peer_usage::UsageReport;
use super::peer_usage::UsageScope;
use super::peer_usage::omitted_accounts;
use super::priority_split::ClassDemand;
use super::usage_window::UsageBuckets;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// Own usage that was reported to a leader and is not acknowledged yet.
#[derive(Debug)]
pub(super) struct UsageHandover {
    pub(super) leader: HostName,
    pub(super) accounts: Vec<(AccountName, UsageBuckets)>,
}

impl QuotaLimiter {
    /// Applies the usage that a host reported about itself.
    pub fn apply_host_usage(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        basis: ReportBasis,
        usage: Vec<AccountUsage>,
        now: Duration,
    ) {
        self.apply_report(host, UsageReport::of_host(incarnation, basis, usage), now);
    }

    /// Applies a peer's report.
    pub fn apply_report(&mut self, host: HostName, mut report: UsageReport, now: Duration) {
        self.remove_covered(&host, &report, now);
        let known = self.peers.remove(&host);
        let same_role = known
            .as_ref()
            .filter(|peer| peer.has_role(report.incarnation, report.scope));
        let time = Duration::from_millis(report.basis.clock_ms);
        let offset = self.set_clock(report.incarnation, time, now);
        self.merge_former(&report, now);
        let mut accounts = self.merge_accounts(&mut report, known.as_ref(), offset, now);
        self.acknowledge_handover(&host, report.scope);
        let omitted = self.carry_omitted(&report, known.as_ref(), &accounts, now);
        accounts.extend(omitted);
        accounts.sort_by(|left, right| left.usage.account.cmp(&right.usage.account));
        let met_at = same_role.map_or(now, |peer| peer.met_at);
        let peer = PeerUsage {
            incarnation: report.incarnation,
            scope: report.scope,
            covered: report.covered,
            hosts: report.hosts.max(1),
            unresponsive: report.unresponsive,
            received_at: now,
            met_at,
            known: Duration::from_millis(u64::from(report.basis.known_ms)),
            age: Duration::from_millis(u64::from(report.basis.age_ms)),
            departed: false,
            unseen: 1.0,
            accounts,
        };
        self.peers.insert(host, peer);
        self.update_coverage(now);
        let peers = self.peers.len();
        for (_, state) in self.accounts.iter_mut() {
            state.record_report(peers, now);
        }
    }

    /// Counts the reported usage; returns the accounts with their demand.
    fn merge_accounts(
        &mut self,
        report: &mut UsageReport,
        known: Option<&PeerUsage>,
        offset: ClockOffset,
        now: Duration,
    ) -> Vec<PeerAccount> {
        let is_readable = report.basis.bucket_ms == self.bucket_ms();
        let (origin, scope) = (report.incarnation, report.scope);
        let reported = std::mem::take(&mut report.accounts);
        let mut accounts = Vec::with_capacity(reported.len());
        let sharing = self.host_counts(now).sharing.max(report.hosts + 1);
        let even_share = report.hosts as f64 / sharing as f64;
        for usage in reported {
            let grouped = self.grouped;
            let state = self.account_mut(&usage.account);
            if is_readable {
                let counters = &mut state.counters;
                let (own, handed_over) = (&usage.pending, &usage.handed_over);
                counters.count_member(origin, own, handed_over, offset, grouped, now);
                counters.merge_origin(origin, &usage.counted, offset, now);
                if scope == UsageScope::Fleet {
                    counters.merge_view(origin, &usage.counted, &usage.relayed, offset, now);
                }
            }
            match scope == UsageScope::Host {
                true => state.direct_changed_at = Some(now),
                false => state.relayed_changed_at = Some(now),
            }
            let previous = known.and_then(|peer| peer.account(&usage.account));
            let share = state.update_demand(previous, &usage, even_share, now);
            let listed_since = previous
                .filter(|_| known.is_some_and(|peer| peer.has_role(origin, scope)))
                .map(|account| account.listed_since);
            accounts.push(PeerAccount {
                usage,
                listed_at: now,
                share,
                listed_since: listed_since.unwrap_or(now),
            });
        }
        accounts
    }

    /// Returns the accounts of a peer's previous reports that the new one omits, with their decayed
    /// demand.
    fn carry_omitted(
        &mut self,
        report: &UsageReport,
        known: Option<&PeerUsage>,
        accounts: &[PeerAccount],
        now: Duration,
    ) -> Vec<PeerAccount> {
        let same_role = known.filter(|peer| peer.has_role(report.incarnation, report.scope));
        let mut carried = Vec::new();
        for mut account in omitted_accounts(known, accounts) {
            let Some(state) = self.accounts.get_mut(&account.usage.account) else {
                continue;
            };
            let Some(peer) = same_role else {
                state.subtract_peer_demand(&account);
                continue;
            };
            // The fleet's usage of accounts that this host does not serve is reported less often.
            let is_due = report.scope != UsageScope::Fleet
                || state.is_served(now)
                || now.saturating_sub(account.listed_at) > PUBLISH_PERIOD;
            if is_due {
                let elapsed = now.saturating_sub(peer.received_at);
                state.decay_demand(&mut account, elapsed, now);
            }
            if !account.usage.demands.is_empty() {
                carried.push(account);
            }
        }
        carried
    }

    /// Records the time on another host's clock; returns the offset.
    fn set_clock(
        &mut self,
        incarnation: IncarnationId,
        time: Duration,
        now: Duration,
    ) -> ClockOffset {
        // A peer may state any time; one beyond 292 years counts as that.
        let nanos_of = |time: Duration| i64::try_from(time.as_nanos()).unwrap_or(i64::MAX);
        let offset = nanos_of(now) - nanos_of(time);
        let held = self.clocks.get(&incarnation).copied();
        let clock = HostClock {
            // The report with the shortest delay is the most exact.
            offset: held.map_or(offset, |held| held.offset.min(offset)),
            updated_at: now,
        };
        self.clocks.insert(incarnation, clock);
        clock.offset
    }

    /// Applies what hosts counted before they stopped or left their role.
    fn merge_former(&mut self, report: &UsageReport, now: Duration) {
        for former in &report.former {
            if former.origin == self.incarnation {
                continue;
            }
            let time = Duration::from_millis(former.clock_ms);
            let offset = match self.clocks.get(&former.origin) {
                Some(clock) => clock.offset,
                None => self.set_clock(former.origin, time, now),
            };
            for (account, counted) in &former.accounts {
                let state = self.account_mut(account);
                let counters = &mut state.counters;
                counters.merge_origin(former.origin, counted, offset, now);
                state.relayed_changed_at = Some(now);
            }
        }
    }

    /// Records that the leader whose answer arrived has counted what was reported to it.
    fn acknowledge_handover(&mut self, leader: &str, scope: UsageScope) {
        let Some(handover) = &self.handover else {
            return;
        };
        if scope != UsageScope::Fleet || handover.leader != leader {
            return;
        }
        for (account, sent) in &handover.accounts {
            if let Some(state) = self.accounts.get_mut(account) {
                state.counters.acknowledge(sent);
            }
        }
        self.handover = None;
    }

    /// Removes the reports that a report of this scope supersedes. A leader's report on the
    /// fleet covers all other hosts, and an earlier report of a leader covers the hosts that
    /// now report here directly.
    fn remove_covered(&mut self, host: &str, report: &UsageReport, now: Duration) {
        let is_fleet = report.scope == UsageScope::Fleet;
        let is_removed = |name: &str, peer: &PeerUsage| {
            name != host && (is_fleet || peer.scope == UsageScope::Fleet)
        };
        let has_new_role = self
            .peers
            .get(host)
            .is_some_and(|peer| !peer.has_role(report.incarnation, report.scope));
        if has_new_role {
            self.keep_demand(now);
        }
        self.remove_peers(is_removed, now);
    }

    pub(super) fn remove_peers(
        &mut self,
        is_removed: impl Fn(&str, &PeerUsage) -> bool,
        now: Duration,
    ) {
        let removed = self
            .peers
            .iter()
            .filter(|(host, peer)| is_removed(host, peer));
        let removed: Vec<HostName> = removed.map(|(host, _)| host.clone()).collect();
        if removed.is_empty() {
            return;
        }
        self.keep_demand(now);
        for peer in removed.iter().filter_map(|host| self.peers.remove(host)) {
            for account in &peer.accounts {
                if let Some(state) = self.accounts.get_mut(&account.usage.account) {
                    state.subtract_peer_demand(account);
                }
            }
        }
    }

    /// Keeps the reported demand until other hosts have reported it in place of those that did.
    fn keep_demand(&mut self, now: Duration) {
        let mut demands: SortedMap<AccountName, Vec<ClassDemand>> = SortedMap::new();
        let peers = self.peers.values();
        for account in peers
            .filter(|peer| !peer.is_unresponsive(now))
            .flat_map(|peer| &peer.accounts)
        {
            let name = account.usage.account.clone();
            let total = demands.get_or_insert_with(name, Vec::new);
            for demand in &account.usage.demands {
                add_demand(total, *demand);
            }
        }
        for (account, demands) in demands.iter() {
            if let Some(state) = self.accounts.get_mut(account) {
                let quota_share = state.plan.as_ref().map_or(1.0, |plan| plan.quota_share);
                state.former_demand.keep(demands.clone(), quota_share, now);
            }
        }
    }
}
