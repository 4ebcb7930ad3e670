//! State of one suspect part of prompts, as exchanged between hosts.

use serde::Deserialize;
use serde::Serialize;

use super::AccountKey;
use super::PartKey;
use crate::ids::TargetName;
use crate::ids::UnixMillis;

/// Losses of one target within this time are one crash, in milliseconds. Hosts notice it at different
/// times.
const SAME_CRASH_MS: u64 = 2_000;
/// Maximum number of losses of a part that are kept, the last ones.
const MAX_LOSSES: usize = 16;
/// Maximum number of accounts of a loss that are kept: whether there are several is what counts.
const MAX_ACCOUNTS: usize = 2;

/// The loss of a target while it ran requests with the part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartLoss {
    /// When the last of these requests was sent to the target, by the clock of its host.
    pub sent_at: UnixMillis,
    /// When the target was lost.
    pub at: UnixMillis,
    /// The target.
    pub target: TargetName,
    /// The accounts that sent these requests, sorted.
    pub accounts: Vec<AccountKey>,
    /// Whether one of them was sent as a trial of a rejected part.
    pub is_trial: bool,
    /// Whether a request with the part that was sent after the loss was known has completed.
    pub is_cleared: bool,
}

/// Known state of one suspect part. Merging entries of two hosts gives the same result in any
/// order, so lost or repeated messages do no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartEntry {
    /// The part.
    pub key: PartKey,
    /// The losses, by their times.
    pub losses: Vec<PartLoss>,
}

impl PartLoss {
    /// Returns whether both runs ended with the same crash.
    pub(super) fn is_same_crash(&self, other: &Self) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < SAME_CRASH_MS
    }

    /// Merges what another host, or another request, tells of the same crash; returns whether this
    /// changed anything.
    fn merge(&mut self, other: &Self) -> bool {
        let previous = self.clone();
        self.sent_at = self.sent_at.max(other.sent_at);
        self.at = self.at.min(other.at).max(self.sent_at);
        self.accounts.extend(&other.accounts);
        self.accounts.sort_unstable();
        self.accounts.dedup();
        self.accounts.truncate(MAX_ACCOUNTS);
        self.is_trial |= other.is_trial;
        self.is_cleared |= other.is_cleared;
        *self != previous
    }
}

impl PartEntry {
    /// Creates the entry of a part without losses.
    pub const fn new(key: PartKey) -> Self {
        Self {
            key,
            losses: Vec::new(),
        }
    }

    /// Merges a loss; returns whether this changed anything.
    pub(super) fn merge_loss(&mut self, loss: &PartLoss) -> bool {
        let mut held = self.losses.iter_mut();
        let same = held.find(|held| held.is_same_crash(loss));
        let changed = match same {
            Some(held) => held.merge(loss),
            None => {
                self.losses.push(loss.clone());
                true
            }
        };
        if changed {
            self.losses.sort_by_key(|loss| (loss.at, loss.sent_at));
            let surplus = self.losses.len().saturating_sub(MAX_LOSSES);
            self.losses.drain(..surplus);
        }
        changed
    }

    /// Returns the losses that no completed request has cleared.
    pub(super) fn open_losses(&self) -> Vec<&PartLoss> {
        let is_cleared = |loss: &PartLoss| {
            let mut losses = self.losses.iter();
            losses.any(|other| other.is_cleared && other.is_same_crash(loss))
        };
        self.losses
            .iter()
            .filter(|loss| !is_cleared(loss))
            .collect()
    }

    /// Returns the open losses that count against requests of an account: its own, or all if the
    /// part crashed targets in requests of several. Otherwise a caller could have the prompts of
    /// another account rejected by naming their parts.
    pub(super) fn losses_against(&self, account: AccountKey) -> Vec<&PartLoss> {
        let losses = self.open_losses();
        let mut accounts: Vec<&AccountKey> =
            losses.iter().flat_map(|loss| &loss.accounts).collect();
        accounts.sort_unstable();
        accounts.dedup();
        match accounts.len() > 1 || accounts.contains(&&account) {
            true => losses,
            false => Vec::new(),
        }
    }
}

/// Returns the largest number of runs that were lost one after the other, each sent after the one
/// before was lost. Runs that overlap may have been lost for one reason that has nothing to do with
/// the part. `losses` are sorted by time.
pub(super) fn count_successive<'l>(losses: impl IntoIterator<Item = &'l PartLoss>) -> usize {
    let mut count = 0;
    let mut last_at = 0;
    for loss in losses {
        if loss.sent_at >= last_at {
            count += 1;
            last_at = loss.at;
        }
    }
    count
}
