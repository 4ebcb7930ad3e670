//! The answers of one host, in flight and kept, by request id.

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

/// How long a finished answer is kept for a resend. A caller's own time-out
/// and its resend lie well inside a minute.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// What a request finds in the book.
#[derive(Debug)]
pub(crate) enum AnswerLookup {
    /// Nobody works on the id here: the request owns the new slot.
    Owned(Arc<AnswerBuffer>),
    /// Another send of the id is at work or has ended: join it.
    Joined(Arc<AnswerBuffer>),
    /// Another account used this id: its answer is not for this caller.
    OtherAccount,
}

/// The answers of one host.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    entries: Mutex<SortedMap<RequestId, KeptAnswer>>,
    max_kept_bytes: AtomicUsize,
}

#[derive(Debug)]
struct KeptAnswer {
    account: AccountName,
    attempt: AttemptNumber,
    slot: Arc<AnswerBuffer>,
    finished: Option<Duration>,
}

impl AnswerCache {
    /// Makes a book that keeps at most so many bytes of finished answers.
    pub(crate) fn new(max_kept_bytes: usize) -> Self {
        Self {
            entries: Mutex::new(SortedMap::new()),
            max_kept_bytes: AtomicUsize::new(max_kept_bytes),
        }
    }

    /// Sets how many bytes of finished answers are kept; the next trim goes by it.
    pub(crate) fn set_max_kept_bytes(&self, max_kept_bytes: usize) {
        self.max_kept_bytes.store(max_kept_bytes, Ordering::Relaxed);
    }

    /// Enters a send of an id: the first one owns it, the others join.
    ///
    /// A later attempt joins an earlier one only if that ran. Guards against a
    /// `not-run` that is not its own: the earlier attempt may still wait here when a
    /// caller was told elsewhere that it did not run; it then ends barred, while the
    /// later attempt, sent to another host before, may yet run there.
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
            if kept.attempt >= attempt || kept.slot.outcome() == RequestOutcome::Done {
                return AnswerLookup::Joined(kept.slot.clone());
            }
        }
        let slot = Arc::new(AnswerBuffer::default());
        let kept = KeptAnswer {
            account: account.clone(),
            attempt,
            slot: slot.clone(),
            finished: None,
        };
        entries.insert(id, kept);
        AnswerLookup::Owned(slot)
    }

    /// Finds the answer of an id for a peer that asks on behalf of a caller.
    pub(crate) fn find(&self, id: RequestId, account: &AccountName) -> Option<Arc<AnswerBuffer>> {
        let entries = self.lock();
        let kept = entries.get(&id)?;
        (kept.account == *account).then(|| kept.slot.clone())
    }

    /// Marks an answer as finished, to be kept for a while.
    pub(crate) fn finish(&self, id: RequestId, slot: &Arc<AnswerBuffer>, now: Duration) {
        let mut entries = self.lock();
        if let Some(kept) = entries.get_mut(&id)
            && Arc::ptr_eq(&kept.slot, slot)
        {
            kept.finished = Some(now);
        }
    }

    /// Forgets an id whose request ended without running, so that the next
    /// attempt owns it anew; another attempt's slot stays.
    pub(crate) fn forget(&self, id: RequestId, slot: &Arc<AnswerBuffer>) {
        let mut entries = self.lock();
        let same = entries
            .get(&id)
            .is_some_and(|kept| Arc::ptr_eq(&kept.slot, slot));
        if same {
            entries.remove(&id);
        }
    }

    /// Lets go of answers that are too old, and of the oldest above the bound.
    pub(crate) fn evict(&self, now: Duration) {
        let mut entries = self.lock();
        entries.retain(|_, kept| {
            kept.finished
                .is_none_or(|finished| now.saturating_sub(finished) < KEEP_TIME)
        });
        let mut excess = entries
            .values()
            .filter(|kept| kept.finished.is_some())
            .map(|kept| kept.slot.held_bytes())
            .sum::<usize>()
            .saturating_sub(self.max_kept_bytes.load(Ordering::Relaxed));
        // Ids rise with time, so the first entries are the oldest.
        entries.retain(|_, kept| {
            if excess == 0 || kept.finished.is_none() {
                return true;
            }
            excess = excess.saturating_sub(kept.slot.held_bytes());
            false
        });
    }

    /// Returns how many answers are in flight and how many are kept.
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
