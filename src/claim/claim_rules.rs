//! Switches for the rules of the claim protocol.

/// Switches for the rules of the claim protocol; all are on outside the model checker.
///
/// The model checker turns off one rule at a time and shows that an id then runs twice.
/// The daemon only uses the default value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimRules {
    /// A seat answers only for ids timed after it became a voter.
    pub boot_time: bool,
    /// A vote for a roster counts only if the voter knew that the preceding roster is
    /// active.
    pub knew_former_active: bool,
    /// Ids timed before the activation of a roster need majorities of both rosters.
    pub two_rosters: bool,
    /// A seat answers "barred" only if nothing is granted.
    pub bar_respects_grant: bool,
    /// A seat refuses calls that carry an older roster.
    pub refuse_older_rosters: bool,
    /// A restarted seat may not vote until a majority has reported its state to it.
    pub rejoin_by_majority: bool,
    /// Votes are counted together only if they agree on each other's incarnations.
    pub crash_vector: bool,
    /// A restarted seat may not rejoin while another seat has adopted a newer roster.
    pub join_waits: bool,
    /// Only a document that names no former roster bootstraps a fleet.
    pub explicit_bootstrap: bool,
    /// Seats refuse ids from the future and ids older than the claim window.
    pub id_window: bool,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            boot_time: true,
            knew_former_active: true,
            two_rosters: true,
            bar_respects_grant: true,
            refuse_older_rosters: true,
            rejoin_by_majority: true,
            crash_vector: true,
            join_waits: true,
            explicit_bootstrap: true,
            id_window: true,
        }
    }
}
