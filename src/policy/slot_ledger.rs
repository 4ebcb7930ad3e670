//! Accounting of the slots of each target that this host may fill and that it lends to peers.
//!
//! Callers are spread unevenly over the hosts, so one host may have a queue while another has
//! free slots. Without shares, hosts would overfill a target that looks idle to all of them;
//! with fixed shares, free slots would remain unused.
//!
//! Slots are transferred like credits: a host that does not need a slot lends it to a peer and
//! deducts it at once; the peer adds it when it receives the digest. A digest that is lost,
//! late or blocked by a network partition can only leave a slot unused for a while. So the
//! shares never add up to more than the target's slots, without clocks or consensus, and each
//! side of a network partition keeps the slots that it holds.
//!
//! The counts restart with a new *epoch* whenever the hosts, a target's slots or a host's
//! incarnation change. The epoch is a hash of all of these, so hosts with the same epoch agree
//! on the initial counts. Until all listed hosts have announced the new epoch, a host holds the
//! smaller of its former holding and its new base share. A host that has just started holds only
//! the part of its base share that is never lent, because its former incarnation may have lent
//! the rest.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

use super::HostDigest;
use super::LentSlots;
use super::TargetDemand;
use super::share::base_share;

/// The account of each target's slots that this host may fill.
#[derive(Debug)]
pub(super) struct SlotLedger {
    host: HostName,
    incarnation: IncarnationId,
    generation: u32,
    hosts: Vec<HostName>,
    incarnations: SortedMap<HostName, PeerIncarnation>,
    accounts: SortedMap<TargetName, SlotAccount>,
    changed: bool,
}

#[derive(Debug, Default)]
struct PeerIncarnation {
    incarnation: IncarnationId,
    generation: u32,
    sequence: u64,
}

/// One target's slots, as accounted by this host.
#[derive(Debug)]
struct SlotAccount {
    slots: u32,
    /// 0 while some peer's incarnation is unknown.
    epoch: u64,
    base: u32,
    /// The slots that may be held until all peers have announced the epoch.
    provisional: u32,
    settled: bool,
    /// Whether this host may still run more than its base share, from slots of an earlier
    /// epoch. If it settled or announced its epoch in the meantime, the others would fill their
    /// base shares as well and overfill the target.
    may_exceed_base: bool,
    lent: SortedMap<HostName, u32>,
    peers: SortedMap<HostName, PeerSlots>,
}

/// A peer's slots at a target, by its last digest.
#[derive(Debug, Default)]
struct PeerSlots {
    epoch: u64,
    held: u32,
    wanted: u32,
    received: u32,
    /// The slots that had been lent to the peer when the digest arrived.
    lent_before: u32,
}

impl SlotLedger {
    pub(super) fn new(host: HostName, incarnation: IncarnationId) -> Self {
        Self {
            hosts: Vec::new(),
            host,
            incarnation,
            generation: 0,
            incarnations: SortedMap::new(),
            accounts: SortedMap::new(),
            changed: true,
        }
    }

    /// Replaces the targets and their slots.
    pub(super) fn set_targets(&mut self, targets: &[(TargetName, u32)]) {
        let same = targets.len() == self.accounts.len()
            && targets.iter().all(|(name, slots)| {
                let account = self.accounts.get(name);
                account.is_some_and(|account| account.slots == *slots)
            });
        if same {
            return;
        }
        let mut accounts = SortedMap::new();
        for (name, slots) in targets {
            let known = self.accounts.remove(name);
            let mut account = known.unwrap_or_else(|| self.new_account(name, *slots));
            account.slots = *slots;
            accounts.insert(name.clone(), account);
        }
        self.accounts = accounts;
        self.begin_generation();
    }

    /// Replaces the hosts of the cell.
    pub(super) fn set_hosts(&mut self, hosts: Vec<HostName>) {
        if hosts == self.hosts {
            return;
        }
        let first = self.hosts.is_empty();
        self.hosts = hosts;
        if first {
            for (name, account) in self.accounts.iter_mut() {
                let base = base_share(name, account.slots, &self.hosts, &self.host);
                account.provisional = base - lendable(base);
                account.settled = false;
            }
        }
        self.begin_generation();
    }

