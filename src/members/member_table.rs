//! Known hosts of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use super::HeartbeatAge;
use super::HeartbeatDigest;
use super::HostHash;
use super::LayoutHost;
use super::MemberRecord;
use super::hash_host;
use crate::dispatch::HostPosition;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// Time without a heartbeat after which a host counts as dead. In a large fleet heartbeats
/// are up to 2 s old, and the failover of a group's leader takes about two more.
const DEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Age of the oldest heartbeat of a bucket above which all of its heartbeats are sent one by one:
/// one host that is gone would make the others look old.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(1500);
/// Maximum number of joined or changed hosts in a message.
pub(crate) const MAX_CHANGED_RECORDS: usize = 128;
/// Time for which joined and changed hosts are listed in rotation if a message can't list all of
/// them, as after a restart of half of a large fleet.
const CHANGE_PERIOD: Duration = Duration::from_secs(6);
/// Maximum heartbeat age of a host that counts as recently seen; heartbeats are relayed over
/// two hops.
const SEEN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a dead host is remembered. It covers the likely duration of a network partition,
/// since no other host may know its address when the partition ends.
const DEAD_RETENTION: Duration = Duration::from_secs(120);

/// Liveness of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It was seen recently.
    Live,
    /// It announced its shutdown.
    Leaving,
    /// It has not been seen for longer than the timeout.
    Dead,
}

#[derive(Debug)]
struct MemberEntry {
    hash: HostHash,
    availability_zone: ZoneName,
    address: SocketAddr,
    capacity: u32,
    incarnation: IncarnationId,
    last_seen: Duration,
    leaving: bool,
    /// When it joined, restarted or announced its shutdown.
    changed_at: Duration,
}

/// Known hosts of the fleet, except this one.
#[derive(Debug)]
pub struct MemberTable {
    own: HostName,
    entries: SortedMap<HostName, MemberEntry>,
    by_hash: SortedMap<HostHash, HostName>,
    /// Whether the set of addresses changed since the last call of `take_changed`.
    changed: bool,
}

