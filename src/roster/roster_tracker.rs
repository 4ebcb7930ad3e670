//! What one process knows of rosters, and whether it has a voice.

use super::BootstrapBlock;
use super::BootstrapRecord;
use super::RosterDecision;
use super::RosterDigest;
use super::RosterPlan;
use super::RosterRefusal;
use super::RosterTag;
use super::RosterView;
use super::SeatIncarnation;
use super::TrackerSettings;
use super::VotingRange;
use super::known_rosters::KnownRosters;
use super::offer_judgement::judge_offer;
use super::peer_table::PeerTable;
use super::quorum_check::incarnations_to_join;
use super::quorum_check::is_deserted;
use super::quorum_check::is_elected;
use crate::ids::HostName;
use crate::ids::UnixMillis;

/// What one process knows of rosters, and whether it has a voice.
#[derive(Clone, Debug)]
pub struct RosterTracker {
    settings: TrackerSettings,
    rosters: KnownRosters,
    /// For which ids this process speaks; a restarted process speaks for none.
    voting_range: Option<VotingRange>,
    /// Ids timed up to here may have been granted under the former roster.
    former_until: UnixMillis,
    /// How this process gained its voice, when that was by founding.
    bootstrap: Option<BootstrapRecord>,
    peers: PeerTable,
}

impl RosterTracker {
    /// Makes the tracker of a process that just started and knows nothing.
    pub fn new(host: HostName, incarnation: SeatIncarnation, settings: TrackerSettings) -> Self {
        Self {
            settings,
            rosters: KnownRosters::default(),
            voting_range: None,
            former_until: 0,
            bootstrap: None,
            peers: PeerTable::new(host, incarnation, settings.rules.crash_vector),
        }
    }

    /// Takes over how far two clocks may differ, in milliseconds.
    pub fn set_skew(&mut self, skew_ms: u64) {
        self.settings.skew_ms = skew_ms;
    }

    /// Takes the roster of a document.
    ///
    /// # Errors
    /// The refusal, when the roster can't follow the one that is active here; the
    /// document must then be refused whole.
    pub fn offer(
        &mut self,
        plan: RosterPlan,
        now: UnixMillis,
    ) -> Result<RosterDecision, RosterRefusal> {
        let verdict = judge_offer(&self.rosters, &plan, self.voting_range.is_some())?;
        match verdict {
            RosterDecision::Unchanged => self.rosters.fill_former(&plan),
            RosterDecision::Accepted | RosterDecision::Waiting => self.rosters.offered = Some(plan),
        }
        self.step(now);
        Ok(verdict)
    }

    /// Takes a peer's digest; returns whether anything changed, so that peers
    /// should be told at once.
    pub fn learn(&mut self, from: &HostName, digest: RosterDigest, now: UnixMillis) -> bool {
        let before = self.digest();
        self.peers.note(from, digest);
        // Two processes under one name: the later one is the seat.
        if self.peers.is_superseded() {
            self.voting_range = None;
        }
        self.step(now);
        self.peers.keep_hosts(&self.rosters.hosts());
        self.digest() != before
    }

    /// Returns what this process tells its peers.
    pub fn digest(&self) -> RosterDigest {
        let adopted = match self.voting_range {
            Some(_) => self.rosters.adopted_tag(),
            None => self.rosters.newest().map(|plan| plan.tag),
        };
        RosterDigest {
            incarnation: self.peers.incarnation,
            voting: self.voting_range.is_some(),
            active: self.active_tag(),
            adopted,
            incarnations: self.peers.incarnations().clone(),
            bootstrap: self.bootstrap_to_send(),
            plan: self.plan_told(),
        }
    }

    /// Returns for which ids this process speaks; `None` while it has no voice.
    pub const fn voting_range(&self) -> Option<VotingRange> {
        self.voting_range
    }

    /// Tells whether a host had a voice when it was last heard.
    pub fn is_voting(&self, host: &HostName) -> bool {
        match *host == self.peers.host {
            true => self.voting_range.is_some(),
            false => self.peers.get(host).is_some_and(|digest| digest.voting),
        }
    }

    /// Returns the active roster for callers of claims.
    pub fn view(&self) -> Option<RosterView> {
        let active = self.rosters.active.as_ref()?;
        let needed = self.settings.rules.two_rosters;
        let former = active.former.as_ref().filter(|_| needed);
        Some(RosterView {
            tag: active.tag,
            seats: active.seats.clone(),
            former: former.map_or_else(Vec::new, |(_, seats)| seats.clone()),
            former_until: self.former_until,
        })
    }

