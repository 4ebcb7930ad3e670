//! Runs one soak from its seed to its report.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::rejoin_plan::draw_rejoins;
use super::rejoin_streams::RejoinCaller;
use super::rejoin_streams::RejoinRecord;
use super::rejoin_streams::unix_ms;
use super::soak_caller::REVOCABLE_KEY;
use super::soak_caller::SoakCaller;
use super::soak_fleet::SoakFleet;
use super::soak_fleet::TargetRoutes;
use super::soak_fleet::TargetVersions;
use super::soak_history::SoakHistory;
use super::soak_parts::PartCaller;
use super::soak_plan::SoakStep;
use super::soak_plan::TimedStep;
use super::soak_plan::draw_brittle;
use super::soak_plan::draw_crowds;
use super::soak_plan::draw_cuts;
use super::soak_plan::draw_host_stops;
use super::soak_plan::draw_limits;
use super::soak_plan::draw_plan;
use super::soak_plan::draw_responses;
use super::soak_plan::draw_rewinds;
use super::soak_plan::draw_versions;
use super::soak_poison::CrashPoint;
use super::soak_poison::PoisonCaller;
use super::soak_routes::SoakRoute;
use super::soak_target::TargetMode;
use super::soak_versions::VersionCaller;
use super::soak_versions::VersionCounts;
use super::soak_versions::check_versions;

/// Time for the hosts to find each other before faults are injected.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time for the fleet to recover after the last fault, and how long it is observed after that.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(4);
/// When a target announces its limit in an otherwise undisturbed fleet.
const LIMIT_START: Duration = Duration::from_secs(1);
/// Interval of process checks between steps.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Rejections in a second after which a brittle target falls over.
const MAX_REJECTIONS: usize = 5;
/// Time from the first faults until falls count, and the number that is allowed besides a tenth of
/// the targets.
const BRITTLE_CONTACT_TIME: Duration = Duration::from_secs(4);
const MAX_FALLS: usize = 2;

/// Run numbers within a test process, which determine the hosts' addresses.
static NEXT_RUN: AtomicU8 = AtomicU8::new(0);

/// Size of a soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakSize {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) callers: usize,
    /// Callers whose requests crash the targets that run them.
    pub(crate) poison_callers: usize,
    /// Callers that ask for the rest of broken streams, of targets of two software versions.
    pub(crate) version_callers: usize,
    /// Callers some of whose requests have a part that crashes targets.
    pub(crate) part_callers: usize,
    /// Callers that take streams up again through releases.
    pub(crate) rejoin_callers: usize,
    /// Whether targets crash within responses without a length, rather than others.
    pub(crate) unframed_crashes: bool,
}

/// Result of a soak.
pub(crate) struct SoakReport {
    /// The applied steps, one per line.
    pub(crate) trace: Vec<String>,
    /// Violated guarantees.
    pub(crate) violations: Vec<String>,
    /// Number of requests, and of those with a complete answer.
    pub(crate) counts: (usize, usize),
}

impl SoakSize {
    /// Draws the default size: three to five hosts.
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            hosts: rng.random_range(3..=5),
            targets: rng.random_range(4..=7),
            callers: 16,
            poison_callers: 0,
            version_callers: 0,
            part_callers: 0,
            rejoin_callers: 0,
            unframed_crashes: false,
        }
    }
}

/// Runs a soak with random faults over `length`.
pub(crate) fn run_soak(seed: u64, size: Option<SoakSize>, length: Duration) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = SoakSize::draw(&mut rng);
    let size = size.unwrap_or(drawn);
    let mut plan = draw_plan(&mut rng, size.hosts, size.targets, length);
    plan.extend(draw_limits(seed, size.targets, length));
    plan.sort_by_key(|step| step.at);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak in which one target announces a limit and nothing else disturbs the fleet.
pub(crate) fn run_limit_soak(seed: u64, size: SoakSize, length: Duration) -> SoakReport {
    let limit = |at: Duration, limit: Option<u32>| TimedStep {
        at,
        step: SoakStep::SetTargetLimit(0, limit),
    };
    let plan = [limit(LIMIT_START, Some(3)), limit(length, None)];
    run_plan(seed, ChaCha8Rng::seed_from_u64(seed), size, &plan)
}

/// Runs a soak in which two targets leave while the store is unavailable, and another one
/// rejects all requests.
pub(crate) fn run_statement_soak(seed: u64, size: SoakSize) -> SoakReport {
    let steps = [
        (1000, SoakStep::SetStoreDown(true)),
        (1200, SoakStep::RetireTarget(0)),
        (1400, SoakStep::RetireTarget(1)),
        (1500, SoakStep::SetTargetMode(2, TargetMode::Overloaded)),
        (7500, SoakStep::SetTargetMode(2, TargetMode::Healthy)),
        (9000, SoakStep::SetStoreDown(false)),
        (10_000, SoakStep::SetTargetMode(3, TargetMode::Overloaded)),
        (14_000, SoakStep::SetTargetMode(3, TargetMode::Healthy)),
    ];
    let plan = steps.map(|(millis, step)| TimedStep {
        at: Duration::from_millis(millis),
        step,
    });
    run_plan(seed, ChaCha8Rng::seed_from_u64(seed), size, &plan)
}

