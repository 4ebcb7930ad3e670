//! Eviction of bodies and connections.

use std::sync::Arc;

use futures_lite::future::block_on;
use futures_lite::future::poll_once;

use super::ByteBudget;
use super::ConnectionPermit;
use super::ConnectionTable;
use super::IncomingBody;

const LIMIT: usize = 1 << 20;
/// What messages of more than 64 KiB may hold together.
const LARGE_LIMIT: usize = LIMIT / 4 * 3;

/// Receives `count` bytes; returns whether there was room.
fn receive(body: &mut IncomingBody, count: usize) -> bool {
    body.append(&vec![b'x'; count], LIMIT).is_some()
}

fn is_body_evicted(body: &IncomingBody) -> bool {
    block_on(poll_once(body.evicted())).is_some()
}

/// Returns a budget that incomplete bodies of these sizes use up, and the bodies.
fn full_budget(sizes: &[usize]) -> (Arc<ByteBudget>, Vec<IncomingBody>) {
    let budget = ByteBudget::new(LIMIT);
    let bodies = sizes.iter().map(|size| {
        let mut body = IncomingBody::open(&budget);
        assert!(receive(&mut body, *size));
        body
    });
    let bodies = bodies.collect();
    (budget, bodies)
}

/// Guards against a budget that incomplete bodies use up.
#[test]
fn the_largest_incomplete_body_is_evicted() {
    let (budget, bodies) = full_budget(&[100_000, 400_000, 200_000]);

    let permit = budget.take(300_000);

    assert!(permit.is_some());
    let evicted: Vec<bool> = bodies.iter().map(is_body_evicted).collect();
    assert_eq!(evicted, [false, true, false]);
    assert!(budget.taken() <= LARGE_LIMIT);
}

/// Guards against a large body that drives out the small ones of others.
#[test]
fn a_large_body_finds_no_room_beside_smaller_ones() {
    let (budget, bodies) = full_budget(&[200_000, 200_000, 200_000]);

    let mut larger = IncomingBody::open(&budget);

    assert!(!receive(&mut larger, 400_000));
    assert!(!bodies.iter().any(is_body_evicted));
}

/// Guards against complete large bodies that leave no memory for small requests.
#[test]
fn complete_bodies_leave_a_reserve_for_small_ones() {
    let (budget, mut bodies) = full_budget(&[LARGE_LIMIT - 1]);
    let complete = bodies.pop().unwrap().finish().unwrap();

    assert!(budget.take(100_000).is_none());
    assert!(budget.take(60_000).is_some());

    drop(complete);
    assert_eq!(budget.taken(), 0);
}

/// Guards against memory that stays reserved after a body ended in any way.
#[test]
fn a_budget_is_empty_after_all_bodies_ended() {
    let (budget, mut bodies) = full_budget(&[300_000, 300_000]);
    let permit = budget.take(200_000);
    assert!(permit.is_some());

    let received: Vec<bool> = bodies.iter_mut().map(|body| receive(body, 1)).collect();
    assert_eq!(
        received.iter().filter(|is_received| !**is_received).count(),
        1
    );
    drop(bodies);
    drop(permit);

    assert_eq!(budget.taken(), 0);
    assert_eq!(budget.evicted_bodies(), 1);
}

/// Guards against a body that loses bytes when its memory grows.
#[test]
fn a_body_that_grows_stays_whole() {
    let (_budget, mut bodies) = full_budget(&[1000]);
    assert!(receive(&mut bodies[0], 70_000));

    let (body, _permit) = bodies.pop().unwrap().finish().unwrap();

    assert_eq!(body.len(), 71_000);
    assert!(body.iter().all(|byte| *byte == b'x'));
}

fn is_evicted(permit: &ConnectionPermit) -> bool {
    block_on(poll_once(permit.evicted())).is_some()
}

/// Guards against connections that were never of use, and that drive out those that were.
#[test]
fn connections_without_a_request_are_evicted_first() {
    let table = ConnectionTable::new();
    let open_reading = || {
        let permit = table.open(3).unwrap();
        assert!(permit.set_reading());
        permit
    };
    let reading = open_reading();
    let new = table.open(3).unwrap();
    new.set_idle();
    let idle = open_reading();
    idle.set_idle();
    let evicted = || [&new, &idle, &reading].map(is_evicted);

    let _first = open_reading();
    assert_eq!(evicted(), [true, false, false]);
    let _second = open_reading();
    assert_eq!(evicted(), [true, true, false]);
    let _third = open_reading();
    assert_eq!(evicted(), [true, true, true]);
}

/// Guards against callers that keep others out by bytes behind requests which run.
#[test]
fn an_overflowing_connection_is_evicted() {
    let table = ConnectionTable::new();
    let overflowing = table.open(4).unwrap();
    assert!(overflowing.set_running(4));
    overflowing.set_overflowing();
    let other = table.open(4).unwrap();
    assert!(other.set_running(4));

    assert!(table.open(4).is_some());

    assert!(is_evicted(&overflowing));
    assert!(!is_evicted(&other));
    drop((overflowing, other));
    assert_eq!(table.len(), 0);
    assert!((0..4).all(|_| keep_open(&table)));
}

/// Guards against running requests that leave no descriptor for connections to be refused on.
#[test]
fn running_requests_leave_room_for_connections() {
    let table = ConnectionTable::new();
    let running: Vec<ConnectionPermit> = (0..7).filter_map(|_| table.open(16)).collect();
    assert!(running.iter().all(|permit| permit.set_running(16)));

    let further = table.open(16).unwrap();

    assert!(!further.set_running(16));
    assert!(!running.iter().any(is_evicted));
}

/// Opens a connection within four descriptors, for ever.
fn keep_open(table: &Arc<ConnectionTable>) -> bool {
    table.open(4).map(std::mem::forget).is_some()
}

/// Guards against requests whose targets find no descriptors left.
#[test]
fn a_running_request_takes_a_second_descriptor() {
    let table = ConnectionTable::new();
    let first = table.open(3).unwrap();
    assert!(first.set_running(3));

    let second = table.open(3).unwrap();

    assert!(!second.set_running(3));
    assert!(table.open(3).is_some());
    assert!(is_evicted(&second));
    drop(first);
    assert!(table.open(3).is_some());
}
