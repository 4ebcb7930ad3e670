//! The hosts that this one knows.

use std::net::SocketAddr;
use std::time::Duration;

use super::HeartbeatAge;
use super::HostHash;
use super::LayoutHost;
use super::MemberRecord;
use super::hash_host;
use crate::dispatch::HostPosition;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// How long a host may go unseen by anybody before it counts as dead. In a large fleet
/// heartbeats are up to 3 s old, and a restart takes about a second.
const DEATH_BOUND: Duration = Duration::from_secs(5);
/// How many hosts that joined or changed a message names at most.
const MAX_CHANGED_RECORDS: usize = 128;
/// Within which a host counts as seen: heartbeats are passed on over two hops.
const SEEN_BOUND: Duration = Duration::from_secs(3);
/// How long a dead host is remembered: as long as a cut is likely to last, since
/// nobody else may know its address when the cut heals.
const DEAD_MEMORY: Duration = Duration::from_secs(120);

/// How a member stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It was heard of lately.
    Live,
    /// It said that it leaves.
    Leaving,
    /// It has not been heard of for long.
    Dead,
}

#[derive(Debug)]
struct MemberEntry {
    availability_zone: ZoneName,
    address: SocketAddr,
    capacity: u32,
    incarnation: IncarnationId,
    heard: Duration,
    leaving: bool,
    /// When it joined, or started, or said that it leaves.
    changed_at: Duration,
}

/// The hosts that this one knows, without itself.
#[derive(Debug)]
pub struct MemberTable {
    own: HostName,
    rows: SortedMap<HostName, MemberEntry>,
    by_hash: SortedMap<HostHash, HostName>,
    /// Whether the set of addresses changed since it was last asked for.
    changed: bool,
}

