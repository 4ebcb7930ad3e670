//! What a host knows of an account's usage, for the log.

use std::time::Duration;

use serde::Serialize;

use super::QuotaLimiter;
use super::account_state::AccountState;
use super::peer_usage::PeerUsage;
use super::peer_usage::UsageScope;
use crate::ids::AccountName;

/// Period at which the accounts near their quota are logged.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(1);
/// Fraction of the usable amount of a window from which an account is logged.
const LOGGED_FRACTION: f64 = 0.75;

/// Usage of an account as known to one host, in tokens.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaSnapshot {
    /// The account.
    pub account: AccountName,
    /// What this host admitted within the last window.
    pub admitted: f64,
    /// What all hosts admitted within the last window, as known here.
    pub known: f64,
    /// What hosts plan to admit within a window.
    pub usable: f64,
    /// What is available now; negative if too much was used.
    pub available: f64,
    /// Requested tokens per second on all hosts, as known here.
    pub demand: f64,
    /// Share of the quota that belongs to the hosts whose reports arrive, 0 to 1.
    pub quota_share: f64,
    /// Number of hosts among which the quota is divided.
    pub hosts: usize,
    /// Number of them that are dead and may still be serving callers.
    pub dead: usize,
    /// Number of hosts, including this one, that recent reports of peers cover.
    pub reported: usize,
    /// Number of peers that report here.
    pub peers: usize,
    /// Age of the oldest of their last reports, in milliseconds.
    pub oldest_report_ms: u64,
    /// Mean age of what is known of all hosts' usage, in milliseconds.
    pub mean_age_ms: u64,
    /// Time since this host started, in milliseconds.
    pub uptime_ms: u64,
}

impl QuotaLimiter {
    /// Returns the accounts near their quota that this host serves, once a second.
    pub fn due_snapshots(&mut self, now: Duration) -> Vec<QuotaSnapshot> {
        if now.saturating_sub(self.logged_at) < SNAPSHOT_PERIOD {
            return Vec::new();
        }
        self.logged_at = now;
        let peers = self.peers.values().filter(|peer| peer.may_consume(now));
        let reporting: Vec<&PeerUsage> = peers.collect();
        let ages = reporting
            .iter()
            .map(|peer| now.saturating_sub(peer.received_at));
        let oldest = ages.max().unwrap_or_default();
        let recent = reporting.iter().filter(|peer| peer.is_reporting(now));
        let reported = recent.map(|peer| peer.hosts).sum::<usize>() + 1;
        let peers = reporting.len();
        let mean_age = self.mean_age(UsageScope::Fleet, now);
        let uptime = now.saturating_sub(self.started_at);
        let hosts = self.host_counts(now).sharing;
        let dead = self.dead.count;
        let accounts = self.accounts.iter_mut();
        let snapshots = accounts.filter_map(|(account, state)| {
            let mut snapshot = state.snapshot(account, now)?;
            snapshot.hosts = hosts;
            snapshot.dead = dead;
            snapshot.reported = reported;
            snapshot.peers = peers;
            snapshot.oldest_report_ms = oldest.as_millis() as u64;
            snapshot.mean_age_ms = mean_age.as_millis() as u64;
            snapshot.uptime_ms = uptime.as_millis() as u64;
            Some(snapshot)
        });
        snapshots.collect()
    }
}

impl AccountState {
    /// Returns the account's part of a snapshot, or `None` if it is idle here or far from its
    /// quota.
    fn snapshot(&mut self, account: &AccountName, now: Duration) -> Option<QuotaSnapshot> {
        if !self.is_served(now) {
            return None;
        }
        let known = self.known_usage(now);
        let demand = self.known_demand(now);
        let plan = self.plan.as_ref()?;
        if known < LOGGED_FRACTION * plan.usable {
            return None;
        }
        Some(QuotaSnapshot {
            account: account.clone(),
            admitted: self.counters.own_total(now),
            known,
            usable: plan.usable,
            available: plan.available,
            demand,
            quota_share: plan.quota_share,
            hosts: 0,
            dead: 0,
            reported: 0,
            peers: 0,
            oldest_report_ms: 0,
            mean_age_ms: 0,
            uptime_ms: 0,
        })
    }
}
