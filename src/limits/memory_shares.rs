//! Shares of a machine's memory.
//!
//! The rest is for connections, the state of the fleet, and freed memory that the allocator retains.

/// Divisor of the machine's memory for the request memory.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Divisor of the machine's memory for the receive buffers of all callers.
const RECEIVE_MEMORY_DIVISOR: usize = 4;
/// Bounds on the receive buffer of one caller, in bytes. The lower one holds a usual prompt, the
/// upper one is the kernel's default.
const MIN_RECEIVE_BUFFER: usize = 8 << 10;
const MAX_RECEIVE_BUFFER: usize = 128 << 10;

/// Returns the limit on request bodies and buffered responses, in bytes.
pub(crate) const fn request_memory_bytes(memory_bytes: usize) -> usize {
    memory_bytes / REQUEST_MEMORY_DIVISOR
}

/// Returns the size of the kernel's receive buffer for one of `callers`, in bytes.
pub(crate) fn receive_buffer_bytes(memory_bytes: usize, callers: usize) -> usize {
    let per_caller = memory_bytes / RECEIVE_MEMORY_DIVISOR / callers.max(1);
    per_caller.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
}
