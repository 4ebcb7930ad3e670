//! Follows the platform: one waiting watch a host.

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

/// The first wait after a failure or a refused document.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// The longest wait: 320 daemons that all retry make some 85 calls a second of
/// the platform's 2,000, and a platform that comes back is found soon.
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// The longest advice that is followed; a platform that says "in an hour" by
/// mistake must not cut the host from it for that hour.
const LONGEST_ADVICE: Duration = Duration::from_secs(30);

/// How one turn ended.
enum TurnEnd {
    /// Watch on at once.
    GoOn,
    /// Wait before the next turn, at least for the time that the platform advised.
    BackOff(Option<Duration>),
}

/// Watches until the controller is gone.
///
/// A refused document stands at the platform and would answer each watch at
/// once, so a refusal backs off like a failure: otherwise one bad edit turns
/// every host into a busy loop against the platform.
pub(super) async fn follow(controller: WeakController, platform: Arc<DocumentClient>) {
    let mut backoff = RetryBackoff::new(FIRST_RETRY, LONGEST_RETRY);
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
        tell_change(&controller, &mut lost, answer.as_ref().err());
        let end = take_answer(&controller, answer);
        drop(controller);
        match end {
            TurnEnd::GoOn => backoff.reset(),
            TurnEnd::BackOff(advice) => {
                let wait = backoff.next_wait(rand::random());
                let advice = advice.unwrap_or_default().min(LONGEST_ADVICE);
                task::sleep(wait.max(advice)).await;
            }
        }
    }
}

/// Reads the document when none is known, and watches for a newer one otherwise.
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

fn take_answer(
    controller: &ConfigController,
    answer: Result<Option<RawDocument>, DocumentError>,
) -> TurnEnd {
    match answer {
        Ok(None) => TurnEnd::GoOn,
        Ok(Some(copy)) => match controller.offer(copy, ConfigSource::Platform) {
            OfferOutcome::Accepted(_) => TurnEnd::GoOn,
            OfferOutcome::InForce | OfferOutcome::Waiting | OfferOutcome::Refused(_) => {
                TurnEnd::BackOff(None)
            }
        },
        Err(DocumentError::Refused { retry_after, .. }) => TurnEnd::BackOff(retry_after),
        Err(_) => TurnEnd::BackOff(None),
    }
}

/// Writes a line when the platform goes or comes back, not for each failure.
fn tell_change(controller: &ConfigController, lost: &mut bool, error: Option<&DocumentError>) {
    let was_lost = std::mem::replace(lost, error.is_some());
    match error {
        Some(error) if !was_lost => controller.tell(&StateChange::PlatformLost {
            reason: error.to_string(),
        }),
        None if was_lost => controller.tell(&StateChange::PlatformBack),
        _ => {}
    }
}
