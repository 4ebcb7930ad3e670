//! A seat's register of claims.

use super::ClaimCall;
use super::ClaimOperation;
use super::ClaimReply;
use super::ClaimRules;
use super::ClaimTicket;
use super::SeatAnswer;
use super::register_entry::RegisterEntry;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTracker;
use crate::roster::SeatIncarnation;
use crate::roster::TrackerSettings;
use crate::roster::VotingRange;
use crate::sorted::SortedMap;

/// Number of expiry runs in one claim window.
const EXPIRY_RUNS_PER_WINDOW: u64 = 64;

/// A seat's settings; identical on all hosts, taken from the limits of the fleet
/// document.
#[derive(Clone, Copy, Debug)]
pub struct RegisterSettings {
    /// How long an id is remembered, in milliseconds.
    pub window_ms: u64,
    /// The maximum difference between two clocks, in milliseconds.
    pub skew_ms: u64,
    /// The enabled protocol rules.
    pub rules: ClaimRules,
}

impl Default for RegisterSettings {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            skew_ms: 500,
            rules: ClaimRules::default(),
        }
    }
}

/// A seat's record of a process that holds grants.
#[derive(Clone, Debug)]
struct HolderRecord {
    host: HostName,
    /// The latest time in an id granted to the process.
    latest: UnixMillis,
}

/// A seat: its claim register and its knowledge of rosters.
///
/// Both are kept together so that no vote for a new roster leaves the process while the
/// register still grants under the old one.
#[derive(Clone, Debug)]
pub struct SeatRegister {
    settings: RegisterSettings,
    roster: RosterTracker,
    entries: SortedMap<RequestId, RegisterEntry>,
    holders: SortedMap<IncarnationId, HolderRecord>,
    /// The latest time seen. It never decreases, so a clock that is set back does not
    /// move the claim window back.
    latest: UnixMillis,
    /// Ids timed before this have expired and are refused permanently.
    expired_before: UnixMillis,
}

impl SeatRegister {
    /// Creates a seat that remembers nothing and may not vote.
    pub fn open(host: HostName, incarnation: SeatIncarnation, settings: RegisterSettings) -> Self {
        let tracker = TrackerSettings {
            skew_ms: settings.skew_ms,
            rules: settings.rules,
        };
        Self {
            settings,
            roster: RosterTracker::new(host, incarnation, tracker),
            entries: SortedMap::new(),
            holders: SortedMap::new(),
            latest: 0,
            expired_before: 0,
        }
    }

    /// Applies the limits of a document and returns the previous window and skew, in
    /// milliseconds.
    ///
    /// Ids that expired under a shorter window stay refused under a longer one.
    pub fn set_limits(&mut self, window_ms: u64, skew_ms: u64) -> (u64, u64) {
        let former = (self.settings.window_ms, self.settings.skew_ms);
        self.settings.window_ms = window_ms;
        self.settings.skew_ms = skew_ms;
        self.roster.set_skew(skew_ms);
        former
    }

    /// Returns the seat's knowledge of rosters.
    pub const fn roster(&self) -> &RosterTracker {
        &self.roster
    }

    /// Returns the seat's knowledge of rosters, to pass documents and digests to it.
    pub const fn roster_mut(&mut self) -> &mut RosterTracker {
        &mut self.roster
    }

    /// Returns the number of ids in the register.
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// Answers a call; `now` is this host's clock reading.
    pub fn handle(&mut self, call: ClaimCall, now: UnixMillis) -> ClaimReply {
        self.latest = self.latest.max(now);
        self.expire();
        let answer = match self.check(&call) {
            Ok(range) => self.apply(&call, range),
            Err(refusal) => refusal,
        };
        ClaimReply {
            id: call.id,
            roster: call.roster,
            operation: call.operation,
            incarnation: call.ticket.incarnation,
            round: call.ticket.round,
            answer,
        }
    }

