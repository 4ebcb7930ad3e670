//! A limit on the memory that all requests use together.
//!
//! Without it, a few hundred waiting bodies of one mebibyte each, in a burst of long prompts,
//! would exhaust the host's memory, and every request would fail.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A limit on the bytes held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    taken: AtomicUsize,
}

/// Bytes reserved from a budget, released when dropped.
#[derive(Debug)]
pub struct BytePermit {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            taken: AtomicUsize::new(0),
        })
    }

    /// Reserves bytes, unless that would exceed the limit.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<BytePermit> {
        let taken = self.taken.fetch_add(bytes, Ordering::AcqRel);
        // If the limit is exceeded, the permit is dropped at once, which releases the bytes.
        let permit = BytePermit {
            budget: self.clone(),
            bytes,
        };
        (taken.saturating_add(bytes) <= self.limit).then_some(permit)
    }

    /// Returns a permit that holds nothing yet.
    pub fn empty_permit(self: &Arc<Self>) -> BytePermit {
        BytePermit {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the number of reserved bytes.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Acquire)
    }
}

impl BytePermit {
    /// Reserves or releases bytes so that the permit holds `bytes`; returns whether it does. If
    /// the limit would be exceeded, it holds what it held before.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes == self.bytes {
            return true;
        }
        if let Some(surplus) = self.bytes.checked_sub(bytes) {
            self.budget.taken.fetch_sub(surplus, Ordering::AcqRel);
            self.bytes = bytes;
            return true;
        }
        let Some(mut more) = self.budget.take(bytes - self.bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
