//! Paths to the targets of each pool: this host's own, and those that peers report.

use std::time::Duration;

use super::PathChange;
use super::PlacedTarget;
use super::PoolReach;
use super::PoolTable;
use super::target_runtime::TargetRuntime;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;

/// How long a peer's report of its paths counts. Peers report several times a second.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Number of targets that are probed to distinguish a crash of another one from a lost path.
const CONTROL_TARGETS: usize = 2;

/// A target to be probed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathProbe {
    /// The pool.
    pub pool: PoolName,
    /// The target.
    pub target: TargetIncarnation,
}

/// A peer as a receiver of forwarded requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReachingPeer {
    /// The peer.
    pub host: HostName,
    /// Whether it reported recently that it reaches targets of the pool.
    pub is_certain: bool,
    /// Requests of the pool that run or wait there.
    pub load: u32,
}

/// Which peers report their loads and paths to this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerReporting {
    /// All of them, as in a full mesh.
    #[default]
    All,
    /// Some of them, as in a fleet that gossips in groups.
    Sampled {
        /// Number of reports that must agree before they stand for all peers.
        required: usize,
    },
}

/// How many peers reported recently that they reach targets of a pool, and how many that they fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedPaths {
    /// Peers that reach targets.
    pub reaching: usize,
    /// Peers that fail at all targets they tried.
    pub failing: usize,
}

/// The paths that peers reported, and when.
#[derive(Debug, Default)]
pub(super) struct PeerReaches {
    hosts: SortedMap<HostName, (Duration, Vec<PoolReach>)>,
}

impl PeerReaches {
    /// Returns the recent reports.
    fn recent(&self, now: Duration) -> impl Iterator<Item = (&HostName, &Vec<PoolReach>)> {
        let hosts = self.hosts.iter();
        let recent = hosts.filter(move |(_, (at, _))| now.saturating_sub(*at) < REPORT_TTL);
        recent.map(|(host, (_, reaches))| (host, reaches))
    }

    /// Counts the recent reports on a pool.
    fn count(&self, pool: &str, now: Duration) -> ReportedPaths {
        let reaches = self.recent(now).flat_map(|(_, reaches)| reaches);
        let of_pool = reaches.filter(|reach| reach.pool == pool);
        let mut paths = ReportedPaths::default();
        for reaches in of_pool.filter_map(|reach| reach.reaches) {
            match reaches {
                true => paths.reaching += 1,
                false => paths.failing += 1,
            }
        }
        paths
    }

    /// Returns the peers that reported their room in a pool with divided bounds, unless they fail at
    /// its targets.
    pub(super) fn rooms(
        &self,
        pool: &str,
        now: Duration,
    ) -> impl Iterator<Item = (&HostName, u32)> {
        self.recent(now).filter_map(move |(host, reaches)| {
            let reach = reaches.iter().find(|reach| reach.pool == pool)?;
            (reach.reaches != Some(false)).then_some((host, reach.room?))
        })
    }

    /// Changes the room that a peer reported.
    pub(super) fn change_room(
        &mut self,
        host: &HostName,
        pool: &str,
        change: impl FnOnce(u32) -> Option<u32>,
    ) {
        let reaches = self.hosts.get_mut(host).map(|(_, reaches)| reaches);
        let mut reaches = reaches.into_iter().flatten();
        if let Some(reach) = reaches.find(|reach| reach.pool == pool) {
            reach.room = reach.room.and_then(change);
        }
    }

    /// Returns whether no report shows that a failure is this host's own: peers fail at the pool's
    /// targets too, or there is no peer.
    fn all_fail(&self, pool: &str, reporting: PeerReporting, now: Duration) -> bool {
        let is_alone = reporting == PeerReporting::All && self.recent(now).next().is_none();
        is_alone || self.report_failure(pool, reporting, now)
    }

    /// Returns whether peers report that they fail at the pool's targets, and none reaches them.
    fn report_failure(&self, pool: &str, reporting: PeerReporting, now: Duration) -> bool {
        let required = match reporting {
            PeerReporting::All => 1,
            PeerReporting::Sampled { required } => required.max(1),
        };
        let paths = self.count(pool, now);
        paths.failing >= required && paths.reaching == 0
    }
}

impl PoolTable {
    /// Sets which peers report to this host.
    pub fn set_peer_reporting(&mut self, reporting: PeerReporting) {
        self.reporting = reporting;
    }

