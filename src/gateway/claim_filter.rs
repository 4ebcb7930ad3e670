//! The claim on the id, won while the connection to the target is opened.

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

/// How long a connection to a target may take to open. A target whose host is
/// gone answers nothing at all; across zones a round trip takes two milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// What became of a place that the policy gave.
pub(crate) enum ClaimedPlace {
    /// The claim is held and the connection is open.
    Ready(TargetConnection, HeldClaim<UnsentStage>),
    /// The claim is held, but this target can't be reached or is not to be used.
    NoConnection(HeldClaim<UnsentStage>),
    /// The claim was not won.
    NoClaim(ClaimOutcome),
}

/// Claims the id and connects to the target, both at once.
pub(crate) async fn claim_place(
    run: &RequestRun,
    target: &TargetName,
    held: Option<HeldClaim<UnsentStage>>,
) -> ClaimedPlace {
    let began = boot_now();
    let (connection, verdict) = zip(open_target(run, target), claim_or_keep(run, held)).await;
    let claim = match verdict {
        ClaimOutcome::Granted(claim) => claim,
        lost => return ClaimedPlace::NoClaim(lost),
    };
    let connection = match connection {
        Ok(connection) => connection,
        Err(_) => {
            run.host.targets.mark_unreachable(target);
            return ClaimedPlace::NoConnection(claim);
        }
    };
    // Guards against dispatching on an old belief: the target may have begun to
    // leave, or the selectors may have changed, while the request waited or
    // while this process was paused.
    let fresh = refresh_view(run, began).await;
    let view = run.host.view();
    let allowed = view.is_some_and(|view| is_allowed(run, &view, target));
    match fresh && allowed {
        true => ClaimedPlace::Ready(connection, claim),
        false => ClaimedPlace::NoConnection(claim),
    }
}

async fn claim_or_keep(run: &RequestRun, held: Option<HeldClaim<UnsentStage>>) -> ClaimOutcome {
    match held {
        Some(claim) => ClaimOutcome::Granted(claim),
        None => {
            // A process that was paused holds connections that its peers gave
            // up. Claims sent on them fail, and the attempt would be given up
            // although the peers are there.
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
    TargetConnection::open(address, CONNECT_LIMIT).await
}

/// Refreshes the view when it grew old, as it does while a process is paused;
/// tells whether it is fresh.
async fn refresh_view(run: &RequestRun, began: Duration) -> bool {
    let now = boot_now();
    let paused = now.saturating_sub(began) > CONNECT_LIMIT * 2;
    match run.host.config.is_fresh(now) && !paused {
        true => true,
        false => run.host.config.refresh().await,
    }
}

fn is_allowed(run: &RequestRun, view: &FleetView, target: &TargetName) -> bool {
    let class = view.class(&run.request.class);
    let account = view.account(&run.request.account);
    let (Some(class), Some(account)) = (class, account) else {
        return false;
    };
    let allowed = view.allowed_targets(class, account);
    let live = view
        .target(target)
        .is_some_and(|target| target.target.state == TargetState::Live);
    live && allowed.binary_search(target).is_ok() && !run.host.targets.is_leaving(target)
}
