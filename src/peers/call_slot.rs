//! Limits the number of concurrent streamed calls on one link.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::PeerError;
use super::link_limits::MAX_STREAMED_CALLS;

/// A permit for one streamed call on a link; released on drop.
///
/// An h2 connection allows a limited number of concurrent streams, and a further one
/// waits without an error until another ends. Relayed answers can last for minutes.
/// If they occupied every stream, claims and digests would queue behind them and a
/// busy peer would look like a dead one. Streamed calls are therefore limited to half
/// of the streams, and any further one is refused.
#[derive(Debug)]
pub(crate) struct CallSlot {
    in_use: Arc<AtomicUsize>,
}

impl CallSlot {
    /// Acquires a permit of the link whose permits in use are counted in `in_use`.
    pub(crate) fn take(in_use: &Arc<AtomicUsize>) -> Result<Self, PeerError> {
        let slot = Self {
            in_use: Arc::clone(in_use),
        };
        // Incremented before the check, so that concurrent calls can't all pass it;
        // on a refusal, dropping the slot decrements the count again.
        if in_use.fetch_add(1, Ordering::AcqRel) >= MAX_STREAMED_CALLS {
            return Err(PeerError::TooManyCalls);
        }
        Ok(slot)
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}
