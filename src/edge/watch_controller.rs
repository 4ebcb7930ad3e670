//! Follows the store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use super::fleet_role::StoreAccess;
use crate::backoff::RetryBackoff;
use crate::clock::boot_now;
use crate::ids::IncarnationId;
use crate::logs::DecisionLine;
use crate::view::FleetSource;
use crate::view::SourceError;

/// Watch wait per host in the fleet. It keeps the total at a few calls per second for any
/// number of hosts. A change ends a watch immediately.
const WAIT_PER_HOST: Duration = Duration::from_millis(200);
/// Bounds on the watch wait. A dead connection or the end of a network partition is
/// noticed only after it. In a small fleet that must happen within three seconds, even if
/// the connections to all peers died at the same time; in a large fleet changes are
/// learned from peers meanwhile.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1600);
const MAX_WATCH_WAIT: Duration = Duration::from_secs(12);
/// Longest watch wait where hosts watch on behalf of a zone, as a ratio of the maximum
/// delay of target changes. The views of the other hosts are older by the gossip delay
/// and must stay below the age at which they poll.
const ZONE_WAIT_RATIO: f64 = 0.3;
/// Random variation of watch waits, as a ratio. Otherwise watches that were ended by the
/// same change would keep ending together.
const WAIT_JITTER: f64 = 0.2;
/// Pause after changes per host in the fleet, and its bounds. Changes come in bursts
/// (targets that start together register within seconds), and each one would end the
/// watch of every host and cause another call: 80 calls per host instead of 7. The pause
/// doubles while changes keep coming, since 3,000 targets register over seconds. It is well
/// below the two seconds within which a change must take effect.
const PAUSE_PER_HOST: Duration = Duration::from_millis(6);
const MIN_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(350);
/// Age of the key data at which the catalog is read again. It must be well below the five
/// seconds after which a revoked key must be rejected. The difference is the time for
/// which keys remain valid when the store becomes unavailable.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(900);
/// Additional age for each rank. What the first host reads reaches the others by gossip
/// within this time, so one read serves the fleet; if the first hosts are down, the next
/// ones read.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Value of [`MAX_EVIDENCE_AGE`] in a fleet with groups. There a read takes longer to reach
/// all hosts, and one read serves more of them.
const GROUP_MAX_EVIDENCE_AGE: Duration = Duration::from_millis(450);
/// Value of [`RANK_DELAY`] in a fleet with groups, where leaders have the lowest ranks, and
/// the highest rank that is counted.
const GROUP_RANK_DELAY: Duration = Duration::from_millis(400);
const GROUP_MAX_RANK: usize = 4;
/// Time that a starting host waits for a peer's view before it reads the store. When
/// hosts start one after another, or many together, a peer already has the view.
const PEER_VIEW_TIMEOUT: Duration = Duration::from_millis(80);
/// Additional time, of which each starting host that has met a peer waits a random part, for each
/// pair of hosts of the fleet: both the hosts and the calls that each takes for a whole view, 7 to
/// 16 before 3,000 targets, grow with the fleet. The first hosts read the store and the others get
/// the view from them. A host that has met none reads at once: a second of waiting would be a
/// second without service after all hosts were killed.
const READ_SPACING: Duration = Duration::from_micros(8);
const MAX_READ_SPREAD: Duration = Duration::from_secs(6);
/// Period at which a host that does not watch the store checks whether it should.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Period at which the age of the key data is checked.
const EVIDENCE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Bounds on the delay after a failed call. When the store is available again, hosts
/// should have its changes within a fraction of a second.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Period at which expired targets and idle connections are removed.
const EXPIRY_PERIOD: Duration = Duration::from_millis(200);

/// Follows the store until the process ends.
pub(crate) async fn follow_store(state: Arc<EdgeState>, source: Arc<dyn FleetSource>) {
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut needs_full_read = false;
    let mut is_lost = false;
    let mut pause = Duration::ZERO;
    loop {
        let access = state.store_access();
        if !may_read_store(&state) || access == StoreAccess::Peers {
            task::sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        let started_at = boot_now();
        let after = match access {
            StoreAccess::Watch => state.view.complete_revision(),
            // The catalog is fetched from peers, which send it compressed.
            _ => state.view.revision(),
        };
        count(&state.metrics.store_calls);
        let read = match needs_full_read || !after.is_known() {
            true => source.read_all().await,
            false => source.watch(after, store_wait(&state, access)).await,
        };
        match read {
            Ok(update) => {
                if std::mem::take(&mut is_lost) {
                    let revision = update.revision;
                    state.log.write(&DecisionLine::StoreBack { revision });
                }
                if update.full {
                    state.log.write(&DecisionLine::StoreRead {
                        held: after,
                        revision: update.revision,
                        targets: update.targets.len(),
                    });
                }
                needs_full_read = false;
                backoff.reset();
                let change = match update.full || access == StoreAccess::Watch {
                    true => state
                        .view
                        .apply_store_response(update, started_at, boot_now()),
                    false => state
                        .view
                        .apply_store_targets(update, started_at, boot_now()),
                };
                let changed = !change.is_empty();
                state.apply_change(change, None);
                if changed {
                    state.gossip_schedule().expedite_all();
                    let waited = boot_now().saturating_sub(started_at);
                    pause = change_pause(state.watching_host_count(), pause, waited);
                    task::sleep(pause).await;
                }
            }
            Err(SourceError::HistoryExpired) => needs_full_read = true,
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let reason = error.to_string();
                    state.log.write(&DecisionLine::StoreLost { reason });
                }
                task::sleep(backoff.next_delay(rand::random())).await;
            }
        }
    }
}

