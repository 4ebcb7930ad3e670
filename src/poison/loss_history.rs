//! Connections to targets that this host lost recently, and whether one crash explains them.
//!
//! It protects sound requests while a host loses its paths, or a zone its targets: a request runs at
//! one target at a time, so that targets lost together with several others were not crashed by it.

use std::time::Duration;

use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// Losses within this time belong to one moment. Resets of 28 hosts' connections to all their
/// targets were spread over 60 ms.
pub(crate) const MOMENT: Duration = Duration::from_millis(100);
/// Time after the last loss of a moment from which on a connection shows that the path is sound.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Number of other targets that are lost in the moment of a loss which they explain. Two or three
/// targets at once may crash by themselves.
const MIN_OTHERS: usize = 3;
/// How long losses are kept. Checks look back to the moment of their loss, and last for a few tenths
/// of a second until they do.
const RETENTION: Duration = Duration::from_secs(2);

/// What else a host lost in the moment of a loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossScope {
    /// No other target.
    Single,
    /// Connections to other targets, which may be alive.
    Unknown,
    /// Few other targets, or some that ran a request with the same possible cause; the moment has
    /// passed at this time on the boot clock.
    Several(Duration),
    /// Several targets that ran nothing in common with the request.
    Many,
}

/// Hash of what may crash targets: a request's fingerprint, or the key of a part of its prompt.
pub type CauseKey = u64;

/// A connection that was lost while a request ran.
#[derive(Debug)]
struct ConnectionLoss {
    at: Duration,
    /// What may have crashed the target, sorted.
    causes: Vec<CauseKey>,
    /// Whether the target was found unreachable.
    is_unreachable: bool,
}

/// Connections that a host lost while requests ran, by target.
#[derive(Debug, Default)]
pub struct LossHistory {
    losses: SortedMap<TargetName, Vec<ConnectionLoss>>,
}

impl LossHistory {
    /// Records that the connection of a request was lost.
    pub fn record(&mut self, target: &TargetName, mut causes: Vec<CauseKey>, now: Duration) {
        causes.sort_unstable();
        self.losses.retain(|_, losses| {
            losses.retain(|loss| now.saturating_sub(loss.at) < RETENTION);
            !losses.is_empty()
        });
        let losses = self.losses.get_or_insert_with(target.clone(), Vec::new);
        losses.push(ConnectionLoss {
            at: now,
            causes,
            is_unreachable: false,
        });
    }

    /// Records whether a target accepted a connection at `now`. One that did was not lost; targets
    /// may close connections for other reasons at any time.
    pub fn record_probe(&mut self, target: &TargetName, is_alive: bool, now: Duration) {
        let Some(losses) = self.losses.get_mut(target) else {
            return;
        };
        match is_alive {
            true => losses.retain(|loss| loss.at >= now),
            false => {
                for loss in losses.iter_mut().filter(|loss| loss.at < now) {
                    loss.is_unreachable = true;
                }
            }
        }
    }

    /// Returns what else was lost in the moment in which the request lost the target.
    pub fn scope(&self, target: &TargetName, causes: &[CauseKey], lost_at: Duration) -> LossScope {
        let mut unrelated = 0;
        let mut is_unknown = false;
        let mut last = None;
        let others = self.losses.iter().filter(|(name, _)| *name != target);
        for (_, losses) in others {
            let losses = losses.iter();
            let in_moment = losses.filter(|loss| loss.at.abs_diff(lost_at) <= MOMENT);
            let lost = in_moment.clone().filter(|loss| loss.is_unreachable);
            is_unknown |= in_moment.clone().any(|loss| !loss.is_unreachable);
            let Some(at) = lost.clone().map(|loss| loss.at).max() else {
                continue;
            };
            last = last.max(Some(at));
            // Copies of a request may crash several targets at once, and so may requests that share
            // a part.
            let is_related = |loss: &ConnectionLoss| {
                let mut causes = causes.iter();
                causes.any(|cause| loss.causes.binary_search(cause).is_ok())
            };
            if !lost.clone().any(is_related) {
                unrelated += 1;
            }
        }
        match last {
            _ if unrelated >= MIN_OTHERS => LossScope::Many,
            _ if is_unknown => LossScope::Unknown,
            Some(last) => LossScope::Several(last.max(lost_at) + SETTLE_TIME),
            None => LossScope::Single,
        }
    }
}
