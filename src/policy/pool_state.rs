//! The aggregate state of one kind of targets: running work and reserved slots.

use crate::ids::TierRank;

use super::shed_level::ShedLevel;
use super::slot_reserve::SlotReserve;
use super::tier_load::TierLoad;

/// The top tier's reserve, in standard deviations above its mean usage.
const TOP_DEVIATIONS: f64 = 1.0;
/// The top tier's reserve on an idle host, in slots.
const MIN_TOP_RESERVE: f64 = 1.0;
/// The same for short work of the lower tiers, which may wait briefly.
const SHORT_DEVIATIONS: f64 = 0.0;
/// The reserve for short work on an idle host, in slots.
const MIN_SHORT_RESERVE: f64 = 0.0;

/// The least fraction of the slots that a tier is assumed to get. It keeps the expected wait
/// finite, as the means overshoot in a burst.
const MIN_SLOT_FRACTION: f64 = 0.05;

/// The aggregate state of one kind of targets.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) top: SlotReserve,
    pub(super) short: SlotReserve,
    pub(super) load: TierLoad,
    /// Which tiers are admitted.
    pub(super) shed: ShedLevel,
    /// Slots that this host may fill, summed over all targets of the kind.
    pub(super) slots: u32,
    /// Free slots among them.
    pub(super) free: u32,
    pub(super) running_top: u32,
    pub(super) running_short: u32,
}

/// The length class of work, by its expected time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkBand {
    /// An answer of a few lines, which goes to the express engines.
    Brief,
    /// Work that may use the slots reserved for short work.
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

    /// Returns the fraction of the slots that higher tiers leave to a tier on average.
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
        // With few slots, a reserve must not exclude lower tiers.
        reserved.min(self.slots / 2)
    }
}