/// Runs a soak in which the store goes back to older copies of itself, while requests crash the
/// targets that run them.
pub(crate) fn run_rewind_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 8,
        poison_callers: 2,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_rewinds(&mut rng, size.hosts);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak in which targets answer without a length and break such answers off, while hosts
/// are killed, paused and stopped, and requests crash the targets that run them.
pub(crate) fn run_response_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 8,
        poison_callers: 2,
        unframed_crashes: true,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_responses(&mut rng, size.hosts, size.targets);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak in which hosts lose their paths to all targets, while others are killed, paused and
/// stopped.
pub(crate) fn run_path_soak(seed: u64, size: Option<SoakSize>) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = SoakSize {
        targets: 6,
        ..SoakSize::draw(&mut rng)
    };
    let size = size.unwrap_or(drawn);
    let plan = draw_cuts(&mut rng, size.hosts);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak with more requests than targets have room for, which fall over when they have to
/// reject many.
pub(crate) fn run_brittle_soak(seed: u64) -> SoakReport {
    let size = SoakSize {
        hosts: 5,
        targets: 4,
        callers: 60,
        poison_callers: 0,
        version_callers: 0,
        part_callers: 0,
        rejoin_callers: 0,
        unframed_crashes: false,
    };
    let step = |at: u64, step: SoakStep| TimedStep {
        at: Duration::from_millis(at),
        step,
    };
    let plan = [
        step(1000, SoakStep::SetBrittle(Some(MAX_REJECTIONS))),
        step(13_000, SoakStep::SetBrittle(None)),
    ];
    run_plan(seed, ChaCha8Rng::seed_from_u64(seed), size, &plan)
}

/// Runs a soak in which streams break off at targets of two software versions, which are replaced
/// by ones of the other, while hosts are killed, paused and stopped.
pub(crate) fn run_version_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 12,
        callers: 8,
        version_callers: 8,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_versions(&mut rng, size.hosts, size.targets);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak in which `releases` software versions replace each other, while hosts are killed all
/// at once and one by one, paused and stopped, and targets break streams off.
pub(crate) fn run_rejoin_soak(seed: u64, size: Option<SoakSize>, releases: u32) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = SoakSize {
        targets: 14,
        callers: 4,
        rejoin_callers: 16,
        ..SoakSize::draw(&mut rng)
    };
    let size = size.unwrap_or(drawn);
    let plan = draw_rejoins(&mut rng, size.hosts, size.targets, releases);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak like [`run_brittle_soak`] in which hosts are killed, paused and stopped.
pub(crate) fn run_brittle_restart_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 4,
        callers: 60,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_brittle(&mut rng, size.hosts, MAX_REJECTIONS);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak in which parts of prompts crash the targets that run them, while hosts are killed,
/// paused and stopped.
pub(crate) fn run_part_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 16,
        callers: 8,
        part_callers: 8,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_host_stops(&mut rng, size.hosts);
    run_plan(seed, rng, size, &plan)
}

/// Runs a soak with brittle targets in which hosts get most connections in turn.
pub(crate) fn run_crowd_soak(seed: u64) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = SoakSize {
        targets: 8,
        ..SoakSize::draw(&mut rng)
    };
    let plan = draw_crowds(&mut rng, size.hosts, MAX_REJECTIONS);
    run_plan(seed, rng, size, &plan)
}

