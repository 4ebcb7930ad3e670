//! A body while it is received.

use std::sync::Arc;
use std::sync::Mutex;

use async_channel::Receiver;
use bytes::Bytes;

use super::ByteBudget;
use super::BytePermit;
use super::body_bytes::BodyBytes;
use super::byte_budget::BodyMemory;
use super::byte_budget::lock;

/// A body that is being received, with the memory that it holds. It may be evicted.
#[derive(Debug)]
pub(crate) struct IncomingBody {
    budget: Arc<ByteBudget>,
    id: u64,
    memory: BodyMemory,
    evicted: Receiver<()>,
}

impl IncomingBody {
    /// Starts a body without bytes.
    pub(crate) fn open(budget: &Arc<ByteBudget>) -> Self {
        let memory: BodyMemory = Arc::new(Mutex::new(Some(BodyBytes::Small(Vec::new()))));
        let (id, evicted) = budget.add_incoming(Arc::clone(&memory));
        Self {
            budget: Arc::clone(budget),
            id,
            memory,
            evicted,
        }
    }

    /// Counts bytes that the caller holds elsewhere for this body; returns whether it may.
    pub(crate) fn count_bytes(&self, bytes: usize) -> bool {
        self.budget.grow_incoming(self.id, bytes)
    }

    /// Appends bytes to a body of at most `max_bytes`; `None` if there is no memory for them.
    pub(crate) fn append(&mut self, more: &[u8], max_bytes: usize) -> Option<()> {
        let held = lock(&self.memory)
            .as_ref()?
            .memory_with(more.len(), max_bytes);
        if !self.budget.grow_incoming(self.id, held) {
            return None;
        }
        let mut memory = lock(&self.memory);
        memory.as_mut()?.append(more, max_bytes).ok()
    }

    /// Returns the number of bytes received; 0 if the body was evicted.
    pub(crate) fn len(&self) -> usize {
        lock(&self.memory).as_ref().map_or(0, BodyBytes::len)
    }

    /// Waits until the body is evicted.
    pub(crate) async fn evicted(&self) {
        // Nothing is sent; the channel closes.
        self.evicted.recv().await.ok();
    }

    /// Returns the complete body with its memory, which can no longer be evicted; `None` if it was.
    pub(crate) fn finish(self) -> Option<(Bytes, BytePermit)> {
        let held = self.budget.remove_incoming(self.id)?;
        let permit = self.budget.adopt(held);
        let body = Bytes::from(lock(&self.memory).take()?);
        Some((body, permit))
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        if let Some(held) = self.budget.remove_incoming(self.id) {
            // Released with the permit.
            drop(self.budget.adopt(held));
        }
    }
}
