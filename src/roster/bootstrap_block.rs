//! What keeps a roster from being founded.

use derive_more::Display;

use crate::ids::HostName;
use crate::ids::RosterNumber;

/// A roster that a document lets be founded, while seats of it still have a voice in
/// an older one.
///
/// Guards against an operator who says `former_lost` while a host survives and keeps
/// its seat: the new hosts learn the old roster from it, put the document in force
/// and stay without a voice, and nothing else would say why.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display(
    "roster {roster} is not founded while seats of it speak for roster {active}; \
     if that roster is lost, stop or restart: {}",
    hosts.join(", ")
)]
pub struct BootstrapBlock {
    /// The roster that waits.
    pub roster: RosterNumber,
    /// The roster that is still active.
    pub active: RosterNumber,
    /// The waiting roster's hosts that were last heard with a voice, sorted.
    pub hosts: Vec<HostName>,
}
