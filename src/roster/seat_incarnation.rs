//! One incarnation of a seat's process.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IncarnationId;
use crate::ids::UnixMillis;

/// One incarnation of a seat's process; a later one of the same host compares greater.
///
/// A process that starts with its clock set back compares lower than the previous
/// incarnation. Its peers then ignore it and it never gets to vote, which is safe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeatIncarnation {
    /// The start time of the process by its own clock.
    pub started: UnixMillis,
    /// A random number drawn at the start.
    pub id: IncarnationId,
}
