//! Rate limiting of one target across hosts, by time division.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A host's position among all hosts that may send to a target. Hosts that seem dead count as
/// well, since they may be serving callers on the other side of a network partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPosition {
    /// Number of hosts before it.
    pub index: usize,
    /// Number of hosts.
    pub hosts: usize,
}

impl HostPosition {
    /// Returns this host's part of `count` places at a target. The parts of all hosts add up to
    /// `count`, and other hosts get the rest of the division at each target.
    pub(super) fn part_of(self, count: usize, target: &str) -> usize {
        let hosts = self.hosts.max(1);
        let index = self.index_at(target);
        count / hosts + usize::from(index < count % hosts)
    }

    /// Returns the position after `turns` rotations of the order of hosts.
    pub(super) fn turned(self, turns: usize) -> Self {
        let hosts = self.hosts.max(1);
        Self {
            index: (self.index + turns % hosts) % hosts,
            hosts: self.hosts,
        }
    }

    /// Returns the position in the order of hosts at a target, which differs from target to
    /// target.
    pub(super) fn index_at(self, target: &str) -> usize {
        let hosts = self.hosts.max(1);
        (self.index + xxh3_64(target.as_bytes()) as usize % hosts) % hosts
    }
}

/// A request rate at one target, shared by time division: each host may send one request per
/// round, within its own send window, so the total holds during a network partition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SharedRate {
    /// Requests per second of all hosts together.
    pub(super) per_second: f64,
    /// Start of the first round, about the same on all hosts.
    pub(super) since: Duration,
    /// Length of a host's send window. An unused window expires, since hosts could otherwise
    /// use all their saved windows at once.
    pub(super) window_length: Duration,
}

impl SharedRate {
    /// Returns whether a host whose last send was at `last_sent` may send now.
    pub(super) fn allows(
        &self,
        target: &str,
        position: HostPosition,
        last_sent: Option<Duration>,
        now: Duration,
    ) -> bool {
        let hosts = position.hosts.max(1);
        let round = hosts as f64 / self.per_second;
        // A rate of zero, or next to it, has no rounds.
        if !round.is_finite() {
            return false;
        }
        let first = position.index_at(target) as f64 / hosts as f64;
        let rounds = now.saturating_sub(self.since).as_secs_f64() / round - first;
        if !rounds.is_finite() || rounds < 0.0 {
            return false;
        }
        let open_for = Duration::from_secs_f64(rounds.fract() * round);
        let start = now.saturating_sub(open_for);
        open_for <= self.window_length && last_sent.is_none_or(|last_sent| last_sent < start)
    }
}