    /// Returns the roster that is known to be active.
    pub fn active_tag(&self) -> Option<RosterTag> {
        self.rosters.active_tag()
    }

    /// Returns the roster that was taken up, or else the active one; calls of older
    /// rosters are refused.
    pub fn newest(&self) -> Option<RosterTag> {
        self.rosters.binding_tag()
    }

    /// Tells whether this host holds a seat of the active roster or of its former one.
    pub fn speaks_in_active(&self) -> bool {
        let host = &self.peers.host;
        let active = self.rosters.active.as_ref();
        active.is_some_and(|plan| plan.has_seat(host) || plan.had_seat(host))
    }

    /// Returns the hosts that this process should exchange digests with, sorted.
    pub fn known_hosts(&self) -> Vec<HostName> {
        self.rosters.hosts()
    }

    /// Returns what keeps the roster of the document in force from being founded;
    /// `None` where it need not be founded, or nothing is known to stand in its way.
    pub fn bootstrap_block(&self) -> Option<BootstrapBlock> {
        let active = self.rosters.active.as_ref()?;
        let waiting = self.rosters.newest()?;
        if self.voting_range.is_some() || !waiting.bootstraps || waiting.tag == active.tag {
            return None;
        }
        let seats = waiting.seats.iter().filter(|host| self.is_voting(host));
        let hosts: Vec<HostName> = seats.cloned().collect();
        let block = BootstrapBlock {
            roster: waiting.tag.number,
            active: active.tag.number,
            hosts,
        };
        (!block.hosts.is_empty()).then_some(block)
    }

    /// Draws every conclusion that the knowledge allows.
    fn step(&mut self, now: UnixMillis) {
        while self.hear_activation(now)
            || self.count_votes(now)
            || self.take_up()
            || self.join(now)
            || self.found(now)
            || self.join_founding(now)
        {}
    }

    /// Learns from a peer that a newer roster is active.
    fn hear_activation(&mut self, now: UnixMillis) -> bool {
        let active = self.active_tag().map(|tag| tag.number);
        let plan = self
            .peers
            .digests()
            .filter(|digest| digest.active.map(|tag| tag.number) > active)
            .filter_map(|digest| self.plan_in(digest))
            .max_by_key(|plan| plan.tag);
        match plan {
            Some(plan) => self.activate(plan, now),
            None => false,
        }
    }

    /// Learns that a successor is active from the votes of a majority.
    fn count_votes(&mut self, now: UnixMillis) -> bool {
        let Some(active) = self.active_tag() else {
            return false;
        };
        let own = self.digest();
        let plans = [&self.rosters.adopted, &self.rosters.offered];
        let won = plans
            .into_iter()
            .flatten()
            .filter(|plan| plan.tag.number > active.number)
            .find(|plan| is_elected(plan, &self.peers, &own, self.settings.rules))
            .cloned();
        match won {
            Some(plan) => self.activate(plan, now),
            None => false,
        }
    }

    fn activate(&mut self, plan: RosterPlan, now: UnixMillis) -> bool {
        let until = self.settings.bound(now);
        let host = &self.peers.host;
        let active = self.rosters.active.as_ref();
        let continuing =
            active.is_some_and(|old| Some(old.tag) == plan.former_tag() && old.has_seat(host));
        if let Some(span) = &mut self.voting_range {
            // Ids of the roster before the former one may be known to seats that
            // are asked no more, so the memory of them is worth nothing now.
            span.since = match continuing {
                true => span.since.max(span.former_until),
                false => until,
            };
            span.former_until = until;
        }
        self.former_until = until;
        self.rosters.adopted = None;
        self.rosters.active = Some(plan);
        true
    }

    /// Takes up the offered roster when it directly follows the active one.
    fn take_up(&mut self) -> bool {
        let (Some(active), Some(offered)) = (self.active_tag(), &self.rosters.offered) else {
            return false;
        };
        let follows = offered.former_tag() == Some(active) && self.rosters.adopted.is_none();
        let skips = !self.settings.rules.knew_former_active
            && offered.former.is_some()
            && self.newest().is_some_and(|tag| tag < offered.tag);
        let newer = offered.tag.number > active.number;
        if self.voting_range.is_none() || !newer || !(follows || skips) {
            return false;
        }
        self.rosters.adopted = Some(offered.clone());
        true
    }

