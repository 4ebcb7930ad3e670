//! Ranges of targets that follow the demand of the groups of hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PoolSpan;
use super::PoolTable;
use super::ShardSpan;
use crate::ids::PoolName;
use crate::members::GroupShare;
use crate::sorted::SortedMap;

/// Age of a group's last report at which ranges become equal. Leaders report twice a second, so
/// that two reports in a row may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Time for which a new leader collects the demands of its members before it reports them. Idle
/// members report each 400 ms; a total without some of them would shrink the group's range.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(400);
/// Shortest time between two updates, each of which visits all targets. Gossip may be woken many
/// times a second.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Period at which boundaries move: that of the reports between leaders, so that each step
/// takes the result of the last one into account.
const STEP_PERIOD: Duration = Duration::from_millis(500);
/// The part of the difference from the computed boundary by which it moves at once. Refused
/// callers may be overstated in the demand, as each counts for a second; with a larger part a
/// boundary could move past its goal and back.
const STEP_FRACTION: f64 = 0.5;
/// The most that a boundary moves at once, relative to an equal range, so that a group keeps at
/// least three quarters of its targets. Hosts know the loads at targets that they keep.
const MAX_STEP: f64 = 0.125;
/// The differences, relative to an equal range, at which a boundary starts and stops moving. A
/// range that is off by the first at both ends changes refusals at 1.5 times the capacity by a
/// tenth; the second is less than one target of 112.
const START_DIFFERENCE: f64 = 0.025;
const STOP_DIFFERENCE: f64 = 0.008;
/// The least part of the capacity of an equal range that a group without demand keeps, for
/// callers that arrive before the ranges have moved back.
const MIN_SHARE: f64 = 0.25;
/// The least number of targets of a range, relative to an equal range.
const MIN_WIDTH: f64 = 0.125;
/// The ratio of any group's demand to the capacity of an equal range at or above which ranges
/// follow demand, and below which they return to equal ones.
const WEIGHTED_FROM: f64 = 0.85;
const EQUAL_BELOW: f64 = 0.65;
/// Time constant of the moving average of a group's demand, which averages out the arrivals of
/// single requests.
const DEMAND_WINDOW: Duration = Duration::from_millis(1000);

/// What a leader reports to other leaders of its group's shard of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolShard {
    /// The pool.
    pub pool: PoolName,
    /// Its range. The end is the boundary that the leader decided on, and the start is the one
    /// that it took over from the group before.
    pub span: ShardSpan,
    /// Slots that requests of the group want, running ones included, each counted by its work
    /// on a fast target.
    pub demand: f32,
    /// The slots of the range, each multiplied by the speed of its target.
    pub capacity: f32,
    /// The shortest mean gap between events of a target, in milliseconds, to which speeds are
    /// relative. Leaders adopt the shortest of all groups.
    pub shortest_gap_ms: Option<f32>,
}

/// What a leader reports to other leaders of its group's shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardReport {
    /// Index of the group.
    pub group: u16,
    /// Number of groups. A report about another division into groups is not used.
    pub groups: u16,
    /// The sharded pools of engines.
    pub pools: Vec<PoolShard>,
}

impl PoolShard {
    /// Returns whether its figures can be computed with.
    fn is_valid(&self) -> bool {
        let is_amount = |amount: f32| amount.is_finite() && amount >= 0.0;
        let gap = self.shortest_gap_ms.unwrap_or(1.0);
        let span = self.span;
        let has_width = span.start < span.end && span.end <= ShardSpan::UNITS;
        has_width
            && is_amount(self.demand)
            && is_amount(self.capacity)
            && is_amount(gap)
            && gap > 0.0
    }
}

/// The state of one pool at the leader of a group.
#[derive(Clone, Debug)]
struct PoolWeight {
    shard: PoolShard,
    demand: f64,
    /// Whether ranges follow demand.
    is_weighted: bool,
    /// Whether the end of the range is moving towards its goal.
    is_moving: bool,
}

