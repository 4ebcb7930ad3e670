//! Everything that the filters of one host share.

use std::sync::Arc;

use crate::answers::AnswerCache;
use crate::clock::boot_now;
use crate::controllers::ClaimCoordinator;
use crate::controllers::ConfigController;
use crate::controllers::DigestController;
use crate::controllers::DrainState;
use crate::controllers::HostSnapshot;
use crate::controllers::TargetController;
use crate::controllers::WorkController;
use crate::fleet::FleetView;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::limits::AccountLimiter;
use crate::limits::ByteBudget;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::peers::PeerMesh;
use crate::poison::PoisonGuard;
use crate::recorder::TraceRecorder;

/// Everything that the filters of one host share.
pub(crate) struct HostState {
    /// The host's name.
    pub(crate) host: HostName,
    /// This life of the process.
    pub(crate) incarnation: IncarnationId,
    /// The configuration in force.
    pub(crate) config: Arc<ConfigController>,
    /// The rates of the accounts.
    pub(crate) limiter: Arc<AccountLimiter>,
    /// The queue and the places.
    pub(crate) work: Arc<WorkController>,
    /// Claims on request ids.
    pub(crate) claims: Arc<ClaimCoordinator>,
    /// What is known of the targets.
    pub(crate) targets: Arc<TargetController>,
    /// Requests that crash targets.
    pub(crate) suspects: Arc<PoisonGuard>,
    /// What the hosts tell each other.
    pub(crate) digests: Arc<DigestController>,
    /// What the bodies of all requests here may take together.
    pub(crate) bodies: Arc<ByteBudget>,
    /// Answers in flight and kept.
    pub(crate) answers: Arc<AnswerCache>,
    /// The connections to the peers.
    pub(crate) mesh: Arc<PeerMesh>,
    /// Where requests are recorded, if anywhere.
    pub(crate) recorder: Option<TraceRecorder>,
    /// Histograms and counters.
    pub(crate) metrics: Arc<RequestMetrics>,
    /// Lines for changes of state.
    pub(crate) log: Arc<StateLog>,
    /// Whether the host leaves, and what still runs.
    pub(crate) drain: DrainState,
}

impl HostState {
    /// Returns the configuration in force, once there is one.
    pub(crate) fn view(&self) -> Option<Arc<FleetView>> {
        self.config.view()
    }

    /// Tells why the host takes no requests; `None` when it does.
    pub(crate) fn unready_reason(&self) -> Option<String> {
        if self.drain.is_leaving() {
            return Some("the host is leaving".to_string());
        }
        if let Err(reason) = self.config.readiness(boot_now()) {
            return Some(reason.to_string());
        }
        // The balancer would go on sending to a host that takes no request.
        if self.view().is_some_and(|view| !view.has_seat(&self.host)) {
            return Some("not a seat of the active roster".to_string());
        }
        if self.claims.has_majority() {
            return None;
        }
        let block = self.claims.register().roster().bootstrap_block();
        Some(match block {
            Some(block) => block.to_string(),
            None => "no majority of seats with a voice is connected".to_string(),
        })
    }

    /// Returns how the host stands now.
    pub(crate) fn look(&self) -> HostSnapshot {
        let roster = self.claims.register().roster().active_tag();
        HostSnapshot {
            unready: self.unready_reason(),
            majority: self.claims.has_majority(),
            roster: roster.map(|tag| tag.number),
        }
    }

    /// Brings the gauges up to date; called as they are read.
    pub(crate) fn update_gauges(&self) {
        let (waiting, running) = self.work.counts();
        for (tier, count) in waiting.iter() {
            self.metrics.set_waiting(*tier, u64::from(*count));
        }
        for (tier, count) in running.iter() {
            self.metrics.set_running(*tier, u64::from(*count));
        }
        if let Some(view) = self.view() {
            self.metrics.set_fleet_version(view.document().version);
        }
    }
}
