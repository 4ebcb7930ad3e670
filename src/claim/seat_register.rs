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

/// How often a seat looks for entries to forget, as a part of the window.
const FORGET_PARTS: u64 = 64;

/// A seat's settings; the same on all hosts, from the fleet document's limits.
#[derive(Clone, Copy, Debug)]
pub struct RegisterSettings {
    /// How long an id is remembered, in milliseconds.
    pub window_ms: u64,
    /// How far two clocks may differ, in milliseconds.
    pub skew_ms: u64,
    /// Which rules are on.
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

/// What a seat remembers of a process that claims.
#[derive(Clone, Debug)]
struct HolderRecord {
    host: HostName,
    /// The latest time in an id that was granted to the process.
    latest: UnixMillis,
}

/// A seat: its register of claims and what it knows of rosters.
///
/// Both stand together, so that no vote for a new roster leaves the process while
/// the register still grants under the old one.
#[derive(Clone, Debug)]
pub struct SeatRegister {
    settings: RegisterSettings,
    roster: RosterTracker,
    entries: SortedMap<RequestId, RegisterEntry>,
    holders: SortedMap<IncarnationId, HolderRecord>,
    /// The latest time seen: a clock that is set back forgets nothing twice.
    latest: UnixMillis,
    /// Ids timed before this are forgotten, and refused for good.
    forgotten_before: UnixMillis,
}

impl SeatRegister {
    /// Opens a seat with empty memory and without a voice.
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
            forgotten_before: 0,
        }
    }

    /// Takes over the limits of a document, and returns those before: the window
    /// and the skew, in milliseconds.
    ///
    /// What was forgotten under a shorter window stays refused under a longer one.
    pub fn set_limits(&mut self, window_ms: u64, skew_ms: u64) -> (u64, u64) {
        let former = (self.settings.window_ms, self.settings.skew_ms);
        self.settings.window_ms = window_ms;
        self.settings.skew_ms = skew_ms;
        self.roster.set_skew(skew_ms);
        former
    }

    /// Returns what the seat knows of rosters.
    pub const fn roster(&self) -> &RosterTracker {
        &self.roster
    }

    /// Returns what the seat knows of rosters, to learn documents and digests.
    pub const fn roster_mut(&mut self) -> &mut RosterTracker {
        &mut self.roster
    }

    /// Returns how many ids the seat remembers.
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// Answers a call; `now` is this host's clock.
    pub fn handle(&mut self, call: ClaimCall, now: UnixMillis) -> ClaimReply {
        self.latest = self.latest.max(now);
        self.forget();
        let answer = match self.check(&call) {
            Ok(span) => self.apply(&call, span),
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

    /// Returns the span in which the seat speaks, or why it does not for this call.
    fn check(&self, call: &ClaimCall) -> Result<VotingRange, SeatAnswer> {
        let span = self.roster.voting_range().ok_or(SeatAnswer::NotVoting)?;
        self.check_roster(call)?;
        self.check_window(call.id)?;
        // Guards against lost memory: an earlier life may have granted the id and
        // forgotten it. Whatever it granted is timed before `since`.
        if self.settings.rules.boot_time && call.id.time() <= span.since {
            return Err(SeatAnswer::NotVoting);
        }
        Ok(span)
    }

    /// Guards against a majority of an old roster that grants beside the new one:
    /// from taking up the new roster on, this seat answers nothing under the old.
    fn check_roster(&self, call: &ClaimCall) -> Result<(), SeatAnswer> {
        let newest = self.roster.newest().ok_or(SeatAnswer::NotVoting)?;
        if self.roster.active_tag() == Some(call.roster) && newest == call.roster {
            return match self.roster.speaks_in_active() {
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
        let outside = id.time() < self.forgotten_before || id.time() > too_new;
        match outside && self.settings.rules.id_window {
            true => Err(SeatAnswer::OutOfWindow { now: self.latest }),
            false => Ok(()),
        }
    }

    fn apply(&mut self, call: &ClaimCall, span: VotingRange) -> SeatAnswer {
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
            self.note_holder(call);
        }
        self.answer(call, entry, span)
    }

    fn answer(&self, call: &ClaimCall, entry: RegisterEntry, span: VotingRange) -> SeatAnswer {
        let old = call.id.time() <= span.former_until;
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

    fn note_holder(&mut self, call: &ClaimCall) {
        let ticket = &call.ticket;
        let record = self
            .holders
            .get_or_insert_with(ticket.incarnation, || HolderRecord {
                host: ticket.host.clone(),
                latest: 0,
            });
        record.latest = record.latest.max(call.id.time());
    }

    /// Forgets ids older than the window, some at a time so that it costs little.
    fn forget(&mut self) {
        let before = self.latest.saturating_sub(self.settings.window_ms);
        let step = self.settings.window_ms / FORGET_PARTS;
        if before < self.forgotten_before.saturating_add(step.max(1)) {
            return;
        }
        self.forgotten_before = before;
        self.entries.remove_below(&RequestId::first_at(before));
        self.holders.retain(|_, record| record.latest >= before);
    }
}
