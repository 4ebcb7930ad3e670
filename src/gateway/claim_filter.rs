//! Fifth filter: claims the request id while the connection to the target is opened.

use std::time::Duration;

use futures_lite::future::zip;

use crate::claim::HeldClaim;
use crate::claim::UnsentStage;
use crate::clock::boot_now;
use crate::controllers::ClaimOutcome;
use crate::fleet::FleetView;
use crate::fleet::TargetState;
use crate::http::ExchangeError;
use crate::http::TargetConnection;
use crate::ids::TargetName;

use super::RequestRun;
use super::identify_filter::identify_account;

/// Timeout for opening a connection to a target. A target whose host is gone doesn't
/// answer at all; a round trip across zones takes 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of claiming the id for a target chosen by the policy.
pub(crate) enum ClaimResult {
    /// The claim is held and the connection is open.
    Ready(TargetConnection, HeldClaim<UnsentStage>),
    /// The claim is held, but the target can't be reached or must not be used.
    NoConnection(HeldClaim<UnsentStage>),
    /// The claim was not granted.
    NoClaim(ClaimOutcome),
}

/// Claims the id and connects to the target concurrently.
pub(crate) async fn claim_and_connect(
    run: &RequestRun,
    target: &TargetName,
    held: Option<HeldClaim<UnsentStage>>,
) -> ClaimResult {
    let began = boot_now();
    let (connection, outcome) = zip(open_target(run, target), claim_or_keep(run, held)).await;
    let claim = match outcome {
        ClaimOutcome::Granted(claim) => claim,
        other => return ClaimResult::NoClaim(other),
    };
    let connection = match connection {
        Ok(connection) => connection,
        Err(_) => {
            run.host.targets.mark_unreachable(target);
            return ClaimResult::NoConnection(claim);
        }
    };
    // Guards against dispatching on a stale view: the target may have started to leave,
    // or the selectors or tokens may have changed, while the request waited or this process was
    // paused.
    let fresh = refresh_view(run, began).await;
    let view = run.host.view();
    let allowed = view.is_some_and(|view| is_allowed(run, &view, target));
    match fresh && allowed {
        true => ClaimResult::Ready(connection, claim),
        false => ClaimResult::NoConnection(claim),
    }
}

async fn claim_or_keep(run: &RequestRun, held: Option<HeldClaim<UnsentStage>>) -> ClaimOutcome {
    match held {
        Some(claim) => ClaimOutcome::Granted(claim),
        None => {
            // After a pause, the process still has connections that its peers have
            // closed. Claims sent on them would fail, and the attempt would be refused
            // although the peers are reachable.
            refresh_view(run, boot_now()).await;
            let (id, attempt) = (run.request.id, run.request.attempt);
            run.host.claims.claim(id, attempt).await
        }
    }
}

async fn open_target(
    run: &RequestRun,
    target: &TargetName,
) -> Result<TargetConnection, ExchangeError> {
    let address = run
        .host
        .view()
        .and_then(|view| view.target(target).map(|target| target.target.address))
        .ok_or(ExchangeError::Unreachable)?;
    TargetConnection::open(address, CONNECT_TIMEOUT).await
}

/// Refreshes the view if it is stale or this process was paused; returns whether the view
/// is fresh.
async fn refresh_view(run: &RequestRun, began: Duration) -> bool {
    let now = boot_now();
    let paused = now.saturating_sub(began) > CONNECT_TIMEOUT * 2;
    match run.host.config.is_fresh(now) && !paused {
        true => true,
        false => run.host.config.refresh().await,
    }
}

fn is_allowed(run: &RequestRun, view: &FleetView, target: &TargetName) -> bool {
    let class = view.class(&run.request.class);
    // The account's token may have been replaced as well.
    let account = identify_account(view, &run.request.head).ok();
    let account = account.filter(|account| account.account.name == run.request.account);
    let (Some(class), Some(account)) = (class, account) else {
        return false;
    };
    let allowed = view.allowed_targets(class, account);
    let live = view
        .target(target)
        .is_some_and(|target| target.target.state == TargetState::Live);
    live && allowed.binary_search(target).is_ok() && !run.host.targets.is_leaving(target)
}
