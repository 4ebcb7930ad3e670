//! Settings and injectable faults of a service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http::CrashMode;
use crate::http::TargetState;

/// Settings of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSettings {
    /// Execution time of each call.
    pub delay: Duration,
    /// How crashes are simulated.
    pub crash_mode: CrashMode,
}

/// Injected faults of a service; `POST /control` replaces the complete set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Overrides the delay of the settings, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Closes the connection in the middle of each body.
    pub cut: bool,
    /// Sends half of each body and then nothing, keeping the connection open.
    pub silent: bool,
    /// Executes the call and never answers, keeping the connection open.
    pub never_answers: bool,
    /// Answers with the id of another request.
    pub wrong_id: bool,
    /// Ends each body before its `Content-Length`, keeping the connection open.
    pub short_body: bool,
    /// Crashes when a request body contains this text, after recording the call.
    pub crash_on: Option<String>,
    /// Whether the service accepts new work.
    pub state: TargetState,
}
