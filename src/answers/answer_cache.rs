//! In-flight and recent answers of one host, by request id.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::AnswerBuffer;
use crate::errors::RequestOutcome;
use crate::ids::AccountName;
use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::sorted::SortedMap;

/// How long a finished answer is kept for resends. A caller's timeout and its resend
/// usually happen well within a minute.
const RETENTION: Duration = Duration::from_secs(60);

/// The result of looking up a request id.
#[derive(Debug)]
pub(crate) enum AnswerLookup {
    /// No request with this id is known here: the caller owns the new buffer.
    Owned(Arc<AnswerBuffer>),
    /// Another send of the id is in progress or has ended: join it.
    Joined(Arc<AnswerBuffer>),
    /// Another account used this id; its answer must not be given to this caller.
    OtherAccount,
}

/// In-flight and recent answers of one host.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    entries: Mutex<SortedMap<RequestId, KeptAnswer>>,
    max_kept_bytes: AtomicUsize,
}

#[derive(Debug)]
struct KeptAnswer {
    account: AccountName,
    attempt: AttemptNumber,
    buffer: Arc<AnswerBuffer>,
    finished: Option<Duration>,
}

impl AnswerCache {
    /// Creates a cache that keeps at most this many bytes of finished answers.
    pub(crate) fn new(max_kept_bytes: usize) -> Self {
        Self {
            entries: Mutex::new(SortedMap::new()),
            max_kept_bytes: AtomicUsize::new(max_kept_bytes),
        }
    }

    /// Sets how many bytes of finished answers are kept; takes effect at the next
    /// eviction.
    pub(crate) fn set_max_kept_bytes(&self, max_kept_bytes: usize) {
        self.max_kept_bytes.store(max_kept_bytes, Ordering::Relaxed);
    }

    /// Looks up a send of an id: the first one owns the answer, the others join it.
    ///
    /// A later attempt joins an earlier one only if that one ran. The earlier attempt
    /// may still wait here after another host has told the caller that it did not run,
    /// and will then end barred. The later attempt must not report that outcome as its
    /// own, since it may still run on another host.
    pub(crate) fn get_or_insert(
        &self,
        id: RequestId,
        account: &AccountName,
        attempt: AttemptNumber,
    ) -> AnswerLookup {
        let mut entries = self.lock();
        if let Some(kept) = entries.get(&id) {
            if kept.account != *account {
                return AnswerLookup::OtherAccount;
            }
            if kept.attempt >= attempt || kept.buffer.outcome() == RequestOutcome::Done {
                return AnswerLookup::Joined(kept.buffer.clone());
            }
        }
        let buffer = Arc::new(AnswerBuffer::default());
        let kept = KeptAnswer {
            account: account.clone(),
            attempt,
            buffer: buffer.clone(),
            finished: None,
        };
        entries.insert(id, kept);
        AnswerLookup::Owned(buffer)
    }

    /// Finds the answer of an id for a peer that asks on behalf of a caller.
    pub(crate) fn find(&self, id: RequestId, account: &AccountName) -> Option<Arc<AnswerBuffer>> {
        let entries = self.lock();
        let kept = entries.get(&id)?;
        (kept.account == *account).then(|| kept.buffer.clone())
    }

    /// Marks an answer as finished, so that it is kept for a while.
    pub(crate) fn finish(&self, id: RequestId, buffer: &Arc<AnswerBuffer>, now: Duration) {
        let mut entries = self.lock();
        if let Some(kept) = entries.get_mut(&id)
            && Arc::ptr_eq(&kept.buffer, buffer)
        {
            kept.finished = Some(now);
        }
    }

    /// Removes an id whose request ended without running, so that the next attempt owns
    /// it; the buffer of another attempt stays.
    pub(crate) fn remove(&self, id: RequestId, buffer: &Arc<AnswerBuffer>) {
        let mut entries = self.lock();
        let same = entries
            .get(&id)
            .is_some_and(|kept| Arc::ptr_eq(&kept.buffer, buffer));
        if same {
            entries.remove(&id);
        }
    }

    /// Evicts answers that are too old, then the oldest ones above the size limit.
    pub(crate) fn evict(&self, now: Duration) {
        let mut entries = self.lock();
        entries.retain(|_, kept| {
            kept.finished
                .is_none_or(|finished| now.saturating_sub(finished) < RETENTION)
        });
        let mut excess = entries
            .values()
            .filter(|kept| kept.finished.is_some())
            .map(|kept| kept.buffer.held_bytes())
            .sum::<usize>()
            .saturating_sub(self.max_kept_bytes.load(Ordering::Relaxed));
        // Ids increase with time, so the first entries are the oldest.
        entries.retain(|_, kept| {
            if excess == 0 || kept.finished.is_none() {
                return true;
            }
            excess = excess.saturating_sub(kept.buffer.held_bytes());
            false
        });
    }

    /// Returns the number of answers in flight and of finished ones.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let entries = self.lock();
        let kept = entries
            .values()
            .filter(|kept| kept.finished.is_some())
            .count();
        (entries.len() - kept, kept)
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<RequestId, KeptAnswer>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
