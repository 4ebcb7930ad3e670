//! Which target runs a request and who waits, in virtual time and without a network.

use std::time::Duration;

use cardamomgw::dispatch::AttemptOutcome;
use cardamomgw::dispatch::PlacedTarget;
use cardamomgw::dispatch::PlacementRequest;
use cardamomgw::dispatch::PoolMember;
use cardamomgw::dispatch::PoolTable;
use cardamomgw::dispatch::RequestPriority;
use cardamomgw::dispatch::TargetLoad;
use cardamomgw::members::GroupShare;
use cardamomgw::quota::UsageScope;
use cardamomgw::view::TargetPhase;
use cardamomgw::view::TargetRecord;

const POOL: &str = "engines";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A moment that lies behind the clock's zero.
fn start() -> Duration {
    Duration::from_secs(100)
}

fn engine(name: &str, slots: u32) -> PoolMember {
    PoolMember {
        record: TargetRecord {
            name: name.into(),
            pool: POOL.into(),
            address: ([127, 0, 0, 1], 9000).into(),
            availability_zone: "za".into(),
            slots,
            phase: TargetPhase::Ready,
            started_at_ms: 0,
            cold_remaining: Duration::ZERO,
            revision: 1,
        },
        engine: true,
        cold_limit: None,
        evacuated: false,
    }
}

fn board_of(members: Vec<PoolMember>) -> PoolTable {
    let mut board = PoolTable::new("za".into());
    board.set_targets(members, start());
    board
}

/// A request that came now, of a tier, with an objective of 400 ms.
fn wish_of(tier: u8, prompt_tokens: u64, now: Duration) -> PlacementRequest {
    PlacementRequest {
        pool: POOL.into(),
        priority: RequestPriority {
            account: 1,
            route: tier,
        },
        objective_at: now + millis(400),
        is_retry: false,
        prompt_tokens,
        output_tokens: None,
        event_gap_objective: None,
        deadline: now + Duration::from_secs(12),
        tried: Vec::new(),
    }
}

/// Takes every slot of the board's targets and returns what took them.
fn fill(board: &mut PoolTable, now: Duration) -> Vec<PlacedTarget> {
    let wish = wish_of(2, 0, now);
    std::iter::from_fn(|| board.place(&wish, now, 0.5)).collect()
}

/// Shows the board that a target sends an event each `pause` milliseconds.
fn show_pause(board: &mut PoolTable, target: &str, pause: u64, now: Duration) {
    for _ in 0..30 {
        board.record_event_gap(POOL, target, millis(pause), now);
    }
}

/// A burst fills all slots. A briefing came behind ten weather checks; a crew's
/// dispatcher waited behind them, since the line stood in order of arrival.
#[test]
fn the_urgent_go_first_and_the_late_last() {
    let now = start();
    let mut board = board_of(vec![engine("t1", 2)]);
    let running = fill(&mut board, now);
    board.enqueue(1, wish_of(2, 0, now), now);
    board.enqueue(2, wish_of(0, 0, now), now);
    board.enqueue(3, wish_of(0, 0, now - millis(500)), now);

    board.record_outcome(POOL, &running[0], AttemptOutcome::Succeeded, now);
    let first = board.assign(now, || 0.5);
    board.record_outcome(POOL, &running[1], AttemptOutcome::Succeeded, now);
    let second = board.assign(now, || 0.5);

    assert_eq!(
        first.iter().map(|(number, _)| *number).collect::<Vec<_>>(),
        [2]
    );
    assert_eq!(
        second.iter().map(|(number, _)| *number).collect::<Vec<_>>(),
        [1]
    );
}

/// In a burst everything that waits turns late. Served in order of lateness, nobody
/// would be in time again until the burst is long over.
#[test]
fn what_turned_late_makes_way_for_what_can_be_in_time() {
    let now = start();
    let mut board = board_of(vec![engine("t1", 1)]);
    let running = fill(&mut board, now);
    board.enqueue(1, wish_of(0, 0, now), now);
    let later = now + millis(600);
    board.enqueue(2, wish_of(2, 0, later), later);

    board.record_outcome(POOL, &running[0], AttemptOutcome::Succeeded, later);
    let assigned = board.assign(later, || 0.5);

    assert_eq!(assigned[0].0, 2);
}

/// Late work took each slot that came free, and the next urgent request waited for
/// one although the fleet was far from full of work that mattered.
#[test]
fn late_work_leaves_a_reserve() {
    let now = start();
    let members = (0..4)
        .map(|index| engine(&format!("t{index}"), 10))
        .collect();
    let mut board = board_of(members);
    let running = fill(&mut board, now);
    for number in 0..20 {
        board.enqueue(number, wish_of(0, 0, now - millis(900)), now);
    }

    for placed in &running[..8] {
        board.record_outcome(POOL, placed, AttemptOutcome::Succeeded, now);
    }
    let assigned = board.assign(now, || 0.5);

    assert_eq!(assigned.len(), 6, "8 slots are free, 2 of 40 stay so");
}

