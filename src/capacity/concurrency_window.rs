//! The number of requests that one host may have outstanding at one target.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::LatencyEstimate;

/// Relative growth of the window per second at no latency. After a short slow phase of a target the
/// window must return within a second.
const GROWTH_GAIN: f64 = 4.0;
/// Relative reduction of the window per second at twice the congested latency. A window slows down
/// by itself as answers take longer, so a faster reduction only leaves the target idle afterwards.
const SHRINK_GAIN: f64 = 0.7;
/// Longest time for which one answer changes the window.
const MAX_STEP: Duration = Duration::from_millis(300);
/// Factor on the window at a rejection, and the least time between two of them.
const REJECTION_FACTOR: f64 = 0.5;
const REJECTION_INTERVAL: Duration = Duration::from_millis(100);
/// The fraction of their objective that requests may spend at a target. The rest is left for those that
/// take longer than the mean, and for the wait at the host, where urgent requests go first.
const OBJECTIVE_FRACTION: f64 = 0.55;
/// Bounds of the congested latency, in multiples of the unqueued one. Below the first a target
/// would idle; at the second its queue has about twice its slots. The unqueued latency is the least
/// mean of about ten answers, hence about 0.7 of the mean.
const MIN_CONGESTED_FACTOR: f64 = 1.5;
const MAX_CONGESTED_FACTOR: f64 = 4.5;
/// Factor on the congested latency at a rejection, the least product of these, and its growth per
/// second: the queue of the target is full at a lower latency than assumed.
const DEPTH_FACTOR: f64 = 0.7;
const MIN_DEPTH: f64 = 0.5;
const DEPTH_GROWTH: f64 = 0.02;
/// The same while there is no queue, so that the limit ends some seconds after the load.
const IDLE_DEPTH_GROWTH: f64 = 0.2;
/// The fraction of an even share that a window keeps at least while the latency shows a queue. If
/// a smaller one still does, the unqueued latency is wrong.
const LEAST_SHARE: f64 = 0.1;
/// A window that is used less is reduced to this multiple of its use while the latency shows a
/// queue; otherwise the unused parts of many hosts would exceed what the target takes.
const MAX_UNUSED_FACTOR: f64 = 3.0;
/// Decay constant of the rate of sends.
const RATE_SECONDS: f64 = 1.0;
/// The fraction of the window that must be in use for it to grow.
const USED_FRACTION: f64 = 0.5;
/// The fraction of the congested latency at which the window begins to limit, and the fraction
/// below which the target is not under pressure.
const LIMIT_FRACTION: f64 = 0.65;
const PRESSURE_FRACTION: f64 = 0.5;
/// Time without pressure after which the window no longer limits.
const RELEASE_TIME: Duration = Duration::from_secs(2);
/// The least window, which still measures the target.
const MIN_WINDOW: f64 = 0.02;
/// Longest interval between two requests to a target, so that its recovery shows.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// The most that one host has outstanding, in multiples of the slots. The queue of a target holds
/// at least twice its slots.
const MAX_DEPTH: f64 = 3.0;

/// Why a window began to limit.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WindowCause {
    /// The latency of the target shows a queue.
    #[display("latency")]
    Latency,
    /// The target rejected a request.
    #[display("rejection")]
    Rejection,
    /// Another target of its pool rejected a request.
    #[display("rejection by another target")]
    PoolRejection,
}

/// The number of requests that one host may have outstanding at one target.
///
/// It limits only while the target rejects requests or its latency shows a queue. A window below
/// one is an interval between requests: with 79 hosts and a target that takes 30 requests, the
/// even share of a host is 0.4 of one.
///
/// Latency adapts the window by factors, so that the windows of all hosts change as one would,
/// whatever their number, and hosts with more callers keep a larger part.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyWindow {
    slots: u32,
    hosts: usize,
    latency: LatencyEstimate,
    /// `None` while it does not limit.
    window: Option<f64>,
    changed_at: Duration,
    pressed_at: Duration,
    /// Why it began to limit last, and whether that, or its end, was reported.
    cause: WindowCause,
    reported: bool,
    rejected_at: Option<Duration>,
    /// Factor on the congested latency, less than one after rejections.
    depth: f64,
    /// When a request was sent last in the fractional part of the window.
    fraction_used_at: Duration,
    /// Decaying number of sends, and when it was computed.
    sends: f64,
    sent_at: Duration,
}

