//! Periodic observation: loads, overdue progress, and the choice of express engines.
//!
//! While an engine prefills a long prompt, the first token of short work there takes many times
//! longer, even if slots are reserved for it. Therefore some fast engines take no long work at
//! all.

use std::time::Duration;

use crate::fleet::TargetKind;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

use super::DispatchPolicy;
use super::decide::band;
use super::pool_state::WorkBand;
use super::target_view::TargetView;

/// One engine in this many is an express engine, which takes brief work only.
const EXPRESS_DIVISOR: usize = 12;
/// Engines within this factor of the fastest count as equally fast, and the first by name is
/// chosen. Hosts with slightly different samples must choose the same one, or one host's long
/// prompts delay the others' brief work. Hardware generations differ by more.
const SAME_SPEED_FACTOR: f64 = 1.25;
/// With fewer engines than this there is no express engine.
const MIN_ENGINES_FOR_EXPRESS: usize = 4;

impl DispatchPolicy {
    /// Updates what changes with time: reserves, concurrency limits, and the time per token of
    /// targets whose progress is overdue.
    pub(super) fn observe(&mut self, now: Duration) {
        self.count_pools();
        let (mut top, mut short) = (0, 0);
        for work in self.queue.works() {
            if work.kind != TargetKind::Engine {
                continue;
            }
            match (work.item.tier, band(work.cost)) {
                (0, _) => top += 1,
                (_, WorkBand::Long) => (),
                _ => short += 1,
            }
        }
        let engines = &mut self.engines;
        engines.top.sample(now, engines.running_top + top);
        engines.short.sample(now, engines.running_short + short);
        let services = &mut self.services;
        services.top.sample(now, services.running_top);
        let mut filled = SortedMap::new();
        for work in self.running.values() {
            let view = self.targets.get(&work.target);
            if view.is_some_and(TargetView::is_engine) {
                *filled.get_or_insert_with(work.item.tier, || 0) += 1;
            }
        }
        self.engines.load.sample(now, &filled);
        for work in self.running.values() {
            let Some(view) = self.targets.get_mut(&work.target) else {
                continue;
            };
            let waited = now.saturating_sub(work.progressed_at).as_secs_f64();
            let expected = if work.tokens > 0 {
                view.pace.token_seconds()
            } else {
                let pending = view.pending_prefill_tokens.min(u64::from(u32::MAX)) as u32;
                view.pace.first_token_seconds(pending)
            };
            view.pace.sample_overdue(now, waited, expected);
        }
        for (_, view) in self.targets.iter_mut() {
            let (best, token) = (view.pace.best_token_seconds(), view.pace.token_seconds());
            view.limit.step(now, best, token);
        }
    }

    /// Reserves the fastest engines for brief work.
    pub(super) fn choose_express(&mut self) {
        let candidates: Vec<(&TargetName, f64)> = self
            .targets
            .iter()
            .filter(|(_, view)| view.is_engine() && view.is_live() && !view.pace.is_slow())
            .map(|(name, view)| (name, view.pace.best_token_seconds()))
            .collect();
        let fastest = candidates.iter().map(|(_, best)| *best);
        let fastest = fastest.fold(f64::INFINITY, f64::min);
        let mut ranked: Vec<(bool, &TargetName)> = candidates
            .iter()
            .map(|(name, best)| (*best > fastest * SAME_SPEED_FACTOR, *name))
            .collect();
        ranked.sort();
        let count = if candidates.len() < MIN_ENGINES_FOR_EXPRESS {
            0
        } else {
            candidates.len().div_ceil(EXPRESS_DIVISOR)
        };
        let express = ranked.iter().take(count);
        let express: Vec<TargetName> = express.map(|(_, name)| (*name).clone()).collect();
        for (name, view) in self.targets.iter_mut() {
            view.express = express.contains(name);
        }
    }

    /// Returns how many slots of a target this host could use.
    pub(super) fn wanted(&self, target: &TargetName) -> u32 {
        let Some(view) = self.targets.get(target) else {
            return 0;
        };
        let similar = self
            .targets
            .values()
            .filter(|other| other.is_live() && other.is_engine() == view.is_engine());
        let count = similar.count().max(1) as u32;
        let works = self.queue.works().iter();
        let (mut at_home, mut anywhere) = (0, 0);
        for work in works {
            if work.homes.first() == Some(target) {
                at_home += 1;
            } else if work.item.allowed.binary_search(target).is_ok() {
                anywhere += 1;
            }
        }
        let at_home: u32 = at_home;
        let wanted = view.running + 1 + at_home;
        let wanted = wanted.max(view.running + 1 + (at_home + anywhere) / count);
        if view.express {
            return wanted.max(self.engines.top.size().ceil() as u32);
        }
        wanted
    }

    pub(super) fn count_pools(&mut self) {
        for pool in [&mut self.engines, &mut self.services] {
            (pool.slots, pool.free) = (0, 0);
            (pool.running_top, pool.running_short) = (0, 0);
        }
        for view in self.targets.values() {
            let pool = if view.is_engine() {
                &mut self.engines
            } else {
                &mut self.services
            };
            // Slots of targets that are gone, or above their concurrency limit, don't count:
            // otherwise a reserve as large as the remaining slots would block them permanently.
            if view.is_live() {
                pool.slots += view.limit.usable(view.share);
            }
            pool.free += view.free();
        }
        for work in self.running.values() {
            let view = self.targets.get(&work.target);
            let pool = if view.is_none_or(TargetView::is_engine) {
                &mut self.engines
            } else {
                &mut self.services
            };
            match (work.item.tier, band(work.cost)) {
                (0, _) => pool.running_top += 1,
                (_, WorkBand::Long) => (),
                _ => pool.running_short += 1,
            }
        }
    }
}
