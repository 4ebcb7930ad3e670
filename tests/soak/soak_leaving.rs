//! Targets that announce their leaving to the store only, and whether hosts respect it.

use std::time::Duration;
use std::time::Instant;

use super::soak_history::RequestArrival;
use super::soak_history::SentRequest;
use super::soak_statements::HostInterruption;

/// Time after the announcement from which a target must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a signal to a host, or its start, from which this applies to it.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// An announcement that the store has acknowledged. A store that goes back and loses it does not
/// end it.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedLeaving {
    pub(crate) target: String,
    pub(crate) at: Instant,
}

/// Checks that no host sends requests to targets that are leaving.
pub(crate) fn check_leaving(
    announcements: &[AnnouncedLeaving],
    requests: &[SentRequest],
    arrivals: &[RequestArrival],
    interruptions: &[HostInterruption],
) -> Vec<String> {
    let is_excused = |request: &SentRequest, arrival: &RequestArrival| {
        let mut interruptions = interruptions.iter();
        interruptions.any(|interruption| {
            interruption.host == request.host
                && interruption.at + CONTACT_TIME > request.sent
                && interruption.at < arrival.at
        })
    };
    let mut violations = Vec::new();
    for leaving in announcements {
        let of_target = arrivals
            .iter()
            .filter(|arrival| arrival.target == leaving.target);
        for arrival in of_target {
            let found =
                requests.binary_search_by(|held| held.request.as_str().cmp(&arrival.request));
            let Some(request) = found.ok().map(|index| &requests[index]) else {
                continue;
            };
            let is_late = request.sent > leaving.at + DRAIN_LIMIT;
            if is_late && !is_excused(request, arrival) {
                let late = arrival.at.duration_since(leaving.at);
                violations.push(format!(
                    "request {late:?} after {leaving:?} from host {}",
                    request.host
                ));
            }
        }
    }
    violations
}