impl MemberTable {
    /// Creates an empty table for host `own`.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            entries: SortedMap::new(),
            by_hash: SortedMap::new(),
            changed: false,
        }
    }

    /// Applies a record of a host.
    ///
    /// The more recent record wins. A new incarnation replaces the previous one immediately,
    /// since a killed host returns under its name before the old incarnation counts as dead.
    pub fn apply_record(&mut self, record: &MemberRecord, now: Duration) {
        if record.host == self.own {
            return;
        }
        let last_seen = now.saturating_sub(Duration::from_millis(u64::from(record.age_ms)));
        if now.saturating_sub(last_seen) >= DEAD_RETENTION {
            return;
        }
        if let Some(held) = self.entries.get_mut(&record.host) {
            if held.last_seen < last_seen {
                self.changed |= held.address != record.address;
                held.update(record, last_seen, now);
            }
            return;
        }
        let entry = MemberEntry {
            hash: hash_host(&record.host),
            availability_zone: record.availability_zone.clone(),
            address: record.address,
            capacity: record.capacity,
            incarnation: record.incarnation,
            last_seen,
            leaving: record.leaving,
            changed_at: now,
        };
        self.by_hash.insert(entry.hash, record.host.clone());
        self.entries.insert(record.host.clone(), entry);
        self.changed = true;
    }

    /// Applies a heartbeat age; it is ignored for hosts that are not known from a record.
    pub fn apply_heartbeat(&mut self, heartbeat: HeartbeatAge, now: Duration) {
        let last_seen = now.saturating_sub(Duration::from_millis(u64::from(heartbeat.age_ms)));
        let host = self.by_hash.get(&heartbeat.host);
        if let Some(entry) = host.and_then(|host| self.entries.get_mut(host)) {
            entry.last_seen = entry.last_seen.max(last_seen);
        }
    }

    /// Returns the time since any host last saw this host; `None` if it is not known.
    pub fn time_since_seen(&self, host: HostHash, now: Duration) -> Option<Duration> {
        let entry = self.entries.get(self.by_hash.get(&host)?)?;
        Some(now.saturating_sub(entry.last_seen))
    }

    /// Returns the heartbeat ages of `count` hosts starting at index `skipped`, wrapping around
    /// and leaving out dead ones.
    pub fn heartbeats(&self, skipped: usize, count: usize, now: Duration) -> Vec<HeartbeatAge> {
        let entries = self.live_entries(skipped, count, now);
        entries.map(|(_, entry)| entry.heartbeat(now)).collect()
    }

    /// Returns the heartbeats of this and all other live hosts, and one by one those in buckets
    /// with an old one.
    pub fn heartbeat_digest(&self, now: Duration) -> (HeartbeatDigest, Vec<HeartbeatAge>) {
        let empty = HeartbeatDigest::with_capacity(self.size());
        let digest = self.digest_into(empty, now);
        let is_old = |entry: &&MemberEntry| {
            let bucket = digest.bucket(entry.hash);
            bucket.is_some_and(|bucket| bucket.age_ms > MAX_DIGEST_AGE.as_millis() as u32)
        };
        let live = self.entries.values().filter(|entry| !entry.is_dead(now));
        let listed = live.filter(is_old).map(|entry| entry.heartbeat(now));
        (digest.clone(), listed.collect())
    }

    /// Applies the heartbeats of a peer to the hosts of each bucket that contains the same live
    /// hosts here.
    pub fn apply_digest(&mut self, digest: &HeartbeatDigest, now: Duration) {
        let own = self.digest_into(digest.cleared(), now);
        for (_, entry) in self
            .entries
            .iter_mut()
            .filter(|(_, entry)| !entry.is_dead(now))
        {
            if let Some(bucket) = digest.same_bucket(&own, entry.hash) {
                let age = Duration::from_millis(u64::from(bucket.age_ms));
                entry.last_seen = entry.last_seen.max(now.saturating_sub(age));
            }
        }
    }

    fn digest_into(&self, mut digest: HeartbeatDigest, now: Duration) -> HeartbeatDigest {
        digest.add(hash_host(&self.own), 0);
        for entry in self.entries.values().filter(|entry| !entry.is_dead(now)) {
            let heartbeat = entry.heartbeat(now);
            digest.add(heartbeat.host, heartbeat.age_ms);
        }
        digest
    }

    /// Returns the live hosts as input for the group layout.
    pub fn layout_hosts(&self, now: Duration) -> Vec<LayoutHost> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.state(now) == MemberState::Live)
            .map(|(host, entry)| LayoutHost {
                availability_zone: entry.availability_zone.clone(),
                host: host.clone(),
                capacity: entry.capacity,
            })
            .collect()
    }

    /// Returns the number of other live hosts.
    pub fn live_count(&self, now: Duration) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.state(now) == MemberState::Live)
            .count()
    }

    /// Returns the number of other hosts that any host saw recently.
    pub fn recently_seen_count(&self, now: Duration) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| now.saturating_sub(entry.last_seen) <= SEEN_TIMEOUT)
            .count()
    }

    /// Returns when the dead hosts were last seen that did not announce a shutdown. They may be
    /// serving callers on the other side of a network partition.
    pub fn dead_since(&self, now: Duration) -> Vec<Duration> {
        let entries = self.entries.values();
        let dead = entries.filter(|entry| entry.is_dead(now) && !entry.leaving);
        dead.map(|entry| entry.last_seen).collect()
    }

    /// Returns whether a host was seen recently and is not leaving.
    pub fn is_live(&self, host: &str, now: Duration) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.state(now) == MemberState::Live)
    }

    /// Returns whether a host was seen recently; it may be leaving.
    pub fn is_alive(&self, host: &str, now: Duration) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.state(now) != MemberState::Dead)
    }

    /// Returns the availability zone of a host.
    pub fn zone_of(&self, host: &str) -> Option<&ZoneName> {
        self.entries.get(host).map(|entry| &entry.availability_zone)
    }

    /// Returns the address of a host.
    pub fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.entries.get(host).map(|entry| entry.address)
    }

    /// Returns up to `count` dead hosts starting at index `skipped`, wrapping around.
    pub fn dead_names(&self, skipped: usize, count: usize, now: Duration) -> Vec<HostName> {
        let entries = self.entries.iter();
        let dead: Vec<&HostName> = entries
            .filter(|(_, entry)| entry.state(now) == MemberState::Dead)
            .map(|(host, _)| host)
            .collect();
        let wrapped = dead.iter().cycle().skip(skipped % dead.len().max(1));
        wrapped
            .take(count.min(dead.len()))
            .map(|host| HostName::clone(host))
            .collect()
    }

    /// Returns whether the set of addresses changed since the last call, and resets this.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Removes hosts whose retention period has passed.
    pub fn remove_expired(&mut self, now: Duration) {
        let previous_len = self.entries.len();
        self.entries
            .retain(|_, entry| now.saturating_sub(entry.last_seen) < DEAD_RETENTION);
        if self.entries.len() < previous_len {
            let entries = &self.entries;
            self.by_hash.retain(|_, host| entries.contains_key(host));
            self.changed = true;
        }
    }

    /// Returns the records of all other hosts for peers. Dead hosts are left out, since hosts
    /// would otherwise keep them alive for each other indefinitely.
    pub fn records(&self, now: Duration) -> Vec<MemberRecord> {
        self.records_from(0, self.entries.len(), now)
    }

    /// Returns the records of `count` hosts starting at index `skipped`, wrapping around and
    /// leaving out dead ones.
    pub fn records_from(&self, skipped: usize, count: usize, now: Duration) -> Vec<MemberRecord> {
        let entries = self.live_entries(skipped, count, now);
        entries
            .map(|(host, entry)| entry.record(host, now))
            .collect()
    }

    /// Returns the entries of `count` hosts starting at index `skipped`, wrapping around and
    /// leaving out dead ones.
    fn live_entries(
        &self,
        skipped: usize,
        count: usize,
        now: Duration,
    ) -> impl Iterator<Item = (&HostName, &MemberEntry)> {
        let hosts = self.entries.len();
        let entries = self.entries.iter().cycle().skip(skipped % hosts.max(1));
        entries
            .take(count.min(hosts))
            .filter(move |(_, entry)| now.saturating_sub(entry.last_seen) < DEAD_TIMEOUT)
    }

    /// Returns the records of hosts that joined or changed since `since`. If more hosts changed
    /// recently than fit into a message, it returns the next ones in rotation, starting at
    /// index `skipped` of those that changed within [`CHANGE_PERIOD`].
    pub fn changed_records(
        &self,
        since: Duration,
        skipped: usize,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let changed_after = |at: Duration| {
            let entries = self.entries.iter();
            let changed = entries.filter(move |(_, entry)| entry.changed_at >= at);
            changed.filter(|(_, entry)| now.saturating_sub(entry.last_seen) < DEAD_TIMEOUT)
        };
        let recent = changed_after(now.saturating_sub(CHANGE_PERIOD)).count();
        let (at, skipped) = match recent <= MAX_CHANGED_RECORDS {
            true => (since, 0),
            false => (now.saturating_sub(CHANGE_PERIOD), skipped % recent),
        };
        let changed: Vec<MemberRecord> = changed_after(at)
            .map(|(host, entry)| entry.record(host, now))
            .collect();
        let wrapped = changed.iter().cycle().skip(skipped);
        wrapped
            .take(changed.len().min(MAX_CHANGED_RECORDS))
            .cloned()
            .collect()
    }

    /// Returns the names and addresses of all members, including dead ones, so that the end of
    /// a network partition is noticed.
    pub fn addresses(&self) -> Vec<(HostName, SocketAddr)> {
        let entries = self.entries.iter();
        entries
            .map(|(host, entry)| (host.clone(), entry.address))
            .collect()
    }

    /// Returns the state of each member.
    pub fn states(&self, now: Duration) -> Vec<(HostName, MemberState)> {
        let entries = self.entries.iter();
        entries
            .map(|(host, entry)| (host.clone(), entry.state(now)))
            .collect()
    }

    /// Returns the names of the live hosts, sorted.
    pub fn live_names(&self, now: Duration) -> Vec<HostName> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.state(now) == MemberState::Live)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Returns this host's position among all known hosts, in the order of their names.
    pub fn own_position(&self) -> HostPosition {
        let others = self.entries.iter();
        HostPosition {
            index: others.filter(|(host, _)| **host < self.own).count(),
            hosts: self.size(),
        }
    }

    /// Returns the number of known hosts, including this one. Dead hosts count, since they may
    /// be serving callers on the other side of a network partition.
    pub fn size(&self) -> usize {
        self.entries.len() + 1
    }
}

