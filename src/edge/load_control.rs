//! Settings of the decisions under heavy load.

/// What answers are worth to callers after their latency objective.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LateAnswers {
    /// Callers still use them, so that a request that would be late is queued.
    Useful,
    /// Callers have mostly turned elsewhere, so that a first attempt that would be late is refused.
    /// Slots are left to requests that can be in time, and callers that return find room after the
    /// overload, so that more of them are served.
    #[default]
    Useless,
}

/// Settings of the decisions under heavy load. Each of them acts only under the load that it
/// answers; an operator can also switch it off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LoadControl {
    /// Whether a host whose granted slots don't fit its requests reports to its leader at once.
    pub(crate) divides_slots_fast: bool,
    /// Whether groups get targets by the demand of their callers.
    pub(crate) weights_shards: bool,
    /// Whether the concurrency that targets handle well is measured.
    pub(crate) adapts_to_targets: bool,
    /// What late answers are worth.
    pub(crate) late_answers: LateAnswers,
}

impl Default for LoadControl {
    fn default() -> Self {
        Self {
            divides_slots_fast: true,
            weights_shards: true,
            adapts_to_targets: true,
            late_answers: LateAnswers::default(),
        }
    }
}
