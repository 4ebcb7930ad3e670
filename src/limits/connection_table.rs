//! The connections that are open at an address.
//!
//! Idle connections are evicted in favour of new ones. Otherwise, callers that connect and send
//! nothing would keep all others out.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;

use crate::clock::boot_now;

/// Divisor of the descriptors that running requests leave to other connections, on which callers
/// then get a refusal.
const RESERVE_DIVISOR: usize = 8;

/// What a connection does. A lower phase is evicted first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ConnectionPhase {
    /// Nothing was received yet.
    New,
    /// Between two requests.
    Idle,
    /// Part of a request was received.
    Reading,
    /// A request waits or runs, and more bytes follow it than are buffered.
    Overflowing,
    /// A request waits or runs.
    Running,
}

/// The open connections of one address.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
    evicted: AtomicU64,
}

#[derive(Debug, Default)]
struct TableState {
    descriptors: usize,
    last_id: u64,
    /// Sorted by id.
    entries: Vec<ConnectionEntry>,
}

#[derive(Debug)]
struct ConnectionEntry {
    id: u64,
    phase: ConnectionPhase,
    /// Its own, and that to the target of its request.
    descriptors: usize,
    /// When the phase began, on the boot clock.
    since: Duration,
    /// Closed on eviction.
    _evicted: Sender<()>,
}

/// The entry of a connection in the table, removed when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    table: Arc<ConnectionTable>,
    id: u64,
    evicted: Receiver<()>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            evicted: AtomicU64::new(0),
        })
    }

    /// Adds a connection within `limit` descriptors, by evicting others if need be; `None` if requests
    /// run on all of them.
    pub(crate) fn open(self: &Arc<Self>, limit: usize) -> Option<ConnectionPermit> {
        let mut state = self.lock_state();
        if !self.make_room(&mut state, limit, None) {
            return None;
        }
        let (sender, evicted) = async_channel::bounded(1);
        state.last_id += 1;
        let id = state.last_id;
        state.entries.push(ConnectionEntry {
            id,
            phase: ConnectionPhase::New,
            descriptors: 1,
            since: boot_now(),
            _evicted: sender,
        });
        Some(ConnectionPermit {
            table: Arc::clone(self),
            id,
            evicted,
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.lock_state().entries.len()
    }

    /// Returns the number of evicted connections.
    pub(crate) fn evicted_connections(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Takes a descriptor, by evicting a connection if need be. `own` is the connection that takes it.
    fn make_room(&self, state: &mut TableState, limit: usize, own: Option<u64>) -> bool {
        while state.descriptors >= limit {
            let entries = state.entries.iter().enumerate();
            let first = entries
                .filter(|(_, entry)| {
                    Some(entry.id) != own && entry.phase < ConnectionPhase::Running
                })
                .min_by_key(|(_, entry)| (entry.phase, entry.since));
            let Some((index, _)) = first else {
                return false;
            };
            state.remove(index);
            self.evicted.fetch_add(1, Ordering::Relaxed);
        }
        state.descriptors += 1;
        true
    }

    fn lock_state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionPermit {
    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        // Nothing is sent; the channel closes.
        self.evicted.recv().await.ok();
    }

    /// States that the connection is between two requests.
    pub(crate) fn set_idle(&self) {
        let mut state = self.table.lock_state();
        state.set_phase(self.id, ConnectionPhase::Idle);
    }

    /// States that part of a request was received; returns whether the connection is still open.
    pub(crate) fn set_reading(&self) -> bool {
        let mut state = self.table.lock_state();
        state.set_phase(self.id, ConnectionPhase::Reading)
    }

    /// States that a request was received; returns whether there is a descriptor for its target.
    pub(crate) fn set_running(&self, limit: usize) -> bool {
        let limit = limit - limit / RESERVE_DIVISOR;
        let mut state = self.table.lock_state();
        if state.index_of(self.id).is_none()
            || !self.table.make_room(&mut state, limit, Some(self.id))
        {
            return false;
        }
        let is_open = state.set_phase(self.id, ConnectionPhase::Running);
        if let Some(index) = state.index_of(self.id) {
            state.entries[index].descriptors += 1;
        }
        is_open
    }

    /// States that more bytes follow a running request than are buffered.
    pub(crate) fn set_overflowing(&self) {
        let mut state = self.table.lock_state();
        if let Some(index) = state.index_of(self.id) {
            state.entries[index].phase = ConnectionPhase::Overflowing;
        }
    }
}

impl TableState {
    fn index_of(&self, id: u64) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }

    /// Changes the phase of a connection, which keeps its own descriptor; returns whether it is
    /// still open. One on which nothing was received does not become idle.
    fn set_phase(&mut self, id: u64, phase: ConnectionPhase) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if (entry.phase, phase) == (ConnectionPhase::New, ConnectionPhase::Idle) {
            return true;
        }
        self.descriptors -= entry.descriptors - 1;
        entry.descriptors = 1;
        entry.phase = phase;
        entry.since = boot_now();
        true
    }

    fn remove(&mut self, index: usize) {
        let entry = self.entries.remove(index);
        self.descriptors -= entry.descriptors;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.table.lock_state();
        if let Some(index) = state.index_of(self.id) {
            state.remove(index);
        }
    }
}