/// Computes, at the leader of a group, the range of targets that the group prefers.
///
/// Demand differs between zones, and a range of targets may hold more or fewer slow ones. With
/// equal ranges one group refuses requests while others have free slots.
///
/// Each boundary between two ranges is decided by the leader of the group before it, and taken
/// over by the leader of the group behind it. So leaders with different views don't move the
/// same boundary in opposite directions. A group gives up targets only when the next one has
/// reported that it uses them.
#[derive(Debug, Default)]
pub struct ShardWeights {
    share: GroupShare,
    started_at: Duration,
    updated_at: Option<Duration>,
    stepped_at: Duration,
    /// The last report of each other group, and when it arrived.
    reports: SortedMap<u16, (ShardReport, Duration)>,
    pools: SortedMap<PoolName, PoolWeight>,
}

impl ShardWeights {
    /// Merges the report of another leader. If a group has two leaders, the last report counts.
    pub fn merge(&mut self, mut report: ShardReport, now: Duration) {
        report.pools.retain(PoolShard::is_valid);
        self.reports.insert(report.group, (report, now));
    }

    /// Returns whether this host decides on its group's ranges.
    pub fn is_leading(&self, now: Duration) -> bool {
        self.updated_at.is_some_and(|at| now < at + REPORT_TTL)
    }

    /// Returns the report for other leaders; `None` if this host is no leader or became one just
    /// now.
    pub fn report(&self, now: Duration) -> Option<ShardReport> {
        if !self.is_leading(now) || now < self.started_at + FIRST_REPORT_DELAY {
            return None;
        }
        Some(ShardReport {
            group: self.share.index as u16,
            groups: self.share.groups as u16,
            pools: self.pools.values().map(|pool| pool.shard.clone()).collect(),
        })
    }

    /// Updates the ranges of a leader's own table. `demands` are the slots that its group wants
    /// in each pool.
    pub fn update(
        &mut self,
        share: &GroupShare,
        demands: &[(PoolName, u32)],
        table: &mut PoolTable,
        now: Duration,
    ) {
        let elapsed = self.updated_at.map(|at| now.saturating_sub(at));
        let is_recent = elapsed.is_some_and(|elapsed| elapsed < MIN_UPDATE_INTERVAL);
        if is_recent && self.share == *share {
            return;
        }
        let is_new = elapsed.is_none_or(|elapsed| elapsed >= REPORT_TTL);
        if is_new || self.share != *share {
            *self = Self {
                share: share.clone(),
                started_at: now,
                stepped_at: now,
                reports: std::mem::take(&mut self.reports),
                ..Self::default()
            };
        }
        self.updated_at = Some(now);
        self.drop_reports(now);
        let update = WeightUpdate {
            elapsed: elapsed.unwrap_or_default(),
            steps: now >= self.stepped_at + STEP_PERIOD,
            awaits_reports: now < self.started_at + REPORT_TTL,
        };
        if update.steps {
            self.stepped_at = now;
        }
        let names = table.sharded_pools();
        self.pools
            .retain(|name, _| names.binary_search(name).is_ok());
        let mut spans = Vec::new();
        for pool in names {
            let wanted = demands.iter().find(|(name, _)| *name == pool);
            let wanted = wanted.map_or(0.0, |(_, slots)| f64::from(*slots));
            let span = self.update_pool(&pool, wanted, update, table);
            if span != ShardSpan::equal(share.index, share.groups) {
                spans.push(PoolSpan { pool, span });
            }
        }
        table.set_shard_spans(&spans, now);
    }

    /// Drops the reports that are too old or about another division into groups.
    fn drop_reports(&mut self, now: Duration) {
        let share = &self.share;
        self.reports.retain(|group, (report, at)| {
            let group = usize::from(*group);
            let is_other = group < share.groups && group != share.index;
            let is_recent = now.saturating_sub(*at) < REPORT_TTL;
            is_other && is_recent && usize::from(report.groups) == share.groups
        });
    }

