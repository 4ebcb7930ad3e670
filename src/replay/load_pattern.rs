//! The load patterns for which traces are generated.

use derive_more::Display;

/// A load pattern, possibly with a fault. Loads are relative to the engines' capacity.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LoadPattern {
    /// A constant load of 0.7.
    #[display("steady")]
    Steady,
    /// A load of 4 for a sixth of the time, starting after a third of it.
    #[display("burst")]
    Burst,
    /// A load of 1.3, most of it from two accounts and with one prompt prefix.
    #[display("hot-accounts")]
    HotAccounts,
    /// One engine is ten times slower during the middle third.
    #[display("slow-engine")]
    SlowEngine,
    /// Long requests alone saturate the fleet while short urgent ones arrive.
    #[display("long-among-short")]
    LongAmongShort,
    /// A constant load of 1.5.
    #[display("saturation")]
    Saturation,
    /// Half of the hosts fail halfway through.
    #[display("half-lost")]
    HalfLost,
    /// The hosts are partitioned into two groups during the middle third.
    #[display("partition")]
    Partition,
    /// Load reports arrive 5 s late.
    #[display("late-reports")]
    LateReports,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Burst,
        Self::HotAccounts,
        Self::SlowEngine,
        Self::LongAmongShort,
        Self::Saturation,
        Self::HalfLost,
        Self::Partition,
        Self::LateReports,
    ];

    /// Returns the load, relative to the capacity, at a fraction (0 to 1) of the trace's
    /// duration.
    pub(super) fn load_at(self, fraction: f64) -> f64 {
        match self {
            Self::Steady | Self::SlowEngine | Self::HalfLost => 0.7,
            Self::Burst if (0.333..0.5).contains(&fraction) => 4.0,
            Self::Burst => 0.6,
            Self::HotAccounts => 1.3,
            Self::LongAmongShort => 1.25,
            Self::Saturation => 1.5,
            Self::Partition | Self::LateReports => 0.8,
        }
    }
}
