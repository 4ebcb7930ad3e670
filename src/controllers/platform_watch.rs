//! Follows the platform with one long-polling watch per host.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::ConfigController;
use super::ConfigSource;
use super::OfferOutcome;
use super::config_controller::WeakController;
use crate::backoff::RetryBackoff;
use crate::clock::boot_now;
use crate::documents::DocumentClient;
use crate::documents::DocumentError;
use crate::documents::WatchAnswer;
use crate::logs::StateChange;
use crate::peers::RawDocument;

/// The first delay after a failure or a refused document.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum delay: 320 retrying daemons make about 85 calls/s, out of the platform's
/// 2,000, and the platform's recovery is noticed soon.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The maximum delay that the platform may advise. A platform that advises an hour by
/// mistake must not keep the host away for an hour.
const MAX_ADVISED_DELAY: Duration = Duration::from_secs(30);

/// The next step of the watch.
enum NextStep {
    /// Watch again at once.
    Continue,
    /// Wait before the next watch, at least for the time that the platform advised.
    BackOff(Option<Duration>),
}

/// Watches the platform until the controller is dropped.
///
/// A refused document stays at the platform and would answer each watch immediately, so
/// a refusal backs off like a failure. Otherwise one invalid edit would make every host
/// poll the platform in a busy loop.
pub(super) async fn follow(controller: WeakController, platform: Arc<DocumentClient>) {
    let mut backoff = RetryBackoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut lost = false;
    loop {
        let Some(after) = controller.upgrade().map(|held| held.version_digest().0) else {
            return;
        };
        let asked = boot_now();
        let answer = read_newer(&platform, after).await;
        let Some(controller) = controller.upgrade() else {
            return;
        };
        controller.record_platform(asked, answer.is_ok());
        log_change(&controller, &mut lost, answer.as_ref().err());
        let next = process_answer(&controller, answer);
        drop(controller);
        match next {
            NextStep::Continue => backoff.reset(),
            NextStep::BackOff(advice) => {
                let wait = backoff.next_delay(rand::random());
                let advice = advice.unwrap_or_default().min(MAX_ADVISED_DELAY);
                task::sleep(wait.max(advice)).await;
            }
        }
    }
}

/// Reads the document if none is known, and watches for a newer one otherwise.
async fn read_newer(
    platform: &DocumentClient,
    after: u64,
) -> Result<Option<RawDocument>, DocumentError> {
    if after == 0 {
        return platform.read_document().await.map(Some);
    }
    match platform.watch_document(after).await? {
        WatchAnswer::Newer(copy) => Ok(Some(copy)),
        WatchAnswer::Unchanged => Ok(None),
    }
}

fn process_answer(
    controller: &ConfigController,
    answer: Result<Option<RawDocument>, DocumentError>,
) -> NextStep {
    match answer {
        Ok(None) => NextStep::Continue,
        Ok(Some(copy)) => match controller.offer(copy, ConfigSource::Platform) {
            OfferOutcome::Accepted(_) => NextStep::Continue,
            OfferOutcome::InForce | OfferOutcome::Waiting | OfferOutcome::Refused(_) => {
                NextStep::BackOff(None)
            }
        },
        Err(DocumentError::Refused { retry_after, .. }) => NextStep::BackOff(retry_after),
        Err(_) => NextStep::BackOff(None),
    }
}

/// Logs when the platform is lost or comes back, but not each failure.
fn log_change(controller: &ConfigController, lost: &mut bool, error: Option<&DocumentError>) {
    let was_lost = std::mem::replace(lost, error.is_some());
    match error {
        Some(error) if !was_lost => controller.log_state_change(&StateChange::PlatformLost {
            reason: error.to_string(),
        }),
        None if was_lost => controller.log_state_change(&StateChange::PlatformBack),
        _ => {}
    }
}