    /// Records that a connection to a target of the pool was established.
    pub fn record_connect(
        &mut self,
        pool: &str,
        target: &TargetName,
        now: Duration,
    ) -> Option<PathChange> {
        if let Some(target) = self.locations.find_mut(&mut self.pools, target) {
            target.set_reachable();
        }
        let pool = self.pools.get_mut(pool)?;
        if !pool.reach.record_connect(now) {
            return None;
        }
        pool.forget_losses();
        Some(PathChange::Back)
    }

    /// Records that no connection to a target could be established.
    pub fn record_connect_failure(
        &mut self,
        pool_name: &str,
        target: &TargetName,
        now: Duration,
    ) -> Option<PathChange> {
        if let Some(target) = self.locations.find_mut(&mut self.pools, target) {
            target.set_unreachable(now);
        }
        let peers_fail = self.peer_reaches.all_fail(pool_name, self.reporting, now);
        let pool = self.pools.get_mut(pool_name)?;
        let accepting = pool.targets.iter().filter(|target| target.is_accepting());
        let accepting = accepting.count();
        let is_lost = pool
            .reach
            .record_failure(target, accepting, peers_fail, now);
        is_lost.then_some(PathChange::Lost)
    }

    /// Returns whether this host has lost its path to the targets of a pool.
    pub fn is_path_lost(&self, pool: &str) -> bool {
        let pool = self.pools.get(pool);
        pool.is_some_and(|pool| pool.reach.is_lost())
    }

    /// Returns whether requests of any pool are forwarded to peers, or may soon be.
    pub fn needs_peers(&self, now: Duration) -> bool {
        let mut pools = self.pools.values();
        pools.any(|pool| {
            pool.reach.own_share(now) < 1.0 || pool.reach.is_failing(now) || now < pool.short_until
        })
    }

    /// Returns the share of a pool's requests that use this host's own path.
    pub fn own_path_share(&self, pool: &str, now: Duration) -> f64 {
        let pool = self.pools.get(pool);
        pool.map_or(1.0, |pool| pool.reach.own_share(now))
    }

    /// Returns what this host reports of its paths.
    pub fn own_reach(&self, now: Duration) -> Vec<PoolReach> {
        let pools = self.pools.iter();
        let reaches = pools.map(|(name, pool)| PoolReach {
            pool: name.clone(),
            reaches: pool.reach.reaches(now),
            load: pool.running.values().sum::<u32>() + pool.queue.len() as u32,
            room: self.own_room(pool, now),
        });
        let is_relevant = |reach: &PoolReach| {
            reach.reaches.is_some() || reach.load > 0 || reach.room.is_some_and(|room| room > 0)
        };
        reaches.filter(is_relevant).collect()
    }

    /// Replaces what a peer reported of its paths. Returns the pools whose path no longer counts
    /// as lost, as all peers fail there.
    pub fn update_peer_reach(
        &mut self,
        host: HostName,
        reaches: Vec<PoolReach>,
        now: Duration,
    ) -> Vec<PoolName> {
        self.peer_reaches.hosts.insert(host, (now, reaches));
        self.peer_reaches
            .hosts
            .retain(|_, (at, _)| now.saturating_sub(*at) < REPORT_TTL);
        let mut common = Vec::new();
        for (name, pool) in self.pools.iter_mut() {
            if pool.reach.is_lost()
                && self.peer_reaches.all_fail(name, self.reporting, now)
                && pool.reach.record_common_loss()
            {
                common.push(name.clone());
            }
        }
        common
    }

    /// Returns the peers to which a request of the pool may be forwarded: those of `connected`
    /// that did not report that they fail at its targets.
    pub fn reaching_peers(
        &self,
        pool: &str,
        connected: &[HostName],
        now: Duration,
    ) -> Vec<ReachingPeer> {
        let reach_of = |host: &HostName| {
            let mut recent = self.peer_reaches.recent(now);
            let (_, reaches) = recent.find(|(held, _)| *held == host)?;
            reaches.iter().find(|reach| reach.pool == pool)
        };
        let peers = connected.iter().filter_map(|host| {
            let reach = reach_of(host);
            let reaches = reach.and_then(|reach| reach.reaches);
            (reaches != Some(false)).then(|| ReachingPeer {
                host: host.clone(),
                is_certain: reaches.is_some(),
                load: reach.map_or(0, |reach| reach.load),
            })
        });
        peers.collect()
    }

