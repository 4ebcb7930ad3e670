//! One life of a seat's process.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IncarnationId;
use crate::ids::UnixMillis;

/// One life of a seat's process; a later life of the same host compares greater.
///
/// A process that starts with its clock set back compares lower than the life
/// before. Its peers then ignore it and it stays without a voice, which is safe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeatIncarnation {
    /// When the process started, by its own clock.
    pub started: UnixMillis,
    /// Random, drawn once at the start.
    pub id: IncarnationId,
}