    /// Updates one pool; returns the range that the group uses.
    fn update_pool(
        &mut self,
        pool: &PoolName,
        wanted: f64,
        update: WeightUpdate,
        table: &PoolTable,
    ) -> ShardSpan {
        let own = self.share.index;
        let groups = self.share.groups;
        let equal = ShardSpan::equal(own, groups);
        let reported: Vec<Option<&PoolShard>> = (0..groups)
            .map(|group| self.reported(group, pool))
            .collect();
        let gaps = reported.iter().flatten();
        let gaps = gaps
            .filter_map(|shard| shard.shortest_gap_ms)
            .map(f64::from);
        let own_gap = table.shortest_gap(pool);
        let shortest_gap = gaps.chain(own_gap).min_by(f64::total_cmp);
        let wanted = (wanted - table.slow_running(pool, shortest_gap)).max(0.0);
        let before = self.pools.get(pool);
        let demand = before.map_or(wanted, |before| {
            let decay = (-update.elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
            wanted + (before.demand - wanted) * decay
        });
        // A new leader goes on from the range that it used as a member.
        let held = table.shard_span(pool).unwrap_or(equal);
        let mut span = before.map_or(held, |before| before.shard.span);
        let mut is_weighted = before.map_or(held != equal, |before| before.is_weighted);

        let mut is_moving = before.is_some_and(|before| before.is_moving);

        let others = (0..groups).filter(|group| *group != own);
        let is_complete = others.clone().all(|group| reported[group].is_some());
        if is_complete {
            if let Some(before) = own.checked_sub(1).and_then(|group| reported[group]) {
                span.start = before.span.end;
            }
            let shards: Vec<GroupShard> = (0..groups)
                .map(|group| match reported[group] {
                    Some(shard) => GroupShard::of(shard),
                    None => GroupShard {
                        span,
                        demand,
                        capacity: table.span_capacity(pool, span, shortest_gap),
                    },
                })
                .collect();
            is_weighted = follows_demand(&shards, is_weighted);
            if update.steps && own + 1 < groups {
                let goal = match is_weighted {
                    true => boundary_behind(&shards, own),
                    false => f64::from(equal.end),
                };
                let unit = f64::from(ShardSpan::UNITS) / groups as f64;
                let difference = (goal - f64::from(span.end)) / unit;
                is_moving = is_off(difference, is_moving);
                let wanted = match is_weighted {
                    true if is_moving => difference * STEP_FRACTION,
                    true => 0.0,
                    false => difference,
                };
                let moved = wanted.clamp(-MAX_STEP, MAX_STEP) * unit;
                span.end = (f64::from(span.end) + moved).round() as u32;
            }
        } else if !update.awaits_reports {
            span = equal;
            is_weighted = false;
        }
        let next = reported.get(own + 1).copied().flatten();
        if is_complete {
            let width = (f64::from(ShardSpan::UNITS) / groups as f64 * MIN_WIDTH) as u32;
            let last = next.map_or(ShardSpan::UNITS, |next| next.span.end.saturating_sub(width));
            span.end = span.end.min(last).max(span.start.saturating_add(width));
            span.end = span.end.min(ShardSpan::UNITS);
        }
        let capacity = table.span_capacity(pool, span, shortest_gap);
        let weight = PoolWeight {
            shard: PoolShard {
                pool: pool.clone(),
                span,
                demand: demand as f32,
                capacity: capacity as f32,
                shortest_gap_ms: own_gap.map(|gap| gap as f32),
            },
            demand,
            is_weighted,
            is_moving,
        };
        // Targets that the next group does not use yet stay in use here.
        let used_end = next.map_or(span.end, |next| span.end.max(next.span.start));
        self.pools.insert(pool.clone(), weight);
        ShardSpan {
            start: span.start,
            end: used_end,
        }
    }

    fn reported(&self, group: usize, pool: &str) -> Option<&PoolShard> {
        let (report, _) = self.reports.get(&(group as u16))?;
        report.pools.iter().find(|shard| shard.pool == pool)
    }
}

/// What an update depends on besides the table.
#[derive(Clone, Copy, Debug)]
struct WeightUpdate {
    /// Time since the last update.
    elapsed: Duration,
    /// Whether boundaries may move.
    steps: bool,
    /// Whether this host became the leader just now, so that reports may still be on their way.
    awaits_reports: bool,
}

/// What is known of the shard of one group.
#[derive(Clone, Copy, Debug)]
struct GroupShard {
    span: ShardSpan,
    demand: f64,
    capacity: f64,
}

impl GroupShard {
    fn of(shard: &PoolShard) -> Self {
        Self {
            span: shard.span,
            demand: f64::from(shard.demand),
            capacity: f64::from(shard.capacity),
        }
    }

    fn width(&self) -> f64 {
        f64::from(self.span.end.saturating_sub(self.span.start))
    }