impl MemberEntry {
    fn update(&mut self, record: &MemberRecord, last_seen: Duration, now: Duration) {
        if self.incarnation != record.incarnation || self.leaving != record.leaving {
            self.changed_at = now;
        }
        self.availability_zone.clone_from(&record.availability_zone);
        self.address = record.address;
        self.capacity = record.capacity;
        self.incarnation = record.incarnation;
        self.last_seen = last_seen;
        self.leaving = record.leaving;
    }

    fn record(&self, host: &HostName, now: Duration) -> MemberRecord {
        MemberRecord {
            host: host.clone(),
            availability_zone: self.availability_zone.clone(),
            address: self.address,
            capacity: self.capacity,
            incarnation: self.incarnation,
            age_ms: now.saturating_sub(self.last_seen).as_millis() as u32,
            leaving: self.leaving,
        }
    }

    fn heartbeat(&self, now: Duration) -> HeartbeatAge {
        HeartbeatAge {
            host: self.hash,
            age_ms: now.saturating_sub(self.last_seen).as_millis() as u32,
        }
    }

    fn is_dead(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_seen) >= DEAD_TIMEOUT
    }

    fn state(&self, now: Duration) -> MemberState {
        match self.is_dead(now) {
            true => MemberState::Dead,
            false if self.leaving => MemberState::Leaving,
            false => MemberState::Live,
        }
    }
}
