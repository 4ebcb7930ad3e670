//! The hosts, the messages between them, and the steps of a walk.

use super::ChoiceSource;
use super::id_record::IdRecord;
use super::id_record::ModelFault;
use super::model_host::ModelHost;
use super::model_host::ModelMessage;
use super::model_operators::roster_of;
use super::walk_profile::WalkCounts;
use super::walk_profile::WalkProfile;
use cardamomgw::claim::ClaimRules;
use cardamomgw::claim::RegisterSettings;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::ids::HostName;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::UnixMillis;
use cardamomgw::sorted::SortedMap;

pub(super) const SKEW_MS: UnixMillis = 10;
const WINDOW_MS: UnixMillis = 4_000;
const START_MS: UnixMillis = 1_000_000;
const MAX_MESSAGES: usize = 80;
/// Messages delivered in one step.
const DELIVERIES: u32 = 4;
pub(super) const RECENT_IDS: usize = 4;

pub(super) struct Envelope {
    from: HostName,
    to: HostName,
    message: ModelMessage,
}

pub(crate) struct ModelWorld {
    pub(super) settings: RegisterSettings,
    pub(crate) now: UnixMillis,
    pub(super) hosts: SortedMap<HostName, ModelHost>,
    pub(super) rosters: Vec<SeatRoster>,
    pub(super) in_flight: Vec<Envelope>,
    pub(super) recent: Vec<RequestId>,
    pub(super) records: SortedMap<RequestId, IdRecord>,
    pub(super) incarnations: u64,
    pub(crate) counts: WalkCounts,
}

impl ModelWorld {
    /// Creates a fleet of `seats` hosts that bootstrapped their roster.
    pub(crate) fn bootstrap(seats: u32, rules: ClaimRules) -> Self {
        let settings = RegisterSettings {
            window_ms: WINDOW_MS,
            skew_ms: SKEW_MS,
            rules,
        };
        let mut world = Self {
            settings,
            now: START_MS,
            hosts: SortedMap::new(),
            rosters: Vec::new(),
            in_flight: Vec::new(),
            recent: Vec::new(),
            records: SortedMap::new(),
            incarnations: 0,
            counts: WalkCounts::default(),
        };
        let names: Vec<HostName> = (0..seats).map(|_| world.spawn()).collect();
        world.rosters.push(roster_of(1, &names));
        for name in &names {
            world.offer(name, 0);
        }
        world.settle(None);
        world.now += 5 * SKEW_MS;
        world
    }

