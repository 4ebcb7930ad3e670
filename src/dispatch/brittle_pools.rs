//! Pools whose targets crash when they reject many requests in a second.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::BrittleLimit;
use super::PoolTable;
use super::brittle_guard::BrittleState;
use super::brittle_guard::KnownRejection;
use crate::ids::PoolName;
use crate::view::TargetIncarnation;

/// The last rejection by a target of a brittle pool, as sent to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRejection {
    /// The target.
    pub target: TargetIncarnation,
    /// Time since the rejection, in milliseconds.
    pub age_ms: u32,
    /// Requests that the target was known to run then.
    pub room: u32,
}

impl PoolTable {
    /// Records the rejections in a second after which a target of the pool crashes, as stated in
    /// the answer to a request that was sent at `sent`; returns whether this changes.
    pub fn record_brittle(
        &mut self,
        pool: &PoolName,
        per_second: Option<f64>,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let changes = self.brittle.record(pool, per_second, sent, now);
        if changes {
            self.apply_brittle(pool);
        }
        changes
    }

    /// Merges the brittle pools received from a peer; returns those that changed.
    pub fn merge_brittle(&mut self, limits: Vec<BrittleLimit>, now: Duration) -> Vec<BrittleLimit> {
        let mut changed = Vec::new();
        for limit in limits {
            if self.brittle.merge(&limit, now) {
                self.apply_brittle(&limit.subject);
                changed.push(limit);
            }
        }
        changed
    }

    /// Returns the brittle pools that changed since `since`, for a peer; all of them if it is new.
    pub fn changed_brittle(&self, new: bool, since: Duration, now: Duration) -> Vec<BrittleLimit> {
        self.brittle.changes(new, since, now)
    }

    /// Returns whether the targets of the pool crash when they reject many requests.
    pub fn is_brittle(&self, pool: &str) -> bool {
        self.brittle_state(pool).is_some()
    }

    /// Returns the last rejections by targets of brittle pools that this host learned of since
    /// `since`, for a peer; all that still limit the hosts if it is new.
    pub fn changed_rejections(
        &self,
        new: bool,
        since: Duration,
        now: Duration,
    ) -> Vec<TargetRejection> {
        let since = if new { Duration::ZERO } else { since };
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let rejections = targets.filter_map(|target| {
            let rejection = target.brittle_guard.rejection_since(since, now)?;
            Some(TargetRejection {
                target: target.record.incarnation(),
                age_ms: now.saturating_sub(rejection.at).as_millis() as u32,
                room: rejection.room as u32,
            })
        });
        rejections.collect()
    }

    /// Merges the rejections received from a peer.
    pub fn merge_rejections(&mut self, rejections: &[TargetRejection], now: Duration) {
        for rejection in rejections {
            let known = KnownRejection {
                at: now.saturating_sub(Duration::from_millis(rejection.age_ms.into())),
                room: rejection.room as usize,
            };
            if let Some(target) = self.find_incarnation(&rejection.target) {
                target.brittle_guard.record_rejection(known, now);
            }
        }
    }

    fn brittle_state(&self, pool: &str) -> Option<BrittleState> {
        let entry = self.brittle.get(&pool.to_owned())?;
        Some(BrittleState {
            per_second: entry.per_second?,
            since: entry.since,
        })
    }

    pub(super) fn apply_brittle(&mut self, pool: &PoolName) {
        let state = self.brittle_state(pool);
        let targets = self.pools.get_mut(pool).map(|pool| &mut pool.targets);
        for target in targets.into_iter().flatten() {
            target.brittle_guard.set_state(state);
        }
    }
}
