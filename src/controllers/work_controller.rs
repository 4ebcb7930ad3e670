//! Runs the dispatch policy of one host: requests wait here and get their places.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;

use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::ids::TokenCount;
use crate::policy::DispatchPolicy;
use crate::policy::HostDigest;
use crate::policy::LoadReport;
use crate::policy::PolicyAction;
use crate::policy::PolicySettings;
use crate::policy::TargetFacts;
use crate::policy::WorkId;
use crate::policy::WorkItem;
use crate::policy::WorkOutcome;
use crate::sorted::SortedMap;

/// How often the policy is told that time passes.
const TICK: Duration = Duration::from_millis(20);

/// Where a piece of work came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkSource {
    /// A caller sent it.
    Caller,
    /// A peer handed it over; it is not handed on.
    Peer,
}

/// Where a piece of work goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkPlacement {
    /// To this target, whose slot is taken.
    Target(TargetName),
    /// To this peer.
    Peer(HostName),
    /// Nowhere.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// Runs the dispatch policy of one host.
///
/// The policy stands behind a mutex that is held for one decision and never
/// over an await; what it decides is handed to the waiting tasks by channels.
#[derive(Debug)]
pub(crate) struct WorkController {
    policy: Mutex<DispatchPolicy>,
    waiters: Mutex<SortedMap<WorkId, Sender<WorkPlacement>>>,
    next_work: AtomicU64,
}

/// Work that waits for its place, or runs; dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct WorkTicket {
    controller: Arc<WorkController>,
    work: WorkId,
    places: Receiver<WorkPlacement>,
    stage: TicketStage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketStage {
    Waiting,
    Placed,
    Ended,
}

impl WorkController {
    /// Makes a controller and starts its ticking.
    pub(crate) fn spawn(host: HostName, limits: PolicySettings) -> Arc<Self> {
        let controller = Arc::new(Self {
            policy: Mutex::new(DispatchPolicy::new(host, limits)),
            waiters: Mutex::new(SortedMap::new()),
            next_work: AtomicU64::new(1),
        });
        let ticking = Arc::downgrade(&controller);
        async_std::task::spawn(async move {
            while let Some(controller) = ticking.upgrade() {
                controller.decide(|policy| policy.tick(boot_now()));
                drop(controller);
                async_std::task::sleep(TICK).await;
            }
        });
        controller
    }

    /// Lets work arrive; `describe` gets the id that the work has here.
    pub(crate) fn submit(
        self: &Arc<Self>,
        source: WorkSource,
        describe: impl FnOnce(WorkId) -> WorkItem,
    ) -> WorkTicket {
        let work = self.next_work.fetch_add(1, Ordering::Relaxed);
        let (sender, places) = async_channel::unbounded();
        lock(&self.waiters).insert(work, sender);
        let item = describe(work);
        self.decide(|policy| match source {
            WorkSource::Caller => policy.arrive(boot_now(), item),
            WorkSource::Peer => policy.take_over(boot_now(), item),
        });
        WorkTicket {
            controller: self.clone(),
            work,
            places,
            stage: TicketStage::Waiting,
        }
    }

    /// Tells the policy which targets there are.
    pub(crate) fn set_targets(&self, targets: Vec<TargetFacts>) {
        lock(&self.policy).set_targets(boot_now(), targets);
    }

    /// Tells the policy which hosts hold seats.
    pub(crate) fn set_hosts(&self, hosts: Vec<HostName>) {
        lock(&self.policy).set_hosts(boot_now(), hosts);
    }

    /// Tells the policy how many requests may wait.
    pub(crate) fn set_max_waiting(&self, max_waiting: u32) {
        lock(&self.policy).set_max_waiting(max_waiting);
    }

    /// Passes a target's load report on.
    pub(crate) fn report(&self, target: &TargetName, report: LoadReport) {
        lock(&self.policy).report(boot_now(), target, report);
    }

    /// Passes a peer's digest on.
    pub(crate) fn apply_peer_digest(&self, host: &HostName, digest: HostDigest) {
        lock(&self.policy).apply_peer_digest(boot_now(), host, digest);
    }

    /// Returns what the peers should know.
    pub(crate) fn digest(&self) -> HostDigest {
        lock(&self.policy).digest(boot_now())
    }

