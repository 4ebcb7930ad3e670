//! What befalls the fleet: drawn from a seed, in series that overlap.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::LinkMode;

use super::soak_target::TargetMode;

/// How long after its SIGTERM a host is started again; its grace is six seconds.
const RESTART_AFTER: Duration = Duration::from_millis(6500);
/// When the first series begins, and how long a series' beginnings lie apart at most.
const FIRST_SERIES: Duration = Duration::from_millis(500);
const SERIES_SPREAD_MS: u64 = 700;
/// The pauses between series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 300..3500;
/// How long a trouble lasts, in milliseconds.
const TROUBLE_MS: std::ops::Range<u64> = 100..3000;
/// How long a host is paused or a key is away: at times beyond the five seconds for
/// which a key that was taken away may work.
const LONG_TROUBLE_MS: std::ops::Range<u64> = 100..8000;

/// For how long a host sleeps through the removal of a key, in milliseconds: longer than
/// such a key may work. The key is back behind it.
const SLEEP_MS: std::ops::Range<u64> = 5500..7500;
const KEY_AWAY: Duration = Duration::from_millis(9000);

/// What the generator of limits differs by from that of the other troubles.
const LIMIT_SEED: u64 = 0x6c69_6d69_7473;

/// One thing that is done to the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoakStep {
    PauseHost(usize),
    ResumeHost(usize),
    KillHost(usize),
    TerminateHost(usize),
    StartHost(usize),
    /// Writes half a settings file and sends SIGHUP; then the whole one again.
    TearSettings(usize),
    MendSettings(usize),
    StoreDown(bool),
    ForgetHistory,
    StoreLink(usize, LinkMode),
    StoreDelay(usize, u64),
    SilenceStore(usize),
    CrashTarget(usize),
    /// The target's entry lapses, and somebody else starts at its address.
    ReplaceTarget(usize),
    RetireTarget(usize),
    ReviveTarget(usize),
    ModeOf(usize, TargetMode),
    /// The target names how many requests per second it takes, or none any more.
    LimitOf(usize, Option<u32>),
    TargetLink(usize, LinkMode),
    TargetDelay(usize, u64),
    TakeKey,
    GiveKey,
    NewVersion,
}

/// A step and when it is taken, from the beginning on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedStep {
    pub(crate) at: Duration,
    pub(crate) step: SoakStep,
}

/// Draws what befalls a fleet of `hosts` and `targets` for `length`.
pub(crate) fn draw_plan(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    targets: usize,
    length: Duration,
) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut series = FIRST_SERIES;
    while series < length {
        for _ in 0..rng.random_range(1..=4) {
            let offset = Duration::from_millis(rng.random_range(0..SERIES_SPREAD_MS));
            draw_trouble(rng, hosts, targets, series + offset, &mut steps);
        }
        series += Duration::from_millis(rng.random_range(SERIES_PAUSE_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws limits that targets name meanwhile. They have a generator of their own: what else
/// a seed draws stays as it is.
pub(crate) fn draw_limits(seed: u64, targets: usize, length: Duration) -> Vec<TimedStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(0..=2) {
        let target = rng.random_range(0..targets);
        let at = length.mul_f64(rng.random_range(0.0..0.5));
        let limit = SoakStep::LimitOf(target, Some(rng.random_range(2..=8)));
        steps.push(TimedStep { at, step: limit });
        let at = at + length.mul_f64(rng.random_range(0.3..1.0));
        let end = SoakStep::LimitOf(target, None);
        steps.push(TimedStep { at, step: end });
    }
    steps
}

/// Draws one trouble and its end.
fn draw_trouble(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    targets: usize,
    at: Duration,
    steps: &mut Vec<TimedStep>,
) {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    let lasting = Duration::from_millis(rng.random_range(TROUBLE_MS));
    let long = Duration::from_millis(rng.random_range(LONG_TROUBLE_MS));
    let delay = rng.random_range(20..400);
    let cut = [
        LinkMode::Cut,
        LinkMode::Silent,
        LinkMode::SilentBack,
        LinkMode::SilentForth,
    ][rng.random_range(0..4)];
    let mode = [
        TargetMode::Slow,
        TargetMode::Mute,
        TargetMode::Full,
        TargetMode::Cutting,
        TargetMode::Garbling,
        TargetMode::Doubling,
        TargetMode::Failing,
    ][rng.random_range(0..7)];
    use SoakStep as Step;
    let mut add = |at: Duration, step: Step| steps.push(TimedStep { at, step });
    let (begin, end) = match rng.random_range(0..18) {
        // A host that wakes up believes what it knew, and callers wait at its door.
        17 => {
            let sleep = Duration::from_millis(rng.random_range(SLEEP_MS));
            add(at + lasting / 10, Step::TakeKey);
            add(at + KEY_AWAY, Step::GiveKey);
            (Step::PauseHost(host), Some((sleep, Step::ResumeHost(host))))
        }
        0 => (Step::PauseHost(host), Some((long, Step::ResumeHost(host)))),
        1 => (Step::KillHost(host), Some((lasting, Step::StartHost(host)))),
        2 | 3 => {
            let restart = Some((RESTART_AFTER, Step::StartHost(host)));
            (Step::TerminateHost(host), restart)
        }
        4 => {
            let mended = Some((lasting, Step::MendSettings(host)));
            (Step::TearSettings(host), mended)
        }
        5 => (Step::StoreDown(true), Some((long, Step::StoreDown(false)))),
        6 => (Step::ForgetHistory, None),
        7 => {
            let open = Some((long, Step::StoreLink(host, LinkMode::Open)));
            (Step::StoreLink(host, cut), open)
        }
        8 => {
            let quick = Some((lasting, Step::StoreDelay(host, 0)));
            (Step::StoreDelay(host, delay), quick)
        }
        9 => (Step::SilenceStore(host), None),
        10 => {
            let back = Some((lasting, Step::ReviveTarget(target)));
            (Step::CrashTarget(target), back)
        }
        11 => (Step::ReplaceTarget(target), None),
        12 => {
            let back = Some((lasting, Step::ReviveTarget(target)));
            (Step::RetireTarget(target), back)
        }
        13 => {
            let sound = Some((lasting, Step::ModeOf(target, TargetMode::Sound)));
            (Step::ModeOf(target, mode), sound)
        }
        14 => {
            let open = Some((lasting, Step::TargetLink(target, LinkMode::Open)));
            (Step::TargetLink(target, cut), open)
        }
        15 => {
            let quick = Some((lasting, Step::TargetDelay(target, 0)));
            (Step::TargetDelay(target, delay / 4), quick)
        }
        _ => (Step::TakeKey, Some((long, Step::GiveKey))),
    };
    add(at, begin);
    if let Some((after, step)) = end {
        add(at + after, step);
    }
    if rng.random_bool(0.1) {
        add(at, Step::NewVersion);
    }
}
