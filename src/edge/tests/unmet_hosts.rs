//! Hosts that have met no peer since their start, as all of their seeds are down.

use std::sync::Arc;
use std::time::Duration;

use super::super::edge_state::EdgeState;
use super::edge_fixture::isolated_state_of;
use super::edge_fixture::settings_with;
use crate::clock::unix_now;
use crate::edge::EdgeBounds;
use crate::poison::LostRun;

/// Number of seeds, all of them down.
const SEEDS: u8 = 3;

/// A host that started a minute ago and has met no peer.
fn unmet_host(seeds: u8, bounds: EdgeBounds) -> Arc<EdgeState> {
    let mut settings = settings_with(bounds);
    let seeds = (1..=seeds).map(|last| ([127, 0, 0, last], 1).into());
    settings.runtime.seeds = seeds.collect();
    let mut state = isolated_state_of(settings);
    Arc::get_mut(&mut state).unwrap().started -= Duration::from_secs(60);
    state
}

/// Guards against hosts that take themselves for the whole fleet because they met no peer, so that
/// each of them loses two targets to a request.
#[test]
fn a_host_that_has_met_no_peer_rejects_a_request_after_one_crash() {
    let state = unmet_host(SEEDS, EdgeBounds::default());
    let target = "t1".to_owned();
    let run = |ago_ms: u64| LostRun {
        target: &target,
        sent_at: unix_now() - ago_ms - 1,
        lost_at: unix_now() - ago_ms,
    };

    state.poison.record_loss(1, run(0));
    state.poison.record_loss(2, run(90_000));

    assert!(state.is_refused(1) && !state.is_refused(2));
    state.record_answer(Duration::ZERO);
    assert!(!state.is_refused(1));
}