    /// Returns the targets to probe now: of lost paths, of paths whose connections fail, and
    /// targets that run requests and send nothing.
    pub fn take_probes(&mut self, now: Duration) -> Vec<PathProbe> {
        let mut probes = Vec::new();
        for (name, pool) in self.pools.iter_mut() {
            let mut add = |target: &TargetRuntime| {
                probes.push(PathProbe {
                    pool: name.clone(),
                    target: target.record.incarnation(),
                });
            };
            if !pool.reach.is_lost() {
                for target in &mut pool.targets {
                    if target.take_silence_probe(now) {
                        add(target);
                    }
                }
            }
            let Some((first, count)) = pool.reach.take_probes(now) else {
                continue;
            };
            let is_lost = pool.reach.is_lost();
            let reach = &pool.reach;
            let open = pool.targets.iter().filter(|target| {
                target.is_accepting() && (is_lost || !reach.has_failed(&target.record.name))
            });
            let open: Vec<&TargetRuntime> = open.collect();
            // The targets are sorted by zone, so that probes at a distance reach several zones.
            let count = count.min(open.len());
            for probe in 0..count {
                add(open[(first + probe * open.len() / count) % open.len()]);
            }
        }
        probes
    }

    /// Returns targets whose reachability shows whether another one crashed: those of the same pool,
    /// as the path to one pool only may be lost, of other zones first; of other pools only where it
    /// has no other. Those in `probed` are left out; `random`, between 0 and 1, decides between equal
    /// ones, as neighbours in the order of targets may have crashed together.
    pub fn control_targets(
        &self,
        lost: &PlacedTarget,
        probed: &[TargetName],
        random: f64,
        now: Duration,
    ) -> Vec<PathProbe> {
        let lost_pool = self.locations.pool_of(&lost.name);
        let in_pool = lost_pool.and_then(|pool| self.pools.get(pool));
        let mut held = in_pool.into_iter().flat_map(|pool| &pool.targets);
        let lost_zone = held
            .find(|target| target.record.name == lost.name)
            .map(|target| &target.record.availability_zone);
        let mut controls: Vec<_> = Vec::new();
        for (name, pool) in self.pools.iter() {
            let targets = pool
                .targets
                .iter()
                .filter(|target| target.is_accepting() && target.record.name != lost.name);
            controls.extend(targets.map(|target| {
                let other_pool = Some(name) != lost_pool;
                let same_zone = Some(&target.record.availability_zone) == lost_zone;
                let has_failed = pool.reach.has_failed(&target.record.name);
                let is_silent = has_failed || !target.is_healthy(now);
                let probe = PathProbe {
                    pool: name.clone(),
                    target: target.record.incarnation(),
                };
                ((other_pool, is_silent, same_zone), probe)
            }));
        }
        let start = ((random * controls.len() as f64) as usize).min(controls.len());
        controls.rotate_left(start);
        controls.sort_by_key(|(preference, _)| *preference);
        let any_in_pool = controls
            .first()
            .is_some_and(|((other_pool, ..), _)| !other_pool);
        controls.retain(|((other_pool, ..), probe)| {
            (!any_in_pool || !other_pool) && !probed.contains(&probe.target.name)
        });
        let controls = controls.into_iter().take(CONTROL_TARGETS);
        controls.map(|(_, probe)| probe).collect()
    }

    /// Counts what peers reported recently of their paths to a pool.
    pub fn reported_paths(&self, pool: &str, now: Duration) -> ReportedPaths {
        self.peer_reaches.count(pool, now)
    }

    /// Returns whether the peers that tried recently fail at the pool's targets too, enough of them
    /// if not all report, or there is no peer.
    pub fn is_loss_common(&self, pool: &str, now: Duration) -> bool {
        self.peer_reaches.all_fail(pool, self.reporting, now)
    }

    /// Returns whether peers report that they fail at the pool's targets too.
    pub fn is_loss_reported(&self, pool: &str, now: Duration) -> bool {
        self.peer_reaches.report_failure(pool, self.reporting, now)
    }

    /// Returns whether no connection to a target was established since one failed before `at`.
    pub fn is_unreachable_since(&self, target: &TargetName, at: Duration) -> bool {
        let mut targets = self.pools.values().flat_map(|pool| &pool.targets);
        let found = targets.find(|held| held.record.name == *target);
        found.is_some_and(|target| target.is_unreachable_since(at))
    }

    /// Returns whether a target sends nothing for any request of this host and accepts
    /// connections: it may be sound and go on.
    pub fn is_silent(&self, placed: &PlacedTarget, now: Duration) -> bool {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let mut found = targets.filter(|target| target.is_assigned(placed));
        found.next().is_some_and(|target| target.is_silent(now))
    }
}
