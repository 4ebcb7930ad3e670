//! Runs this host's claims, releases and bars at the seats.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;

use super::seat_watch::SeatFailure;
use super::seat_watch::SeatWatch;
use crate::claim::BarRound;
use crate::claim::BarStatus;
use crate::claim::ClaimCall;
use crate::claim::ClaimReply;
use crate::claim::ClaimRound;
use crate::claim::ClaimStatus;
use crate::claim::ClaimTicket;
use crate::claim::HeldClaim;
use crate::claim::SeatRegister;
use crate::claim::SeatRound;
use crate::claim::UnsentStage;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::ids::AttemptNumber;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::RequestId;
use crate::logs::StateLog;
use crate::peers::PeerCall;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::roster::RosterView;

/// Time limit for one seat's answer. Seats answer within 1 to 2 ms across zones; a
/// paused or disconnected seat must not delay the others' answers for long.
const SEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// How many times a round is restarted under a newer roster before it fails.
const MAX_RENEWALS: usize = 3;

/// Delays before a release is repeated to seats that did not answer it: they cover a
/// lost message, a peer's reconnection, and a pause after which peers drop the
/// connection.
const RELEASE_RETRY_DELAYS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(3),
    Duration::from_secs(15),
];

/// The outcome of a claim.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// This process may dispatch the request.
    Granted(HeldClaim<UnsentStage>),
    /// Another process holds the claim.
    Held(ClaimTicket),
    /// The attempt was given up: nothing ran, and this attempt never will.
    Barred,
    /// The id is outside the claim window.
    OutOfWindow,
    /// Too few seats answered.
    NoMajority,
}

/// The outcome of a bar or release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BarOutcome {
    /// A majority barred the attempt: `not-run` is proven.
    Proven,
    /// Another process holds the claim.
    Held(ClaimTicket),
    /// Nothing is proven.
    Unproven,
}

/// Runs this host's claims, releases and bars.
pub(crate) struct ClaimCoordinator {
    host: HostName,
    incarnation: IncarnationId,
    register: Mutex<SeatRegister>,
    mesh: Arc<PeerMesh>,
    seats: Arc<SeatWatch>,
    next_round: AtomicU64,
}

/// The result of a call to a seat; `reply` is `None` if the call failed.
struct SeatReply {
    /// How many times the round had been renewed when the call was sent.
    renewals: usize,
    host: HostName,
    reply: Option<ClaimReply>,
}

impl ClaimCoordinator {
    /// Creates the coordinator of a host whose seat is `register`.
    pub(crate) fn open(
        host: HostName,
        incarnation: IncarnationId,
        register: SeatRegister,
        mesh: Arc<PeerMesh>,
        log: Arc<StateLog>,
    ) -> Arc<Self> {
        Arc::new(Self {
            host,
            incarnation,
            register: Mutex::new(register),
            mesh,
            seats: Arc::new(SeatWatch::new(log)),
            next_round: AtomicU64::new(1),
        })
    }

    /// Locks this host's seat; must not be held across an await.
    pub(crate) fn register(&self) -> MutexGuard<'_, SeatRegister> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a call to this host's seat.
    pub(crate) fn handle(&self, call: ClaimCall) -> ClaimReply {
        self.register().handle(call, unix_now())
    }