/// Returns the pause after a change that ended a watch after `waited`, where `previous` is the
/// pause before that watch.
pub(super) fn change_pause(hosts: usize, previous: Duration, waited: Duration) -> Duration {
    let single = (PAUSE_PER_HOST * hosts as u32).clamp(MIN_PAUSE, MAX_PAUSE);
    match waited < MAX_PAUSE {
        true => (previous * 2).clamp(single, MAX_PAUSE),
        false => single,
    }
}

/// Returns how long this host's next watch waits.
fn store_wait(state: &EdgeState, access: StoreAccess) -> Duration {
    if access == StoreAccess::Poll {
        return Duration::ZERO;
    }
    let wait = watch_wait(state.watching_host_count(), rand::random());
    if !state.role().layout.is_grouped() {
        return wait;
    }
    let delay = state.runtime.load().bounds.max_target_delay;
    wait.min(delay.mul_f64(ZONE_WAIT_RATIO))
}

/// Returns the watch wait in a fleet of `hosts`; `spread` is uniform in 0 to 1.
pub(super) fn watch_wait(hosts: usize, spread: f64) -> Duration {
    let wait = (WAIT_PER_HOST * hosts as u32).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
    wait.mul_f64(1.0 + WAIT_JITTER * spread)
}

/// Keeps the key data recent until the process ends: reads the catalog if no host has
/// done so for a while.
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
        let started_at = boot_now();
        count(&state.metrics.store_calls);
        match source.read_catalog().await {
            Ok(update) => {
                backoff.reset();
                let change = state
                    .view
                    .apply_store_response(update, started_at, boot_now());
                state.apply_change(change, None);
            }
            // The loss of the store is logged by the watch.
            Err(_) => task::sleep(backoff.next_delay(rand::random())).await,
        }
    }
}

/// Returns whether this host may read the store. A starting host waits for a peer's view
/// first.
fn may_read_store(state: &EdgeState) -> bool {
    let has_view = state.view.catalog().is_some() && state.view.revision().is_known();
    let has_seeds = !state.runtime.load().seeds.is_empty();
    if has_view || !has_seeds {
        return true;
    }
    let age = boot_now().saturating_sub(state.started);
    !state.is_fetching_view()
        && age >= first_read_delay(state.reported_fleet_size(), state.incarnation)
}

/// Returns how long a starting host without a view waits before it reads the store, where
/// `fleet_size` is the number of hosts by its peers' reports, 0 before the first.
pub(super) fn first_read_delay(fleet_size: usize, incarnation: IncarnationId) -> Duration {
    let hosts = fleet_size as u32;
    let longest = (READ_SPACING * hosts * hosts).min(MAX_READ_SPREAD);
    let spread = incarnation as f64 / IncarnationId::MAX as f64;
    PEER_VIEW_TIMEOUT + longest.mul_f64(spread)
}

/// Returns the age of the key data at which this host reads the catalog again.
fn max_evidence_age(state: &EdgeState) -> Duration {
    let role = state.role();
    match role.layout.is_grouped() {
        true => {
            GROUP_MAX_EVIDENCE_AGE + GROUP_RANK_DELAY * role.read_rank.min(GROUP_MAX_RANK) as u32
        }
        false => MAX_EVIDENCE_AGE + RANK_DELAY * role.read_rank as u32,
    }
}

/// Removes expired entries until the process ends.
pub(crate) async fn expire_stale(state: Arc<EdgeState>) {
    loop {
        task::sleep(EXPIRY_PERIOD).await;
        state.apply_change(state.view.remove_expired(boot_now()), None);
        state.connections.close_unusable();
        state.queue.lock_table().expire_peer_loads(boot_now());
        report_windows(&state);
        state.queue.assign_waiting();
    }
}

/// Logs the plain targets at which limits began or ceased.
fn report_windows(state: &EdgeState) {
    let changes = state.queue.lock_table().take_window_changes();
    for (target, window) in changes {
        count(&state.metrics.window_changes);
        state.log.write(&DecisionLine::TargetWindow {
            target,
            window: window.window(),
            latency_ms: window.latency().map(|latency| latency.as_millis() as u64),
            cause: window.cause(),
        });
    }
}
