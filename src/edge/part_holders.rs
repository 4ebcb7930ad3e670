//! Finds the targets that hold a part of a prompt.
//!
//! The last part of a prompt belongs to its request, so a target that holds it has run the request.
//! This shows which software version began a stream that no host remembers.
//!
//! Each list delays the work of its target, so hosts share them: the sections of a pool's targets
//! are assigned to the searching host and its connected peers by a hash, which gives the same
//! section to the same peer for all searching hosts. In a fleet that gossips in groups, members have
//! few connections; they ask their leader, which is connected with hosts of all groups.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future::zip;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::ids::HostName;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::logs::DecisionLine;
use crate::peers::PartHolders;
use crate::peers::PartQuery;
use crate::peers::PartScope;
use crate::peers::PeerCall;
use crate::peers::PeerReply;
use crate::peers::TargetSection;
use crate::poison::canonical_part;
use crate::sorted::SortedMap;
use crate::view::TargetRecord;

/// Time limit of a search. Hosts with a quarter of a core, just started, took over 250 ms for a hundred
/// targets; callers leave a stream that pauses for two seconds.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Least fraction of the targets of each other version that have to list their parts. Some are always
/// lost or slow in a large pool.
const MIN_LISTED_RATIO: f64 = 0.75;
/// Time limit for the answer of the leader of a group.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time by which a called host answers before the calling one stops waiting.
const HOP_TIME: Duration = Duration::from_millis(20);
/// Limit on the targets that a host lists for one search. A host with few connections before
/// thousands of targets would otherwise call each of them.
const MAX_OWN_TARGETS: usize = 512;

/// What a search among the targets of a pool found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct HolderSearch {
    /// Versions of the targets that hold the part, sorted.
    pub(crate) versions: Vec<SoftwareVersion>,
    /// Number of targets of the pool.
    pub(crate) targets: usize,
    /// Number of targets that listed their parts.
    pub(crate) answered: usize,
    /// Number of these of each version.
    pub(crate) listed: SortedMap<SoftwareVersion, u64>,
}

/// Number of targets in each section.
pub(super) type SectionCounts = [usize; TargetSection::MAX as usize + 1];

/// The sections of a pool that one host lists.
#[derive(Debug, Default)]
pub(super) struct SectionShare {
    pub(super) sections: Vec<TargetSection>,
    /// Number of their targets.
    pub(super) targets: usize,
}

impl HolderSearch {
    /// Returns the version of all holders, if enough of the `targets` of each other version listed their
    /// parts: one that did not may hold it too.
    pub(crate) fn sole_version(
        &self,
        targets: &SortedMap<SoftwareVersion, u64>,
    ) -> Option<&SoftwareVersion> {
        let [version] = self.versions.as_slice() else {
            return None;
        };
        let mut others = targets.iter().filter(|(other, _)| *other != version);
        let has_listed = |(other, count): (&SoftwareVersion, &u64)| {
            let listed = self.listed.get(other).copied().unwrap_or_default();
            listed as f64 >= *count as f64 * MIN_LISTED_RATIO
        };
        others.all(has_listed).then_some(version)
    }

    fn of_targets(targets: usize) -> Self {
        Self {
            targets,
            ..Self::default()
        }
    }

    /// Adds what was found among `targets` of the targets.
    fn merge(&mut self, found: PartHolders, targets: usize) {
        self.versions.extend(found.versions);
        self.versions.sort();
        self.versions.dedup();
        self.answered += targets.min(found.answered as usize);
        for (version, count) in found.listed.iter() {
            let listed = self.listed.get_or_insert_with(version.clone(), || 0);
            *listed = listed.saturating_add(*count);
        }
    }
}

impl From<HolderSearch> for PartHolders {
    fn from(found: HolderSearch) -> Self {
        Self {
            versions: found.versions,
            targets: found.targets as u64,
            answered: found.answered as u64,
            listed: found.listed,
        }
    }
}

