//! Performance settings and injectable faults of an engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http::CrashMode;
use crate::http::TargetState;

/// Performance and behaviour of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Decoding speed of one request while at most `slots` requests run.
    pub tokens_per_second: f64,
    /// Number of concurrent requests above which they share the throughput.
    pub slots: u32,
    /// Prefill speed.
    pub prefill_tokens_per_second: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Age of a load report when it is served.
    pub report_lag: Duration,
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fences: bool,
    /// How crashes are simulated.
    pub crash_mode: CrashMode,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            tokens_per_second: 200.0,
            slots: 8,
            prefill_tokens_per_second: 20_000.0,
            cache_tokens: 65_536,
            report_lag: Duration::from_millis(500),
            checks_fences: true,
            crash_mode: CrashMode::InProcess,
        }
    }
}

/// Injected faults of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which the engine runs slower than its settings.
    pub slow: f64,
    /// Crashes when a request body contains this text, after recording the execution.
    pub crash_on: Option<String>,
    /// Number of tokens that are generated before such a crash; 0 crashes before the head of
    /// the answer.
    pub crash_after: u32,
    /// Answers with the id and text of another request.
    pub wrong_id: bool,
    /// Closes the connection after this many tokens.
    pub cut_after: Option<u32>,
    /// Stops sending after this many tokens while keeping the connection open.
    pub silent_after: Option<u32>,
    /// Whether `cut_after` and `silent_after` also apply to resumed streams.
    pub on_resume: bool,
    /// Number of tokens before the requested offset at which a resumed stream starts.
    pub overlap: u32,
    /// Number of tokens after the requested offset at which a resumed stream starts.
    pub gap: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            crash_on: None,
            crash_after: 0,
            wrong_id: false,
            cut_after: None,
            silent_after: None,
            on_resume: false,
            overlap: 0,
            gap: 0,
        }
    }
}

/// Body of `POST /control`; absent fields are left unchanged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// The complete new set of faults.
    pub faults: Option<EngineFaults>,
    /// Whether the engine accepts new work.
    pub state: Option<TargetState>,
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fences: Option<bool>,
}

/// An operator's order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing number: the version of the document that the order is derived from.
    pub fence: u64,
    /// The model to load.
    #[serde(default)]
    pub model: String,
    /// The role to assume.
    #[serde(default)]
    pub role: String,
}
