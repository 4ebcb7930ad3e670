//! A bound on the bytes that all waiting requests hold together.
//!
//! Load it answers: a burst of long prompts. Without it a few hundred waiting
//! bodies of a mebibyte each take the host's memory, and with it every answer.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A bound on bytes held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    taken: AtomicUsize,
}

/// Bytes of a budget, given back when dropped.
#[derive(Debug)]
pub struct BytePermit {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Makes a budget of so many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            taken: AtomicUsize::new(0),
        })
    }

    /// Takes bytes, unless that would go over the limit.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<BytePermit> {
        let taken = self.taken.fetch_add(bytes, Ordering::AcqRel);
        // The share gives the bytes back in both cases.
        let share = BytePermit {
            budget: self.clone(),
            bytes,
        };
        (taken.saturating_add(bytes) <= self.limit).then_some(share)
    }

    /// Returns how many bytes are taken.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Acquire)
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
