//! One soak from its seed to its verdict.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::soak_caller::FLEETING_KEY;
use super::soak_caller::SoakCaller;
use super::soak_fleet::SoakFleet;
use super::soak_ledger::SoakLedger;
use super::soak_plan::SoakStep;
use super::soak_plan::TimedStep;
use super::soak_plan::draw_limits;
use super::soak_plan::draw_plan;

/// How long the hosts have to find each other before anything befalls them.
const START_TIME: Duration = Duration::from_secs(2);
/// How long everything may take to be served again once all is healed, and for how long
/// that is looked at.
const HEAL_TIME: Duration = Duration::from_secs(6);
const LOOK_TIME: Duration = Duration::from_secs(4);
/// When a target names its limit in an otherwise calm fleet.
const CALM_START: Duration = Duration::from_secs(1);
/// How often processes are looked at between steps.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Numbers the runs of one process, for their hosts' addresses.
static NEXT_RUN: AtomicU8 = AtomicU8::new(0);

/// How large a soak is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakSize {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) callers: usize,
}

/// What a soak found.
pub(crate) struct SoakVerdict {
    /// What was done, one step a line.
    pub(crate) trace: Vec<String>,
    /// Broken promises.
    pub(crate) faults: Vec<String>,
    /// Requests, and those of them that had a whole answer.
    pub(crate) counts: (usize, usize),
}

impl SoakSize {
    /// Draws the usual size: three to five hosts.
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            hosts: rng.random_range(3..=5),
            targets: rng.random_range(4..=7),
            callers: 16,
        }
    }
}

/// Plays one soak in which things befall the fleet for `length`; its processes leave their output in `directory`.
pub(crate) fn play(seed: u64, size: Option<SoakSize>, length: Duration) -> SoakVerdict {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = SoakSize::draw(&mut rng);
    let size = size.unwrap_or(drawn);
    let mut plan = draw_plan(&mut rng, size.hosts, size.targets, length);
    plan.extend(draw_limits(seed, size.targets, length));
    plan.sort_by_key(|step| step.at);
    play_plan(seed, rng, size, &plan)
}

/// Plays a limit that one target names while nothing else befalls the fleet.
pub(crate) fn play_limit(seed: u64, size: SoakSize, length: Duration) -> SoakVerdict {
    let limit = |at: Duration, limit: Option<u32>| TimedStep {
        at,
        step: SoakStep::LimitOf(0, limit),
    };
    let plan = [limit(CALM_START, Some(3)), limit(length, None)];
    play_plan(seed, ChaCha8Rng::seed_from_u64(seed), size, &plan)
}

fn play_plan(seed: u64, mut rng: ChaCha8Rng, size: SoakSize, plan: &[TimedStep]) -> SoakVerdict {
    let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let directory = make_directory(seed, run);
    let ledger = Arc::new(SoakLedger::default());
    let sizes = (size.hosts, size.targets);
    let mut fleet = SoakFleet::start(run, sizes, &directory, Arc::clone(&ledger));
    // As hosts start, nothing is owed that depends on calm.
    let starting = ledger.begin_disturbance();
    thread::sleep(START_TIME);
    ledger.end_disturbance(starting);
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..size.callers)
        .map(|number| {
            let caller = SoakCaller {
                name: format!("{seed}-{number}"),
                hosts: fleet.caller_addresses(),
                rng: ChaCha8Rng::seed_from_u64(rng.random()),
                ledger: Arc::clone(&ledger),
                over: Arc::clone(&over),
            };
            thread::spawn(move || caller.run())
        })
        .collect();
    let trace = take_steps(plan, &mut fleet, &ledger);
    fleet.heal();
    let healed = watch(&mut fleet, &ledger, HEAL_TIME);
    watch(&mut fleet, &ledger, LOOK_TIME);
    over.store(true, Ordering::Release);
    for caller in callers {
        caller.join().unwrap();
    }
    let mut faults = fleet.end();
    faults.extend(ledger.judge(size.hosts, healed, FLEETING_KEY));
    SoakVerdict {
        trace,
        faults,
        counts: ledger.counts(),
    }
}

fn take_steps(plan: &[TimedStep], fleet: &mut SoakFleet, ledger: &SoakLedger) -> Vec<String> {
    let began = Instant::now();
    let mut trace = Vec::new();
    for step in plan {
        watch(fleet, ledger, step.at.saturating_sub(began.elapsed()));
        trace.push(format!("{:?} {:?}", began.elapsed(), step.step));
        fleet.take(step.step);
    }
    trace
}

/// Looks at the processes for `time`, and returns when that was over.
fn watch(fleet: &mut SoakFleet, ledger: &SoakLedger, time: Duration) -> Instant {
    let end = Instant::now() + time;
    loop {
        for fault in fleet.look() {
            ledger.note_fault(fault);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return end;
        }
        thread::sleep(left.min(LOOK_PAUSE));
    }
}

fn make_directory(seed: u64, run: u8) -> PathBuf {
    let process = std::process::id();
    let name = format!("soak-{process}-{run}-{seed}");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    directory
}