impl ConcurrencyWindow {
    /// Creates the window of a target without answers yet, which does not limit.
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            hosts: 1,
            latency: LatencyEstimate::new(),
            window: None,
            changed_at: Duration::ZERO,
            pressed_at: Duration::ZERO,
            cause: WindowCause::Latency,
            reported: false,
            rejected_at: None,
            depth: 1.0,
            fraction_used_at: Duration::ZERO,
            sends: 0.0,
            sent_at: Duration::ZERO,
        }
    }

    /// Sets the number of hosts that send to the target.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Returns the window; `None` while it does not limit.
    pub const fn window(&self) -> Option<f64> {
        self.window
    }

    /// Returns the recent latency.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.recent().map(Duration::from_secs_f64)
    }

    /// Returns whether the window began or ceased to limit since the last call.
    pub fn take_change(&mut self) -> bool {
        let changed = self.window.is_some() != self.reported;
        self.reported = self.window.is_some();
        changed
    }

    /// Returns why the window began to limit; `None` while it does not.
    pub fn cause(&self) -> Option<WindowCause> {
        self.window.map(|_| self.cause)
    }

    /// Returns the requests per second that the window permits; `None` while it does not limit.
    pub fn rate(&self) -> Option<f64> {
        Some(self.window? / self.latency.recent()?)
    }

    /// Returns whether another request may be sent while `running` are outstanding.
    pub fn allows(&self, running: u32, now: Duration) -> bool {
        let Some(window) = self.window else {
            return true;
        };
        let whole = window.floor();
        let running = f64::from(running);
        if running < whole {
            return true;
        }
        let fraction = window - whole;
        running < whole + 1.0
            && fraction > 0.0
            && now >= self.fraction_used_at + self.interval(fraction)
    }

    /// Returns the free part of the window, 0 to 1; `None` while it does not limit.
    pub fn free_fraction(&self, running: u32) -> Option<f64> {
        let window = self.window?.max(1.0);
        Some(((window - f64::from(running)) / window).max(0.05))
    }

    /// Records that a request is sent while `running` others are outstanding.
    pub fn record_dispatch(&mut self, running: u32, now: Duration) {
        self.sends = self.recent_sends(now) + 1.0;
        self.sent_at = now;
        if self
            .window
            .is_some_and(|window| f64::from(running) >= window.floor())
        {
            self.fraction_used_at = now;
        }
    }

    /// Records an answer after `latency` to a request whose caller wants it within `objective`.
    pub fn record_answer(
        &mut self,
        latency: Duration,
        running: u32,
        objective: Duration,
        now: Duration,
    ) {
        let least = self.even_share() * LEAST_SHARE;
        let may_rise = self.window.is_none_or(|window| window < least);
        self.latency.record(latency, may_rise, now);
        let Some(recent) = self.latency.recent() else {
            return;
        };
        let base = self.latency.base();
        let congested =
            (objective.as_secs_f64() * OBJECTIVE_FRACTION).min(base * MAX_CONGESTED_FACTOR);
        let congested = (congested * self.depth).max(base * MIN_CONGESTED_FACTOR);
        if recent > congested * PRESSURE_FRACTION {
            self.pressed_at = now;
        }
        let Some(window) = self.window else {
            if recent > congested * LIMIT_FRACTION {
                self.start(WindowCause::Latency, now);
            }
            return;
        };
        if now.saturating_sub(self.pressed_at) > RELEASE_TIME {
            self.window = None;
            return;
        }
        let step = now.saturating_sub(self.changed_at).min(MAX_STEP);
        let seconds = step.as_secs_f64();
        let depth_growth = match recent < base * MIN_CONGESTED_FACTOR {
            true => IDLE_DEPTH_GROWTH,
            false => DEPTH_GROWTH,
        };
        self.depth = (self.depth + depth_growth * seconds).min(1.0);
        self.changed_at = now;
        let error = ((congested - recent) / congested).clamp(-1.0, 1.0);
        let outstanding = self.outstanding(now);
        let outstanding = match window < 2.0 {
            true => outstanding,
            false => outstanding.max(f64::from(running)),
        };
        let is_used = outstanding > window * USED_FRACTION;
        if error > 0.0 && !is_used {
            return;
        }
        let used = match error < 0.0 {
            true => {
                window.min(outstanding.max(self.even_share() * LEAST_SHARE) * MAX_UNUSED_FACTOR)
            }
            false => window,
        };
        let gain = match error < 0.0 {
            true => SHRINK_GAIN,
            false => GROWTH_GAIN,
        };
        self.set_window(used * (gain * error * seconds).exp());
    }

    /// Records that the target rejected a request.
    pub fn record_rejection(&mut self, now: Duration) {
        self.pressed_at = now;
        let is_recent = |at: Duration| now.saturating_sub(at) < REJECTION_INTERVAL;
        if self.rejected_at.is_some_and(is_recent) {
            return;
        }
        self.rejected_at = Some(now);
        self.depth = (self.depth * DEPTH_FACTOR).max(MIN_DEPTH);
        if self.window.is_none() {
            self.start(WindowCause::Rejection, now);
        }
        let window = self.window.unwrap_or_default();
        self.changed_at = now;
        self.set_window(window * REJECTION_FACTOR);
    }

    /// Begins to limit, if the window does not do so yet, as another target of the pool is full.
    pub fn limit(&mut self, now: Duration) {
        if self.window.is_none() {
            self.pressed_at = now;
            self.start(WindowCause::PoolRejection, now);
        }
    }

    /// Begins to limit, at what the host has outstanding on average.
    fn start(&mut self, cause: WindowCause, now: Duration) {
        self.cause = cause;
        self.changed_at = now;
        self.set_window(self.outstanding(now).max(self.even_share()));
    }

    /// Returns how many requests were outstanding on average, by the rate of sends.
    fn outstanding(&self, now: Duration) -> f64 {
        let rate = self.recent_sends(now) / RATE_SECONDS;
        rate * self.latency.recent().unwrap_or_default()
    }

    fn recent_sends(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.sent_at).as_secs_f64();
        self.sends * (-elapsed / RATE_SECONDS).exp()
    }

    fn set_window(&mut self, window: f64) {
        let most = f64::from(self.slots) * MAX_DEPTH;
        self.window = Some(window.clamp(MIN_WINDOW, most.max(1.0)));
    }

    /// Returns the host's part of the slots if all hosts have the same.
    fn even_share(&self) -> f64 {
        f64::from(self.slots) / self.hosts as f64
    }

    /// Returns the time between two requests that keep `fraction` of a request outstanding.
    fn interval(&self, fraction: f64) -> Duration {
        let latency = self.latency.recent().unwrap_or_default();
        let seconds = (latency / fraction).min(MAX_INTERVAL.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }
}
