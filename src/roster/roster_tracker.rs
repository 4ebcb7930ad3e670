//! Tracks the known rosters of a process and whether it may vote.

use super::BlockedBootstrap;
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
use super::offer_check::check_offer;
use super::peer_table::PeerTable;
use super::quorum_check::incarnations_to_join;
use super::quorum_check::is_elected;
use super::quorum_check::none_voting;
use crate::ids::HostName;
use crate::ids::UnixMillis;

/// Tracks the known rosters of a process and whether it may vote.
#[derive(Clone, Debug)]
pub struct RosterTracker {
    settings: TrackerSettings,
    rosters: KnownRosters,
    /// The range of ids that this process may vote on; `None` after a restart.
    voting_range: Option<VotingRange>,
    /// Ids timed up to here may have been granted under the former roster.
    former_until: UnixMillis,
    /// The bootstrap by which this process got its vote, if any.
    bootstrap: Option<BootstrapRecord>,
    peers: PeerTable,
}

impl RosterTracker {
    /// Creates the tracker of a process that just started and knows nothing.
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

    /// Sets the maximum difference between two clocks, in milliseconds.
    pub fn set_skew(&mut self, skew_ms: u64) {
        self.settings.skew_ms = skew_ms;
    }

    /// Processes the roster of a document.
    ///
    /// # Errors
    ///
    /// The reason to refuse it, if the roster can't follow the one that is active here;
    /// the whole document must then be refused.
    pub fn offer(
        &mut self,
        plan: RosterPlan,
        now: UnixMillis,
    ) -> Result<RosterDecision, RosterRefusal> {
        let decision = check_offer(&self.rosters, &plan, self.voting_range.is_some())?;
        match decision {
            RosterDecision::Unchanged => self.rosters.fill_former(&plan),
            RosterDecision::Accepted | RosterDecision::Waiting => self.rosters.offered = Some(plan),
        }
        self.advance(now);
        Ok(decision)
    }

    /// Processes a peer's digest; returns whether anything changed, in which case peers
    /// should be notified at once.
    pub fn apply_digest(&mut self, from: &HostName, digest: RosterDigest, now: UnixMillis) -> bool {
        let before = self.digest();
        self.peers.record(from, digest);
        // If two processes run under one name, the later one is the seat.
        if self.peers.is_superseded() {
            self.voting_range = None;
        }
        self.advance(now);
        self.peers.keep_hosts(&self.rosters.hosts());
        self.digest() != before
    }

