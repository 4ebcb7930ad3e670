//! The operators: restarts, rosters and documents.

use super::ChoiceSource;
use super::model_host::ModelHost;
use super::model_world::ModelWorld;
use super::model_world::SKEW_MS;
use super::walk_profile::WalkProfile;
use super::walk_profile::WalkStart;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::ids::HostName;
use cardamomgw::roster::RosterPlan;

impl ModelWorld {
    pub(super) fn read(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        let name = self.pick_host(source)?;
        let newest = self.rosters.len() - 1;
        let stale = profile.stale > 0 && source.pick(profile.stale)? == 0;
        let index = match stale {
            true => source.pick(newest as u32 + 1)? as usize,
            false => newest,
        };
        self.offer(&name, index);
        Some(())
    }

    /// Restarts a host, which may read an old document first.
    pub(super) fn restart(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        let name = self.pick_host(source)?;
        self.restart_host(&name);
        if profile.stale > 0 && source.pick(profile.stale)? == 0 {
            let index = source.pick(self.rosters.len() as u32)?;
            self.offer(&name, index as usize);
        }
        Some(())
    }

    /// Prepares the starting state of a profile's walks.
    pub(super) fn prepare(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        match profile.start {
            WalkStart::Bootstrapped => return Some(()),
            WalkStart::OneBehind => self.prepare_behind(profile, source)?,
            WalkStart::LateVote => self.prepare_late_vote(profile, source)?,
        }
        self.now += 3 * SKEW_MS;
        Some(())
    }

    /// Publishes a new roster that all hosts but one learn.
    pub(super) fn prepare_behind(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        let behind = self.pick_host(source)?;
        self.publish(profile, source)?;
        let names: Vec<HostName> = self.hosts.values().map(|host| host.name.clone()).collect();
        for name in names.iter().filter(|name| **name != behind) {
            self.offer(name, self.rosters.len() - 1);
        }
        self.settle(Some(&behind));
        Some(())
    }

    /// A seat votes for a new roster, restarts and joins the old one while its vote is
    /// still in transit.
    pub(super) fn prepare_late_vote(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        let voter = self.pick_host(source)?;
        self.publish(profile, source)?;
        self.offer(&voter, self.rosters.len() - 1);
        let late = std::mem::take(&mut self.in_flight);
        self.restart_host(&voter);
        self.offer(&voter, 0);
        self.settle(None);
        self.in_flight = late;
        Some(())
    }

    /// Restarts a host, unless it is the last voting seat of roster 1 while a newer
    /// roster is published. This is a known limitation: a stale platform then lets all
    /// of them bootstrap roster 1 again.
    pub(super) fn restart_host(&mut self, name: &HostName) {
        let first_seats = self.rosters[0].seats.iter().map(|seat| &seat.host);
        let mut others = first_seats.filter(|host| *host != name);
        let is_voting = |host: &HostName| {
            let host = self.hosts.get(host);
            host.is_some_and(|host| host.seat.roster().voting_range().is_some())
        };
        if self.rosters.len() > 1 && !others.any(is_voting) {
            return;
        }
        self.counts.restarts += 1;
        self.incarnations += 1;
        // A process takes some time to start, so its incarnation is later than the
        // previous one.
        self.now += 1;
        let offset = self.hosts.get(name).map_or(0, |host| host.offset);
        let (settings, now) = (self.settings, self.now);
        let host = ModelHost::start(name.clone(), offset, self.incarnations, settings, now);
        self.hosts.insert(name.clone(), host);
    }

    /// Publishes a roster after the newest one: with one seat replaced, added or
    /// removed, or shrunk to half of the seats.
    pub(super) fn publish(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Option<()> {
        let last = self.rosters.last()?;
        let mut names: Vec<HostName> = last.seats.iter().map(|seat| seat.host.clone()).collect();
        let number = last.number + 1;
        if names.len() > 2 && source.pick(profile.shrink)? == 0 {
            names.rotate_left(source.pick(5)? as usize % 3);
            names.truncate(names.len() / 2);
            return self.publish_roster(number, &names);
        }
        match source.pick(4)? {
            0 if names.len() < 5 => names.push(self.spawn()),
            1 if names.len() > 2 => {
                let index = source.pick(names.len() as u32)? as usize;
                names.remove(index);
            }
            _ if names.len() > 2 => {
                let index = source.pick(names.len() as u32)? as usize;
                names[index] = self.spawn();
            }
            _ => names.push(self.spawn()),
        }
        self.publish_roster(number, &names)
    }

    pub(super) fn publish_roster(&mut self, number: u64, names: &[HostName]) -> Option<()> {
        self.rosters.push(roster_of(number, names));
        self.counts.published += 1;
        Some(())
    }

    pub(super) fn spawn(&mut self) -> HostName {
        self.incarnations += 1;
        let name = format!("h{:03}", self.incarnations);
        let offset = self.incarnations * 7 % (SKEW_MS + 1);
        let (settings, now) = (self.settings, self.now);
        let host = ModelHost::start(name.clone(), offset, self.incarnations, settings, now);
        self.hosts.insert(name.clone(), host);
        name
    }

    pub(super) fn offer(&mut self, name: &HostName, index: usize) {
        let former = index.checked_sub(1).map(|former| &self.rosters[former]);
        let plan = RosterPlan::new(&self.rosters[index], former, false);
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(name) {
            let _refusal = host.seat.roster_mut().offer(plan, now + host.offset);
            let digests = host.gossip();
            self.post(name, digests);
        }
    }
}

pub(super) fn roster_of(number: u64, names: &[HostName]) -> SeatRoster {
    let seats: Vec<serde_json::Value> = names
        .iter()
        .map(|host| serde_json::json!({"host": host, "address": "127.0.0.1:1", "availability_zone": "z"}))
        .collect();
    serde_json::from_value(serde_json::json!({"number": number, "seats": seats})).expect("a roster")
}
