//! Limits on callers' connections, from those of the machine.

use super::edge_state::EdgeState;
use crate::limits::receive_buffer_bytes;

/// Share of the descriptors for callers and the targets of their requests. The rest is for peers, the
/// store, operators and idle connections to targets.
const CALLER_DESCRIPTOR_RATIO: f64 = 0.8;
/// Maximum number of connections at each address for probes and scrapes: some load balancers,
/// scrapers and people.
const MAX_OPERATORS: usize = 32;

/// Returns the maximum number of descriptors for callers and the targets of their requests.
pub(crate) fn max_caller_descriptors(state: &EdgeState) -> usize {
    (state.runtime.load().max_descriptors as f64 * CALLER_DESCRIPTOR_RATIO) as usize
}

/// Returns the maximum number of connections at an address for operators.
pub(crate) const fn max_operators(_state: &EdgeState) -> usize {
    MAX_OPERATORS
}

/// Returns the size of the kernel's receive buffer for one caller, in bytes.
pub(crate) fn caller_receive_buffer(state: &EdgeState) -> usize {
    receive_buffer_bytes(state.startup.memory_bytes, max_caller_descriptors(state))
}