    /// Returns the digest to send to peers.
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
            plan: self.plan_to_send(),
        }
    }

    /// Returns the range of ids that this process may vote on; `None` while it may not
    /// vote.
    pub const fn voting_range(&self) -> Option<VotingRange> {
        self.voting_range
    }

    /// Returns whether a host was voting when last heard from.
    pub fn is_voting(&self, host: &HostName) -> bool {
        match *host == self.peers.host {
            true => self.voting_range.is_some(),
            false => self.peers.get(host).is_some_and(|digest| digest.voting),
        }
    }

    /// Returns the active roster, as needed to make claims.
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

    /// Returns the roster known to be active.
    pub fn active_tag(&self) -> Option<RosterTag> {
        self.rosters.active_tag()
    }

    /// Returns the adopted roster, or the active one if none was adopted; calls of
    /// older rosters are refused.
    pub fn newest(&self) -> Option<RosterTag> {
        self.rosters.binding_tag()
    }

    /// Returns whether this host holds a seat of the active roster or of its former
    /// one.
    pub fn votes_in_active(&self) -> bool {
        let host = &self.peers.host;
        let active = self.rosters.active.as_ref();
        active.is_some_and(|plan| plan.has_seat(host) || plan.had_seat(host))
    }

    /// Returns the hosts to exchange digests with, sorted.
    pub fn known_hosts(&self) -> Vec<HostName> {
        self.rosters.hosts()
    }

    /// Returns the blocked bootstrap of the roster of the document in force; `None` if it
    /// needs no bootstrap, or if no seat is known to block it.
    pub fn blocked_bootstrap(&self) -> Option<BlockedBootstrap> {
        let active = self.rosters.active.as_ref()?;
        let waiting = self.rosters.newest()?;
        if self.voting_range.is_some() || !waiting.bootstraps || waiting.tag == active.tag {
            return None;
        }
        let seats = waiting.seats.iter().filter(|host| self.is_voting(host));
        let hosts: Vec<HostName> = seats.cloned().collect();
        let blocked = BlockedBootstrap {
            roster: waiting.tag.number,
            active: active.tag.number,
            hosts,
        };
        (!blocked.hosts.is_empty()).then_some(blocked)
    }

    /// Applies every state transition that the current knowledge permits.
    fn advance(&mut self, now: UnixMillis) {
        while self.learn_activation(now)
            || self.count_votes(now)
            || self.adopt_offered()
            || self.rejoin(now)
            || self.bootstrap_newest(now)
            || self.join_bootstrap(now)
        {}
    }

    /// Learns from a peer that a newer roster is active.
    fn learn_activation(&mut self, now: UnixMillis) -> bool {
        let active = self.active_tag().map(|tag| tag.number);
        let plan = self
            .peers
            .digests()
            .filter(|digest| digest.active.map(|tag| tag.number) > active)
            .filter_map(|digest| self.plan_for(digest))
            .max_by_key(|plan| plan.tag);
        match plan {
            Some(plan) => self.activate(plan, now),
            None => false,
        }
    }

    /// Learns from the votes of a majority that a successor is active.
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
        if let Some(range) = &mut self.voting_range {
            // Seats that knew ids of the roster before the former one are no longer
            // asked, so this seat's memory of those ids no longer counts.
            range.since = match continuing {
                true => range.since.max(range.former_until),
                false => until,
            };
            range.former_until = until;
        }
        self.former_until = until;
        self.rosters.adopted = None;
        self.rosters.active = Some(plan);
        true
    }

    /// Adopts the offered roster if it directly follows the active one.
    fn adopt_offered(&mut self) -> bool {
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

    /// Starts to vote in the active roster after reports from a majority of its other
    /// seats.
    fn rejoin(&mut self, now: UnixMillis) -> bool {
        let Some(active) = &self.rosters.active else {
            return false;
        };
        if self.cannot_start_voting() || !active.has_seat(&self.peers.host) {
            return false;
        }
        if !self.settings.rules.rejoin_by_majority {
            return self.start_voting(now);
        }
        let Some(reported) = incarnations_to_join(active, &self.peers, self.settings.rules) else {
            return false;
        };
        // A digest may have arrived before the roster was known, in which case its
        // incarnations were not kept.
        for incarnations in reported {
            self.peers.merge_incarnations(&incarnations);
        }
        self.start_voting(now)
    }

    /// Bootstraps the newest known roster if none of its seats votes.
    ///
    /// Only for a roster that the operators declared to follow none. Otherwise new
    /// seats of a roster that never became active would bootstrap it beside the active
    /// one.
    fn bootstrap_newest(&mut self, now: UnixMillis) -> bool {
        let Some(plan) = self.rosters.newest().cloned() else {
            return false;
        };
        let allowed = plan.bootstraps || !self.settings.rules.explicit_bootstrap;
        if self.cannot_start_voting() || !allowed || !plan.has_seat(&self.peers.host) {
            return false;
        }
        if !none_voting(&plan, &self.peers, &self.digest()) {
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
        self.start_voting(now)
    }

    /// Starts to vote after a bootstrap that another seat observed and that includes
    /// this incarnation.
    fn join_bootstrap(&mut self, now: UnixMillis) -> bool {
        let Some(newest) = self.rosters.newest() else {
            return false;
        };
        let Ok(index) = newest.seats.binary_search(&self.peers.host) else {
            return false;
        };
        // A newer roster may already depend on this process not voting here.
        if self.cannot_start_voting() || self.active_tag() != Some(newest.tag) {
            return false;
        }
        let reported = self
            .peers
            .digests()
            .filter_map(|reported| reported.bootstrap.as_ref());
        let record = reported
            .filter(|record| record.roster == newest.tag)
            .find(|record| record.incarnations.get(index) == Some(&self.peers.incarnation))
            .cloned();
        if record.is_none() {
            return false;
        }
        self.bootstrap = record;
        self.start_voting(now)
    }

    fn cannot_start_voting(&self) -> bool {
        self.voting_range.is_some() || self.peers.is_superseded()
    }

    fn start_voting(&mut self, now: UnixMillis) -> bool {
        let since = self.settings.bound(now);
        let former_until = 0;
        self.voting_range = Some(VotingRange {
            since,
            former_until,
        });
        true
    }

    /// Returns the bootstrap record while a seat of the roster may need it.
    fn bootstrap_to_send(&self) -> Option<BootstrapRecord> {
        let active = self.rosters.active.as_ref()?;
        let record = self.bootstrap.as_ref()?;
        let is_voting =
            |seat: &HostName| self.peers.get(seat).is_some_and(|reported| reported.voting);
        let mut others = active.seats.iter().filter(|seat| **seat != self.peers.host);
        let needed = record.roster == active.tag && !others.all(is_voting);
        needed.then(|| record.clone())
    }

    /// Returns the roster that a peer knows to be active, from its digest or from the
    /// known documents.
    fn plan_for(&self, digest: &RosterDigest) -> Option<RosterPlan> {
        let tag = digest.active?;
        let reported = digest.plan.clone().filter(|plan| plan.tag == tag);
        reported.or_else(|| self.rosters.plan_of(tag))
    }

    /// Returns the active roster while a peer is known to consider an older one active.
    fn plan_to_send(&self) -> Option<RosterPlan> {
        let active = self.rosters.active.as_ref()?;
        let is_outdated = |digest: &RosterDigest| {
            digest
                .active
                .is_none_or(|tag| tag.number < active.tag.number)
        };
        let needed = self.peers.digests().any(is_outdated);
        needed.then(|| active.clone())
    }
}
