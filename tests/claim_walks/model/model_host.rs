//! One host of the model: its seat, and its rounds on behalf of its callers.

use std::sync::Arc;

use cardamomgw::claim::BarRound;
use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimReply;
use cardamomgw::claim::ClaimRound;
use cardamomgw::claim::ClaimTicket;
use cardamomgw::claim::HeldClaim;
use cardamomgw::claim::RegisterSettings;
use cardamomgw::claim::SeatRegister;
use cardamomgw::claim::SentStage;
use cardamomgw::claim::UnsentStage;
use cardamomgw::ids::AttemptNumber;
use cardamomgw::ids::HostName;
use cardamomgw::ids::UnixMillis;
use cardamomgw::roster::RosterDigest;
use cardamomgw::roster::RosterView;
use cardamomgw::roster::SeatIncarnation;

/// A message between two hosts.
#[derive(Clone)]
pub(crate) enum ModelMessage {
    Digest(RosterDigest),
    Call(ClaimCall),
    Reply(ClaimReply),
}

/// The state of a request on a host.
pub(crate) enum ModelRound {
    Claiming(ClaimRound),
    Held(HeldClaim<UnsentStage>),
    Sent(HeldClaim<SentStage>),
    Barring(BarRound),
}

pub(crate) struct ModelHost {
    pub(crate) name: HostName,
    pub(crate) seat: SeatRegister,
    pub(crate) incarnation: SeatIncarnation,
    /// How far the host's clock is ahead.
    pub(crate) offset: UnixMillis,
    pub(crate) paused: bool,
    pub(crate) rounds: Vec<ModelRound>,
    next_round: u64,
}

impl ModelHost {
    pub(crate) fn start(
        name: HostName,
        offset: UnixMillis,
        incarnation: u64,
        settings: RegisterSettings,
        now: UnixMillis,
    ) -> Self {
        let started = now + offset;
        let incarnation = SeatIncarnation {
            started,
            id: incarnation,
        };
        Self {
            seat: SeatRegister::open(name.clone(), incarnation, settings),
            name,
            incarnation,
            offset,
            paused: false,
            rounds: Vec::new(),
            next_round: 0,
        }
    }

    pub(crate) fn view(&self) -> Option<Arc<RosterView>> {
        self.seat.roster().view().map(Arc::new)
    }

    pub(crate) fn ticket(&mut self, attempt: AttemptNumber) -> ClaimTicket {
        self.next_round += 1;
        ClaimTicket {
            host: self.name.clone(),
            incarnation: self.incarnation.id,
            round: self.next_round,
            attempt,
        }
    }

    /// Processes a message and returns the answers.
    pub(crate) fn receive(
        &mut self,
        from: &HostName,
        message: ModelMessage,
        now: UnixMillis,
    ) -> Vec<(HostName, ModelMessage)> {
        let now = now + self.offset;
        match message {
            ModelMessage::Digest(digest) => {
                let changed = self.seat.roster_mut().apply_digest(from, digest, now);
                match changed {
                    true => self.gossip(),
                    false => Vec::new(),
                }
            }
            ModelMessage::Call(call) => {
                let reply = self.seat.handle(call, now);
                vec![(from.clone(), ModelMessage::Reply(reply))]
            }
            ModelMessage::Reply(reply) => {
                for round in &mut self.rounds {
                    match round {
                        ModelRound::Claiming(round) => round.accept(from, reply.clone()),
                        ModelRound::Barring(round) => round.accept(from, reply.clone()),
                        ModelRound::Held(_) | ModelRound::Sent(_) => {}
                    }
                }
                self.calls()
            }
        }
    }

    /// Returns this host's digest, addressed to each known host.
    pub(crate) fn gossip(&self) -> Vec<(HostName, ModelMessage)> {
        let digest = self.seat.roster().digest();
        let known = self.seat.roster().known_hosts();
        let others = known.into_iter().filter(|host| *host != self.name);
        others
            .map(|host| (host, ModelMessage::Digest(digest.clone())))
            .collect()
    }

    /// Returns the calls that the rounds have to send.
    pub(crate) fn calls(&mut self) -> Vec<(HostName, ModelMessage)> {
        let calls = self.rounds.iter_mut().flat_map(|round| match round {
            ModelRound::Claiming(round) => round.calls(),
            ModelRound::Barring(round) => round.calls(),
            ModelRound::Held(_) | ModelRound::Sent(_) => Vec::new(),
        });
        calls
            .map(|(host, call)| (host, ModelMessage::Call(call)))
            .collect()
    }
}
