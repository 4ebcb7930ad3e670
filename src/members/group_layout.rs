//! Gossip groups of a large fleet.

use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::HostName;
use crate::ids::ZoneName;

/// Largest number of hosts at which every host gossips with every other.
const FULL_MESH_HOSTS: usize = 32;
/// Smallest number of hosts at which a fleet that already uses groups keeps them. The gap to
/// [`FULL_MESH_HOSTS`] avoids frequent changes of mode, each of which takes seconds until
/// all hosts have made it.
const MIN_GROUPED_HOSTS: usize = 24;
/// Number of hosts per group. A leader exchanges messages with its members and with the
/// leaders of all other groups; the total is smallest when the group size is the square root
/// of the fleet size.
const GROUP_HOSTS: usize = 16;

/// Properties of a host that determine its place in the layout.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayoutHost {
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Its name.
    pub host: HostName,
    /// CPU capacity in thousandths of a core.
    pub capacity: u32,
}

/// Share of a pool's targets that a group prefers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupShare {
    /// Index of the group.
    pub index: usize,
    /// Number of groups.
    pub groups: usize,
    /// Availability zones that contain hosts, sorted.
    pub zones: Vec<ZoneName>,
}

/// Groups of the fleet as known to one host.
///
/// Hosts are sorted by zone and name, and each group is a consecutive range within one zone.
/// A host that joins or leaves moves at most one host across each group boundary.
#[derive(Clone, Debug, Default)]
pub struct GroupLayout {
    hosts: Vec<LayoutHost>,
    /// Start index of each group in `hosts`, followed by the end of the last group.
    starts: Vec<usize>,
    own_group: usize,
    grouped: bool,
}

/// Returns whether a fleet of this size uses groups, where `was_grouped` is the current mode.
pub fn is_grouped(hosts: usize, was_grouped: bool) -> bool {
    hosts > FULL_MESH_HOSTS || was_grouped && hosts >= MIN_GROUPED_HOSTS
}

impl GroupLayout {
    /// Divides the live hosts, including `own`, into groups.
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

    /// Returns whether hosts gossip in groups rather than in a full mesh.
    pub const fn is_grouped(&self) -> bool {
        self.grouped
    }

    /// Returns the number of hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the number of groups.
    pub fn group_count(&self) -> usize {
        self.starts.len().saturating_sub(1)
    }

    /// Returns the index of this host's group.
    pub const fn own_group(&self) -> usize {
        self.own_group
    }

    /// Returns the hosts of a group by their preference as its leader. All hosts with the same
    /// membership compute the same order.
    pub fn leader_candidates(&self, group: usize) -> Vec<&HostName> {
        let mut places: Vec<&LayoutHost> = self.hosts[self.range(group)].iter().collect();
        places.sort_by_key(|place| {
            let hash = xxh3_64(place.host.as_bytes());
            (std::cmp::Reverse(place.capacity), hash)
        });
        places.into_iter().map(|place| &place.host).collect()
    }

    /// Returns whether the group is the first of its zone.
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
