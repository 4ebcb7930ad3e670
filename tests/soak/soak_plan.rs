//! Random schedule of faults, drawn from a seed in overlapping bursts.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::LinkMode;
use standins::PathMode;

use super::soak_target::TargetMode;

/// Delay from SIGTERM to the restart of a host; its grace period is six seconds.
const RESTART_AFTER: Duration = Duration::from_millis(6500);
/// Start of the first burst, and maximum offset of a fault from the start of its burst.
const FIRST_BURST: Duration = Duration::from_millis(500);
const BURST_SPREAD_MS: u64 = 700;
/// Interval between the starts of bursts, in milliseconds.
const BURST_PAUSE_MS: std::ops::Range<u64> = 300..3500;
/// Duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 100..3000;
/// Duration of faults such as a paused host or a removed key, in milliseconds. It can exceed
/// the five seconds for which a removed key may still be accepted.
const LONG_FAULT_MS: std::ops::Range<u64> = 100..8000;

/// How long a host is paused across the removal of a key, in milliseconds: longer than a
/// removed key may be accepted. The key is restored after the host resumes.
const LONG_PAUSE_MS: std::ops::Range<u64> = 5500..7500;
const KEY_REMOVED_TIME: Duration = Duration::from_millis(9000);

/// Time from a target's leaving until it comes back.
const RETURN_AFTER: Duration = Duration::from_millis(4500);

/// How long targets answer without a length, in milliseconds.
const UNFRAMED_MS: u64 = 12_000;

/// Mask that derives the seed of the limit generator from the soak's seed.
const LIMIT_SEED_MASK: u64 = 0x6c69_6d69_7473;

/// A fault that is injected into the fleet, or the end of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoakStep {
    PauseHost(usize),
    ResumeHost(usize),
    KillHost(usize),
    TerminateHost(usize),
    StartHost(usize),
    /// Writes half a settings file and sends SIGHUP; `RestoreSettings` writes the complete one.
    TruncateSettings(usize),
    RestoreSettings(usize),
    SetStoreDown(bool),
    CompactHistory,
    SetStoreLink(usize, LinkMode),
    SetStoreDelay(usize, u64),
    SilenceStoreLink(usize),
    CrashTarget(usize),
    /// The target's registration is removed, and another target starts at its address.
    ReplaceTarget(usize),
    RetireTarget(usize),
    /// The target announces its leaving to the store only, and serves on.
    LeaveQuietly(usize),
    /// The store continues from a copy without the changes of so many milliseconds.
    RewindStore(u64),
    /// What the store lost is written again.
    RewriteStore,
    RestartTarget(usize),
    /// A target of this software version starts where one has left.
    JoinTarget(usize, u32),
    SetTargetMode(usize, TargetMode),
    /// The target announces a limit in requests per second, or none any more.
    SetTargetLimit(usize, Option<u32>),
    SetTargetLink(usize, LinkMode),
    SetTargetDelay(usize, u64),
    /// All targets fall over after so many rejections in a second, or bear any number.
    SetBrittle(Option<usize>),
    /// Most new connections go to one host, or to all alike.
    CrowdHost(Option<usize>),
    /// The host's paths to all targets change.
    SetPaths(usize, PathMode),
    RemoveKey,
    RestoreKey,
    PublishVersion,
}

/// A step and its time since the start of fault injection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedStep {
    pub(crate) at: Duration,
    pub(crate) step: SoakStep,
}

