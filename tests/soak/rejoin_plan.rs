//! Schedule of releases, restarts and faults of streams, drawn from a seed in overlapping series.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use standins::LinkMode;

use super::soak_plan::SoakStep;
use super::soak_plan::TimedStep;
use super::soak_target::TargetMode;

/// First target that runs streams in a fleet with releases; those before serve other requests.
pub(crate) const FIRST_ENGINE: usize = 2;
/// Start of the first release and the interval of releases, in milliseconds.
const FIRST_RELEASE_MS: u64 = 1000;
const RELEASE_INTERVAL_MS: u64 = 9000;
/// Times within a release, in milliseconds: when targets of the new version join, when those of
/// the old one begin to drain, and by when they are gone.
const JOIN_MS: std::ops::Range<u64> = 0..1200;
const DRAIN_MS: std::ops::Range<u64> = 2800..4200;
const DRAIN_SPREAD_MS: u64 = 400;
const LEAVING_MS: u64 = 3000;
/// Time of SIGTERM until the restart of a host, as in its grace period.
const TERMINATED_MS: u64 = 6500;
/// Probability of each kill of all hosts, and of a crash and of a silent store in a release.
const KILL_SHARE: f64 = 0.75;
const FAULT_SHARE: f64 = 0.7;

/// Collects steps by their time in milliseconds.
#[derive(Default)]
struct StepList(Vec<TimedStep>);

impl StepList {
    fn add(&mut self, at: u64, step: SoakStep) {
        let at = Duration::from_millis(at);
        self.0.push(TimedStep { at, step });
    }
}

/// Draws `releases` software versions that replace each other.
pub(crate) fn draw_rejoins(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    targets: usize,
    releases: u32,
) -> Vec<TimedStep> {
    let mut steps = StepList::default();
    for release in 0..releases {
        let begin = FIRST_RELEASE_MS + RELEASE_INTERVAL_MS * u64::from(release);
        let drain = begin + rng.random_range(DRAIN_MS);
        for target in FIRST_ENGINE..targets {
            // Odd targets are free before the first release, even ones before the second.
            if (target % 2 == 1) == (release % 2 == 0) {
                let at = begin + rng.random_range(JOIN_MS);
                steps.add(at, SoakStep::JoinTarget(target, release + 2));
            } else {
                let at = drain + rng.random_range(0..DRAIN_SPREAD_MS);
                steps.add(at, SoakStep::RetireTarget(target));
            }
        }
        if rng.random_bool(KILL_SHARE) {
            // Targets of both versions serve.
            let at = begin + rng.random_range(JOIN_MS.end + 100..DRAIN_MS.start);
            let down = rng.random_range(200..2500);
            kill_all(rng, hosts, at, down, &mut steps);
        }
        if rng.random_bool(KILL_SHARE) {
            // Streams of the old version break off, and hosts start just after it has left.
            let left = drain + DRAIN_SPREAD_MS + LEAVING_MS;
            let at = left - rng.random_range(0..LEAVING_MS);
            let down = left - at + rng.random_range(100..1200);
            kill_all(rng, hosts, at, down, &mut steps);
        }
        for _ in 0..rng.random_range(1..=2 + hosts / 4) {
            let at = begin + rng.random_range(0..DRAIN_MS.end);
            let host = rng.random_range(0..hosts);
            stop_host(rng, host, at, &mut steps);
        }
        if rng.random_bool(FAULT_SHARE) {
            let host = rng.random_range(0..hosts);
            let at = begin + rng.random_range(0..DRAIN_MS.end);
            let mode = [LinkMode::Silent, LinkMode::SilentBack][rng.random_range(0..2)];
            steps.add(at, SoakStep::SetStoreLink(host, mode));
            let end = at + rng.random_range(500..5000);
            steps.add(end, SoakStep::SetStoreLink(host, LinkMode::Open));
        }
        if rng.random_bool(FAULT_SHARE) {
            let target = rng.random_range(FIRST_ENGINE..targets);
            let at = begin + rng.random_range(0..RELEASE_INTERVAL_MS);
            steps.add(at, SoakStep::CrashTarget(target));
            steps.add(
                at + rng.random_range(500..2500),
                SoakStep::RestartTarget(target),
            );
        }
    }
    let length = FIRST_RELEASE_MS + RELEASE_INTERVAL_MS * u64::from(releases);
    for target in FIRST_ENGINE..targets {
        draw_modes(rng, target, length, &mut steps);
    }
    steps.0.sort_by_key(|step| step.at);
    steps.0
}

/// Kills all hosts at about the same time, and starts them again after `down` milliseconds.
fn kill_all(rng: &mut ChaCha8Rng, hosts: usize, at: u64, down: u64, steps: &mut StepList) {
    for host in 0..hosts {
        steps.add(at + rng.random_range(0..60), SoakStep::KillHost(host));
        let back = at + down + rng.random_range(60..600);
        steps.add(back, SoakStep::StartHost(host));
    }
}

/// Kills, stops or pauses one host for some time.
fn stop_host(rng: &mut ChaCha8Rng, host: usize, at: u64, steps: &mut StepList) {
    let down = rng.random_range(200..4000);
    let (begin, end, down) = match rng.random_range(0..3) {
        0 => (SoakStep::KillHost(host), SoakStep::StartHost(host), down),
        1 => (SoakStep::PauseHost(host), SoakStep::ResumeHost(host), down),
        _ => (
            SoakStep::TerminateHost(host),
            SoakStep::StartHost(host),
            TERMINATED_MS,
        ),
    };
    steps.add(at, begin);
    steps.add(at + down, end);
}

/// Draws when a target breaks streams off or resumes them incorrectly.
fn draw_modes(rng: &mut ChaCha8Rng, target: usize, length: u64, steps: &mut StepList) {
    let modes = [
        TargetMode::Truncating,
        TargetMode::UnframedTorn,
        TargetMode::UnframedReset,
        TargetMode::Unframed,
        TargetMode::RepeatingResume,
        TargetMode::EarlyResume,
    ];
    let mut at = rng.random_range(0..3000);
    while at < length {
        let mode = modes[rng.random_range(0..modes.len())];
        steps.add(at, SoakStep::SetTargetMode(target, mode));
        at += rng.random_range(500..3000);
        steps.add(at, SoakStep::SetTargetMode(target, TargetMode::Healthy));
        at += rng.random_range(500..4000);
    }
}
