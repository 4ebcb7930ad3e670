//! Settings of the decisions under heavy load.

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
}

impl Default for LoadControl {
    fn default() -> Self {
        Self {
            divides_slots_fast: true,
            weights_shards: true,
            adapts_to_targets: true,
        }
    }
}
