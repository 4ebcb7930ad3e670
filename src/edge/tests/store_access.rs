//! How soon a host follows the store again.

use std::time::Duration;

use super::super::fleet_role::StoreAccess;
use super::super::watch_controller::watch_wait;
use super::edge_fixture::isolated_state;
use crate::clock::boot_now;
use crate::edge::EdgeBounds;
use crate::view::ViewUpdate;

/// How long a read may take beyond its wait, and how long the pause behind a failed
/// one is at most.
const READ_AND_RETRY: Duration = Duration::from_millis(1400);

/// A host's connection to the store goes silent while a target begins to leave. A
/// watch that waits for five seconds on it would let the host send there for as long.
#[test]
fn a_small_fleet_notices_a_dead_watch_within_three_seconds_and_a_half() {
    let longest = watch_wait(8, 1.0) + READ_AND_RETRY;

    assert!(longest <= Duration::from_millis(3500), "{longest:?}");
}

#[test]
fn all_hosts_together_make_a_few_watches_a_second_at_any_size() {
    for hosts in [8, 58, 87, 320] {
        let calls = hosts as f64 / watch_wait(hosts, 0.0).as_secs_f64();
        assert!(calls <= 27.0, "{calls} a second by {hosts} hosts");
    }
}

/// Guards against a host that hears nothing of targets and uses one that has left.
#[test]
fn a_host_reads_the_store_before_its_view_of_the_targets_is_too_old() {
    let host = isolated_state(EdgeBounds::default());
    let now = boot_now();
    let update = ViewUpdate {
        revision: 1,
        ..ViewUpdate::default()
    };

    let begun = now.saturating_sub(Duration::from_millis(1600));
    host.view.apply_store_response(update, begun, now);

    // A target that leaves gets no new work after 2 s by default.
    assert_eq!(host.store_access(), StoreAccess::Poll);
}
