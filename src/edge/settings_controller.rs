//! Reloads the settings on a signal or when the file has changed.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use async_channel::Receiver;
use async_std::future::timeout;

use super::edge_settings::SettingsLoader;
use super::edge_state::EdgeState;
use crate::logs::DecisionLine;
use crate::view::FleetSource;

/// Period at which the file is checked. Changes must take effect within two seconds even
/// without a signal.
const CHECK_PERIOD: Duration = Duration::from_millis(800);

/// Reloads the settings until the process ends. Each message on `reload_requests`
/// triggers a reload.
pub(crate) async fn follow_settings(
    state: Arc<EdgeState>,
    loader: Arc<dyn SettingsLoader>,
    source: Arc<dyn FleetSource>,
    reload_requests: Receiver<()>,
) {
    let mut last_version = file_version(loader.path());
    loop {
        let is_requested = match timeout(CHECK_PERIOD, reload_requests.recv()).await {
            Ok(Ok(())) => true,
            // The host was dropped.
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        let version = file_version(loader.path());
        if !is_requested && version == last_version {
            continue;
        }
        last_version = version;
        reload(&state, loader.as_ref(), source.as_ref());
    }
}

/// Reloads the settings and applies those that may change while the process runs.
fn reload(state: &EdgeState, loader: &dyn SettingsLoader, source: &dyn FleetSource) {
    match loader.load() {
        Ok(settings) => {
            let changed = settings.runtime.differences(&state.runtime.load());
            source.set_address(settings.runtime.store_address);
            state.apply_settings(settings.runtime);
            state.log.write(&DecisionLine::SettingsReloaded {
                changed,
                at_next_start: settings.startup.differences(&state.startup),
            });
        }
        Err(faults) => {
            let fault = faults.first().map(ToString::to_string);
            state.log.write(&DecisionLine::SettingsRefused {
                fault: fault.unwrap_or_default(),
            });
        }
    }
}

/// Returns the modification time and length of the file; `None` if it can't be read.
fn file_version(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
