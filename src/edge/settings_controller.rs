//! Reads the settings again, on a signal or when the file changed.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use async_channel::Receiver;
use async_std::future::timeout;

use super::edge_settings::SettingsLoader;
use super::edge_state::EdgeState;
use crate::logs::DecisionLine;

/// How often the file is looked at. Its changes must be in force within two
/// seconds, also without a signal.
const CHECK_PERIOD: Duration = Duration::from_millis(800);

/// Follows the settings until the process ends; each message on `asked` asks for a
/// look at once.
pub(crate) async fn follow_settings(
    state: Arc<EdgeState>,
    loader: Arc<dyn SettingsLoader>,
    asked: Receiver<()>,
) {
    let mut seen = file_version(loader.path());
    loop {
        let signalled = match timeout(CHECK_PERIOD, asked.recv()).await {
            Ok(Ok(())) => true,
            // The host is gone.
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        let mark = file_version(loader.path());
        if !signalled && mark == seen {
            continue;
        }
        seen = mark;
        reload(&state, loader.as_ref());
    }
}

/// Puts the settings in force. Addresses are bound for the process's life; a new
/// one counts from its next start.
fn reload(state: &EdgeState, loader: &dyn SettingsLoader) {
    match loader.load() {
        Ok(settings) => {
            let changed = **state.settings.load() != settings;
            state.settings.store(Arc::new(settings));
            state.log.write(&DecisionLine::SettingsReloaded { changed });
        }
        Err(faults) => {
            let fault = faults.first().map(ToString::to_string);
            state.log.write(&DecisionLine::SettingsRefused {
                fault: fault.unwrap_or_default(),
            });
        }
    }
}

/// Returns what shows a change of the file; `None` while it can't be seen.
fn file_version(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
