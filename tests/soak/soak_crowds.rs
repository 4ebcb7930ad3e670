//! Hosts that get most new connections for a while, and whether they serve their callers.

use std::time::Duration;
use std::time::Instant;

use super::soak_caller::PERMANENT_KEY;
use super::soak_history::SentRequest;

/// Share of the callers' connections that go to the crowded host.
pub(crate) const CROWD_SHARE: f64 = 0.9;
/// Time after which a crowded host must serve its callers, and the length of the time before the
/// crowd with which it is compared.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const COMPARED_TIME: Duration = Duration::from_secs(2);
/// Least number of requests that are compared, and the least ratio of the shares that are served.
const MIN_REQUESTS: usize = 20;
const MIN_RATIO: f64 = 0.75;

/// A time in which most connections go to one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostCrowd {
    pub(crate) host: usize,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// Checks that crowded hosts serve about as many of their requests as all hosts before.
pub(crate) fn check_crowds(
    crowds: &[HostCrowd],
    requests: &[SentRequest],
    was_undisturbed: impl Fn(Instant, Instant) -> bool,
) -> Vec<String> {
    let share_of = |is_counted: &dyn Fn(&SentRequest) -> bool| {
        let counted = requests.iter().filter(|request| {
            let is_owed = !request.abandoned && request.key == PERMANENT_KEY;
            is_owed && request.status != 429 && is_counted(request)
        });
        let counted: Vec<&SentRequest> = counted.collect();
        let served = counted.iter().filter(|request| request.complete).count();
        let share = served as f64 / counted.len().max(1) as f64;
        (counted.len() >= MIN_REQUESTS).then_some(share)
    };
    let broken = crowds.iter().filter_map(|crowd| {
        let until = crowd.until?;
        let from = crowd.from + CONTACT_TIME;
        let before = crowd.from - COMPARED_TIME;
        if from >= until || !was_undisturbed(before, until) {
            return None;
        }
        let before = share_of(&|request| request.sent >= before && request.ended < crowd.from)?;
        let during = share_of(&|request| {
            request.host == crowd.host && request.sent >= from && request.ended < until
        })?;
        (during < before * MIN_RATIO)
            .then(|| format!("served {during:.2} at a crowded host, {before:.2} before: {crowd:?}"))
    });
    broken.collect()
}
