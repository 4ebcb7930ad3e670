//! Feedback from the answers of targets: token rates, failures and request limits.

use std::time::Duration;

use super::AttemptOutcome;
use super::LeavingTarget;
use super::PaceSource;
use super::PlacedTarget;
use super::PoolTable;
use super::ReturningTarget;
use super::TargetLimit;
use super::TargetPace;
use super::target_choice::shortest_mean_gap;
use super::target_runtime::TargetRuntime;
use crate::ids::PoolName;
use crate::view::TargetIncarnation;

impl PoolTable {
    /// Records that a target sent something for a request.
    pub fn record_activity(&mut self, pool: &str, placed: &PlacedTarget, now: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.reach.record_response(now);
        }
        if let Some(target) = self.target_mut(pool, placed) {
            target.record_activity(now);
        }
    }

    /// Records the requests per second that a target accepts, as stated in the answer to a
    /// request that was sent at `sent`; returns whether the limit changes.
    pub fn record_limit(
        &mut self,
        target: &TargetIncarnation,
        per_second: Option<f64>,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let changes = self.limits.record(target, per_second, sent, now);
        if changes {
            self.apply_limit(target);
        }
        changes
    }

    /// Merges the limits received from a peer; returns those that changed.
    pub fn merge_limits(&mut self, limits: Vec<TargetLimit>, now: Duration) -> Vec<TargetLimit> {
        let mut changed = Vec::new();
        for limit in limits {
            if self.limits.merge(&limit, now) {
                self.apply_limit(&limit.subject);
                changed.push(limit);
            }
        }
        changed
    }

    /// Returns the limits that changed since `since`, for a peer; all of them if it is new.
    pub fn changed_limits(&self, new: bool, since: Duration, now: Duration) -> Vec<TargetLimit> {
        self.limits.changes(new, since, now)
    }

    /// Records that a target is leaving, as stated in one of its answers; returns whether this
    /// is new.
    pub fn record_leaving(&mut self, target: TargetIncarnation, now: Duration) -> bool {
        if let Some(runtime) = self.find_incarnation(&target) {
            runtime.set_leaving(true);
        }
        self.notices.record_leaving(target, now)
    }

    /// Merges the leaving targets received from a peer; returns those that are new.
    pub fn merge_leaving(
        &mut self,
        leaving: Vec<LeavingTarget>,
        now: Duration,
    ) -> Vec<LeavingTarget> {
        let mut new = Vec::new();
        for received in leaving {
            if self.notices.merge_leaving(&received, now) {
                if let Some(runtime) = self.find_incarnation(&received.target) {
                    runtime.set_leaving(true);
                }
                new.push(received);
            }
        }
        new
    }

    /// Returns the leaving targets that this host learned of since `since`, for a peer; all that
    /// are registered if it is new.
    pub fn leaving_targets(&self, new: bool, since: Duration, now: Duration) -> Vec<LeavingTarget> {
        self.notices.leaving_changes(new, since, now)
    }

    /// Keeps a target out of use for a while that was removed before the store went back.
    pub fn record_returning(&mut self, target: TargetIncarnation, pause: Duration, now: Duration) {
        if self.notices.record_returning(target.clone(), pause, now) {
            self.apply_pause(&target);
        }
    }

    /// Merges the returning targets received from a peer.
    pub fn merge_returning(&mut self, returning: &[ReturningTarget], now: Duration) {
        for received in returning {
            let pause = Duration::from_millis(received.left_ms);
            self.record_returning(received.target.clone(), pause, now);
        }
    }

    /// Returns the returning targets that this host learned of since `since`, for a peer; all of
    /// them if it is new.
    pub fn returning_targets(
        &self,
        new: bool,
        since: Duration,
        now: Duration,
    ) -> Vec<ReturningTarget> {
        self.notices.returning_changes(new, since, now)
    }

    /// Records that a target asked for no requests during `pause`; returns whether its current
    /// pause gets longer.
    pub fn record_pause(
        &mut self,
        target: TargetIncarnation,
        pause: Duration,
        now: Duration,
    ) -> bool {
        let extends = self.notices.record_pause(target.clone(), pause, now);
        self.apply_pause(&target);
        extends
    }

    fn apply_pause(&mut self, target: &TargetIncarnation) {
        let until = self.notices.paused_until(target);
        if let Some(runtime) = self.find_incarnation(target) {
            runtime.set_paused_until(until);
        }
    }

    fn apply_limit(&mut self, target: &TargetIncarnation) {
        let entry = self.limits.get(target).copied();
        if let Some(runtime) = self.find_incarnation(target) {
            runtime.set_limit(entry);
        }
    }

    /// Records the first byte of an answer, `elapsed` after the dispatch.
    pub fn record_first_event(
        &mut self,
        pool: &str,
        placed: &PlacedTarget,
        elapsed: Duration,
        now: Duration,
    ) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.answer_time.record(elapsed);
        let objective = pool.objective;
        let fastest = shortest_mean_gap(&pool.targets);
        let mut targets = pool.targets.iter_mut();
        let found = targets.find(|target| target.is_assigned(placed));
        if let Some(target) = found {
            target.record_prefill_end(placed.prompt_tokens);
            if let Some(window) = &mut target.window {
                window.record_answer(elapsed, target.own_running, objective, now);
            }
            let tokens = placed.tokens_ahead + placed.prompt_tokens;
            pool.prefill
                .record(tokens, target.slowness(fastest), elapsed);
        }
    }

    /// Records that a target has not answered within `elapsed`.
    pub fn record_silence(&mut self, pool: &str, elapsed: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.answer_time.record(elapsed);
        }
    }

    /// Returns the time within which nearly all answers of a pool's targets come; `None` before the
    /// first one.
    pub fn answer_time_bound(&self, pool: &str) -> Option<Duration> {
        let pool = self.pools.get(pool)?;
        pool.answer_time.bound()
    }

    /// Records a complete stream whose events arrived within `elapsed`.
    pub fn record_stream_duration(&mut self, pool: &str, placed: &PlacedTarget, elapsed: Duration) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let fastest = shortest_mean_gap(&pool.targets);
        let mut targets = pool.targets.iter();
        let target = targets.find(|target| target.is_assigned(placed));
        if let (Some(target), Some(tokens)) = (target, placed.output_tokens) {
            pool.output
                .record(tokens, target.slowness(fastest), elapsed);
        }
    }

    /// Records the gap between two events of a stream.
    pub fn record_event_gap(
        &mut self,
        pool: &str,
        placed: &PlacedTarget,
        gap: Duration,
        now: Duration,
    ) {
        if let Some(target) = self.target_mut(pool, placed) {
            target.gaps.record_gap(gap, now);
            target.record_activity(now);
        }
    }

    /// Returns the paces of the engines in this host's shard that changed since `since`, for a
    /// peer; all of them if it is new.
    pub fn changed_paces(
        &self,
        source: PaceSource,
        new: bool,
        since: Duration,
        now: Duration,
    ) -> Vec<TargetPace> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let targets = engines.flat_map(|pool| &pool.targets);
        let in_shard = targets.filter(|target| target.in_shard);
        let since = (!new).then_some(since);
        let paces = in_shard.filter_map(|target| {
            let (gap_ms, age) = target.gaps.change(source, since, now)?;
            Some(TargetPace {
                target: target.record.incarnation(),
                gap_ms: gap_ms as f32,
                age_ms: age.as_millis() as u32,
            })
        });
        paces.collect()
    }

    /// Merges the paces received from a peer.
    pub fn merge_paces(&mut self, paces: &[TargetPace], now: Duration) {
        for pace in paces {
            if let Some(runtime) = self.find_incarnation(&pace.target) {
                let age = Duration::from_millis(u64::from(pace.age_ms));
                runtime.gaps.merge(f64::from(pace.gap_ms), age, now);
            }
        }
    }

    /// Records the outcome of a request at a target.
    pub fn record_outcome(
        &mut self,
        pool: &str,
        placed: &PlacedTarget,
        end: AttemptOutcome,
        now: Duration,
    ) {
        if let Some(pool) = self.pools.get_mut(pool)
            && let Some(running) = pool.running.get_mut(&placed.priority)
        {
            *running = running.saturating_sub(1);
        }
        if end == AttemptOutcome::Rejected {
            self.limit_windows(pool, now);
        }
        if let Some(target) = self.target_mut(pool, placed) {
            target.record_prefill_end(placed.prompt_tokens);
            target.record_outcome(end, now);
        }
    }

    /// Limits what this host has outstanding at each target of a plain pool, one of which is full.
    /// A host with few requests would have to be rejected by each of them.
    fn limit_windows(&mut self, pool: &str, now: Duration) {
        let targets = self.pools.get_mut(pool).map(|pool| &mut pool.targets);
        for target in targets.into_iter().flatten() {
            if let Some(window) = &mut target.window {
                window.limit(now);
            }
        }
    }

    pub(super) fn find_incarnation(
        &mut self,
        target: &TargetIncarnation,
    ) -> Option<&mut TargetRuntime> {
        let held = self.locations.find_mut(&mut self.pools, &target.name)?;
        held.is_incarnation(target).then_some(held)
    }

    /// Removes the statements of targets that are over, and applies the others.
    pub(super) fn refresh_statements(&mut self, now: Duration) {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let mut registered: Vec<TargetIncarnation> =
            targets.map(|target| target.record.incarnation()).collect();
        registered.sort_unstable();
        let is_registered = |target: &TargetIncarnation| registered.binary_search(target).is_ok();
        self.limits.retain(is_registered);
        let pools: Vec<PoolName> = self.pools.iter().map(|(name, _)| name.clone()).collect();
        self.brittle
            .retain(|pool| pools.binary_search(pool).is_ok());
        for pool in &pools {
            self.apply_brittle(pool);
        }
        self.notices.expire(is_registered, now);
        let targets = self
            .pools
            .iter_mut()
            .flat_map(|(_, pool)| &mut pool.targets);
        for target in targets {
            let incarnation = target.record.incarnation();
            target.set_limit(self.limits.get(&incarnation).copied());
            target.set_leaving(self.notices.is_leaving(&incarnation));
            target.set_paused_until(self.notices.paused_until(&incarnation));
        }
    }
}
