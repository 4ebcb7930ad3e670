//! A limit on the memory that all requests use together.
//!
//! Without it, a few hundred waiting bodies of one mebibyte each, in a burst of long prompts,
//! would exhaust the host's memory, and every request would fail.
//!
//! Bodies that are still being received give way to others: if memory runs out, the one that
//! holds most, and for longest without a new byte, is dropped. Complete ones are kept.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;

use super::body_bytes::BodyBytes;
use crate::clock::boot_now;

/// Size up to which a message may use the reserve, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// The part of the limit that is reserved for small messages is one in this number.
const RESERVE_DIVISOR: usize = 4;

/// The part of the machine's memory that requests may hold is one in this number. The same part is
/// left to bytes that the kernel received and the process has not read, and the rest to
/// connections, to what the process knows of the fleet, and to freed memory that the allocator keeps.
const REQUEST_MEMORY_DIVISOR: usize = 4;
const UNREAD_MEMORY_DIVISOR: usize = 4;
/// Bounds on the kernel's buffer for one caller, in bytes. The lower one lets a prompt of the usual
/// size pass without a pause, the upper one is the kernel's own default.
const MIN_RECEIVE_BUFFER: usize = 8 << 10;
const MAX_RECEIVE_BUFFER: usize = 128 << 10;

/// The memory of a body, empty once the body was dropped.
pub(super) type BodyMemory = Arc<Mutex<Option<BodyBytes>>>;

/// A limit on the bytes held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    state: Mutex<BudgetState>,
    dropped: AtomicU64,
}

#[derive(Debug, Default)]
struct BudgetState {
    taken: usize,
    last_id: u64,
    /// The bodies that are being received, sorted by id.
    incoming: Vec<IncomingEntry>,
}

#[derive(Debug)]
struct IncomingEntry {
    id: u64,
    held: usize,
    /// When it grew last, on the boot clock.
    grown_at: Duration,
    memory: BodyMemory,
    /// Closed with the entry, which tells the receiver of the body.
    _dropped: Sender<()>,
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
            state: Mutex::default(),
            dropped: AtomicU64::new(0),
        })
    }

    /// Creates the budget of a process on a machine with `memory_bytes`.
    pub(crate) fn for_machine(memory_bytes: usize) -> Arc<Self> {
        Self::new(memory_bytes / REQUEST_MEMORY_DIVISOR)
    }

    /// Reserves bytes, unless that would exceed the limit.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<BytePermit> {
        let mut permit = self.empty_permit();
        permit.resize(bytes).then_some(permit)
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
        self.lock_state().taken
    }

    /// Returns the number of incomplete bodies that were dropped to make room.
    pub fn dropped_bodies(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Adds a body that holds nothing yet; the receiver is closed when it is dropped to make room.
    pub(super) fn add_incoming(&self, memory: BodyMemory) -> (u64, Receiver<()>) {
        let (dropped, is_dropped) = async_channel::bounded(1);
        let mut state = self.lock_state();
        state.last_id += 1;
        let id = state.last_id;
        state.incoming.push(IncomingEntry {
            id,
            held: 0,
            grown_at: boot_now(),
            memory,
            _dropped: dropped,
        });
        (id, is_dropped)
    }

    /// Reserves memory so that an incoming body holds at least `bytes`; returns whether it does.
    pub(super) fn grow_incoming(&self, id: u64, bytes: usize) -> bool {
        let mut state = self.lock_state();
        let Some(held) = state.entry(id).map(|entry| entry.held) else {
            return false;
        };
        if !self.make_room(&mut state, held, held.max(bytes), Some(id)) {
            return false;
        }
        if let Some(entry) = state.entry(id) {
            entry.held = held.max(bytes);
            entry.grown_at = boot_now();
        }
        true
    }

    /// Removes an incoming body, and returns what it held.
    pub(super) fn remove_incoming(&self, id: u64) -> Option<usize> {
        let mut state = self.lock_state();
        let index = state.index_of(id)?;
        Some(state.incoming.remove(index).held)
    }

    /// Creates a permit for bytes that are already reserved.
    pub(super) fn adopt(self: &Arc<Self>, bytes: usize) -> BytePermit {
        BytePermit {
            budget: self.clone(),
            bytes,
        }
    }

    fn grow(&self, held: usize, bytes: usize) -> bool {
        self.make_room(&mut self.lock_state(), held, bytes, None)
    }

    fn release(&self, bytes: usize) {
        self.lock_state().taken -= bytes;
    }

    /// Reserves what is missing from `held` to `bytes`; drops incoming bodies that weigh more where
    /// there is no room, except for the body `own` if that is what grows.
    fn make_room(
        &self,
        state: &mut BudgetState,
        held: usize,
        bytes: usize,
        own: Option<u64>,
    ) -> bool {
        let reserve = match bytes > SMALL_BYTES {
            true => self.limit / RESERVE_DIVISOR,
            false => 0,
        };
        let missing = bytes - held;
        while state.taken.saturating_add(missing) > self.limit - reserve {
            let now = boot_now();
            let others = state.incoming.iter().enumerate();
            let heaviest = others
                .filter(|(_, entry)| Some(entry.id) != own)
                .max_by_key(|(_, entry)| entry.weight(now));
            let Some((index, entry)) = heaviest else {
                return false;
            };
            if entry.weight(now) <= bytes as u128 * 1000 {
                return false;
            }
            let entry = state.incoming.remove(index);
            state.taken -= entry.held;
            *lock(&entry.memory) = None;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        state.taken += missing;
        true
    }

    fn lock_state(&self) -> MutexGuard<'_, BudgetState> {
        lock(&self.state)
    }
}

impl BudgetState {
    fn index_of(&self, id: u64) -> Option<usize> {
        self.incoming
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }

    fn entry(&mut self, id: u64) -> Option<&mut IncomingEntry> {
        let index = self.index_of(id)?;
        self.incoming.get_mut(index)
    }
}

impl IncomingEntry {
    /// Returns the bytes it holds times the time for which it has not grown, in byte milliseconds,
    /// where a body that is growing counts as if it had not for a second.
    fn weight(&self, now: Duration) -> u128 {
        let stalled = now.saturating_sub(self.grown_at);
        self.held as u128 * (1000 + stalled.as_millis())
    }
}

impl BytePermit {
    /// Reserves or releases bytes so that the permit holds `bytes`; returns whether it does. If
    /// the limit would be exceeded, it holds what it held before.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.budget.release(self.bytes - bytes);
        } else if !self.budget.grow(self.bytes, bytes) {
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Returns the size of the kernel's buffer for the unread bytes of one of `callers`.
pub(crate) fn receive_buffer_bytes(memory_bytes: usize, callers: usize) -> usize {
    let per_caller = memory_bytes / UNREAD_MEMORY_DIVISOR / callers.max(1);
    per_caller.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
