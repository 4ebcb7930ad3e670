//! The callers, and the processing of their requests by the hosts.

use std::str::FromStr;

use super::ChoiceSource;
use super::id_record::IdRecord;
use super::id_record::ModelFault;
use super::id_record::record_dispatch;
use super::id_record::record_not_run;
use super::model_host::ModelMessage;
use super::model_host::ModelRound;
use super::model_world::ModelWorld;
use super::model_world::RECENT_IDS;
use super::model_world::pick_index;
use super::walk_profile::WalkProfile;
use cardamomgw::claim::BarRound;
use cardamomgw::claim::BarStatus;
use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimOperation;
use cardamomgw::claim::ClaimRound;
use cardamomgw::claim::ClaimStatus;
use cardamomgw::ids::HostName;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::UnixMillis;

impl ModelWorld {
    pub(super) fn begin(&mut self, source: &mut dyn ChoiceSource) -> Option<()> {
        let name = self.pick_host(source)?;
        let id = self.pick_id(&name, source)?;
        let proven = self
            .records
            .get(&id)
            .map_or(0, |record| record.not_run_through);
        let blind = proven > 0 && source.pick(4)? == 0;
        let attempt = if blind { proven } else { proven + 1 };
        let bars = source.pick(6)? == 0;
        let host = self.hosts.get_mut(&name)?;
        let Some(view) = host.view() else {
            return Some(());
        };
        let ticket = host.ticket(attempt);
        host.rounds.push(match bars {
            true => ModelRound::Barring(BarRound::bar(id, ticket, view)),
            false => ModelRound::Claiming(ClaimRound::begin(id, ticket, view)),
        });
        let calls = host.calls();
        self.post(&name, calls);
        Some(())
    }

    /// Picks a recent id or creates a new one, sometimes an old one or one from the
    /// future.
    pub(super) fn pick_id(
        &mut self,
        name: &HostName,
        source: &mut dyn ChoiceSource,
    ) -> Option<RequestId> {
        let again = !self.recent.is_empty() && source.pick(3)? > 0;
        if again {
            let back = source.pick(self.recent.len() as u32)? as usize;
            return Some(self.recent[back]);
        }
        let offset = self.hosts.get(name).map_or(0, |host| host.offset);
        let time = match source.pick(10)? {
            0 => self.now + 40 + UnixMillis::from(source.pick(60)?),
            1 | 2 => self.now - UnixMillis::from(source.pick(60)?),
            _ => self.now + offset,
        };
        let id = id_at(time, self.records.len() as u64);
        self.records.insert(id, IdRecord::default());
        self.recent.push(id);
        if self.recent.len() > RECENT_IDS {
            self.recent.remove(0);
        }
        Some(id)
    }

    /// Lets a random host continue one of its rounds, chosen at random.
    pub(super) fn work(
        &mut self,
        profile: &WalkProfile,
        source: &mut dyn ChoiceSource,
    ) -> Result<Option<()>, ModelFault> {
        let Some(name) = self.pick_host(source) else {
            return Ok(None);
        };
        let Some(dice) = source.pick(8) else {
            return Ok(None);
        };
        let Some(host) = self.hosts.get_mut(&name) else {
            return Ok(Some(()));
        };
        let Some(Some(index)) = pick_index(host.rounds.len(), source) else {
            return Ok(Some(()));
        };
        let Some(view) = host.view() else {
            return Ok(Some(()));
        };
        let next = match host.rounds.swap_remove(index) {
            ModelRound::Claiming(mut round) => match round.status() {
                ClaimStatus::Granted => round.win().ok().map(ModelRound::Held),
                ClaimStatus::Pending if dice < 6 => {
                    round.resend();
                    Some(ModelRound::Claiming(round))
                }
                ClaimStatus::RosterOld { .. } | ClaimStatus::NoMajority if dice < 6 => {
                    round.renew(view);
                    Some(ModelRound::Claiming(round))
                }
                _ => Some(ModelRound::Barring(round.abandon(view))),
            },
            ModelRound::Held(claim) if dice < 6 => {
                let claim = claim.dispatch();
                let attempt = claim.ticket().attempt;
                self.counts.dispatched += 1;
                record_dispatch(&mut self.records, claim.id(), attempt)?;
                Some(ModelRound::Sent(claim))
            }
            ModelRound::Held(claim) => Some(ModelRound::Barring(claim.release(view))),
            ModelRound::Barring(mut round) => match round.status() {
                BarStatus::Barred => {
                    if let Some(proof) = round.proof() {
                        self.counts.not_run += 1;
                        record_not_run(&mut self.records, proof.id(), proof.attempt())?;
                    }
                    None
                }
                BarStatus::Pending if dice < 6 => {
                    round.resend();
                    Some(ModelRound::Barring(round))
                }
                BarStatus::RosterOld { .. } | BarStatus::NoMajority if dice < 6 => {
                    round.renew(view);
                    Some(ModelRound::Barring(round))
                }
                _ => None,
            },
            ModelRound::Sent(claim) if profile.release_after_dispatch => {
                let calls = view.seats.iter().map(|seat| {
                    let call = ClaimCall {
                        id: claim.id(),
                        roster: view.tag,
                        operation: ClaimOperation::Release,
                        ticket: claim.ticket().clone(),
                    };
                    (seat.clone(), ModelMessage::Call(call))
                });
                let calls = calls.collect();
                self.post(&name, calls);
                return Ok(Some(()));
            }
            ModelRound::Sent(_) => None,
        };
        host.rounds.extend(next);
        let calls = host.calls();
        self.post(&name, calls);
        Ok(Some(()))
    }
}

fn id_at(time: UnixMillis, serial: u64) -> RequestId {
    let text = format!(
        "{:08x}-{:04x}-7000-8000-{serial:012x}",
        time >> 16,
        time & 0xffff
    );
    RequestId::from_str(&text).expect("a UUIDv7")
}