    /// Returns the range of ids that the seat answers for, or the reason to refuse the
    /// call.
    fn check(&self, call: &ClaimCall) -> Result<VotingRange, SeatAnswer> {
        let range = self.roster.voting_range().ok_or(SeatAnswer::NotVoting)?;
        self.check_roster(call)?;
        self.check_window(call.id)?;
        // An earlier incarnation may have granted the id and lost its memory.
        // Everything it granted is timed no later than `since`.
        if self.settings.rules.boot_time && call.id.time() <= range.since {
            return Err(SeatAnswer::NotVoting);
        }
        Ok(range)
    }

    /// Prevents a majority of an old roster from granting ids beside the new one: once
    /// it has adopted the new roster, this seat answers no calls under the old one.
    fn check_roster(&self, call: &ClaimCall) -> Result<(), SeatAnswer> {
        let newest = self.roster.newest().ok_or(SeatAnswer::NotVoting)?;
        if self.roster.active_tag() == Some(call.roster) && newest == call.roster {
            return match self.roster.votes_in_active() {
                true => Ok(()),
                false => Err(SeatAnswer::NotVoting),
            };
        }
        if call.roster.number > newest.number {
            return Err(SeatAnswer::RosterUnknown);
        }
        match self.settings.rules.refuse_older_rosters {
            true => Err(SeatAnswer::RosterOld { newest }),
            false => Ok(()),
        }
    }

    fn check_window(&self, id: RequestId) -> Result<(), SeatAnswer> {
        let too_new = self.latest.saturating_add(self.settings.skew_ms);
        let outside = id.time() < self.expired_before || id.time() > too_new;
        match outside && self.settings.rules.id_window {
            true => Err(SeatAnswer::OutOfWindow { now: self.latest }),
            false => Ok(()),
        }
    }

    fn apply(&mut self, call: &ClaimCall, range: VotingRange) -> SeatAnswer {
        let ticket = &call.ticket;
        let entry = self
            .entries
            .get_or_insert_with(call.id, RegisterEntry::default);
        match call.operation {
            ClaimOperation::Claim => entry.claim(ticket),
            ClaimOperation::Release => entry.release(ticket),
            ClaimOperation::Bar => entry.bar(ticket.attempt),
        }
        let entry = *entry;
        if entry.is_held_by(ticket) {
            self.record_holder(call);
        }
        self.answer(call, entry, range)
    }

    fn answer(&self, call: &ClaimCall, entry: RegisterEntry, range: VotingRange) -> SeatAnswer {
        let old = call.id.time() <= range.former_until;
        let needs_former = old && self.settings.rules.two_rosters;
        let through = entry.barred_through();
        let ignored =
            call.operation == ClaimOperation::Bar && !self.settings.rules.bar_respects_grant;
        match entry.holder() {
            Some(_)
                if call.operation == ClaimOperation::Claim && entry.is_held_by(&call.ticket) =>
            {
                SeatAnswer::Granted { needs_former }
            }
            Some(holder) if !ignored => SeatAnswer::Held {
                holder: ClaimTicket {
                    host: self.host_of(holder.incarnation),
                    incarnation: holder.incarnation,
                    round: holder.round,
                    attempt: entry.granted_attempt(),
                },
            },
            _ => SeatAnswer::Barred {
                through,
                needs_former,
            },
        }
    }

    fn host_of(&self, incarnation: IncarnationId) -> HostName {
        let record = self.holders.get(&incarnation);
        record.map_or_else(String::new, |record| record.host.clone())
    }

    fn record_holder(&mut self, call: &ClaimCall) {
        let ticket = &call.ticket;
        let record = self
            .holders
            .get_or_insert_with(ticket.incarnation, || HolderRecord {
                host: ticket.host.clone(),
                latest: 0,
            });
        record.latest = record.latest.max(call.id.time());
    }

    /// Removes ids older than the window, in batches to keep the cost per call low.
    fn expire(&mut self) {
        let before = self.latest.saturating_sub(self.settings.window_ms);
        let step = self.settings.window_ms / EXPIRY_RUNS_PER_WINDOW;
        if before < self.expired_before.saturating_add(step.max(1)) {
            return;
        }
        self.expired_before = before;
        self.entries.remove_below(&RequestId::min_at(before));
        self.holders.retain(|_, record| record.latest >= before);
    }
}