/// Draws the faults for a fleet of `hosts` and `targets` over `length`.
pub(crate) fn draw_plan(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    targets: usize,
    length: Duration,
) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut burst = FIRST_BURST;
    while burst < length {
        for _ in 0..rng.random_range(1..=4) {
            let offset = Duration::from_millis(rng.random_range(0..BURST_SPREAD_MS));
            draw_fault(rng, hosts, targets, burst + offset, &mut steps);
        }
        burst += Duration::from_millis(rng.random_range(BURST_PAUSE_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws limits that targets announce. They have a separate generator, so that the other faults
/// of a seed do not depend on them.
pub(crate) fn draw_limits(seed: u64, targets: usize, length: Duration) -> Vec<TimedStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED_MASK);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(0..=2) {
        let target = rng.random_range(0..targets);
        let at = length.mul_f64(rng.random_range(0.0..0.5));
        let limit = SoakStep::SetTargetLimit(target, Some(rng.random_range(2..=8)));
        steps.push(TimedStep { at, step: limit });
        let at = at + length.mul_f64(rng.random_range(0.3..1.0));
        let end = SoakStep::SetTargetLimit(target, None);
        steps.push(TimedStep { at, step: end });
    }
    steps
}

/// Draws times at which the store goes back to an older copy of itself, with targets that leave
/// before and after, a key that is removed, and hosts that are killed meanwhile.
pub(crate) fn draw_rewinds(rng: &mut ChaCha8Rng, hosts: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut add = |at: u64, step: SoakStep| {
        let at = Duration::from_millis(at);
        steps.push(TimedStep { at, step });
    };
    let killed = rng.random_range(0..hosts);
    let left = rng.random_range(500..1500);
    add(left, SoakStep::LeaveQuietly(0));
    add(left + 300, SoakStep::RemoveKey);
    add(left + 350, SoakStep::PublishVersion);
    add(left + 400, SoakStep::PublishVersion);
    let down = left + rng.random_range(700..1500);
    add(down, SoakStep::SetStoreDown(true));
    let up = down + rng.random_range(100..1500);
    add(
        up,
        SoakStep::RewindStore(rng.random_range(300..up - left + 500)),
    );
    add(up, SoakStep::SetStoreDown(false));
    let killed_at = up - rng.random_range(0..600);
    add(killed_at, SoakStep::KillHost(killed));
    let started_at = killed_at + rng.random_range(200..800);
    add(started_at, SoakStep::StartHost(killed));
    // A burst of writes that exceeds the revision which hosts hold of the era before.
    let second = up + rng.random_range(100..800);
    add(second, SoakStep::LeaveQuietly(1));
    for _ in 0..5 {
        add(second, SoakStep::PublishVersion);
    }
    let rewritten = second + rng.random_range(100..1000);
    add(rewritten, SoakStep::RewriteStore);
    add(
        rewritten + rng.random_range(500..2500),
        SoakStep::RestoreKey,
    );
    let again = rewritten + rng.random_range(2500..4000);
    add(again, SoakStep::RewindStore(rng.random_range(300..3000)));
    add(again + rng.random_range(100..1500), SoakStep::RewriteStore);
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws targets that answer without a length, most of which break answers off, and hosts that
/// are killed, paused or stopped meanwhile.
pub(crate) fn draw_responses(rng: &mut ChaCha8Rng, hosts: usize, targets: usize) -> Vec<TimedStep> {
    let modes = [
        TargetMode::Unframed,
        TargetMode::UnframedTorn,
        TargetMode::UnframedReset,
    ];
    let mut steps = Vec::new();
    let mut add = |at: u64, step: SoakStep| {
        let at = Duration::from_millis(at);
        steps.push(TimedStep { at, step });
    };
    for target in 0..targets {
        let mut at = rng.random_range(0..2000);
        while at < UNFRAMED_MS {
            let mode = modes[rng.random_range(0..modes.len())];
            add(at, SoakStep::SetTargetMode(target, mode));
            at += rng.random_range(500..4000);
            add(at, SoakStep::SetTargetMode(target, TargetMode::Healthy));
            at += rng.random_range(0..2000);
        }
    }
    steps.extend(draw_host_stops(rng, hosts));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws one kill, pause or stop of each host.
pub(crate) fn draw_host_stops(rng: &mut ChaCha8Rng, hosts: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    for host in 0..hosts {
        let at = rng.random_range(1000..UNFRAMED_MS / 2);
        let (begin, end) = match rng.random_range(0..3) {
            0 => (SoakStep::KillHost(host), SoakStep::StartHost(host)),
            1 => (SoakStep::PauseHost(host), SoakStep::ResumeHost(host)),
            _ => (SoakStep::TerminateHost(host), SoakStep::StartHost(host)),
        };
        let down = match begin {
            SoakStep::TerminateHost(_) => RESTART_AFTER.as_millis() as u64,
            _ => rng.random_range(200..3000),
        };
        for (at, step) in [(at, begin), (at + down, end)] {
            let at = Duration::from_millis(at);
            steps.push(TimedStep { at, step });
        }
    }
    steps
}

/// Draws hosts that are killed, paused or stopped while targets fall over after `rejections` in a
/// second.
pub(crate) fn draw_brittle(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    rejections: usize,
) -> Vec<TimedStep> {
    let mut steps = draw_host_stops(rng, hosts);
    for (at, brittle) in [(500, Some(rejections)), (UNFRAMED_MS, None)] {
        steps.push(TimedStep {
            at: Duration::from_millis(at),
            step: SoakStep::SetBrittle(brittle),
        });
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws hosts that get most connections in turn, while targets fall over after `rejections` in a
/// second, and others that are killed, paused or stopped meanwhile.
pub(crate) fn draw_crowds(rng: &mut ChaCha8Rng, hosts: usize, rejections: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut add = |at: u64, step: SoakStep| {
        let at = Duration::from_millis(at);
        steps.push(TimedStep { at, step });
    };
    add(500, SoakStep::SetBrittle(Some(rejections)));
    let mut at = 3500;
    for _ in 0..2 {
        let crowded = rng.random_range(0..hosts);
        add(at, SoakStep::CrowdHost(Some(crowded)));
        if rng.random_bool(0.5) {
            let other = (crowded + rng.random_range(1..hosts)) % hosts;
            let killed_at = at + rng.random_range(0..2000);
            add(killed_at, SoakStep::KillHost(other));
            add(
                killed_at + rng.random_range(200..1500),
                SoakStep::StartHost(other),
            );
        }
        at += rng.random_range(5000..7000);
        add(at, SoakStep::CrowdHost(None));
        at += rng.random_range(2500..3500);
    }
    add(at, SoakStep::SetBrittle(None));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws answers that break off, hosts that are killed, paused or stopped, and targets that leave
/// and come back with another software version.
pub(crate) fn draw_versions(rng: &mut ChaCha8Rng, hosts: usize, targets: usize) -> Vec<TimedStep> {
    let mut steps = draw_responses(rng, hosts, targets);
    for _ in 0..targets / 3 {
        // The first two targets keep their pools.
        let target = rng.random_range(2..targets);
        let at = Duration::from_millis(rng.random_range(0..UNFRAMED_MS / 2));
        steps.push(TimedStep {
            at,
            step: SoakStep::RetireTarget(target),
        });
        steps.push(TimedStep {
            at: at + RETURN_AFTER,
            step: SoakStep::RestartTarget(target),
        });
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws hosts that lose their paths to all targets, twice each at most, and hosts that are killed,
/// paused or stopped meanwhile. One host is never cut off.
pub(crate) fn draw_cuts(rng: &mut ChaCha8Rng, hosts: usize) -> Vec<TimedStep> {
    let modes = [PathMode::Reset, PathMode::Refusing, PathMode::Hanging];
    let mut steps = Vec::new();
    let mut add = |at: u64, step: SoakStep| {
        let at = Duration::from_millis(at);
        steps.push(TimedStep { at, step });
    };
    for host in 1..hosts {
        let mut at = rng.random_range(0..4000);
        for _ in 0..rng.random_range(1..=2) {
            let mode = modes[rng.random_range(0..modes.len())];
            add(at, SoakStep::SetPaths(host, mode));
            at += rng.random_range(1000..9000);
            add(at, SoakStep::SetPaths(host, PathMode::Open));
            at += rng.random_range(500..3000);
        }
    }
    for _ in 0..rng.random_range(0..=2) {
        let host = rng.random_range(0..hosts);
        let at = rng.random_range(1000..12_000);
        match rng.random_range(0..3) {
            0 => {
                add(at, SoakStep::KillHost(host));
                add(at + rng.random_range(200..2000), SoakStep::StartHost(host));
            }
            1 => {
                add(at, SoakStep::PauseHost(host));
                add(at + rng.random_range(200..4000), SoakStep::ResumeHost(host));
            }
            _ => {
                add(at, SoakStep::TerminateHost(host));
                let restart = at + RESTART_AFTER.as_millis() as u64;
                add(restart, SoakStep::StartHost(host));
            }
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws one fault and its end.
fn draw_fault(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    targets: usize,
    at: Duration,
    steps: &mut Vec<TimedStep>,
) {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    let duration = Duration::from_millis(rng.random_range(FAULT_MS));
    let long_duration = Duration::from_millis(rng.random_range(LONG_FAULT_MS));
    let delay = rng.random_range(20..400);
    let cut = [
        LinkMode::Cut,
        LinkMode::Silent,
        LinkMode::SilentBack,
        LinkMode::SilentForth,
    ][rng.random_range(0..4)];
    let mode = [
        TargetMode::Slow,
        TargetMode::Unresponsive,
        TargetMode::Overloaded,
        TargetMode::Truncating,
        TargetMode::Malformed,
        TargetMode::Duplicating,
        TargetMode::Failing,
    ][rng.random_range(0..7)];
    use SoakStep as Step;
    let mut add = |at: Duration, step: Step| steps.push(TimedStep { at, step });
    let (begin, end) = match rng.random_range(0..18) {
        // A resumed host still holds the old configuration, and callers' requests wait unread on
        // its sockets.
        17 => {
            let pause = Duration::from_millis(rng.random_range(LONG_PAUSE_MS));
            add(at + duration / 10, Step::RemoveKey);
            add(at + KEY_REMOVED_TIME, Step::RestoreKey);
            (Step::PauseHost(host), Some((pause, Step::ResumeHost(host))))
        }
        0 => (
            Step::PauseHost(host),
            Some((long_duration, Step::ResumeHost(host))),
        ),
        1 => (
            Step::KillHost(host),
            Some((duration, Step::StartHost(host))),
        ),
        2 | 3 => {
            let restart = Some((RESTART_AFTER, Step::StartHost(host)));
            (Step::TerminateHost(host), restart)
        }
        4 => {
            let restore = Some((duration, Step::RestoreSettings(host)));
            (Step::TruncateSettings(host), restore)
        }
        5 => (
            Step::SetStoreDown(true),
            Some((long_duration, Step::SetStoreDown(false))),
        ),
        6 => (Step::CompactHistory, None),
        7 => {
            let open = Some((long_duration, Step::SetStoreLink(host, LinkMode::Open)));
            (Step::SetStoreLink(host, cut), open)
        }
        8 => {
            let no_delay = Some((duration, Step::SetStoreDelay(host, 0)));
            (Step::SetStoreDelay(host, delay), no_delay)
        }
        9 => (Step::SilenceStoreLink(host), None),
        10 => {
            let restart = Some((duration, Step::RestartTarget(target)));
            (Step::CrashTarget(target), restart)
        }
        11 => (Step::ReplaceTarget(target), None),
        12 => {
            let restart = Some((duration, Step::RestartTarget(target)));
            (Step::RetireTarget(target), restart)
        }
        13 => {
            let healthy = Some((duration, Step::SetTargetMode(target, TargetMode::Healthy)));
            (Step::SetTargetMode(target, mode), healthy)
        }
        14 => {
            let open = Some((duration, Step::SetTargetLink(target, LinkMode::Open)));
            (Step::SetTargetLink(target, cut), open)
        }
        15 => {
            let no_delay = Some((duration, Step::SetTargetDelay(target, 0)));
            (Step::SetTargetDelay(target, delay / 4), no_delay)
        }
        _ => (Step::RemoveKey, Some((long_duration, Step::RestoreKey))),
    };
    add(at, begin);
    if let Some((after, step)) = end {
        add(at + after, step);
    }
    if rng.random_bool(0.1) {
        add(at, Step::PublishVersion);
    }
}
