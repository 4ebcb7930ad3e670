//! Follows the store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use super::fleet_role::StoreAccess;
use crate::backoff::RetryBackoff;
use crate::clock::boot_now;
use crate::logs::DecisionLine;
use crate::view::FleetSource;
use crate::view::SourceError;

/// How long one watch waits for each host in the fleet, so that all hosts together
/// make a few calls a second at any size. Changes wake a watch at once.
const WAIT_PER_HOST: Duration = Duration::from_millis(200);
/// The shortest and the longest wait. A connection that went silent, or a cut that
/// healed, is noticed only behind it. In a small fleet that must be within three
/// seconds, also where all peers' connections went silent with it; in a large one
/// what changed meanwhile is learned from peers.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1600);
const MAX_WATCH_WAIT: Duration = Duration::from_secs(12);
/// The longest wait where hosts watch for others, as a part of the bound on changes of
/// targets: the views of the others are older by the gossip's time, and must stay below the
/// age at which they poll.
const ZONE_WAIT_RATIO: f64 = 0.3;
/// By how much waits differ, as a share: watches that a change woke together would
/// otherwise end together for ever.
const WAIT_JITTER: f64 = 0.2;
/// How long a host pauses behind changes for each host in the fleet, at least and at
/// most. Changes come in series (targets that start together register within
/// seconds), and each would wake every host's watch for a call of its own: 80 calls
/// a host where 7 do. The pause stays well below the two seconds within which a
/// change must be in force.
const PAUSE_PER_HOST: Duration = Duration::from_millis(6);
const MIN_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(350);
/// How old the view of keys may be before it is read anew. It must stay well below
/// the five seconds after which a key that was taken away must not work: what is
/// left of them when the store goes away is the time in which keys still work.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(900);
/// By how much longer each further host waits, in the order of their turns: what the one
/// that read tells the others reaches them within this time, so one read serves the fleet;
/// where the first hosts are gone the next ones read.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// The same bound where groups gossip: what was read takes longer to reach all hosts, and
/// one reads for more of them.
const GROUP_MAX_EVIDENCE_AGE: Duration = Duration::from_millis(450);
/// By how much longer each further leader of a group waits, and how many turns there are.
const GROUP_RANK_DELAY: Duration = Duration::from_millis(400);
const GROUP_MAX_RANK: usize = 4;
/// How long a host that has started waits for a peer's view before it reads the store:
/// where many start at once, or one at a time, a peer knows it already.
const PEER_VIEW_TIMEOUT: Duration = Duration::from_millis(80);
/// How often a host that doesn't watch the store looks whether it has to.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How often the age is looked at.
const EVIDENCE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// The first and the longest wait after a failed call. A store that is down comes
/// back at some moment, and hosts want the news within a fraction of a second.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often lapsed targets and idle connections are looked at.
const EXPIRY_PERIOD: Duration = Duration::from_millis(200);

/// Follows the store until the process ends.
pub(crate) async fn follow_store(state: Arc<EdgeState>, source: Arc<dyn FleetSource>) {
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut needs_full_read = false;
    let mut lost = false;
    loop {
        let access = state.store_access();
        if !may_read_store(&state) || access == StoreAccess::Peers {
            task::sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        let begun = boot_now();
        let after = match access {
            StoreAccess::Watch => state.view.complete_revision(),
            // The catalog comes from peers, which send it compressed.
            _ => state.view.revision(),
        };
        count(&state.metrics.store_calls);
        let read = match needs_full_read || after == 0 {
            true => source.read_all().await,
            false => source.watch(after, store_wait(&state, access)).await,
        };
        match read {
            Ok(update) => {
                if std::mem::take(&mut lost) {
                    let revision = update.revision;
                    state.log.write(&DecisionLine::StoreBack { revision });
                }
                needs_full_read = false;
                backoff.reset();
                let change = match update.full || access == StoreAccess::Watch {
                    true => state.view.apply_store_response(update, begun, boot_now()),
                    false => state.view.apply_store_targets(update, begun, boot_now()),
                };
                let changed = !change.is_empty();
                state.apply_change(change, None);
                if changed {
                    state.gossip_schedule().expedite_all();
                    let pause = PAUSE_PER_HOST * state.watching_host_count() as u32;
                    task::sleep(pause.clamp(MIN_PAUSE, MAX_PAUSE)).await;
                }
            }
            Err(SourceError::HistoryExpired) => needs_full_read = true,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    let reason = error.to_string();
                    state.log.write(&DecisionLine::StoreLost { reason });
                }
                task::sleep(backoff.next_wait(rand::random())).await;
            }
        }
    }
}

/// Returns how long this host waits for changes.
fn store_wait(state: &EdgeState, access: StoreAccess) -> Duration {
    if access == StoreAccess::Poll {
        return Duration::ZERO;
    }
    let wait = watch_wait(state.watching_host_count(), rand::random());
    if !state.role().layout.is_grouped() {
        return wait;
    }
    let delay = state.settings.load().bounds.max_target_delay;
    wait.min(delay.mul_f64(ZONE_WAIT_RATIO))
}

/// Returns how long a watch waits in a fleet of `hosts`; `spread` is 0 to 1, evenly.
pub(super) fn watch_wait(hosts: usize, spread: f64) -> Duration {
    let wait = (WAIT_PER_HOST * hosts as u32).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
    wait.mul_f64(1.0 + WAIT_JITTER * spread)
}

/// Keeps the view of keys young, until the process ends: reads the catalog when no
/// host has done so for a while.
pub(crate) async fn refresh_evidence(state: Arc<EdgeState>, source: Arc<dyn FleetSource>) {
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        task::sleep(EVIDENCE_CHECK_PERIOD).await;
        if !may_read_store(&state) {
            continue;
        }
        let bound = max_evidence_age(&state);
        if state.evidence_age().is_some_and(|age| age < bound) {
            continue;
        }
        let begun = boot_now();
        count(&state.metrics.store_calls);
        match source.read_catalog().await {
            Ok(update) => {
                backoff.reset();
                let change = state.view.apply_store_response(update, begun, boot_now());
                state.apply_change(change, None);
            }
            // The watch writes down that the store is lost.
            Err(_) => task::sleep(backoff.next_wait(rand::random())).await,
        }
    }
}

/// Tells whether a host without a view may read the store: no peer has given it one.
fn may_read_store(state: &EdgeState) -> bool {
    let age = boot_now().saturating_sub(state.started);
    let has_seeds = !state.settings.load().seeds.is_empty();
    !has_seeds || age >= PEER_VIEW_TIMEOUT || state.view.catalog().is_some()
}

/// Returns how old the view of keys may be before this host reads it.
fn max_evidence_age(state: &EdgeState) -> Duration {
    let role = state.role();
    match role.layout.is_grouped() {
        true => GROUP_MAX_EVIDENCE_AGE + GROUP_RANK_DELAY * role.turn.min(GROUP_MAX_RANK) as u32,
        false => MAX_EVIDENCE_AGE + RANK_DELAY * role.turn as u32,
    }
}

/// Lets go of what is too old, until the process ends.
pub(crate) async fn expire_stale(state: Arc<EdgeState>) {
    loop {
        task::sleep(EXPIRY_PERIOD).await;
        state.apply_change(state.view.remove_lapsed(boot_now()), None);
        state.connections.close_idle();
        state.queue.lock_table().expire_peer_loads(boot_now());
        state.queue.assign_waiting();
    }
}
