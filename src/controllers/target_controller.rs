//! Tracks the targets: configured, reported, leaving or lost.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::controllers::ConfigController;
use crate::controllers::HostListWatch;
use crate::controllers::LeavingTracker;
use crate::controllers::WorkController;
use crate::documents::DocumentClient;
use crate::documents::HostList;
use crate::fleet::FleetTarget;
use crate::fleet::FleetView;
use crate::fleet::TargetState;
use crate::http::ExchangeError;
use crate::http::HeaderMap;
use crate::http::RequestHead;
use crate::http::TargetConnection;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::logs::StateChange;
use crate::logs::StateLog;
use crate::policy::LoadReport;
use crate::policy::TargetFacts;
use crate::sorted::SortedMap;

/// Poll interval of each target's load.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Time limit for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// The body of a target's load report (`GET /v1/load`).
#[derive(Debug, Deserialize)]
struct ReportBody {
    taken_ms: UnixMillis,
    running: u32,
    waiting: u32,
    #[serde(default)]
    state: TargetState,
}

/// A target's entry in `/status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TargetStatus {
    /// The target's name.
    pub(crate) target: TargetName,
    /// Whether it accepts new work.
    pub(crate) state: TargetState,
    /// Whether its last report was received.
    pub(crate) reports: bool,
}

/// Tracks the state of the targets.
pub(crate) struct TargetController {
    config: Arc<ConfigController>,
    work: Arc<WorkController>,
    log: Arc<StateLog>,
    state: Mutex<TargetStates>,
    /// Stops when the controller is dropped.
    list: OnceLock<HostListWatch>,
}

#[derive(Debug, Default)]
struct TargetStates {
    leaving: LeavingTracker,
    /// Targets that could not be connected to since their last report.
    unreachable: SortedMap<TargetName, ()>,
    reports: SortedMap<TargetName, bool>,
}

impl TargetController {
    /// Starts to poll the targets for their load.
    pub(crate) fn spawn(
        config: Arc<ConfigController>,
        work: Arc<WorkController>,
        platform: Arc<DocumentClient>,
        log: Arc<StateLog>,
    ) -> Arc<Self> {
        let controller = Arc::new(Self {
            config,
            work,
            log,
            state: Mutex::default(),
            list: OnceLock::new(),
        });
        let listening = Arc::downgrade(&controller);
        let watch = HostListWatch::spawn(platform, move |list| {
            if let Some(controller) = listening.upgrade() {
                controller.apply_list(list);
            }
        });
        controller.list.set(watch).ok();
        task::spawn(poll_forever(Arc::downgrade(&controller)));
        controller
    }

