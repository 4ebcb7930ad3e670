//! The age of this process's view of the fleet, and whether the process may serve.
//!
//! A process that was paused resumes with an old view without noticing. Its sockets may
//! even hold answers that peers sent before the pause. Therefore a confirmation counts
//! from the time at which the peer was *asked*, by a clock that includes suspension,
//! and never from the time at which the answer was read.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::HostName;
use crate::sorted::SortedMap;

/// The maximum age of the view by which a request is dispatched. It covers three
/// exchanges at intervals of 1 s: one may be lost, and a leaving target still gets no
/// work after 3 s.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// The maximum age of the platform's last answer if there are no peers to ask: a watch
/// lasts 5 s and is aborted after 7 s.
const MAX_PLATFORM_AGE: Duration = Duration::from_secs(9);
/// How long a host stays ready while it reaches neither its peers nor the platform;
/// with a shorter time, each brief network fault would leave the load balancer without
/// hosts.
pub const READY_MAX_AGE: Duration = Duration::from_secs(10);
/// How long a new process waits for its peers before the platform's answer alone is
/// sufficient: the platform may be stale and the peers may have a newer document.
pub const PEER_WAIT: Duration = Duration::from_secs(2);

/// The reason that a host does not serve.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UnreadyReason {
    /// No document has been received yet, from the platform or a peer.
    #[display("no configuration yet, from the platform or a peer")]
    NoDocument,
    /// Peers have not answered yet and may have a newer document.
    #[display("peers are being asked for a newer configuration")]
    AskingPeers,
    /// The host reaches too few peers, and not the platform.
    #[display("{responding} of {needed} needed peers answer, and the platform does not")]
    Isolated {
        /// Peers that answered.
        responding: usize,
        /// Peers needed for a majority that includes this host.
        needed: usize,
    },
}

/// When each source last confirmed that it has nothing newer.
///
/// All times are readings of the boot clock.
#[derive(Debug)]
pub struct ViewFreshness {
    started: Duration,
    has_document: bool,
    /// The other seats of the roster.
    seats: Vec<HostName>,
    /// How many of them are needed for a majority with this host.
    needed: usize,
    confirmed: SortedMap<HostName, Duration>,
    platform_answered: Option<Duration>,
    platform_asked: Option<Duration>,
}

impl ViewFreshness {
    /// Creates the state of a process that started now and has received nothing.
    pub const fn new(started: Duration) -> Self {
        Self {
            started,
            has_document: false,
            seats: Vec::new(),
            needed: 0,
            confirmed: SortedMap::new(),
            platform_answered: None,
            platform_asked: None,
        }
    }

    /// Sets the seats of the document in force.
    pub fn set_seats(&mut self, own: &str, seats: &[HostName]) {
        let majority = seats.len() / 2 + 1;
        let seated = seats.iter().any(|seat| seat == own);
        self.needed = majority - usize::from(seated);
        self.seats = seats.iter().filter(|seat| *seat != own).cloned().collect();
        // Replacement hosts have new names, so old names would accumulate.
        self.confirmed.retain(|host, _| seats.contains(host));
        self.has_document = true;
    }

    /// Records that a peer, asked at `asked`, has nothing newer than this process.
    pub fn record_peer_confirmation(&mut self, host: &HostName, asked: Duration) {
        let newer = self.confirmed.get(host).is_none_or(|known| *known < asked);
        if newer {
            self.confirmed.insert(host.clone(), asked);
        }
    }

    /// Records that the platform was asked at `asked`, and whether it answered.
    pub fn record_platform_request(&mut self, asked: Duration, answered: bool) {
        self.platform_asked = self.platform_asked.max(Some(asked));
        if answered {
            self.platform_answered = self.platform_answered.max(Some(asked));
        }
    }

    /// Returns the time since which a majority confirms the view: the oldest of the
    /// `needed` most recent confirmations.
    fn confirmed_by_peers(&self) -> Option<Duration> {
        let mut times = self.confirmed_times();
        times.sort_unstable();
        let index = times.len().checked_sub(self.needed)?;
        times.get(index).copied()
    }

    fn confirmed_times(&self) -> Vec<Duration> {
        self.seats
            .iter()
            .filter_map(|seat| self.confirmed.get(seat).copied())
            .collect()
    }

    /// Returns the time of the last valid confirmation. If other seats are needed for
    /// the majority, only they count, since the platform may be stale. For a host with
    /// the only seat, the last request to the platform counts, whether or not it was
    /// answered.
    fn confirmed_at(&self) -> Option<Duration> {
        if self.needed == 0 {
            self.platform_asked
        } else {
            self.confirmed_by_peers()
        }
    }

    /// Returns the time since the view was confirmed; `None` before the first
    /// confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at()?))
    }

    /// Returns the time until which the view is fresh enough for dispatching.
    pub fn fresh_until(&self) -> Duration {
        if !self.has_document {
            return Duration::ZERO;
        }
        let bound = if self.needed == 0 {
            MAX_PLATFORM_AGE
        } else {
            MAX_VIEW_AGE
        };
        self.confirmed_at()
            .map_or(Duration::ZERO, |time| time + bound)
    }

    /// Returns whether the view is fresh enough for dispatching.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now < self.fresh_until()
    }

    /// Checks whether the host may serve.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn readiness(&self, now: Duration) -> Result<(), UnreadyReason> {
        if !self.has_document {
            return Err(UnreadyReason::NoDocument);
        }
        let recent = |time: &Duration| now.saturating_sub(*time) < READY_MAX_AGE;
        let responding = self
            .confirmed_times()
            .iter()
            .filter(|time| recent(time))
            .count();
        if responding >= self.needed {
            return Ok(());
        }
        if !self.platform_answered.as_ref().is_some_and(recent) {
            let needed = self.needed;
            return Err(UnreadyReason::Isolated { responding, needed });
        }
        if now.saturating_sub(self.started) < PEER_WAIT {
            return Err(UnreadyReason::AskingPeers);
        }
        Ok(())
    }
}
