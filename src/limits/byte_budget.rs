//! A limit on the memory that all requests use together.
//!
//! Without it, a few hundred waiting bodies of one mebibyte each, in a burst of long prompts,
//! would exhaust the host's memory, and every request would fail.
//!
//! Bodies that are still being received are evicted when memory runs out, the largest and longest
//! stalled one first. Complete bodies are never evicted.

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

/// Time for which a body counts as stalled as soon as it has received a byte.
const STALL_BASE: Duration = Duration::from_secs(1);

/// The memory of a body, empty once the body was evicted.
pub(super) type BodyMemory = Arc<Mutex<Option<BodyBytes>>>;

/// A limit on the bytes held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    state: Mutex<BudgetState>,
    evicted: AtomicU64,
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
    /// Closed on eviction.
    _evicted: Sender<()>,
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
            evicted: AtomicU64::new(0),
        })
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

    /// Returns the number of evicted bodies.
    pub fn evicted_bodies(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Adds a body that holds nothing yet; the receiver is closed when it is evicted.
    pub(super) fn add_incoming(&self, memory: BodyMemory) -> (u64, Receiver<()>) {
        let (sender, evicted) = async_channel::bounded(1);
        let mut state = self.lock_state();
        state.last_id += 1;
        let id = state.last_id;
        state.incoming.push(IncomingEntry {
            id,
            held: 0,
            grown_at: boot_now(),
            memory,
            _evicted: sender,
        });
        (id, evicted)
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

    /// Grows a reservation from `held` to `bytes`, by evicting heavier incoming bodies if need be.
    /// `own` is the incoming body that grows.
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
            if entry.weight(now) <= stall_weight(bytes, Duration::ZERO) {
                return false;
            }
            let entry = state.incoming.remove(index);
            state.taken -= entry.held;
            *lock(&entry.memory) = None;
            self.evicted.fetch_add(1, Ordering::Relaxed);
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
    fn weight(&self, now: Duration) -> u128 {
        stall_weight(self.held, now.saturating_sub(self.grown_at))
    }
}

/// Returns the eviction weight of a body: its bytes times the time since it grew last, to which
/// [`STALL_BASE`] is added so that the size of growing bodies counts too.
fn stall_weight(bytes: usize, stalled: Duration) -> u128 {
    bytes as u128 * (STALL_BASE + stalled).as_millis()
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

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