    /// Returns whether any source reports a target as leaving.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        self.lock().leaving.is_leaving(target)
    }

    /// Records that a target could not be connected to.
    ///
    /// It gets no work until its next report: each request that tried it first would
    /// lose time, and a few dead targets in a row would use up the request's attempts.
    pub(crate) fn mark_unreachable(&self, target: &TargetName) {
        if self.lock().unreachable.insert(target.clone(), ()).is_none() {
            self.apply();
        }
    }

    /// Records that a target reported itself as leaving.
    pub(crate) fn mark_leaving(&self, target: &TargetName) {
        let changed =
            self.lock()
                .leaving
                .record_target_state(target, TargetState::Leaving, unix_now());
        if changed {
            self.log.write(&StateChange::TargetLeaving {
                target: target.clone(),
            });
            self.apply();
        }
    }

    /// Applies the platform's list, which may lag.
    fn apply_list(&self, list: HostList) {
        self.lock().leaving.apply_list(list);
        self.apply();
    }

    /// Applies a new document: removes the targets that it does not name.
    pub(crate) fn apply_view(&self, view: &FleetView) {
        self.lock().retain_targets(view);
        self.apply();
    }

    /// Passes the current state of the targets to the policy.
    pub(crate) fn apply(&self) {
        let Some(view) = self.config.view() else {
            return;
        };
        let facts = self.facts(&view);
        self.work.set_targets(facts);
    }

    /// Returns the targets' entries in `/status`.
    pub(crate) fn statuses(&self) -> Vec<TargetStatus> {
        let Some(view) = self.config.view() else {
            return Vec::new();
        };
        let state = self.lock();
        view.targets()
            .iter()
            .map(|target| TargetStatus {
                target: target.target.name.clone(),
                state: state.state_of(&target.target),
                reports: state
                    .reports
                    .get(&target.target.name)
                    .copied()
                    .unwrap_or(false),
            })
            .collect()
    }

    fn facts(&self, view: &FleetView) -> Vec<TargetFacts> {
        let state = self.lock();
        view.targets()
            .iter()
            .map(|target| TargetFacts {
                name: target.target.name.clone(),
                kind: target.target.kind,
                slots: target.target.slots,
                state: state.state_of(&target.target),
                availability_zone: target.target.availability_zone.clone(),
            })
            .collect()
    }

    fn poll_all(self: &Arc<Self>) {
        let Some(view) = self.config.view() else {
            return;
        };
        for target in view.targets() {
            let controller = self.clone();
            let target = target.target.clone();
            task::spawn(async move { controller.poll_one(target).await });
        }
    }

    async fn poll_one(&self, target: FleetTarget) {
        let report = fetch_report(&target).await;
        self.record_report(&target.name, report.is_ok());
        let report = match report {
            Ok(report) => report,
            Err(ExchangeError::Unreachable) => return self.mark_unreachable(&target.name),
            Err(_) => return,
        };
        let age = Duration::from_millis(unix_now().saturating_sub(report.taken_ms));
        let load = LoadReport {
            measured_at: boot_now().saturating_sub(age),
            running: report.running,
            waiting: report.waiting,
        };
        self.work.report(&target.name, load);
        if report.state == TargetState::Leaving {
            self.mark_leaving(&target.name);
        } else {
            let mut state = self.lock();
            state
                .leaving
                .record_target_state(&target.name, TargetState::Live, report.taken_ms);
        }
    }

    fn record_report(&self, target: &TargetName, received: bool) {
        let before = {
            let mut state = self.lock();
            if received {
                state.unreachable.remove(target);
            }
            state.reports.insert(target.clone(), received)
        };
        if before != Some(true) && received {
            let target = target.clone();
            self.log.write(&StateChange::TargetLive { target });
        } else if before == Some(true) && !received {
            self.log.write(&StateChange::TargetLost {
                target: target.clone(),
                reason: "its load report was not received".to_string(),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, TargetStates> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetStates {
    /// Removes the targets that the document does not name.
    fn retain_targets(&mut self, view: &FleetView) {
        let targets = view.targets().iter();
        let names: Vec<TargetName> = targets.map(|target| target.target.name.clone()).collect();
        self.leaving.set_names(&names);
        self.reports.retain(|name, _| names.contains(name));
    }

    /// A target is leaving if any source says so; a lagging list never adds work to a
    /// target that another source reports as leaving.
    fn state_of(&self, target: &FleetTarget) -> TargetState {
        let leaves = target.state == TargetState::Leaving || self.leaving.is_leaving(&target.name);
        match leaves || self.unreachable.contains_key(&target.name) {
            true => TargetState::Leaving,
            false => TargetState::Live,
        }
    }
}

async fn poll_forever(controller: Weak<TargetController>) {
    while let Some(controller) = controller.upgrade() {
        controller.apply();
        controller.poll_all();
        drop(controller);
        task::sleep(POLL_PERIOD).await;
    }
}

/// Reads a target's report. The limit is on the whole of it: one that never ends would otherwise
/// keep a connection for each poll.
async fn fetch_report(target: &FleetTarget) -> Result<ReportBody, ExchangeError> {
    let report = timeout(REPORT_TIMEOUT, read_report(target)).await;
    report.unwrap_or(Err(ExchangeError::TimedOut))
}

async fn read_report(target: &FleetTarget) -> Result<ReportBody, ExchangeError> {
    let connection = TargetConnection::open(target.address, REPORT_TIMEOUT).await?;
    let head = RequestHead {
        method: "GET".to_string(),
        path: "/v1/load".to_string(),
        query: None,
        headers: HeaderMap::new(),
    };
    let exchange = connection.send(&head, Bytes::new(), REPORT_TIMEOUT).await?;
    let mut answer = exchange.read_answer(REPORT_TIMEOUT).await?;
    let mut body = Vec::new();
    while let Some(chunk) = answer.next_chunk(REPORT_TIMEOUT).await? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_REPORT_BYTES {
            return Err(ExchangeError::Malformed);
        }
    }
    serde_json::from_slice(&body).map_err(|_| ExchangeError::Malformed)
}
