//! The groups in which a large fleet gossips.

use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::HostName;
use crate::ids::ZoneName;

/// Up to how many hosts all of them gossip with each other.
const FULL_MESH_HOSTS: usize = 32;
/// From how many on a fleet that gossips by groups goes on to do so: each change between
/// the two ways takes seconds until all hosts have made it.
const LEAST_GROUPED_HOSTS: usize = 24;
/// How many hosts a group has. A leader exchanges with its members and with the leaders of
/// all other groups, so the sum of both is least at the root of the fleet's size.
const GROUP_HOSTS: usize = 16;

/// A host as far as the layout depends on it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayoutHost {
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Its name.
    pub host: HostName,
    /// The processor time that it has, in thousandths of a core.
    pub capacity: u32,
}

/// Which share of a pool's targets a group prefers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupShare {
    /// The group among all.
    pub index: usize,
    /// How many groups there are.
    pub groups: usize,
    /// The zones that have hosts, sorted.
    pub zones: Vec<ZoneName>,
}

/// The groups of a fleet, as far as one host knows it.
///
/// Hosts stand in the order of zones and names, and each group is a run of that order
/// within one zone. A host that joins or leaves moves at most one host over each border.
#[derive(Clone, Debug, Default)]
pub struct GroupLayout {
    hosts: Vec<LayoutHost>,
    /// Where each group starts in `hosts`, and the end of the last one.
    starts: Vec<usize>,
    own_group: usize,
    grouped: bool,
}

/// Tells whether so many hosts gossip by groups, where they did or did not before.
pub fn is_grouped(hosts: usize, before: bool) -> bool {
    hosts > FULL_MESH_HOSTS || before && hosts >= LEAST_GROUPED_HOSTS
}

impl GroupLayout {
    /// Lays out the live hosts, `own` among them.
    pub fn new(own: &LayoutHost, others: Vec<LayoutHost>, grouped: bool) -> Self {
        let mut hosts = others;
        hosts.push(own.clone());
        hosts.sort();
        let mut starts = Vec::new();
        let mut start = 0;
        while start < hosts.len() {
            let zone = &hosts[start].availability_zone;
            let in_zone = hosts[start..].partition_point(|place| place.availability_zone == *zone);
            let groups = ((in_zone + GROUP_HOSTS / 2) / GROUP_HOSTS).max(1);
            starts.extend((0..groups).map(|group| start + group * in_zone / groups));
            start += in_zone;
        }
        let rank = hosts.partition_point(|place| place < own);
        let own_group = starts.partition_point(|start| *start <= rank);
        starts.push(hosts.len());
        Self {
            hosts,
            starts,
            own_group: own_group.saturating_sub(1),
            grouped,
        }
    }

    /// Tells whether hosts gossip by groups; in a small fleet each does with all others.
    pub const fn is_grouped(&self) -> bool {
        self.grouped
    }

    /// Returns how many hosts there are.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns how many groups there are.
    pub fn group_count(&self) -> usize {
        self.starts.len().saturating_sub(1)
    }

    /// Returns the group of this host.
    pub const fn own_group(&self) -> usize {
        self.own_group
    }

    /// Returns the hosts of a group, those first that should lead it. All hosts that know
    /// the same ones agree on it.
    pub fn leader_candidates(&self, group: usize) -> Vec<&HostName> {
        let mut places: Vec<&LayoutHost> = self.hosts[self.range(group)].iter().collect();
        places.sort_by_key(|place| {
            let hash = xxh3_64(place.host.as_bytes());
            (std::cmp::Reverse(place.capacity), hash)
        });
        places.into_iter().map(|place| &place.host).collect()
    }

    /// Tells whether the group is the first of its zone.
    pub fn is_first_in_zone(&self, group: usize) -> bool {
        let start = self.starts[group];
        start == 0 || self.hosts[start - 1].availability_zone != self.hosts[start].availability_zone
    }

    /// Returns the share of a pool's targets that this host's group prefers.
    pub fn own_share(&self) -> GroupShare {
        let mut zones: Vec<ZoneName> = self
            .hosts
            .iter()
            .map(|place| place.availability_zone.clone())
            .collect();
        zones.dedup();
        GroupShare {
            index: self.own_group,
            groups: self.group_count(),
            zones,
        }
    }

    fn range(&self, group: usize) -> Range<usize> {
        self.starts[group]..self.starts[group + 1]
    }
}