impl EdgeState {
    /// Finds the versions of the targets of a pool that hold a part, by lists that are made after
    /// this call. Draining targets are asked too.
    pub(crate) async fn find_holders(self: &Arc<Self>, pool: &str, part: &str) -> HolderSearch {
        let started = boot_now();
        count(&self.metrics.holder_searches);
        let deadline = started + SEARCH_TIMEOUT;
        let found = match canonical_part(part) {
            Some(part) => match self.ask_leader(pool, &part, deadline).await {
                Some(found) => found,
                None => self.search_shared(pool, &part, deadline).await,
            },
            None => HolderSearch::of_targets(self.section_counts(pool).iter().sum()),
        };
        self.log.write(&DecisionLine::HoldersSearched {
            pool: pool.to_owned(),
            part: part.to_owned(),
            versions: found.versions.clone(),
            targets: found.targets,
            answered: found.answered,
            elapsed_ms: boot_now().saturating_sub(started).as_millis() as u64,
        });
        found
    }

    /// Returns the number of a pool's targets in each section.
    pub(super) fn section_counts(&self, pool: &str) -> SectionCounts {
        let mut counts = [0; TargetSection::MAX as usize + 1];
        self.view.visit_targets(|target| {
            if target.pool == pool {
                counts[usize::from(section_of(&target.name))] += 1;
            }
        });
        counts
    }

    /// Returns the targets of some sections of a pool.
    fn section_targets(&self, pool: &str, sections: &[TargetSection]) -> Vec<TargetRecord> {
        let mut is_wanted = [false; TargetSection::MAX as usize + 1];
        for section in sections {
            is_wanted[usize::from(*section)] = true;
        }
        let mut targets = Vec::new();
        self.view.visit_targets(|target| {
            if target.pool == pool && is_wanted[usize::from(section_of(&target.name))] {
                targets.push(target.clone());
            }
        });
        targets
    }

    /// Lets the leader of this host's group search; `None` if this host is none's member, or the
    /// leader does not answer.
    async fn ask_leader(
        self: &Arc<Self>,
        pool: &str,
        part: &str,
        deadline: Duration,
    ) -> Option<HolderSearch> {
        let role = self.role();
        if !role.is_grouped_member() || self.acts_as_leader(&role) {
            return None;
        }
        let leader = self.usable_leader(&role, &self.connected_peers())?;
        let query = part_query(pool, part, PartScope::Pool);
        // The rest is for a search of its own, if the leader does not answer.
        let deadline = deadline.min(boot_now() + LEADER_TIMEOUT);
        let found = self.ask_peer(&leader, query, deadline).await?;
        let targets: usize = self.section_counts(pool).iter().sum();
        let targets = targets.max(found.targets as usize);
        let mut search = HolderSearch::of_targets(targets);
        search.merge(found, targets);
        Some(search)
    }

    async fn ask_peer(
        &self,
        peer: &HostName,
        mut query: PartQuery,
        deadline: Duration,
    ) -> Option<PartHolders> {
        let left = deadline.saturating_sub(boot_now());
        query.time_left_ms = left.as_millis() as u64;
        let call = PeerCall::PartHolders(query);
        match self.mesh()?.call(peer, call, left).await {
            Ok(PeerReply::PartHolders(found)) => Some(found),
            Ok(_) | Err(_) => None,
        }
    }

    /// Searches all targets of a pool together with the connected peers. The targets of a peer that
    /// does not answer are not listed.
    async fn search_shared(
        self: &Arc<Self>,
        pool: &str,
        part: &str,
        deadline: Duration,
    ) -> HolderSearch {
        let counts = self.section_counts(pool);
        let mut search = HolderSearch::of_targets(counts.iter().sum());
        if boot_now() >= deadline {
            return search;
        }
        let peers = self.connected_peers();
        let mut shares = divide_sections(&counts, &self.startup.host, &peers);
        let own = shares.remove(&self.startup.host).unwrap_or_default();
        let (sender, receiver) = async_channel::unbounded();
        for (peer, share) in shares.iter() {
            let (state, sender) = (Arc::clone(self), sender.clone());
            let query = part_query(pool, part, PartScope::Sections(share.sections.clone()));
            let (peer, targets) = (peer.clone(), share.targets);
            task::spawn(async move {
                if let Some(found) = state.ask_peer(&peer, query, deadline).await {
                    sender.send((found, targets)).await.ok();
                }
            });
        }
        drop(sender);
        // The channel is closed once all peers have answered, or had their time.
        let asked = async {
            let mut answers = Vec::new();
            while let Ok(answer) = receiver.recv().await {
                answers.push(answer);
            }
            answers
        };
        let own_count = own.targets;
        let own = self.section_targets(pool, &own.sections);
        let (asked, own) = zip(asked, self.search_own(own, part, deadline)).await;
        for (found, targets) in asked {
            search.merge(found, targets);
        }
        search.merge(own, own_count);
        search
    }