    /// Returns how many slots of the target this host may fill.
    pub(super) fn held(&self, target: &str) -> u32 {
        self.accounts.get(target).map_or(0, SlotAccount::held)
    }

    /// Returns whether the peers should learn of a change before the next regular digest.
    pub(super) const fn has_changed(&self) -> bool {
        self.changed
    }

    /// Returns how often the hosts or slots changed in this incarnation.
    pub(super) const fn generation(&self) -> u32 {
        self.generation
    }

    /// Applies a peer's digest; returns false if it is not newer than the last one.
    pub(super) fn apply_digest(&mut self, from: &HostName, digest: &HostDigest) -> bool {
        if !self.hosts.contains(from) || *from == self.host {
            return false;
        }
        let peer_incarnation = self
            .incarnations
            .get_or_insert_with(from.clone(), PeerIncarnation::default);
        let same = peer_incarnation.incarnation == digest.incarnation;
        if same && digest.sequence <= peer_incarnation.sequence {
            return false;
        }
        let replaced = !same && peer_incarnation.incarnation != 0;
        let generation_changed = !same || peer_incarnation.generation != digest.generation;
        peer_incarnation.incarnation = digest.incarnation;
        peer_incarnation.generation = digest.generation;
        peer_incarnation.sequence = digest.sequence;
        if replaced {
            self.begin_generation();
        } else if generation_changed {
            self.begin_epochs();
        }
        let own = self.hosts.iter().position(|host| *host == self.host);
        for demand in &digest.targets {
            self.apply_demand(from, own, demand);
        }
        true
    }

    fn apply_demand(&mut self, from: &HostName, own: Option<usize>, demand: &TargetDemand) {
        let Some(account) = self.accounts.get_mut(&demand.target) else {
            return;
        };
        let lent = demand
            .lent
            .iter()
            .find(|lent| Some(usize::from(lent.host_index)) == own)
            .map_or(0, |lent| lent.slots);
        let peer = PeerSlots {
            epoch: demand.epoch,
            held: demand.held,
            wanted: demand.wanted,
            received: lent,
            lent_before: account.lent.get(from).copied().unwrap_or(0),
        };
        account.peers.insert(from.clone(), peer);
        account.try_settle(&self.hosts, &self.host);
    }

    /// Lends free slots to peers that need them more, and returns the target's entry for the
    /// digest.
    pub(super) fn lend_free_slots(
        &mut self,
        target: &TargetName,
        running: u32,
        wanted: u32,
    ) -> TargetDemand {
        self.changed = false;
        let hosts = &self.hosts;
        let Some(account) = self.accounts.get_mut(target) else {
            return TargetDemand::default();
        };
        account.may_exceed_base &= running > account.base;
        account.try_settle(hosts, &self.host);
        account.lend(running, wanted);
        let host_index = |host: &HostName| hosts.binary_search(host).ok();
        let lent = account.lent.iter().filter_map(|(host, slots)| {
            let host_index = host_index(host)? as u16;
            Some(LentSlots {
                host_index,
                slots: *slots,
            })
        });
        TargetDemand {
            target: target.clone(),
            epoch: if account.may_exceed_base {
                0
            } else {
                account.epoch
            },
            held: account.held(),
            wanted,
            running,
            pace_us: 0,
            best_us: 0,
            lent: lent.collect(),
        }
    }

    /// Starts epochs that were never used before.
    ///
    /// Returning to an earlier list of hosts must not restore its epoch: peers may still count
    /// slots that were lent then. The same applies to a peer's incarnation. Incarnations have no
    /// order, so a late digest from a former one looks like a restart; if that incarnation had
    /// once announced the epoch, this host would fill its whole base share in addition to the
    /// slots that it has lent since. An incarnation that ended before the new generation can't
    /// have announced an epoch of that generation, so this host waits until the current
    /// incarnation has learned of it.
    fn begin_generation(&mut self) {
        self.generation += 1;
        self.begin_epochs();
    }

