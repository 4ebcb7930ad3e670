//! The paths of one host to all targets, and what a host without them owes its callers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use standins::PathLink;
use standins::PathMode;

use super::soak_caller::PERMANENT_KEY;
use super::soak_history::SentRequest;

/// Time from the start of a cut from which on its host must serve.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Of the first attempts at a cut host, the share relative to the other hosts that must be served,
/// the number that may fail, and the further ones by their number.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;
const ALLOWED_FAILURES: f64 = 10.0;
const ALLOWED_FAILURE_SHARE: f64 = 0.02;

/// The paths of one host to the targets.
#[derive(Default)]
pub(crate) struct HostPaths {
    paths: Mutex<Vec<(SocketAddr, PathLink)>>,
}

/// A host without paths to targets, and since when; without an end it still has none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostCut {
    pub(crate) host: usize,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

impl HostCut {
    /// Returns whether a request may have been sent to a target over the paths of this host when
    /// the cut began, or before the host can know of it: its own, one that was forwarded, or one
    /// of a host that was restarted and has the paths of a peer.
    pub(crate) fn interrupts(
        &self,
        request: &SentRequest,
        cuts: &[Self],
        is_restarted: bool,
    ) -> bool {
        let may_be_lost = request.ended >= self.from && request.sent <= self.from + CONTACT_TIME;
        may_be_lost
            && (self.host == request.host || is_restarted || may_be_forwarded(request, cuts))
    }
}

/// Returns whether the host of a request may have forwarded it, as its paths were cut or had just
/// come back.
pub(crate) fn may_be_forwarded(request: &SentRequest, cuts: &[HostCut]) -> bool {
    cuts.iter().any(|cut| {
        let end = cut.until.unwrap_or(request.ended) + CONTACT_TIME;
        cut.host == request.host && request.ended >= cut.from && request.sent <= end
    })
}

impl HostPaths {
    /// Returns the address at which the host reaches a target.
    pub(crate) fn address_to(&self, target: SocketAddr) -> SocketAddr {
        let mut paths = self.paths.lock().unwrap();
        if let Some((_, path)) = paths.iter().find(|(held, _)| *held == target) {
            return path.address();
        }
        let path = PathLink::open(target).unwrap();
        let address = path.address();
        paths.push((target, path));
        address
    }

    /// Changes all paths.
    pub(crate) fn set_mode(&self, mode: PathMode) {
        for (_, path) in &*self.paths.lock().unwrap() {
            path.set_mode(mode).unwrap();
        }
    }
}

/// Checks that hosts without paths serve their callers nearly as well as the others.
/// `was_undisturbed` tells whether nothing else disturbed the fleet around a request.
pub(crate) fn check_cuts(
    cuts: &[HostCut],
    requests: &[SentRequest],
    was_undisturbed: impl Fn(Instant, Instant) -> bool,
) -> Vec<String> {
    let is_counted = |request: &&SentRequest| {
        !request.abandoned
            && request.key == PERMANENT_KEY
            && was_undisturbed(request.sent, request.ended)
    };
    let counted: Vec<&SentRequest> = requests.iter().filter(is_counted).collect();
    let cut_at = |request: &SentRequest| {
        cuts.iter().any(|cut| {
            let end = cut.until.unwrap_or(request.ended);
            cut.host == request.host
                && request.sent >= cut.from + CONTACT_TIME
                && request.ended <= end
        })
    };
    let (cut, other): (Vec<&SentRequest>, Vec<&SentRequest>) =
        counted.into_iter().partition(|request| cut_at(request));
    let other: Vec<&SentRequest> = other
        .into_iter()
        .filter(|request| !may_be_forwarded(request, cuts))
        .collect();
    let served = |requests: &[&SentRequest]| {
        let served = requests.iter().filter(|request| request.complete);
        served.count() as f64
    };
    let failed = cut.len() as f64 - served(&cut);
    let share = served(&cut) / cut.len().max(1) as f64;
    let other_share = served(&other) / other.len().max(1) as f64;
    let allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * cut.len() as f64;
    let is_broken = share < MIN_RELATIVE_SHARE * other_share && failed > allowed;
    let violation = || {
        format!(
            "hosts without paths served {} of {}, the others {} of {}",
            served(&cut),
            cut.len(),
            served(&other),
            other.len()
        )
    };
    is_broken.then(violation).into_iter().collect()
}
