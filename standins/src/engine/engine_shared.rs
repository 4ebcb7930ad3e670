//! State shared by the connections and generation tasks of an engine.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;

use super::EngineControl;
use super::EngineFaults;
use super::EngineOrder;
use super::EngineSettings;
use super::batch_state::BatchState;
use super::load_history::EngineLoad;
use super::load_history::LoadHistory;
use super::prefix_cache::PrefixCache;
use super::stream_table::StreamTable;
use crate::http::CrashMode;
use crate::http::ExecutionLog;
use crate::http::HttpServer;
use crate::http::TargetState;
use crate::http::unix_now;

/// Exit code of a stand-in that simulates a crash.
const CRASH_EXIT_CODE: i32 = 70;

/// State that control requests and tests read or change.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) faults: EngineFaults,
    pub(crate) state: TargetState,
    pub(crate) checks_fences: bool,
    pub(crate) orders: Vec<EngineOrder>,
    pub(crate) cancelled: Vec<String>,
}

/// State of one engine.
pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) batch: BatchState,
    pub(crate) executions: ExecutionLog,
    pub(crate) server: OnceLock<Weak<HttpServer>>,
    pub(crate) prefilled_tokens: AtomicU64,
    pub(crate) cached_tokens: AtomicU64,
    control_state: Mutex<ControlState>,
    cache: Mutex<PrefixCache>,
    streams: Mutex<StreamTable>,
    history: Mutex<LoadHistory>,
}

impl EngineShared {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let shared = Self {
            settings,
            batch: BatchState::default(),
            executions: ExecutionLog::default(),
            server: OnceLock::new(),
            prefilled_tokens: AtomicU64::new(0),
            cached_tokens: AtomicU64::new(0),
            control_state: Mutex::new(ControlState {
                faults: EngineFaults::default(),
                state: TargetState::Live,
                checks_fences: settings.checks_fences,
                orders: Vec::new(),
                cancelled: Vec::new(),
            }),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            streams: Mutex::new(StreamTable::default()),
            history: Mutex::new(LoadHistory::default()),
        };
        shared.record_load();
        shared
    }

    pub(crate) fn control_state(&self) -> MutexGuard<'_, ControlState> {
        self.control_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn streams(&self) -> MutexGuard<'_, StreamTable> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn history(&self) -> MutexGuard<'_, LoadHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the factor by which the engine runs slower than its settings.
    pub(crate) fn slowdown(&self) -> f64 {
        self.control_state().faults.slow
    }

    /// Records the current load for later reports.
    pub(crate) fn record_load(&self) {
        let control_state = self.control_state();
        let token_interval = self
            .batch
            .token_time(&self.settings, control_state.faults.slow);
        let report = EngineLoad {
            taken_ms: unix_now(),
            running: self.batch.running(),
            waiting: self.batch.prefilling(),
            tokens_per_second: 1.0 / token_interval.as_secs_f64(),
            state: control_state.state,
        };
        drop(control_state);
        self.history().record(report, self.settings.report_lag);
    }

    /// Returns the load report of `report_lag` ago.
    pub(crate) fn delayed_load(&self) -> Option<EngineLoad> {
        self.history()
            .report_at_lag(unix_now(), self.settings.report_lag)
    }

    /// Applies a control request.
    pub(crate) fn control(&self, control: EngineControl) {
        {
            let mut control_state = self.control_state();
            if let Some(faults) = control.faults {
                control_state.faults = faults;
            }
            if let Some(state) = control.state {
                control_state.state = state;
            }
            if let Some(checks) = control.checks_fences {
                control_state.checks_fences = checks;
            }
        }
        self.record_load();
    }

    /// Simulates a crash: drops all connections, streams and the prefix cache, or exits the
    /// process.
    pub(crate) fn crash(&self) {
        if self.settings.crash_mode == CrashMode::ExitProcess {
            std::process::exit(CRASH_EXIT_CODE);
        }
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.crash();
        }
        self.streams().cancel_all();
        *self.cache() = PrefixCache::new(self.settings.cache_tokens);
    }
}