    /// Lists the parts of the targets until all have answered or the time is up.
    async fn search_own(
        self: &Arc<Self>,
        mut targets: Vec<TargetRecord>,
        part: &str,
        deadline: Duration,
    ) -> PartHolders {
        let mut found = PartHolders {
            targets: targets.len() as u64,
            ..PartHolders::default()
        };
        let left = deadline.saturating_sub(boot_now());
        if left.is_zero() {
            return found;
        }
        targets.truncate(MAX_OWN_TARGETS);
        let answers = self.request_lists(targets.iter().map(TargetRecord::incarnation), part);
        let collected = async {
            while let Ok((position, answer)) = answers.recv().await {
                found.answered += u64::from(answer.is_some());
                let version = &targets[position].software_version;
                if answer.is_some() {
                    *found.listed.get_or_insert_with(version.clone(), || 0) += 1;
                }
                if answer == Some(true) && !found.versions.contains(version) {
                    found.versions.push(version.clone());
                }
            }
        };
        timeout(left, collected).await.ok();
        found
    }
}

/// Answers a peer that searches for the holders of a part; `None` if it asks for all targets and
/// this host is no leader.
pub(super) async fn answer_part_query(
    state: &Arc<EdgeState>,
    query: PartQuery,
) -> Option<PartHolders> {
    let part = canonical_part(&query.part)?;
    count(&state.metrics.searches_for_peers);
    let left = Duration::from_millis(query.time_left_ms).min(SEARCH_TIMEOUT);
    let deadline = boot_now() + left.saturating_sub(HOP_TIME);
    match query.scope {
        PartScope::Pool if state.acts_as_leader(&state.role()) => {
            let found = state.search_shared(&query.pool, &part, deadline).await;
            Some(found.into())
        }
        PartScope::Pool => None,
        PartScope::Sections(sections) => {
            let targets = state.section_targets(&query.pool, &sections);
            Some(state.search_own(targets, &part, deadline).await)
        }
    }
}

fn part_query(pool: &str, part: &str, scope: PartScope) -> PartQuery {
    PartQuery {
        pool: pool.to_owned(),
        part: part.to_owned(),
        scope,
        time_left_ms: 0,
    }
}

/// Assigns the sections that have targets to this host and its peers.
///
/// Rendezvous hashing: a host that is added or lost changes only the assignment of its own
/// sections, so hosts with almost the same peers choose almost the same ones.
pub(super) fn divide_sections(
    counts: &SectionCounts,
    own: &HostName,
    peers: &[HostName],
) -> SortedMap<HostName, SectionShare> {
    let mut shares: SortedMap<HostName, SectionShare> = SortedMap::new();
    for (section, count) in (0..=TargetSection::MAX).zip(counts) {
        if *count > 0 {
            let host = assignee(section, own, peers).clone();
            let share = shares.get_or_insert_with(host, SectionShare::default);
            share.sections.push(section);
            share.targets += count;
        }
    }
    shares
}

fn assignee<'h>(section: TargetSection, own: &'h HostName, peers: &'h [HostName]) -> &'h HostName {
    let rank = |host: &&HostName| xxh3_64_with_seed(host.as_bytes(), section.into());
    peers.iter().chain([own]).max_by_key(rank).unwrap_or(own)
}

/// Returns the section of a target, which is the same at all hosts.
pub(super) fn section_of(target: &TargetName) -> TargetSection {
    xxh3_64(target.as_bytes()) as TargetSection
}
