//! Runs the dispatch policy of one host: queues requests and assigns them to targets.

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

/// Interval of the policy's timer ticks.
const TICK: Duration = Duration::from_millis(20);

/// The source of a work item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkSource {
    /// Received from a caller.
    Caller,
    /// Forwarded by a peer; it is not forwarded again.
    Peer,
}

/// The placement of a work item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkPlacement {
    /// On this target, whose slot is taken.
    Target(TargetName),
    /// On this peer.
    Peer(HostName),
    /// Refused.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Runs the dispatch policy of one host.
///
/// The policy is guarded by a mutex that is held for one decision and never across an
/// await; decisions are sent to the waiting tasks over channels.
#[derive(Debug)]
pub(crate) struct WorkController {
    policy: Mutex<DispatchPolicy>,
    waiters: Mutex<SortedMap<WorkId, Sender<WorkPlacement>>>,
    next_work: AtomicU64,
}

/// A work item that waits for its placement or runs; dropping it releases its slot.
#[derive(Debug)]
pub(crate) struct WorkTicket {
    controller: Arc<WorkController>,
    work: WorkId,
    placements: Receiver<WorkPlacement>,
    stage: TicketStage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketStage {
    Waiting,
    Placed,
    Ended,
}

impl WorkController {
    /// Creates a controller and starts its timer.
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

    /// Submits a work item; `describe` receives the id that the item has on this host.
    pub(crate) fn submit(
        self: &Arc<Self>,
        source: WorkSource,
        describe: impl FnOnce(WorkId) -> WorkItem,
    ) -> WorkTicket {
        let work = self.next_work.fetch_add(1, Ordering::Relaxed);
        let (sender, placements) = async_channel::unbounded();
        lock(&self.waiters).insert(work, sender);
        let item = describe(work);
        self.decide(|policy| match source {
            WorkSource::Caller => policy.arrive(boot_now(), item),
            WorkSource::Peer => policy.accept_forwarded(boot_now(), item),
        });
        WorkTicket {
            controller: self.clone(),
            work,
            placements,
            stage: TicketStage::Waiting,
        }
    }

    /// Sets the policy's targets.
    pub(crate) fn set_targets(&self, targets: Vec<TargetFacts>) {
        lock(&self.policy).set_targets(boot_now(), targets);
    }

    /// Sets the hosts that hold seats.
    pub(crate) fn set_hosts(&self, hosts: Vec<HostName>) {
        lock(&self.policy).set_hosts(boot_now(), hosts);
    }

    /// Sets how many requests may wait.
    pub(crate) fn set_max_waiting(&self, max_waiting: u32) {
        lock(&self.policy).set_max_waiting(max_waiting);
    }

    /// Passes a target's load report to the policy.
    pub(crate) fn report(&self, target: &TargetName, report: LoadReport) {
        lock(&self.policy).apply_report(boot_now(), target, report);
    }

    /// Passes a peer's digest to the policy.
    pub(crate) fn apply_peer_digest(&self, host: &HostName, digest: HostDigest) {
        lock(&self.policy).apply_peer_digest(boot_now(), host, digest);
    }

    /// Returns the policy's digest for the peers.
    pub(crate) fn digest(&self) -> HostDigest {
        lock(&self.policy).digest(boot_now())
    }

    /// Returns whether peers wait for a digest because the division of slots depends on
    /// it.
    pub(crate) fn wants_digest(&self) -> bool {
        lock(&self.policy).wants_digest()
    }

    /// Returns the lowest tiers that this host's own load admits to engines and to
    /// services.
    pub(crate) fn shed_levels(&self) -> (TierRank, TierRank) {
        lock(&self.policy).shed_levels(boot_now())
    }

    /// Gives up all waiting work, because the host is leaving.
    pub(crate) fn drain(&self) {
        self.decide(|policy| policy.drain(boot_now()));
    }

    /// Returns the number of waiting and running work items, by tier.
    pub(crate) fn counts(&self) -> (SortedMap<TierRank, u32>, SortedMap<TierRank, u32>) {
        let policy = lock(&self.policy);
        (policy.waiting(), policy.running())
    }

    /// Lets the policy decide and delivers its actions, all under its lock: a placement
    /// that reached its ticket after the ticket was withdrawn would never be released.
    fn decide(&self, decision: impl FnOnce(&mut DispatchPolicy) -> Vec<PolicyAction>) {
        let mut policy = lock(&self.policy);
        let actions = decision(&mut policy);
        if actions.is_empty() {
            return;
        }
        let waiters = lock(&self.waiters);
        for action in actions {
            let (work, placement) = placement_of(action);
            if let Some(sender) = waiters.get(&work) {
                // A dropped ticket releases its placement itself.
                sender.try_send(placement).ok();
            }
        }
    }
}

impl WorkTicket {
    /// Waits for the placement of the work item.
    pub(crate) async fn placement(&mut self) -> WorkPlacement {
        let placement = self
            .placements
            .recv()
            .await
            .unwrap_or(WorkPlacement::Refused {
                kind: ErrorKind::Internal,
                retry_after: Duration::ZERO,
            });
        self.stage = match placement {
            WorkPlacement::Target(_) => TicketStage::Placed,
            WorkPlacement::Peer(_) | WorkPlacement::Refused { .. } => TicketStage::Ended,
        };
        placement
    }

    /// Records that the first byte was sent to the target.
    pub(crate) fn started(&self) {
        lock(&self.controller.policy).record_start(boot_now(), self.work);
    }

    /// Records how many tokens have been received.
    pub(crate) fn progressed(&self, tokens: TokenCount) {
        lock(&self.controller.policy).record_progress(boot_now(), self.work, tokens);
    }

    /// Releases the slot unused; the work item waits for another placement.
    pub(crate) fn not_sent(&mut self) {
        self.stage = TicketStage::Waiting;
        self.controller
            .decide(|policy| policy.record_end(boot_now(), self.work, WorkOutcome::NotSent));
    }

    /// Ends the work item.
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
                self.release_unread_placement(end);
            }
            TicketStage::Placed => {
                self.controller
                    .decide(|policy| policy.record_end(boot_now(), work, end));
            }
            TicketStage::Ended => (),
        }
    }

    /// A placement may have been sent just before the work was withdrawn; nothing else
    /// would release its slot.
    fn release_unread_placement(&self, end: WorkOutcome) {
        if let Ok(WorkPlacement::Target(_)) = self.placements.try_recv() {
            self.controller
                .decide(|policy| policy.record_end(boot_now(), self.work, end));
        }
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        self.finish(WorkOutcome::Cancelled);
        lock(&self.controller.waiters).remove(&self.work);
    }
}

fn placement_of(action: PolicyAction) -> (WorkId, WorkPlacement) {
    match action {
        PolicyAction::Dispatch { work, target } => (work, WorkPlacement::Target(target)),
        PolicyAction::Forward { work, host } => (work, WorkPlacement::Peer(host)),
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
