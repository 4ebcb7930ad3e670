//! Many hosts before targets that are cold, in virtual time.

use std::time::Duration;

use cardamomgw::catalog::ColdLimit;
use cardamomgw::dispatch::AttemptOutcome;
use cardamomgw::dispatch::HostPosition;
use cardamomgw::dispatch::PlacementRequest;
use cardamomgw::dispatch::PoolMember;
use cardamomgw::dispatch::PoolTable;
use cardamomgw::dispatch::RequestPriority;
use cardamomgw::view::TargetPhase;
use cardamomgw::view::TargetRecord;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const POOL: &str = "engines";
const HOSTS: usize = 82;
const TARGETS: usize = 4;
const STEP: Duration = Duration::from_millis(20);
/// How long a target works on a request.
const SERVICE: Duration = Duration::from_millis(400);
const COLD_TIME: Duration = Duration::from_secs(3);
const LIMIT: ColdLimit = ColdLimit {
    requests_per_second: 16.0,
    duration: COLD_TIME,
};
/// What a cold target may get in any second, over all hosts.
const BOUND: usize = 29;

/// Requests that were sent: when, by which host, to which target.
type SentRequests = Vec<(Duration, usize, usize)>;

struct ColdWorld {
    tables: Vec<PoolTable>,
    /// When each host learns what happens.
    delays: Vec<Duration>,
    chance: ChaCha8Rng,
}

fn start() -> Duration {
    Duration::from_secs(100)
}

fn member(index: usize, revision: u64, cold_remaining: Duration) -> PoolMember {
    PoolMember {
        record: TargetRecord {
            name: format!("t{index}"),
            pool: POOL.into(),
            address: ([127, 0, 0, 1], 9000).into(),
            availability_zone: "za".into(),
            slots: 11,
            phase: TargetPhase::Ready,
            started_at_ms: 0,
            cold_remaining,
            revision,
        },
        engine: true,
        cold_limit: Some(LIMIT),
        evacuated: false,
    }
}

fn members(revision: u64, cold_remaining: Duration) -> Vec<PoolMember> {
    let targets = 0..TARGETS;
    targets
        .map(|index| member(index, revision, cold_remaining))
        .collect()
}

fn evacuated_members(evacuated: bool) -> Vec<PoolMember> {
    let mut members = members(1, Duration::ZERO);
    for member in &mut members {
        member.evacuated = evacuated;
    }
    members
}

fn request(now: Duration) -> PlacementRequest {
    PlacementRequest {
        pool: POOL.into(),
        priority: RequestPriority {
            account: 0,
            route: 0,
        },
        objective_at: now + Duration::from_millis(400),
        is_retry: false,
        prompt_tokens: 600,
        output_tokens: None,
        event_gap_objective: None,
        deadline: now + Duration::from_secs(12),
        tried: Vec::new(),
    }
}

impl ColdWorld {
    /// Makes hosts that learn what happens within `spread`.
    fn new(spread: Duration) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(7);
        let table = |index| {
            let mut table = PoolTable::new("za".into());
            let hosts = HOSTS;
            table.set_host_position(Some(HostPosition { index, hosts }));
            table
        };
        Self {
            tables: (0..HOSTS).map(table).collect(),
            delays: (0..HOSTS)
                .map(|_| spread.mul_f64(chance.random::<f64>()))
                .collect(),
            chance,
        }
    }

    /// Lets hosts with more requests than they can place act for `length` from `from` on;
    /// each learns of the targets by `learn` when its delay is over.
    fn run(
        &mut self,
        from: Duration,
        length: Duration,
        learn: impl Fn(&mut PoolTable, Duration),
    ) -> SentRequests {
        let mut sent = Vec::new();
        let mut running = Vec::new();
        let mut now = from;
        while now < from + length {
            for (host, table) in self.tables.iter_mut().enumerate() {
                let learns_at = from + self.delays[host];
                if now >= learns_at && now < learns_at + STEP {
                    learn(table, now);
                }
                while let Some(placed) = table.place(&request(now), now, self.chance.random()) {
                    let target: usize = placed.name[1..].parse().expect("targets are numbered");
                    sent.push((now, host, target));
                    running.push((now + SERVICE, host, placed));
                }
            }
            for (_, host, placed) in running.extract_if(.., |(end, _, _)| *end <= now) {
                self.tables[host].record_activity(POOL, &placed.name, now);
                self.tables[host].record_outcome(POOL, &placed, AttemptOutcome::Succeeded, now);
            }
            now += STEP;
        }
        sent
    }
}

