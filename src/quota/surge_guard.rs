//! Limit on what a host admits of an account before it knows the demand at other hosts.

use std::time::Duration;

use super::demand_tracker::MIN_RATE;
use super::peer_usage::REPORT_TIMEOUT;

/// Fraction of the quota's rate below which an account counts as idle.
const IDLE_FRACTION: f64 = 0.02;
/// Time after which reports of the account's demand have arrived from all responsive hosts.
const SETTLE_TIME: Duration = REPORT_TIMEOUT;

/// Number of reports of each peer after which an account without demand elsewhere counts as one
/// whose callers use this host. The first report may be older than the account's first request.
const REPORTS_PER_PEER: usize = 2;

/// Limits the admissions of an account that was idle.
///
/// When an idle account surges, each host sees only its own requests until reports arrive over
/// two hops. If each took its own demand for that of all hosts, 60 hosts would admit more than a
/// window in that time. Until then, a host keeps to its even share of a window, and admits at
/// least one request between two reports. Peers that directly exchange reports with this host
/// show earlier whether the account's callers use other hosts at all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SurgeGuard {
    /// Since when a peer has reported demand.
    reported_since: Option<Duration>,
    /// When the account became active.
    active_since: Option<Duration>,
    /// Number of reports of peers since then.
    reports: usize,
    /// Whether the account's callers use this host rather than others.
    is_local: bool,
    /// Amount admitted here since then.
    admitted: f64,
    /// Whether a request was admitted since the last report of a peer.
    admitted_since_report: bool,
}

impl SurgeGuard {
    /// Records a request, given the demand known before it and the quota's rate, both in tokens
    /// per second.
    pub(super) fn record_demand(&mut self, known: f64, rate: f64, now: Duration) {
        let is_idle = known < rate * IDLE_FRACTION;
        if self.active_since.is_none() || is_idle {
            let reported_since = self.reported_since.filter(|_| !is_idle);
            self.active_since = Some(reported_since.unwrap_or(now));
            self.reports = 0;
            self.is_local = false;
            self.admitted = 0.0;
        }
    }

    /// Records the demand at peers by a new report, in tokens per second.
    pub(super) fn record_peer_demand(&mut self, demand: f64, now: Duration) {
        self.admitted_since_report = false;
        match demand > MIN_RATE {
            true => _ = self.reported_since.get_or_insert(now),
            false => self.reported_since = None,
        }
    }

    /// Compares the demand here and elsewhere after a report of one of `peers`.
    pub(super) fn compare_demand(&mut self, own: f64, elsewhere: f64, peers: usize) {
        self.reports += 1;
        self.is_local |= self.reports >= REPORTS_PER_PEER * peers && elsewhere < own;
    }

    /// Returns whether the demand at all hosts is known.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        let is_past = |since: Duration| now.saturating_sub(since) >= SETTLE_TIME;
        self.is_local || self.active_since.is_some_and(is_past)
    }

    /// Returns the time until the demand at all hosts is known.
    pub(super) fn settles_in(&self, now: Duration) -> Duration {
        let since = self.active_since.unwrap_or(now);
        (since + SETTLE_TIME).saturating_sub(now)
    }

    /// Returns whether a request may be admitted, where `share` is this host's even share of a
    /// window.
    pub(super) fn allows(&self, cost: f64, share: f64, now: Duration) -> bool {
        self.is_settled(now)
            || self.admitted + cost <= share
            || share < cost && !self.admitted_since_report
    }

    /// Records an admitted request.
    pub(super) fn record_admission(&mut self, cost: f64) {
        self.admitted += cost;
        self.admitted_since_report = true;
    }
}