    /// Gains a voice in the active roster from a majority of its other seats.
    fn join(&mut self, now: UnixMillis) -> bool {
        let Some(active) = &self.rosters.active else {
            return false;
        };
        if self.may_not_gain() || !active.has_seat(&self.peers.host) {
            return false;
        }
        if !self.settings.rules.restarted_silence {
            return self.gain_voice(now);
        }
        let Some(told) = incarnations_to_join(active, &self.peers, self.settings.rules) else {
            return false;
        };
        // A digest may have come before the roster was known, with its lives unkept.
        for incarnations in told {
            self.peers.raise_incarnations(&incarnations);
        }
        self.gain_voice(now)
    }

    /// Founds the newest known roster when none of its seats has a voice.
    ///
    /// Only a roster that follows none, by the operator's word. Guards against new
    /// seats of a roster that never became active, which would found it beside the
    /// one that still is.
    fn found(&mut self, now: UnixMillis) -> bool {
        let Some(plan) = self.rosters.newest().cloned() else {
            return false;
        };
        let allowed = plan.bootstraps || !self.settings.rules.founding_word;
        if self.may_not_gain() || !allowed || !plan.has_seat(&self.peers.host) {
            return false;
        }
        if !is_deserted(&plan, &self.peers, &self.digest()) {
            return false;
        }
        let incarnations = plan
            .seats
            .iter()
            .filter_map(|seat| self.peers.incarnations().get(seat));
        self.bootstrap = Some(BootstrapRecord {
            roster: plan.tag,
            incarnations: incarnations.copied().collect(),
        });
        self.rosters.active = Some(plan);
        self.gain_voice(now)
    }

    /// Gains a voice from a founding that another seat saw, this life included.
    fn join_founding(&mut self, now: UnixMillis) -> bool {
        let Some(newest) = self.rosters.newest() else {
            return false;
        };
        let Ok(index) = newest.seats.binary_search(&self.peers.host) else {
            return false;
        };
        // A newer roster may already count on this process staying silent here.
        if self.may_not_gain() || self.active_tag() != Some(newest.tag) {
            return false;
        }
        let told = self
            .peers
            .digests()
            .filter_map(|told| told.bootstrap.as_ref());
        let record = told
            .filter(|record| record.roster == newest.tag)
            .find(|record| record.incarnations.get(index) == Some(&self.peers.incarnation))
            .cloned();
        if record.is_none() {
            return false;
        }
        self.bootstrap = record;
        self.gain_voice(now)
    }

    fn may_not_gain(&self) -> bool {
        self.voting_range.is_some() || self.peers.is_superseded()
    }

    fn gain_voice(&mut self, now: UnixMillis) -> bool {
        let since = self.settings.bound(now);
        let former_until = 0;
        self.voting_range = Some(VotingRange {
            since,
            former_until,
        });
        true
    }

    /// Returns the founding record while a seat of the roster may need it.
    fn bootstrap_to_send(&self) -> Option<BootstrapRecord> {
        let active = self.rosters.active.as_ref()?;
        let record = self.bootstrap.as_ref()?;
        let is_voting = |seat: &HostName| self.peers.get(seat).is_some_and(|told| told.voting);
        let mut others = active.seats.iter().filter(|seat| **seat != self.peers.host);
        let needed = record.roster == active.tag && !others.all(is_voting);
        needed.then(|| record.clone())
    }

    /// Returns the roster that a peer knows to be active, from its digest or from
    /// the documents.
    fn plan_in(&self, digest: &RosterDigest) -> Option<RosterPlan> {
        let tag = digest.active?;
        let told = digest.plan.clone().filter(|plan| plan.tag == tag);
        told.or_else(|| self.rosters.plan_of(tag))
    }

    /// Returns the active roster while a peer is known to be behind it.
    fn plan_told(&self) -> Option<RosterPlan> {
        let active = self.rosters.active.as_ref()?;
        let is_behind = |digest: &RosterDigest| {
            digest
                .active
                .is_none_or(|tag| tag.number < active.tag.number)
        };
        let behind = self.peers.digests().any(is_behind);
        behind.then(|| active.clone())
    }
}