    /// Tells whether peers wait for a digest: the division of slots depends on it.
    pub(crate) fn wants_digest(&self) -> bool {
        lock(&self.policy).wants_digest()
    }

    /// Returns the lowest tiers that this host's own load lets in to engines and
    /// to services.
    pub(crate) fn shed_levels(&self) -> (TierRank, TierRank) {
        lock(&self.policy).shed_levels(boot_now())
    }

    /// Gives up all waiting work: the host leaves.
    pub(crate) fn drain(&self) {
        self.decide(|policy| policy.drain(boot_now()));
    }

    /// Returns how much work waits and runs, by tier.
    pub(crate) fn counts(&self) -> (SortedMap<TierRank, u32>, SortedMap<TierRank, u32>) {
        let policy = lock(&self.policy);
        (policy.waiting(), policy.running())
    }

    /// Lets the policy decide and hands its actions out, all under its lock: a
    /// place that reached its ticket after the ticket's withdrawal would never
    /// be given back.
    fn decide(&self, decision: impl FnOnce(&mut DispatchPolicy) -> Vec<PolicyAction>) {
        let mut policy = lock(&self.policy);
        let actions = decision(&mut policy);
        if actions.is_empty() {
            return;
        }
        let waiters = lock(&self.waiters);
        for action in actions {
            let (work, place) = place_of(action);
            if let Some(sender) = waiters.get(&work) {
                // A ticket that is gone gives its place back as it is dropped.
                sender.try_send(place).ok();
            }
        }
    }
}

impl WorkTicket {
    /// Waits for the work's place.
    pub(crate) async fn placement(&mut self) -> WorkPlacement {
        let place = self.places.recv().await.unwrap_or(WorkPlacement::Refused {
            kind: ErrorKind::Internal,
            retry_after: Duration::ZERO,
        });
        self.stage = match place {
            WorkPlacement::Target(_) => TicketStage::Placed,
            WorkPlacement::Peer(_) | WorkPlacement::Refused { .. } => TicketStage::Ended,
        };
        place
    }

    /// Notes that the first byte was handed to the target.
    pub(crate) fn started(&self) {
        lock(&self.controller.policy).started(boot_now(), self.work);
    }

    /// Notes how many tokens have come.
    pub(crate) fn progressed(&self, tokens: TokenCount) {
        lock(&self.controller.policy).progressed(boot_now(), self.work, tokens);
    }

    /// Gives the place back unused; the work waits for another.
    pub(crate) fn not_sent(&mut self) {
        self.stage = TicketStage::Waiting;
        self.controller
            .decide(|policy| policy.ended(boot_now(), self.work, WorkOutcome::NotSent));
    }

    /// Ends the work.
    pub(crate) fn end(mut self, end: WorkOutcome) {
        self.finish(end);
    }

    fn finish(&mut self, end: WorkOutcome) {
        let stage = std::mem::replace(&mut self.stage, TicketStage::Ended);
        let work = self.work;
        match stage {
            TicketStage::Waiting => {
                self.controller
                    .decide(|policy| policy.withdraw(boot_now(), work));
                self.give_back_unread_place(end);
            }
            TicketStage::Placed => {
                self.controller
                    .decide(|policy| policy.ended(boot_now(), work, end));
            }
            TicketStage::Ended => (),
        }
    }

    /// A place may have been given just before the work was withdrawn; nobody
    /// else would ever give its slot back.
    fn give_back_unread_place(&self, end: WorkOutcome) {
        if let Ok(WorkPlacement::Target(_)) = self.places.try_recv() {
            self.controller
                .decide(|policy| policy.ended(boot_now(), self.work, end));
        }
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        self.finish(WorkOutcome::Cancelled);
        lock(&self.controller.waiters).remove(&self.work);
    }
}

fn place_of(action: PolicyAction) -> (WorkId, WorkPlacement) {
    match action {
        PolicyAction::Dispatch { work, target } => (work, WorkPlacement::Target(target)),
        PolicyAction::HandOver { work, host } => (work, WorkPlacement::Peer(host)),
        PolicyAction::Refuse {
            work,
            kind,
            retry_after,
        } => (work, WorkPlacement::Refused { kind, retry_after }),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