    fn begin_epochs(&mut self) {
        self.changed = true;
        let seed = self.incarnation_hash();
        for (name, account) in self.accounts.iter_mut() {
            let held = account.held();
            account.base = base_share(name, account.slots, &self.hosts, &self.host);
            account.provisional = held.min(account.base);
            account.settled = self.hosts.len() == 1;
            account.may_exceed_base = true;
            account.lent = SortedMap::new();
            account.epoch = seed.map_or(0, |seed| epoch_hash(seed, name, account.slots));
        }
    }

    /// Returns a hash of all hosts and their incarnations, once all are known.
    fn incarnation_hash(&self) -> Option<u64> {
        let mut hash = Xxh3::new();
        for host in &self.hosts {
            let (incarnation, generation) = if *host == self.host {
                (self.incarnation, self.generation)
            } else {
                let peer_incarnation = self.incarnations.get(host)?;
                (peer_incarnation.incarnation, peer_incarnation.generation)
            };
            hash.update(host.as_bytes());
            hash.update(&incarnation.to_le_bytes());
            hash.update(&generation.to_le_bytes());
        }
        Some(hash.digest())
    }

    fn new_account(&self, name: &str, slots: u32) -> SlotAccount {
        let base = base_share(name, slots, &self.hosts, &self.host);
        SlotAccount {
            slots,
            epoch: 0,
            base,
            provisional: base - lendable(base),
            settled: self.hosts.len() == 1,
            may_exceed_base: true,
            lent: SortedMap::new(),
            peers: SortedMap::new(),
        }
    }
}

impl SlotAccount {
    fn held(&self) -> u32 {
        if !self.settled {
            return self.provisional;
        }
        let current = self.peers.values().filter(|peer| peer.epoch == self.epoch);
        let received: u32 = current.map(|peer| peer.received).sum();
        let lent: u32 = self.lent.values().sum();
        (self.base + received).saturating_sub(lent)
    }

    /// Settles once every other host has announced the epoch.
    fn try_settle(&mut self, hosts: &[HostName], own: &HostName) {
        if self.settled || self.may_exceed_base || self.epoch == 0 {
            return;
        }
        let mut others = hosts.iter().filter(|host| *host != own);
        self.settled = others.all(|host| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| peer.epoch == self.epoch)
        });
    }

    fn lend(&mut self, running: u32, wanted: u32) {
        if !self.settled {
            return;
        }
        let held = self.held();
        let floor = self.base - lendable(self.base);
        let mut free = held.saturating_sub(running.max(floor).max(wanted));
        while free > 0 {
            let neediest = self.peers.iter().max_by_key(|(host, peer)| {
                // The name breaks ties, so that replays are deterministic.
                (self.deficit(host, peer), std::cmp::Reverse((*host).clone()))
            });
            let Some((host, peer)) = neediest else {
                return;
            };
            if self.deficit(host, peer) == 0 {
                return;
            }
            let host = host.clone();
            *self.lent.get_or_insert_with(host, || 0) += 1;
            free -= 1;
        }
    }

    /// Returns how many more slots the peer needs, by its last digest and the slots lent to it
    /// since.
    fn deficit(&self, host: &HostName, peer: &PeerSlots) -> u32 {
        if peer.epoch != self.epoch {
            return 0;
        }
        let lent = self.lent.get(host).copied().unwrap_or(0);
        let in_transit = lent.saturating_sub(peer.lent_before);
        peer.wanted.saturating_sub(peer.held + in_transit)
    }
}

/// Returns how many slots of a base share a host may lend: half, rounded down, so that a
/// restarted host serves at once even if shares are only two slots each.
const fn lendable(base: u32) -> u32 {
    base / 2
}

fn epoch_hash(seed: u64, target: &str, slots: u32) -> u64 {
    let mut hash = Xxh3::with_seed(seed);
    hash.update(target.as_bytes());
    hash.update(&slots.to_le_bytes());
    // Zero means no epoch.
    hash.digest().max(1)
}
