//! Which tiers are still let in, on this host and by its peers.
//!
//! Load: saturation, and a burst that the top tier alone nearly fills. Without
//! it one host turns urgent work away while another still lets digests in.
//!
//! A host that must refuse work of a tier, though the work would be in time on
//! an idle fleet, stops letting lower tiers in and tells its peers, which do
//! the same. The level rises again by itself when nothing was refused for a
//! while, so a digest that is lost keeps nothing shut.

use std::time::Duration;

use crate::ids::HostName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

/// How long the level stays after a refusal: two digests, so that a peer hears
/// of it and a lost digest does not open the gate in between.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Which tiers are still let in.
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

    /// Notes that work of a tier had to be refused for want of room.
    pub(super) fn record_refusal(&mut self, now: Duration, tier: TierRank) {
        let level = self.own(now).min(tier);
        self.own = LevelMark {
            level,
            until: now + HOLD_TIME,
        };
    }

    /// Takes a peer's level.
    pub(super) fn update(&mut self, now: Duration, host: &HostName, level: TierRank) {
        let until = now + HOLD_TIME;
        self.peers.insert(host.clone(), LevelMark { level, until });
    }

    /// Returns the lowest tier that this host's own load allows.
    pub(super) fn own(&self, now: Duration) -> TierRank {
        self.own.at(now)
    }

    /// Returns the lowest tier that is let in.
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
