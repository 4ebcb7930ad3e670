//! Load shedding by tier, coordinated with peers.
//!
//! Under saturation, or in a burst that the top tier alone nearly fills, one host would
//! otherwise refuse urgent work while another still admits work of low tiers.
//!
//! A host that must refuse work of a tier, although the work would meet its deadline on an idle
//! fleet, stops admitting lower tiers and tells its peers, which do the same. The level resets
//! when nothing was refused for a while, so a lost digest can't block a tier permanently.

use std::time::Duration;

use crate::ids::HostName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

/// How long the level lasts after a refusal: two digest periods, so that peers learn of it and
/// one lost digest does not end it.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// The lowest tier that is still admitted.
#[derive(Debug)]
pub(super) struct ShedLevel {
    own: LevelMark,
    peers: SortedMap<HostName, LevelMark>,
}

#[derive(Clone, Copy, Debug)]
struct LevelMark {
    level: TierRank,
    until: Duration,
}

impl ShedLevel {
    pub(super) const fn new() -> Self {
        Self {
            own: LevelMark {
                level: TierRank::MAX,
                until: Duration::ZERO,
            },
            peers: SortedMap::new(),
        }
    }

    /// Records that work of a tier was refused for lack of capacity.
    pub(super) fn record_refusal(&mut self, now: Duration, tier: TierRank) {
        let level = self.own(now).min(tier);
        self.own = LevelMark {
            level,
            until: now + HOLD_TIME,
        };
    }

    /// Applies the level of a peer.
    pub(super) fn update(&mut self, now: Duration, host: &HostName, level: TierRank) {
        let until = now + HOLD_TIME;
        self.peers.insert(host.clone(), LevelMark { level, until });
    }

    /// Returns the lowest tier that this host's own load admits.
    pub(super) fn own(&self, now: Duration) -> TierRank {
        self.own.at(now)
    }

    /// Returns the lowest tier that is admitted.
    pub(super) fn level(&self, now: Duration) -> TierRank {
        let peers = self.peers.values().map(|mark| mark.at(now));
        peers.min().unwrap_or(TierRank::MAX).min(self.own(now))
    }
}

impl LevelMark {
    fn at(self, now: Duration) -> TierRank {
        if now < self.until {
            self.level
        } else {
            TierRank::MAX
        }
    }
}
