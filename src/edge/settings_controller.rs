//! Reloads the settings on a signal or when the file has changed.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::future::timeout;

use super::edge_settings::EdgeSettings;
use super::edge_settings::SettingsLoader;
use super::edge_state::EdgeState;
use crate::logs::DecisionLine;
use crate::view::FleetSource;

/// Period at which the file is read. Changes must take effect within two seconds even
/// without a signal.
const READ_PERIOD: Duration = Duration::from_millis(800);

/// What the last read of the file brought: its settings, or the first fault.
type ReadOutcome = Result<EdgeSettings, String>;

/// Reloads the settings until the process ends. Each message on `reload_requests`
/// triggers a reload.
///
/// The file is read each time: its time and length may be those of the last read although it
/// was written again, and a file that can't be read becomes readable without a new time.
pub(crate) async fn follow_settings(
    state: Arc<EdgeState>,
    loader: Arc<dyn SettingsLoader>,
    source: Arc<dyn FleetSource>,
    reload_requests: Receiver<()>,
) {
    let mut last: ReadOutcome = Ok(EdgeSettings {
        startup: state.startup.clone(),
        runtime: state.runtime.load().as_ref().clone(),
    });
    loop {
        let is_requested = match timeout(READ_PERIOD, reload_requests.recv()).await {
            Ok(Ok(())) => true,
            // The host was dropped.
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        let outcome = loader.load().map_err(|faults| {
            let fault = faults.first().map(ToString::to_string);
            fault.unwrap_or_default()
        });
        if is_requested || outcome != last {
            apply_outcome(&state, source.as_ref(), &outcome);
            last = outcome;
        }
    }
}

/// Puts the settings that were read in force, and logs what changed. If the file is faulty, the
/// previous ones stay.
fn apply_outcome(state: &EdgeState, source: &dyn FleetSource, outcome: &ReadOutcome) {
    let line = match outcome {
        Ok(EdgeSettings { startup, runtime }) => {
            let changed = runtime.differences(&state.runtime.load());
            source.set_address(runtime.store_address);
            state.apply_settings(runtime.clone());
            DecisionLine::SettingsReloaded {
                changed,
                at_next_start: startup.differences(&state.startup),
            }
        }
        Err(fault) => DecisionLine::SettingsRefused {
            fault: fault.clone(),
        },
    };
    state.log.write(&line);
}