/// Returns the most requests that a target got in a second.
fn most_in_a_second(sent: &SentRequests) -> usize {
    let of_target = |target: usize| {
        let times = sent.iter().filter(move |(_, _, held)| *held == target);
        let times: Vec<Duration> = times.map(|(at, _, _)| *at).collect();
        let ends = times.iter().enumerate();
        ends.map(|(first, at)| {
            let end = *at + Duration::from_secs(1);
            times.partition_point(|held| *held < end) - first
        })
        .max()
        .unwrap_or(0)
    };
    (0..TARGETS).map(of_target).max().unwrap_or(0)
}

/// Guards against all hosts sending to a target that comes back with all its slots free.
#[test]
fn hosts_share_the_rate_of_a_cold_target() {
    let mut world = ColdWorld::new(Duration::from_millis(300));

    let sent = world.run(start(), COLD_TIME, |table, now| {
        table.set_targets(members(5, COLD_TIME), now);
    });

    assert!(
        most_in_a_second(&sent) <= BOUND,
        "{}",
        most_in_a_second(&sent)
    );
    let per_target = sent.len() / TARGETS;
    assert!(per_target >= 25, "{per_target} in {COLD_TIME:?}");
}

/// Guards against turns that were not used being used later, by all hosts at once.
#[test]
fn unused_turns_are_not_kept() {
    let mut world = ColdWorld::new(Duration::from_millis(300));
    for table in &mut world.tables {
        table.set_targets(members(5, COLD_TIME * 3), start());
    }

    let sent = world.run(start() + COLD_TIME * 2, Duration::from_secs(2), |_, _| {});

    assert!(
        most_in_a_second(&sent) <= BOUND,
        "{}",
        most_in_a_second(&sent)
    );
}

/// Guards against a target that was lost drawing all hosts at its return, before its
/// registration says that it is cold.
#[test]
fn a_lost_target_is_used_by_turns_from_its_first_answer_on() {
    let mut world = ColdWorld::new(Duration::from_millis(700));
    for table in &mut world.tables {
        table.set_targets(members(1, Duration::ZERO), start());
        for _ in 0..TARGETS {
            let placed = table.place(&request(start()), start(), 0.1);
            let placed = placed.expect("nothing runs there");
            table.record_outcome(POOL, &placed, AttemptOutcome::Unreachable, start());
        }
    }
    let back = start() + Duration::from_secs(3);

    let sent = world.run(back, COLD_TIME, |table, now| {
        table.set_targets(members(5, COLD_TIME), now);
    });

    assert!(!sent.is_empty());
    assert!(
        most_in_a_second(&sent) <= BOUND,
        "{}",
        most_in_a_second(&sent)
    );
}

/// Guards against a restart of all hosts: before they know each other, each would take the
/// whole rate for its own.
#[test]
fn a_host_that_does_not_know_its_turn_sends_to_no_cold_target() {
    let mut table = PoolTable::new("za".into());
    table.set_targets(members(5, COLD_TIME), start());

    let placed = table.place(&request(start()), start(), 0.5);

    assert_eq!(placed, None);
}

/// Guards against turns that go on when the target has long been warm.
#[test]
fn a_target_is_used_freely_once_it_is_warm() {
    let mut world = ColdWorld::new(Duration::ZERO);
    for table in &mut world.tables {
        table.set_targets(members(5, COLD_TIME), start());
    }
    let warm = start() + COLD_TIME;

    let sent = world.run(warm, STEP, |_, _| {});

    assert!(sent.len() >= HOSTS * TARGETS, "{}", sent.len());
}

/// Guards against requests for an evacuated zone, and against all hosts sending to its
/// targets at once as it is taken back: they may have turned cold meanwhile.
#[test]
fn an_evacuated_zone_gets_nothing_and_is_taken_back_by_turns() {
    let mut world = ColdWorld::new(Duration::from_millis(300));
    for table in &mut world.tables {
        table.set_targets(evacuated_members(true), start());
    }

    let during = world.run(start(), Duration::from_secs(1), |_, _| {});
    let back = start() + Duration::from_secs(2);
    let after = world.run(back, Duration::from_secs(2), |table, now| {
        table.set_targets(evacuated_members(false), now);
    });

    assert_eq!(during.len(), 0);
    assert!(!after.is_empty());
    assert!(
        most_in_a_second(&after) <= BOUND,
        "{}",
        most_in_a_second(&after)
    );
}