/// A briefing with a very long prompt went to an engine of a quarter of the pace and
/// had its first event after two seconds.
#[test]
fn a_long_prompt_avoids_slow_engines() {
    let now = start();
    let mut board = board_of(vec![engine("fast", 12), engine("slow", 12)]);
    show_pause(&mut board, "fast", 25, now);
    show_pause(&mut board, "slow", 110, now);

    for index in 0..10 {
        let spread = f64::from(index) / 10.0;
        let placed = board.place(&wish_of(0, 20_000, now), now, spread).unwrap();
        assert_eq!(placed.name, "fast");
        board.record_outcome(POOL, &placed, AttemptOutcome::Succeeded, now);
    }
}

/// When only the slow engine has room and would be late, the request waits for a
/// fast one; once it is late anyway it takes what there is.
#[test]
fn a_request_waits_for_an_engine_that_can_be_in_time() {
    let now = start();
    let mut board = board_of(vec![engine("fast", 1), engine("slow", 1)]);
    show_pause(&mut board, "fast", 25, now);
    show_pause(&mut board, "slow", 110, now);
    let taken = board.place(&wish_of(0, 8_000, now), now, 0.5);
    assert_eq!(taken.map(|placed| placed.name).as_deref(), Some("fast"));

    let hopeful = board.place(&wish_of(0, 8_000, now), now, 0.5);
    let late = board.place(&wish_of(0, 8_000, now - millis(900)), now, 0.5);

    assert_eq!(hopeful, None);
    assert_eq!(late.map(|placed| placed.name).as_deref(), Some("slow"));
}

/// An engine crashed without a word. Until its registration lapsed, seconds later,
/// each request that was sent there was lost.
#[test]
fn a_silent_engine_gets_nothing_more() {
    let now = start();
    let mut board = board_of(vec![engine("dead", 12), engine("live", 12)]);
    while board.own_loads().len() < 2 {
        board.place(&wish_of(0, 0, now), now, 0.999);
        board.place(&wish_of(0, 0, now), now, 0.0);
    }
    let later = now + millis(900);
    board.record_activity(POOL, "live", later);

    let chosen: Vec<PlacedTarget> = (0..8)
        .filter_map(|index| board.place(&wish_of(0, 0, later), later, f64::from(index) / 8.0))
        .collect();

    assert!(!chosen.is_empty());
    assert!(chosen.iter().all(|placed| placed.name == "live"));
}

/// The only engine was slow to answer for a moment, and all its callers were refused.
#[test]
fn the_only_engine_is_taken_even_if_it_seems_unfit() {
    let now = start();
    let mut board = board_of(vec![engine("t1", 4)]);
    let placed = board.place(&wish_of(0, 0, now), now, 0.5).unwrap();
    board.record_outcome(POOL, &placed, AttemptOutcome::Unreachable, now);

    let again = board.place(&wish_of(0, 0, now), now, 0.5);

    assert!(again.is_some());
}

/// Eight hosts see the same free slots at the same moment. Each taking the best
/// target would send all of them to one.
#[test]
fn hosts_with_the_same_view_spread_their_work() {
    let now = start();
    let mut counts = [0; 4];
    for host in 0..80 {
        let members = (0..4)
            .map(|index| engine(&format!("t{index}"), 12))
            .collect();
        let mut board = board_of(members);
        let placed = board.place(&wish_of(0, 0, now), now, f64::from(host) / 80.0);
        let name = placed.unwrap().name;
        counts[usize::from(name.as_bytes()[1] - b'0')] += 1;
    }

    assert!(counts.iter().all(|count| *count >= 15), "{counts:?}");
}

/// A peer fills an engine. A host that counted only its own work there sent more, and
/// it waited in the engine's queue behind the peer's.
#[test]
fn slots_that_peers_hold_are_not_free() {
    let now = start();
    let mut board = board_of(vec![engine("t1", 12)]);
    let load = TargetLoad {
        target: "t1".into(),
        running: 12,
        pending_prefill_tokens: 0,
    };
    board.update_peer_loads("e2".into(), vec![load], UsageScope::Host, now);

    let full = board.place(&wish_of(0, 0, now), now, 0.5);
    let later = now + Duration::from_secs(3);
    board.expire_peer_loads(later);
    let free = board.place(&wish_of(0, 0, later), later, 0.5);

    assert_eq!(full, None);
    assert!(free.is_some(), "a host that is silent for 3 s is dead");
}

/// A burst ten times as large as what the engines begin. The last in the line waited
/// for two seconds, and their callers left without an answer.
#[test]
fn a_hopeless_wait_is_known_at_once() {
    let now = start();
    let mut board = board_of(vec![engine("t1", 12)]);
    fill(&mut board, now);
    for number in 0..60 {
        board.enqueue(number, wish_of(0, 0, now), now);
    }

    let low = board.expected_wait(&wish_of(2, 0, now), now);
    let top = board.expected_wait(&wish_of(0, 0, now - millis(10)), now);

    assert!(low > Duration::from_secs(4), "{low:?}");
    assert!(top < low);
}