    /// Returns the capacity per unit of the range.
    fn density(&self) -> f64 {
        match self.width() > 0.0 {
            true => self.capacity / self.width(),
            false => 0.0,
        }
    }
}

/// The capacity of the targets as a piecewise linear function of the position, computed from
/// ranges that may overlap or leave gaps for the duration of a report.
struct CapacityCurve {
    /// Positions and the capacity up to them, both ascending.
    points: Vec<(f64, f64)>,
}

impl CapacityCurve {
    fn new(shards: &[GroupShard]) -> Self {
        let bounds = shards
            .iter()
            .flat_map(|shard| [shard.span.start, shard.span.end]);
        let mut bounds: Vec<u32> = bounds.chain([0, ShardSpan::UNITS]).collect();
        bounds.sort_unstable();
        bounds.dedup();
        let widths: f64 = shards.iter().map(GroupShard::width).sum();
        let capacity: f64 = shards.iter().map(|shard| shard.capacity).sum();
        let mean = capacity / widths.max(1.0);
        let mut points = vec![(0.0, 0.0)];
        let mut total = 0.0;
        for pair in bounds.windows(2) {
            let covering = shards
                .iter()
                .filter(|shard| shard.span.start <= pair[0] && pair[1] <= shard.span.end);
            let count = covering.clone().count();
            let density = match count {
                0 => mean,
                _ => covering.map(GroupShard::density).sum::<f64>() / count as f64,
            };
            total += density * f64::from(pair[1] - pair[0]);
            points.push((f64::from(pair[1]), total));
        }
        Self { points }
    }

    fn total(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, capacity)| *capacity)
    }

    /// Returns the capacity of a range.
    fn capacity_of(&self, span: ShardSpan) -> f64 {
        self.capacity_up_to(f64::from(span.end)) - self.capacity_up_to(f64::from(span.start))
    }

    fn capacity_up_to(&self, position: f64) -> f64 {
        interpolate(&self.points, position)
    }

    /// Returns the position up to which the targets have this capacity.
    fn position_at(&self, capacity: f64) -> f64 {
        let inverse: Vec<(f64, f64)> = self.points.iter().map(|(at, sum)| (*sum, *at)).collect();
        interpolate(&inverse, capacity)
    }
}

/// Returns the value at `x` of the function through `points`, which are sorted.
fn interpolate(points: &[(f64, f64)], x: f64) -> f64 {
    let behind = points.partition_point(|point| point.0 < x);
    let Some(end) = points.get(behind) else {
        return points.last().map_or(0.0, |point| point.1);
    };
    let Some(start) = behind.checked_sub(1).map(|index| points[index]) else {
        return end.1;
    };
    start.1 + (end.1 - start.1) * (x - start.0) / (end.0 - start.0)
}

/// Returns whether ranges follow demand, where `did` is whether they do now: a group wants
/// nearly all slots of an equal range, or more.
fn follows_demand(shards: &[GroupShard], did: bool) -> bool {
    let curve = CapacityCurve::new(shards);
    let threshold = match did {
        true => EQUAL_BELOW,
        false => WEIGHTED_FROM,
    };
    let mut groups = shards.iter().enumerate();
    groups.any(|(group, shard)| {
        let equal = curve.capacity_of(ShardSpan::equal(group, shards.len()));
        shard.demand > 0.0 && shard.demand >= equal * threshold
    })
}

/// Returns the end of a group's range at which all groups up to it have capacity in proportion
/// to their demands.
///
/// The result is the same whatever a refused caller counts for, as demands of full groups are in
/// proportion to their capacities only where all refuse the same part of their requests.
fn boundary_behind(shards: &[GroupShard], group: usize) -> f64 {
    let curve = CapacityCurve::new(shards);
    let weights = shards.iter().map(|shard| shard.demand);
    let total: f64 = weights.clone().sum();
    let least = MIN_SHARE / shards.len() as f64;
    let shares = weights.map(|weight| (weight / total.max(f64::MIN_POSITIVE)).max(least));
    let all: f64 = shares.clone().sum();
    let up_to: f64 = shares.take(group + 1).sum();
    curve.position_at(curve.total() * up_to / all)
}

/// Returns whether a boundary moves that is off by `difference`, relative to an equal range,
/// where `was_moving` is whether it moved in the last step.
fn is_off(difference: f64, was_moving: bool) -> bool {
    let least = match was_moving {
        true => STOP_DIFFERENCE,
        false => START_DIFFERENCE,
    };
    difference.abs() > least
}