impl MemberTable {
    /// Makes a table that knows nobody.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            rows: SortedMap::new(),
            by_hash: SortedMap::new(),
            changed: false,
        }
    }

    /// Takes a note in.
    ///
    /// The younger word wins. A new life of a host replaces the old one at once:
    /// a host that was killed is back under its name before it counts as dead.
    pub fn apply_record(&mut self, note: &MemberRecord, now: Duration) {
        if note.host == self.own {
            return;
        }
        let heard = now.saturating_sub(Duration::from_millis(u64::from(note.age_ms)));
        if now.saturating_sub(heard) >= DEAD_MEMORY {
            return;
        }
        if let Some(held) = self.rows.get_mut(&note.host) {
            if held.heard < heard {
                self.changed |= held.address != note.address;
                held.renew(note, heard, now);
            }
            return;
        }
        let row = MemberEntry {
            availability_zone: note.availability_zone.clone(),
            address: note.address,
            capacity: note.capacity,
            incarnation: note.incarnation,
            heard,
            leaving: note.leaving,
            changed_at: now,
        };
        self.rows.insert(note.host.clone(), row);
        self.by_hash
            .insert(hash_host(&note.host), note.host.clone());
        self.changed = true;
    }

    /// Takes in when a host was last seen; one that is not known needs a note first.
    pub fn apply_heartbeat(&mut self, sighting: HeartbeatAge, now: Duration) {
        let seen = now.saturating_sub(Duration::from_millis(u64::from(sighting.age_ms)));
        let host = self.by_hash.get(&sighting.host);
        if let Some(row) = host.and_then(|host| self.rows.get_mut(host)) {
            row.heard = row.heard.max(seen);
        }
    }

    /// Returns how long ago a host was last seen, by anybody; `None` for one that is not
    /// known.
    pub fn time_since_seen(&self, host: HostHash, now: Duration) -> Option<Duration> {
        let row = self.rows.get(self.by_hash.get(&host)?)?;
        Some(now.saturating_sub(row.heard))
    }

    /// Returns `count` heartbeats of live hosts from the `skipped`th on, around.
    pub fn heartbeats(&self, skipped: usize, count: usize, now: Duration) -> Vec<HeartbeatAge> {
        let rows = self.live_rows(skipped, count, now);
        rows.map(|(host, row)| HeartbeatAge {
            host: hash_host(host),
            age_ms: now.saturating_sub(row.heard).as_millis() as u32,
        })
        .collect()
    }

    /// Returns the live hosts as far as the layout of groups depends on them.
    pub fn layout_hosts(&self, now: Duration) -> Vec<LayoutHost> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| row.state(now) == MemberState::Live)
            .map(|(host, row)| LayoutHost {
                availability_zone: row.availability_zone.clone(),
                host: host.clone(),
                capacity: row.capacity,
            })
            .collect()
    }

    /// Returns how many other hosts serve now.
    pub fn live_count(&self, now: Duration) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.state(now) == MemberState::Live)
            .count()
    }

    /// Returns how many other hosts somebody has seen lately.
    pub fn recently_seen_count(&self, now: Duration) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| now.saturating_sub(row.heard) <= SEEN_BOUND)
            .count()
    }

    /// Returns the address of a host.
    pub fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.rows.get(host).map(|row| row.address)
    }

    /// Returns `count` dead hosts from the `skipped`th on, around.
    pub fn dead_names(&self, skipped: usize, count: usize, now: Duration) -> Vec<HostName> {
        let rows = self.rows.iter();
        let dead: Vec<&HostName> = rows
            .filter(|(_, row)| row.state(now) == MemberState::Dead)
            .map(|(host, _)| host)
            .collect();
        let around = dead.iter().cycle().skip(skipped % dead.len().max(1));
        around
            .take(count.min(dead.len()))
            .map(|host| HostName::clone(host))
            .collect()
    }

    /// Tells whether the set of addresses changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Forgets hosts that have been dead for long.
    pub fn remove_expired(&mut self, now: Duration) {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now.saturating_sub(row.heard) < DEAD_MEMORY);
        if self.rows.len() < before {
            let rows = &self.rows;
            self.by_hash.retain(|_, host| rows.contains_key(host));
            self.changed = true;
        }
    }

    /// Returns what to tell peers of the other hosts; dead ones are left out, or
    /// hosts would bring them back to each other for ever.
    pub fn records(&self, now: Duration) -> Vec<MemberRecord> {
        self.records_from(0, self.rows.len(), now)
    }

    /// Returns what to tell peers of `count` hosts from the `skipped`th on, around.
    pub fn records_from(&self, skipped: usize, count: usize, now: Duration) -> Vec<MemberRecord> {
        let rows = self.live_rows(skipped, count, now);
        rows.map(|(host, row)| row.record(host, now)).collect()
    }

    /// Returns those that live of `count` hosts from the `skipped`th on, around.
    fn live_rows(
        &self,
        skipped: usize,
        count: usize,
        now: Duration,
    ) -> impl Iterator<Item = (&HostName, &MemberEntry)> {
        let hosts = self.rows.len();
        let rows = self.rows.iter().cycle().skip(skipped % hosts.max(1));
        rows.take(count.min(hosts))
            .filter(move |(_, row)| now.saturating_sub(row.heard) < DEATH_BOUND)
    }

    /// Returns what to tell of hosts that joined or changed since then.
    pub fn changed_records(&self, since: Duration, now: Duration) -> Vec<MemberRecord> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| row.changed_at >= since)
            .filter(|(_, row)| now.saturating_sub(row.heard) < DEATH_BOUND)
            .take(MAX_CHANGED_RECORDS)
            .map(|(host, row)| row.record(host, now))
            .collect()
    }

    /// Returns the names and addresses of all members, dead ones included: a cut
    /// that heals must be noticed.
    pub fn addresses(&self) -> Vec<(HostName, SocketAddr)> {
        let rows = self.rows.iter();
        rows.map(|(host, row)| (host.clone(), row.address))
            .collect()
    }

    /// Returns how each member stands.
    pub fn states(&self, now: Duration) -> Vec<(HostName, MemberState)> {
        let rows = self.rows.iter();
        rows.map(|(host, row)| (host.clone(), row.state(now)))
            .collect()
    }

    /// Returns the names of the hosts that serve now, sorted.
    pub fn live_names(&self, now: Duration) -> Vec<HostName> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| row.state(now) == MemberState::Live)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Returns this host's place among all that there may be, in the order of their names.
    pub fn own_position(&self) -> HostPosition {
        let others = self.rows.iter();
        HostPosition {
            index: others.filter(|(host, _)| **host < self.own).count(),
            hosts: self.size(),
        }
    }

    /// Returns how many hosts there may be, this one included. Dead ones count:
    /// they may serve callers behind a cut.
    pub fn size(&self) -> usize {
        self.rows.len() + 1
    }
}

impl MemberEntry {
    fn renew(&mut self, note: &MemberRecord, heard: Duration, now: Duration) {
        if self.incarnation != note.incarnation || self.leaving != note.leaving {
            self.changed_at = now;
        }
        self.availability_zone.clone_from(&note.availability_zone);
        self.address = note.address;
        self.capacity = note.capacity;
        self.incarnation = note.incarnation;
        self.heard = heard;
        self.leaving = note.leaving;
    }

    fn record(&self, host: &HostName, now: Duration) -> MemberRecord {
        MemberRecord {
            host: host.clone(),
            availability_zone: self.availability_zone.clone(),
            address: self.address,
            capacity: self.capacity,
            incarnation: self.incarnation,
            age_ms: now.saturating_sub(self.heard).as_millis() as u32,
            leaving: self.leaving,
        }
    }

    fn state(&self, now: Duration) -> MemberState {
        match now.saturating_sub(self.heard) {
            age if age >= DEATH_BOUND => MemberState::Dead,
            _ if self.leaving => MemberState::Leaving,
            _ => MemberState::Live,
        }
    }
}