/// Returns the share of one of eight groups of hosts in two zones.
fn share_of(index: usize) -> GroupShare {
    GroupShare {
        index,
        groups: 8,
        zones: vec!["za".into(), "zb".into()],
    }
}

/// Guards against hosts of a large fleet that compete for the slots of all targets.
#[test]
fn a_group_of_hosts_uses_its_shard_first() {
    let now = start();
    let members: Vec<PoolMember> = (0..88)
        .map(|index| engine(&format!("t{index:02}"), 1))
        .collect();
    let mut board = board_of(members);
    board.set_group_share(share_of(0));

    let placed: Vec<String> = (0..30)
        .filter_map(|index| board.place(&wish_of(0, 0, now), now, f64::from(index) / 30.0))
        .map(|placed| placed.name)
        .collect();

    let in_shard = |name: &String| name[1..].parse::<usize>().unwrap() < 22;
    assert_eq!(placed.len(), 30, "what is full makes way for the others");
    assert!(placed[..6].iter().filter(|name| in_shard(name)).count() >= 5);
}

/// Guards against targets that no group, or more than one, prefers.
#[test]
fn groups_divide_the_targets_among_them() {
    let mut preferred = Vec::new();
    for index in 0..8 {
        let own_zone = if index < 4 { "za" } else { "zb" };
        let mut table = PoolTable::new(own_zone.into());
        let members = (0..60).map(|target| {
            let mut member = engine(&format!("t{target:02}"), 1);
            member.record.availability_zone = ["za", "zb", "zc"][target / 20].into();
            member
        });
        table.set_targets(members.collect(), start());
        table.set_group_share(share_of(index));
        preferred.extend(table.shard_targets());
    }
    preferred.sort();

    let all: Vec<String> = (0..60).map(|target| format!("t{target:02}")).collect();
    assert_eq!(preferred, all);
}

/// Shows the board whole streams, of a hundred expected tokens, that took so long there.
fn show_stream(board: &mut PoolTable, placed: &PlacedTarget, millis_a_token: u64) {
    let mut stream = placed.clone();
    stream.output_tokens = Some(100);
    for _ in 0..30 {
        board.record_stream_duration(POOL, &stream, millis(100 * millis_a_token));
    }
}

/// Guards against long answers at slow engines, which don't end before their callers' time is
/// over and hold a slot until then.
#[test]
fn a_long_answer_goes_where_it_can_end() {
    let now = start();
    let mut board = board_of(vec![engine("fast", 12), engine("slow", 12)]);
    show_pause(&mut board, "fast", 25, now);
    show_pause(&mut board, "slow", 100, now);
    let first = board.place(&wish_of(0, 0, now), now, 0.0).unwrap();
    show_stream(&mut board, &first, 3);
    let mut wish = wish_of(0, 0, now);
    wish.objective_at = now + millis(2_000);
    wish.output_tokens = Some(1_500);

    let names: Vec<String> = (0..11)
        .filter_map(|index| board.place(&wish, now, f64::from(index) / 11.0))
        .map(|placed| placed.name)
        .collect();
    let full = board.place(&wish, now, 0.5);

    assert_eq!(first.name, "fast");
    assert_eq!(names, vec!["fast"; 11]);
    assert_eq!(full, None, "it waits for the one that can");
}

/// Guards against long prompts at slow engines: the streams that run there pause for too long
/// while the prompt is read.
#[test]
fn a_long_prompt_stalls_no_streams_at_a_slow_engine() {
    let now = start();
    let mut board = board_of(vec![engine("fast", 12), engine("slow", 12)]);
    show_pause(&mut board, "fast", 25, now);
    show_pause(&mut board, "slow", 100, now);
    let mut wish = wish_of(0, 12_000, now);
    wish.objective_at = now + millis(5_000);
    wish.event_gap_objective = Some(millis(400));

    let names: Vec<String> = (0..12)
        .filter_map(|index| {
            let placed = board.place(&wish, now, f64::from(index) / 12.0)?;
            board.record_first_event(POOL, &placed, millis(180));
            Some(placed.name)
        })
        .collect();

    assert_eq!(names, vec!["fast"; 12]);
}

/// Guards against a zone whose groups have no targets left while those of other zones keep
/// theirs to themselves.
#[test]
fn groups_of_a_zone_without_targets_take_a_part_of_the_others() {
    let mut sizes = Vec::new();
    for index in 0..8 {
        let own_zone = if index < 4 { "za" } else { "zb" };
        let mut table = PoolTable::new(own_zone.into());
        let members = (0..40).map(|target| engine(&format!("t{target:02}"), 1));
        table.set_targets(members.collect(), start());
        table.set_group_share(share_of(index));
        sizes.push(table.shard_targets().len());
    }

    assert_eq!(sizes, vec![5; 8]);
}