fn run_plan(seed: u64, mut rng: ChaCha8Rng, size: SoakSize, plan: &[TimedStep]) -> SoakReport {
    let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let directory = make_directory(seed, run);
    let history = Arc::new(SoakHistory::default());
    let sizes = (size.hosts, size.targets);
    let routes = target_routes(size, plan);
    let versions = match size {
        _ if size.rejoin_callers > 0 => TargetVersions::Released,
        _ if size.version_callers > 0 => TargetVersions::Mixed,
        _ => TargetVersions::Single,
    };
    let mut fleet = SoakFleet::start(
        run,
        sizes,
        routes,
        versions,
        &directory,
        Arc::clone(&history),
    );
    // Guarantees for undisturbed fleets do not apply while hosts start.
    let starting = history.begin_disturbance();
    thread::sleep(STARTUP_TIME);
    history.end_disturbance(starting);
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers: Vec<_> = (0..size.callers)
        .map(|number| {
            let caller = SoakCaller {
                name: format!("{seed}-{number}"),
                hosts: fleet.caller_addresses(),
                rng: ChaCha8Rng::seed_from_u64(rng.random()),
                history: Arc::clone(&history),
                stop: Arc::clone(&stop),
            };
            thread::spawn(move || caller.run())
        })
        .collect();
    callers.extend((0..size.poison_callers).map(|number| {
        let caller = PoisonCaller {
            name: format!("{seed}-{number}"),
            hosts: fleet.caller_addresses(),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            history: Arc::clone(&history),
            stop: Arc::clone(&stop),
            points: match size.unframed_crashes {
                true => CrashPoint::UNFRAMED,
                false => CrashPoint::FRAMED,
            },
        };
        thread::spawn(move || caller.run())
    }));
    let counts = Arc::<Mutex<VersionCounts>>::default();
    callers.extend((0..size.version_callers).map(|number| {
        let caller = VersionCaller {
            name: format!("{seed}-{number}"),
            hosts: fleet.caller_addresses(),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            history: Arc::clone(&history),
            counts: Arc::clone(&counts),
            stop: Arc::clone(&stop),
        };
        thread::spawn(move || caller.run())
    }));
    let rejoins = Arc::<Mutex<RejoinRecord>>::default();
    callers.extend((0..size.rejoin_callers).map(|number| {
        let caller = RejoinCaller {
            name: format!("{seed}-{number}"),
            hosts: fleet.caller_addresses(),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            history: Arc::clone(&history),
            record: Arc::clone(&rejoins),
            stop: Arc::clone(&stop),
        };
        thread::spawn(move || caller.run())
    }));
    callers.extend((0..size.part_callers).map(|number| {
        let caller = PartCaller {
            name: format!("{seed}-{number}"),
            hosts: fleet.caller_addresses(),
            route: SoakRoute::ALL[number % SoakRoute::ALL.len()],
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            history: Arc::clone(&history),
            stop: Arc::clone(&stop),
        };
        thread::spawn(move || caller.run())
    }));
    let faults_from = Instant::now();
    let trace = apply_steps(plan, &mut fleet, &history);
    fleet.clear_faults();
    let recovered_by = watch(&mut fleet, &history, RECOVERY_TIME);
    watch(&mut fleet, &history, RECOVERY_CHECK_TIME);
    stop.store(true, Ordering::Release);
    for caller in callers {
        caller.join().unwrap();
    }
    let mut violations = fleet.shut_down();
    let falls = history.falls_since(faults_from + BRITTLE_CONTACT_TIME);
    if falls > MAX_FALLS + size.targets / 10 {
        violations.push(format!("brittle targets fell over {falls} times"));
    }
    violations.extend(check_versions(&counts.lock().unwrap()));
    let (broken, attempts) = rejoins
        .lock()
        .unwrap()
        .check(&history.serving.lock().unwrap());
    violations.extend(broken);
    violations.extend(history.check(size.hosts, recovered_by, REVOCABLE_KEY));
    let mut timeline = trace.clone();
    timeline.extend(attempts);
    timeline.extend(violations.iter().cloned());
    std::fs::write(directory.join("timeline.txt"), timeline.join("\n")).unwrap();
    SoakReport {
        trace,
        violations,
        counts: history.counts(),
    }
}

fn target_routes(size: SoakSize, plan: &[TimedStep]) -> TargetRoutes {
    let crashes = |step: &TimedStep| matches!(step.step, SoakStep::SetBrittle(_));
    let cuts = |step: &TimedStep| matches!(step.step, SoakStep::SetPaths(..));
    if size.poison_callers + size.version_callers + size.part_callers + size.rejoin_callers > 0
        || plan.iter().any(crashes)
    {
        TargetRoutes::Direct
    } else if plan.iter().any(cuts) {
        TargetRoutes::Paths
    } else {
        TargetRoutes::Links
    }
}

fn apply_steps(plan: &[TimedStep], fleet: &mut SoakFleet, history: &SoakHistory) -> Vec<String> {
    let began = Instant::now();
    let mut trace = Vec::new();
    for step in plan {
        watch(fleet, history, step.at.saturating_sub(began.elapsed()));
        let now = unix_ms(Instant::now());
        trace.push(format!("{now} {:?} {:?}", began.elapsed(), step.step));
        fleet.apply(step.step);
    }
    trace
}

/// Checks the processes for `time`, and returns when that ended.
fn watch(fleet: &mut SoakFleet, history: &SoakHistory, time: Duration) -> Instant {
    let end = Instant::now() + time;
    loop {
        for violation in fleet.check_processes() {
            history.record_violation(violation);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return end;
        }
        thread::sleep(left.min(CHECK_INTERVAL));
    }
}

/// Creates the directory for the settings and the output of a soak's processes.
fn make_directory(seed: u64, run: u8) -> PathBuf {
    let process = std::process::id();
    let name = format!("soak-{process}-{run}-{seed}");
    let base = std::env::var_os("SOAK_LOGS")
        .map_or_else(|| PathBuf::from(env!("CARGO_TARGET_TMPDIR")), PathBuf::from);
    let directory = base.join(name);
    std::fs::create_dir_all(&directory).unwrap();
    directory
}
