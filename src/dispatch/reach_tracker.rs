//! Whether this host has a path to the targets of a pool.
//!
//! A host that is cut off from targets would take its own cut for the failure of one target after
//! another, hold its callers meanwhile, and mark targets and requests that are sound. Failed
//! connections to several targets, with none established in between, are its own path, unless
//! all peers fail there too.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::TargetName;

/// Number of targets to which connections must fail, or all of a smaller pool. A crash may take
/// down two or three at once.
const MIN_FAILED_TARGETS: usize = 4;
/// How long a failed connection counts. It covers three attempts with a timeout.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// Time within which some target answers a host that reaches them and has requests. A failed
/// connection counts for the host's report only after it.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time over which requests return to a path that is back. All at once would open a connection
/// each.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Share of the requests that use a path as soon as it is back.
const MIN_RETURN_SHARE: f64 = 0.1;
/// Interval of probes of a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which other targets are probed while connections fail.
const SWEEP_INTERVAL: Duration = Duration::from_millis(400);

/// What a host reports of its path to the targets of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolReach {
    /// The pool.
    pub pool: PoolName,
    /// Whether the host reaches targets; `None` if it did not try recently.
    pub reaches: Option<bool>,
    /// Requests of the pool that run or wait at the host.
    pub load: u32,
    /// Requests that the host may still start within its part of the bounds that hosts divide among
    /// them; `None` if there is no such bound.
    pub room: Option<u32>,
}

/// A change of the path to a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// The path is lost.
    Lost,
    /// The path is back.
    Back,
}

/// State of the path.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum PathState {
    #[default]
    Usable,
    Lost,
    /// It is back since this time.
    Returning(Duration),
}

/// The path of this host to the targets of one pool.
#[derive(Debug, Default)]
pub(super) struct ReachTracker {
    state: PathState,
    /// Targets to which connections failed since the last one was established, with the time of
    /// the last failure, sorted by name.
    failed: Vec<(TargetName, Duration)>,
    connected_at: Option<Duration>,
    responded_at: Option<Duration>,
    next_probe_at: Duration,
    probe_count: usize,
}

impl ReachTracker {
    /// Records that a connection was established; returns whether the path is back.
    pub(super) fn record_connect(&mut self, now: Duration) -> bool {
        self.failed.clear();
        self.connected_at = Some(now);
        let is_back = self.state == PathState::Lost;
        if is_back {
            self.state = PathState::Returning(now);
        }
        is_back
    }

    /// Records that a target answered, on whatever connection.
    pub(super) const fn record_response(&mut self, now: Duration) {
        self.responded_at = Some(now);
    }

    /// Records that no connection to a target could be established, in a pool with `accepting`
    /// targets; returns whether the path is now lost. `peers_fail` is whether all peers that
    /// tried recently fail as well: then the targets are lost, not the path.
    pub(super) fn record_failure(
        &mut self,
        target: &TargetName,
        accepting: usize,
        peers_fail: bool,
        now: Duration,
    ) -> bool {
        self.failed
            .retain(|(_, at)| now.saturating_sub(*at) < FAILURE_TTL);
        match self.failed.binary_search_by(|(name, _)| name.cmp(target)) {
            Ok(index) => self.failed[index].1 = now,
            Err(index) => self.failed.insert(index, (target.clone(), now)),
        }
        let is_evident = self.failed.len() >= accepting.clamp(1, MIN_FAILED_TARGETS);
        if !is_evident || peers_fail || self.state == PathState::Lost {
            return false;
        }
        self.state = PathState::Lost;
        self.next_probe_at = now + PROBE_INTERVAL;
        true
    }

    /// Records that all peers fail at the targets too; returns whether the path counted as lost.
    pub(super) fn record_common_loss(&mut self) -> bool {
        let was_lost = self.state == PathState::Lost;
        if was_lost {
            self.state = PathState::Usable;
        }
        was_lost
    }

    /// Returns whether the path is lost.
    pub(super) fn is_lost(&self) -> bool {
        self.state == PathState::Lost
    }

    /// Returns whether connections fail, and none was established since.
    pub(super) fn is_failing(&self, now: Duration) -> bool {
        self.failed
            .iter()
            .any(|(_, at)| now.saturating_sub(*at) < FAILURE_TTL)
    }

    /// Returns whether the last connection to the target failed.
    pub(super) fn has_failed(&self, target: &TargetName) -> bool {
        let found = self.failed.binary_search_by(|(name, _)| name.cmp(target));
        found.is_ok()
    }

    /// Returns the share of the requests that use the path; the others go to peers.
    pub(super) fn own_share(&self, now: Duration) -> f64 {
        match self.state {
            PathState::Usable => 1.0,
            PathState::Lost => 0.0,
            PathState::Returning(since) => {
                let elapsed = now.saturating_sub(since).as_secs_f64();
                (elapsed / RETURN_TIME.as_secs_f64()).clamp(MIN_RETURN_SHARE, 1.0)
            }
        }
    }

    /// Returns whether this host reaches targets; `None` if it did not try recently.
    pub(super) fn reaches(&self, now: Duration) -> Option<bool> {
        let last = self.responded_at.max(self.connected_at);
        let answers = |within: Duration| last.is_some_and(|at| now.saturating_sub(at) < within);
        let failed_since = self.failed.iter().any(|(_, at)| Some(*at) > last);
        if self.is_lost() || failed_since && self.is_failing(now) && !answers(ANSWER_TIME) {
            return Some(false);
        }
        answers(FAILURE_TTL).then_some(true)
    }

    /// Returns how many targets to probe now, and the number of the first probe: one of a lost
    /// path at a time, several while connections fail for an unknown reason.
    pub(super) fn take_probes(&mut self, now: Duration) -> Option<(usize, usize)> {
        if now < self.next_probe_at {
            return None;
        }
        let (count, interval) = match self.state {
            PathState::Lost => (1, PROBE_INTERVAL),
            _ if self.is_failing(now) => (MIN_FAILED_TARGETS - 1, SWEEP_INTERVAL),
            _ => return None,
        };
        self.next_probe_at = now + interval;
        let first = self.probe_count;
        self.probe_count = first.wrapping_add(count);
        Some((first, count))
    }
}