    /// Runs one generated walk.
    pub(crate) fn walk(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Result<(), ModelFault> {
        if self.prepare(profile, source).is_none() {
            return Ok(());
        }
        for _ in 0..profile.steps {
            if self.step(profile, source)?.is_none() {
                break;
            }
            self.check_rosters()?;
        }
        Ok(())
    }

    /// Checks that no majority answers calls of a roster older than an active one.
    fn check_rosters(&self) -> Result<(), ModelFault> {
        let active = self
            .hosts
            .values()
            .filter_map(|host| host.seat.roster().active_tag());
        let newest = active.max().map_or(0, |tag| tag.number);
        for roster in self.rosters.iter().filter(|roster| roster.number < newest) {
            let answers = |host: &HostName| {
                let tracker = self.hosts.get(host).map(|host| host.seat.roster());
                tracker.is_some_and(|tracker| {
                    let binding = tracker.newest().map(|tag| tag.number);
                    tracker.voting_range().is_some() && binding == Some(roster.number)
                })
            };
            let answering = roster.seats.iter().filter(|seat| answers(&seat.host));
            if answering.count() > roster.seats.len() / 2 {
                return Err(ModelFault::TwoRosters(roster.number, newest));
            }
        }
        Ok(())
    }

    /// Runs one step; `None` if the choices ended.
    fn step(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Result<Option<()>, ModelFault> {
        let weights = [
            profile.deliver,
            profile.double,
            profile.lose,
            profile.tick,
            profile.gossip,
            profile.read,
            profile.begin,
            profile.work,
            profile.restart,
            profile.pause,
            profile.publish,
        ];
        let Some(kind) = weighted(&weights, source) else {
            return Ok(None);
        };
        let done = match kind {
            0 => (0..DELIVERIES).try_for_each(|_| self.deliver(source, true)),
            1 => self.deliver(source, false),
            2 => self.lose(source),
            3 => self.tick(source),
            4 => self.gossip(source),
            5 => self.read(profile, source),
            6 => self.begin(source),
            7 => return self.work(profile, source),
            8 => self.restart(profile, source),
            9 => self.pause(source),
            _ => self.publish(profile, source),
        };
        Ok(done)
    }

    fn deliver(&mut self, source: &mut dyn ChoiceSource, take: bool) -> Option<()> {
        let Some(index) = pick_index(self.in_flight.len(), source)? else {
            return Some(());
        };
        let to = self.in_flight[index].to.clone();
        let Some(host) = self.hosts.get_mut(&to) else {
            self.in_flight.swap_remove(index);
            return Some(());
        };
        if host.paused {
            return Some(());
        }
        let from = self.in_flight[index].from.clone();
        let message = match take {
            true => self.in_flight.swap_remove(index).message,
            false => self.in_flight[index].message.clone(),
        };
        let answers = host.receive(&from, message, self.now);
        self.post(&to, answers);
        Some(())
    }

    fn lose(&mut self, source: &mut dyn ChoiceSource) -> Option<()> {
        if let Some(index) = pick_index(self.in_flight.len(), source)? {
            self.in_flight.swap_remove(index);
        }
        Some(())
    }

    fn tick(&mut self, source: &mut dyn ChoiceSource) -> Option<()> {
        self.now += UnixMillis::from(source.pick(12)?);
        Some(())
    }

    fn gossip(&mut self, source: &mut dyn ChoiceSource) -> Option<()> {
        let name = self.pick_host(source)?;
        let digests = self.hosts.get(&name).map(ModelHost::gossip);
        self.post(&name, digests.unwrap_or_default());
        Some(())
    }

    fn pause(&mut self, source: &mut dyn ChoiceSource) -> Option<()> {
        let count = self.hosts.len() as u32;
        let index = source.pick(count)? as usize;
        if let Some((_, host)) = self.hosts.iter_mut().nth(index) {
            host.paused = !host.paused && source.pick(3)? == 0;
        }
        Some(())
    }

    /// Delivers all messages in order and without loss, except those to the unreached
    /// host.
    pub(crate) fn settle(&mut self, unreached: Option<&HostName>) {
        while !self.in_flight.is_empty() {
            let envelope = self.in_flight.remove(0);
            if Some(&envelope.to) == unreached {
                continue;
            }
            let now = self.now;
            if let Some(host) = self.hosts.get_mut(&envelope.to) {
                let answers = host.receive(&envelope.from, envelope.message, now);
                self.post(&envelope.to, answers);
            }
        }
    }

    pub(super) fn post(&mut self, from: &HostName, messages: Vec<(HostName, ModelMessage)>) {
        for (to, message) in messages {
            let from = from.clone();
            self.in_flight.push(Envelope { from, to, message });
        }
        // The oldest messages are dropped to bound the queue.
        let extra = self.in_flight.len().saturating_sub(MAX_MESSAGES);
        self.in_flight.drain(..extra);
    }

    pub(super) fn pick_host(&self, source: &mut dyn ChoiceSource) -> Option<HostName> {
        let running = || self.hosts.values().filter(|host| !host.paused);
        let count = running().count() as u32;
        if count == 0 {
            return self.hosts.values().next().map(|host| host.name.clone());
        }
        let index = source.pick(count)? as usize;
        running().nth(index).map(|host| host.name.clone())
    }
}

fn weighted(weights: &[u32], source: &mut dyn ChoiceSource) -> Option<usize> {
    let mut left = source.pick(weights.iter().sum())?;
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return Some(index);
        }
        left -= weight;
    }
    None
}

/// Picks an index; the inner `None` if there is nothing to pick from.
pub(super) fn pick_index(count: usize, source: &mut dyn ChoiceSource) -> Option<Option<usize>> {
    if count == 0 {
        return Some(None);
    }
    source.pick(count as u32).map(|index| Some(index as usize))
}