    /// Claims an attempt of an id at a majority of the seats.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        id: RequestId,
        attempt: AttemptNumber,
    ) -> ClaimOutcome {
        let Some(view) = self.view() else {
            return ClaimOutcome::NoMajority;
        };
        let mut round = ClaimRound::begin(id, self.ticket(attempt), view);
        self.run_round(&mut round).await;
        let status = round.status();
        match round.win() {
            Ok(claim) => ClaimOutcome::Granted(claim),
            Err(lost) => self.release_lost(*lost, status).await,
        }
    }

    /// Bars an attempt, so that `not-run` may be answered for it.
    pub(crate) async fn bar(self: &Arc<Self>, id: RequestId, attempt: AttemptNumber) -> BarOutcome {
        match self.view() {
            Some(view) => {
                self.finish_bar(BarRound::bar(id, self.ticket(attempt), view))
                    .await
            }
            None => BarOutcome::Unproven,
        }
    }

    /// Releases a claim under which nothing was dispatched.
    pub(crate) async fn release(self: &Arc<Self>, claim: HeldClaim<UnsentStage>) -> BarOutcome {
        match self.view() {
            Some(view) => self.finish_release(claim.release(view)).await,
            None => BarOutcome::Unproven,
        }
    }

    /// Releases the grants of a lost round.
    ///
    /// Grants that are not released would block every resend until the claim window has
    /// passed, although nothing is dispatched under them.
    async fn release_lost(self: &Arc<Self>, lost: ClaimRound, status: ClaimStatus) -> ClaimOutcome {
        let Some(view) = self.view() else {
            return ClaimOutcome::NoMajority;
        };
        let release = lost.abandon(view);
        if let ClaimStatus::HeldByAnother(holder) = status {
            // The answer comes from the holder, so the caller need not wait for the
            // release.
            let coordinator = self.clone();
            task::spawn(async move { coordinator.finish_release(release).await });
            return ClaimOutcome::Held(holder);
        }
        let released = self.finish_release(release).await;
        match (status, released) {
            (ClaimStatus::OutOfWindow { .. }, _) => ClaimOutcome::OutOfWindow,
            (_, BarOutcome::Proven) => ClaimOutcome::Barred,
            (_, BarOutcome::Held(holder)) => ClaimOutcome::Held(holder),
            (_, BarOutcome::Unproven) => ClaimOutcome::NoMajority,
        }
    }

    async fn finish_bar(self: &Arc<Self>, mut round: BarRound) -> BarOutcome {
        self.run_round(&mut round).await;
        bar_outcome(&round)
    }

    /// Runs a release until it is decided and repeats it in the background.
    ///
    /// If a release is lost on its way to one seat, its grant would stay there until
    /// the claim window has passed. If another seat then fails, every resend would be
    /// referred to a holder that has no claim.
    async fn finish_release(self: &Arc<Self>, mut round: BarRound) -> BarOutcome {
        self.run_round(&mut round).await;
        let outcome = bar_outcome(&round);
        let coordinator = self.clone();
        task::spawn(async move { coordinator.retry_release(round).await });
        outcome
    }

    async fn retry_release(self: Arc<Self>, mut round: BarRound) {
        for delay in RELEASE_RETRY_DELAYS {
            task::sleep(delay).await;
            match self.view() {
                Some(view) if round.newer_roster().is_some() => round.renew(view),
                _ => round.resend_unanswered(),
            }
            let calls = round.calls();
            if calls.is_empty() {
                return;
            }
            let (replies, received) = async_channel::unbounded();
            for (host, call) in calls {
                self.send_call(host, call, 0, replies.clone());
            }
            drop(replies);
            while let Ok(reply) = received.recv().await {
                accept_reply(&mut round, reply);
            }
        }
    }

    /// Runs a round until it is decided.
    async fn run_round<A>(self: &Arc<Self>, round: &mut SeatRound<A>) {
        let (replies, received) = async_channel::unbounded();
        let mut waiting = 0;
        let mut renewals = 0;
        loop {
            for (host, call) in round.calls() {
                waiting += 1;
                self.send_call(host, call, renewals, replies.clone());
            }
            if round.newer_roster().is_some() && renewals < MAX_RENEWALS {
                renewals += 1;
                if self.renew(round).await {
                    // Calls sent before the renewal no longer count: a late failure of
                    // one would be mistaken for the failure of its repetition.
                    waiting = 0;
                    continue;
                }
            }
            if !round.is_pending() || waiting == 0 {
                return;
            }
            let Ok(reply) = received.recv().await else {
                return;
            };
            if reply.renewals == renewals {
                waiting -= 1;
                accept_reply(round, reply);
            }
        }
    }

    async fn renew<A>(&self, round: &mut SeatRound<A>) -> bool {
        // The digest exchange delivers the newer roster within its period.
        task::sleep(SEAT_TIMEOUT / 4).await;
        match self.view() {
            Some(view) => {
                round.renew(view);
                true
            }
            None => false,
        }
    }

    fn send_call(
        self: &Arc<Self>,
        host: HostName,
        call: ClaimCall,
        renewals: usize,
        replies: Sender<SeatReply>,
    ) {
        if host == self.host {
            let reply = Some(self.handle(call));
            let reply = SeatReply {
                renewals,
                host,
                reply,
            };
            replies.try_send(reply).ok();
            return;
        }
        let mesh = self.mesh.clone();
        let seats = self.seats.clone();
        task::spawn(async move {
            let asked_at = boot_now();
            let answer = timeout(
                SEAT_TIMEOUT,
                mesh.call(&host, PeerCall::Claim(call), SEAT_TIMEOUT),
            );
            let result = match answer.await {
                Ok(Ok(PeerReply::Claim(reply))) => Ok(reply),
                Ok(Ok(_)) => Err("unexpected reply".to_owned()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no answer in time".to_owned()),
            };
            match &result {
                Ok(_) => seats.record_answer(&host),
                Err(reason) => seats.record_failure(SeatFailure {
                    seat: host.clone(),
                    reason: reason.clone(),
                    limit: SEAT_TIMEOUT,
                    waited: boot_now().saturating_sub(asked_at),
                }),
            }
            let reply = result.ok();
            // The receiver is closed once the round is decided.
            let reply = SeatReply {
                renewals,
                host,
                reply,
            };
            replies.try_send(reply).ok();
        });
    }

    /// Returns whether enough voting seats are connected to obtain a claim now.
    pub(crate) fn has_majority(&self) -> bool {
        let connected = self.mesh.connected_peers();
        let register = self.register();
        let roster = register.roster();
        let Some(view) = roster.view() else {
            return false;
        };
        let voting = view
            .seats
            .iter()
            .filter(|seat| **seat == self.host || connected.binary_search(seat).is_ok())
            .filter(|seat| roster.is_voting(seat))
            .count();
        voting * 2 > view.seats.len()
    }

    fn view(&self) -> Option<Arc<RosterView>> {
        self.register().roster().view().map(Arc::new)
    }

    fn ticket(&self, attempt: AttemptNumber) -> ClaimTicket {
        ClaimTicket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            round: self.next_round.fetch_add(1, Ordering::Relaxed),
            attempt,
        }
    }
}

fn accept_reply<A>(round: &mut SeatRound<A>, reply: SeatReply) {
    match reply.reply {
        Some(answer) => round.accept(&reply.host, answer),
        None => round.fail(&reply.host),
    }
}

fn bar_outcome(round: &BarRound) -> BarOutcome {
    match round.status() {
        BarStatus::Barred => BarOutcome::Proven,
        BarStatus::HeldByAnother(holder) => BarOutcome::Held(holder),
        _ => BarOutcome::Unproven,
    }
}
