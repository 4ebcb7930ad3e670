//! The hosts that this one knows.

use std::net::SocketAddr;
use std::time::Duration;

use super::MemberNote;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// How long a host may be unheard of, by anybody, before it counts as dead.
/// Hosts tell news several times a second; a restart takes about a second.
const DEATH_BOUND: Duration = Duration::from_secs(4);
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
struct MemberRow {
    availability_zone: ZoneName,
    address: SocketAddr,
    incarnation: IncarnationId,
    heard: Duration,
    leaving: bool,
}

/// The hosts that this one knows, without itself.
#[derive(Debug)]
pub struct MemberTable {
    own: HostName,
    rows: SortedMap<HostName, MemberRow>,
    /// Whether the set of addresses changed since it was last asked for.
    changed: bool,
}

impl MemberTable {
    /// Makes a table that knows nobody.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            rows: SortedMap::new(),
            changed: false,
        }
    }

    /// Takes a note in.
    ///
    /// The younger word wins. A new life of a host replaces the old one at once:
    /// a host that was killed is back under its name before it counts as dead.
    pub fn take_note(&mut self, note: &MemberNote, now: Duration) {
        if note.host == self.own {
            return;
        }
        let heard = now.saturating_sub(Duration::from_millis(u64::from(note.age_ms)));
        if now.saturating_sub(heard) >= DEAD_MEMORY {
            return;
        }
        let row = MemberRow {
            availability_zone: note.availability_zone.clone(),
            address: note.address,
            incarnation: note.incarnation,
            heard,
            leaving: note.leaving,
        };
        match self.rows.get_mut(&note.host) {
            Some(held) if held.heard >= heard => {}
            Some(held) => {
                self.changed |= held.address != row.address;
                *held = row;
            }
            None => {
                self.rows.insert(note.host.clone(), row);
                self.changed = true;
            }
        }
    }

    /// Tells whether the set of addresses changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Forgets hosts that have been dead for long.
    pub fn forget_dead(&mut self, now: Duration) {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now.saturating_sub(row.heard) < DEAD_MEMORY);
        self.changed |= self.rows.len() < before;
    }

    /// Returns what to tell peers of the other hosts; dead ones are left out, or
    /// hosts would bring them back to each other for ever.
    pub fn notes(&self, now: Duration) -> Vec<MemberNote> {
        let told = self
            .rows
            .iter()
            .filter(|(_, row)| now.saturating_sub(row.heard) < DEATH_BOUND);
        told.map(|(host, row)| MemberNote {
            host: host.clone(),
            availability_zone: row.availability_zone.clone(),
            address: row.address,
            incarnation: row.incarnation,
            age_ms: now.saturating_sub(row.heard).as_millis() as u32,
            leaving: row.leaving,
        })
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

    /// Returns the hosts that serve now by zone and name, in the order that all hosts
    /// agree on.
    pub fn live_order(&self, now: Duration) -> Vec<(ZoneName, HostName)> {
        let live = self
            .rows
            .iter()
            .filter(|(_, row)| row.state(now) == MemberState::Live);
        let mut order: Vec<(ZoneName, HostName)> = live
            .map(|(host, row)| (row.availability_zone.clone(), host.clone()))
            .collect();
        order.sort();
        order
    }

    /// Returns how many hosts there may be, this one included. Dead ones count:
    /// they may serve callers behind a cut.
    pub fn size(&self) -> usize {
        self.rows.len() + 1
    }
}

impl MemberRow {
    fn state(&self, now: Duration) -> MemberState {
        match now.saturating_sub(self.heard) {
            age if age >= DEATH_BOUND => MemberState::Dead,
            _ if self.leaving => MemberState::Leaving,
            _ => MemberState::Live,
        }
    }
}
