//! Rate limiting of one target across hosts, by time slots.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A host's place among all that may send to a target, dead ones included: they may
/// still serve callers across a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPosition {
    /// How many hosts come before it.
    pub index: usize,
    /// How many there are.
    pub hosts: usize,
}

/// A rate of requests to one target, shared by time slots: each host may send one request a
/// round, so the total holds across a partition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SharedRate {
    /// Requests per second of all hosts together.
    pub(super) per_second: f64,
    /// Start of the first round, about the same on all hosts.
    pub(super) since: Duration,
    /// Length of a host's time slot. An unused slot expires: saved ones could all be used at
    /// once.
    pub(super) turn_length: Duration,
}

impl SharedRate {
    /// Tells whether a host whose last send was at `used` may send now.
    pub(super) fn is_open(
        &self,
        target: &str,
        turn: HostPosition,
        used: Option<Duration>,
        now: Duration,
    ) -> bool {
        let hosts = turn.hosts.max(1);
        let round = hosts as f64 / self.per_second;
        // Each target has another host that comes first.
        let index = (turn.index + xxh3_64(target.as_bytes()) as usize % hosts) % hosts;
        let first = index as f64 / hosts as f64;
        let rounds = now.saturating_sub(self.since).as_secs_f64() / round - first;
        if !rounds.is_finite() || rounds < 0.0 {
            return false;
        }
        let open_for = Duration::from_secs_f64(rounds.fract() * round);
        let start = now.saturating_sub(open_for);
        open_for <= self.turn_length && used.is_none_or(|used| used < start)
    }
}
