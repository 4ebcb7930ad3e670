//! State shared by the filters of one host.

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
use crate::limits::ConnectionTable;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::peers::PeerMesh;
use crate::poison::PoisonGuard;
use crate::poison::RequestFingerprint;
use crate::recorder::TraceRecorder;

/// State shared by the filters of one host.
pub(crate) struct HostState {
    /// The host's name.
    pub(crate) host: HostName,
    /// Identifies this run of the process.
    pub(crate) incarnation: IncarnationId,
    /// The configuration in force.
    pub(crate) config: Arc<ConfigController>,
    /// The rate limits of the accounts.
    pub(crate) limiter: Arc<AccountLimiter>,
    /// The queue and the slots of the targets.
    pub(crate) work: Arc<WorkController>,
    /// Claims on request ids.
    pub(crate) claims: Arc<ClaimCoordinator>,
    /// The state of the targets.
    pub(crate) targets: Arc<TargetController>,
    /// Requests suspected of crashing targets.
    pub(crate) suspects: Arc<PoisonGuard>,
    /// The exchange of digests with the peers.
    pub(crate) digests: Arc<DigestController>,
    /// The connections of callers.
    pub(crate) callers: Arc<ConnectionTable>,
    /// Memory for request bodies, and for answers that are not complete.
    pub(crate) memory: Arc<ByteBudget>,
    /// Answers in progress and completed ones that are kept for resends.
    pub(crate) answers: Arc<AnswerCache>,
    /// The connections to the peers.
    pub(crate) mesh: Arc<PeerMesh>,
    /// The recorder of the request trace, if one is configured.
    pub(crate) recorder: Option<TraceRecorder>,
    /// The metrics.
    pub(crate) metrics: Arc<RequestMetrics>,
    /// The log of state changes.
    pub(crate) log: Arc<StateLog>,
    /// Whether the host is draining, and what still runs.
    pub(crate) drain: DrainState,
}

impl HostState {
    /// Returns the configuration in force, if there is one.
    pub(crate) fn view(&self) -> Option<Arc<FleetView>> {
        self.config.view()
    }

    /// Returns why the host accepts no requests; `None` if it does.
    pub(crate) fn unready_reason(&self) -> Option<String> {
        if self.drain.is_leaving() {
            return Some("the host is leaving".to_string());
        }
        if let Err(reason) = self.config.readiness(boot_now()) {
            return Some(reason.to_string());
        }
        // Without this check the load balancer would keep sending to a host that refuses all.
        if self.view().is_some_and(|view| !view.has_seat(&self.host)) {
            return Some("not a seat of the active roster".to_string());
        }
        if self.claims.has_majority() {
            return None;
        }
        let blocked = self.claims.register().roster().blocked_bootstrap();
        Some(match blocked {
            Some(blocked) => blocked.to_string(),
            None => "no majority of seats with a voice is connected".to_string(),
        })
    }

    /// Returns whether a request is refused because it crashes targets. One that is due for a
    /// trial is not, if it is the turn of this host and all losses that count are known.
    pub(crate) fn rejects_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let hosts = || {
            let mut hosts = vec![self.host.clone()];
            hosts.extend(self.mesh.connected_peers());
            hosts
        };
        let may_run_trials = !self.drain.is_leaving() && self.suspects.gap.is_closed(boot_now());
        match may_run_trials {
            true => self.suspects.is_rejected(fingerprint, hosts),
            false => self.suspects.is_refused(fingerprint),
        }
    }

    /// Returns the host's current state.
    pub(crate) fn snapshot(&self) -> HostSnapshot {
        let roster = self.claims.register().roster().active_tag();
        HostSnapshot {
            unready_reason: self.unready_reason(),
            majority: self.claims.has_majority(),
            roster: roster.map(|tag| tag.number),
        }
    }

    /// Updates the gauges; called whenever the metrics are read.
    pub(crate) fn update_gauges(&self) {
        let (waiting, running) = self.work.counts();
        for (tier, count) in waiting.iter() {
            self.metrics.set_waiting(*tier, u64::from(*count));
        }
        for (tier, count) in running.iter() {
            self.metrics.set_running(*tier, u64::from(*count));
        }
        self.metrics
            .set_request_memory(self.memory.taken(), self.memory.evicted_bodies());
        self.metrics
            .set_callers(self.callers.len(), self.callers.evicted_connections());
        if let Some(view) = self.view() {
            self.metrics.set_fleet_version(view.document().version);
        }
    }
}
