//! Bounds on the requests that are forwarded between hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::ids::HostName;
use crate::limits::ByteBudget;
use crate::limits::BytePermit;
use crate::sorted::SortedMap;

/// Limit on the requests that are forwarded to one peer at a time. A peer that reads slowly holds
/// up no other one.
const MAX_PER_PEER: u32 = 200;

/// The requests that are forwarded to each peer, or served for each.
#[derive(Debug)]
pub(crate) struct ForwardTable {
    running: Mutex<SortedMap<HostName, u32>>,
    bodies: Arc<ByteBudget>,
}

/// Counts a forwarded request until it is dropped.
#[derive(Debug)]
pub(crate) struct ForwardPermit {
    table: Arc<ForwardTable>,
    peer: HostName,
    _body: BytePermit,
}

impl ForwardTable {
    /// Creates a table without requests, whose bodies are held in `memory`.
    pub(crate) fn new(memory: &Arc<ByteBudget>) -> Arc<Self> {
        Arc::new(Self {
            running: Mutex::default(),
            bodies: Arc::clone(memory),
        })
    }

    /// Counts a request with a body of `bytes`, unless a limit is reached.
    pub(crate) fn take(self: &Arc<Self>, peer: &HostName, bytes: usize) -> Option<ForwardPermit> {
        let body = self.bodies.take(bytes)?;
        let mut running = self.lock_running();
        let count = running.get_or_insert_with(peer.clone(), || 0);
        if *count >= MAX_PER_PEER {
            return None;
        }
        *count += 1;
        drop(running);
        Some(ForwardPermit {
            table: Arc::clone(self),
            peer: peer.clone(),
            _body: body,
        })
    }

    /// Returns the number of requests of one peer.
    pub(crate) fn count(&self, peer: &HostName) -> u32 {
        self.lock_running().get(peer).copied().unwrap_or(0)
    }

    /// Returns the peers that have requests, sorted.
    pub(crate) fn peers(&self) -> Vec<HostName> {
        let running = self.lock_running();
        running.iter().map(|(peer, _)| peer.clone()).collect()
    }

    fn lock_running(&self) -> MutexGuard<'_, SortedMap<HostName, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ForwardPermit {
    fn drop(&mut self) {
        let mut running = self.table.lock_running();
        match running.get_mut(&self.peer) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                running.remove(&self.peer);
            }
        }
    }
}
