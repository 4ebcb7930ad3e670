//! One kind of targets taken together: what runs there and what is kept free.

use crate::ids::TierRank;

use super::shed_level::ShedLevel;
use super::slot_reserve::SlotReserve;
use super::tier_load::TierLoad;

/// How many deviations above its mean the top tier's reserve is.
const TOP_DEVIATIONS: f64 = 1.0;
/// The top tier's reserve on an idle host.
const MIN_TOP_RESERVE: f64 = 1.0;
/// The same for short work of the lower tiers, which may wait a little.
const SHORT_DEVIATIONS: f64 = 0.0;
/// The short reserve on an idle host.
const MIN_SHORT_RESERVE: f64 = 0.0;

/// A tier is never thought to get less than this part of the slots: the wait
/// must stay a number, and the means overshoot in a burst.
const MIN_SLOT_FRACTION: f64 = 0.05;

/// One kind of targets taken together.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) top: SlotReserve,
    pub(super) short: SlotReserve,
    pub(super) load: TierLoad,
    /// Which tiers are let in.
    pub(super) shed: ShedLevel,
    /// Slots that this host may fill, over all targets of the kind.
    pub(super) slots: u32,
    /// Those of them that are free.
    pub(super) free: u32,
    pub(super) running_top: u32,
    pub(super) running_short: u32,
}

/// How long work is, by its expected time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkBand {
    /// A few lines: it goes to the express engines.
    Brief,
    /// Shorter than what is kept from the last slots.
    Short,
    /// Everything else.
    Long,
}

impl PoolState {
    pub(super) const fn new() -> Self {
        Self {
            top: SlotReserve::new(TOP_DEVIATIONS, MIN_TOP_RESERVE),
            short: SlotReserve::new(SHORT_DEVIATIONS, MIN_SHORT_RESERVE),
            load: TierLoad::new(),
            shed: ShedLevel::new(),
            slots: 0,
            free: 0,
            running_top: 0,
            running_short: 0,
        }
    }

    /// Returns the part of the slots that is left to a tier in the long run.
    pub(super) fn fraction_left_to(&self, tier: TierRank) -> f64 {
        let taken = self.load.above(tier) / f64::from(self.slots.max(1));
        (1.0 - taken).clamp(MIN_SLOT_FRACTION, 1.0)
    }

    /// Returns how many slots work of this tier and length must leave free.
    pub(super) fn reserved_slots(&self, tier: TierRank, band: WorkBand) -> u32 {
        if tier == 0 {
            return 0;
        }
        let top = self.top.reserved_slots(self.running_top);
        let reserved = match band {
            WorkBand::Brief | WorkBand::Short => top,
            WorkBand::Long => top + self.short.reserved_slots(self.running_short),
        };
        // Where there are few slots, a reserve must not shut lower work out.
        reserved.min(self.slots / 2)
    }
}
