//! The frequency of each kind of step in a walk, and the starting state.

/// The starting state of a walk.
#[derive(Clone, Copy)]
pub(crate) enum WalkStart {
    /// A fleet that bootstrapped its roster.
    Bootstrapped,
    /// One host has not received a roster change.
    OneBehind,
    /// A vote is in transit whose seat has restarted.
    LateVote,
}

/// The weight of each kind of step in a walk.
#[derive(Clone, Copy)]
pub(crate) struct WalkProfile {
    /// The fleet's initial number of seats.
    pub(crate) seats: u32,
    pub(crate) steps: u32,
    pub(crate) deliver: u32,
    pub(crate) double: u32,
    pub(crate) lose: u32,
    pub(crate) tick: u32,
    pub(crate) gossip: u32,
    pub(crate) read: u32,
    pub(crate) begin: u32,
    pub(crate) work: u32,
    pub(crate) restart: u32,
    pub(crate) pause: u32,
    pub(crate) publish: u32,
    /// One in this many reads is stale; 0 for none.
    pub(crate) stale: u32,
    /// One in this many published rosters shrinks to half of the seats.
    pub(crate) shrink: u32,
    /// The starting state.
    pub(crate) start: WalkStart,
    /// Whether hosts release claims after dispatching them, in violation of the
    /// protocol.
    pub(crate) release_after_dispatch: bool,
}

impl WalkProfile {
    pub(crate) const MIXED: Self = Self {
        seats: 4,
        steps: 500,
        deliver: 500,
        double: 40,
        lose: 40,
        tick: 60,
        gossip: 50,
        read: 40,
        begin: 50,
        work: 120,
        restart: 8,
        pause: 12,
        publish: 8,
        stale: 4,
        shrink: 6,
        start: WalkStart::Bootstrapped,
        release_after_dispatch: false,
    };
}

/// Counts of events in a walk, to show that it was not idle.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WalkCounts {
    pub(crate) dispatched: u32,
    pub(crate) not_run: u32,
    pub(crate) restarts: u32,
    pub(crate) published: u32,
}
