//! Watches an engine's token stream over one or more connections.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use crate::ids::TokenCount;

/// The largest event, in bytes. An event without an end would grow for ever.
const MAX_EVENT_BYTES: usize = 64 << 10;
const EVENT_END: &[u8] = b"\n\n";
const DATA_FIELD: &str = "data:";

/// Why a stream can't be passed on.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum StreamFault {
    /// Tokens are missing between two events.
    #[display("tokens are missing")]
    TokenGap,
    /// An event is no JSON, has no offset, or is too large.
    #[display("an event is broken")]
    BrokenEvent,
    /// The engine's own count differs from what came.
    #[display("the count of tokens differs")]
    WrongCount,
}

/// The parts of an event that the guard reads.
#[derive(Debug, Deserialize)]
struct EventFields {
    offset: Option<TokenCount>,
    #[serde(default)]
    done: bool,
    tokens: Option<TokenCount>,
}

/// Watches an engine's token stream.
///
/// A resumed stream may repeat tokens or leave some out; the caller would get
/// an answer that reads as whole and is not. So each event's offset must be the
/// next one: earlier ones are dropped, later ones are a fault, and the stream is
/// whole only with its last event and as many tokens as that event says.
#[derive(Debug, Default)]
pub(crate) struct StreamGuard {
    pending: Vec<u8>,
    next_offset: TokenCount,
    done: bool,
}

impl StreamGuard {
    /// Returns the offset of the next token, from which the stream is resumed.
    pub(crate) fn next_offset(&self) -> TokenCount {
        self.next_offset
    }

    /// Tells whether the last event has come.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Begins a new connection: a piece of an event from the old one is void.
    pub(crate) fn resume(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes as they came and returns those to pass on.
    ///
    /// # Errors
    ///
    /// A [`StreamFault`]; nothing may be passed on after it.
    pub(crate) fn accept(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamFault> {
        self.pending.extend_from_slice(bytes);
        let mut passed = Vec::new();
        while let Some(event) = self.next_event() {
            if self.admit_event(&event)? {
                passed.extend_from_slice(&event);
            }
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(StreamFault::BrokenEvent),
            false => Ok(passed),
        }
    }

    fn next_event(&mut self) -> Option<Vec<u8>> {
        let found = self
            .pending
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.pending.drain(..found + EVENT_END.len()).collect())
    }

    /// Tells whether an event is new.
    fn admit_event(&mut self, event: &[u8]) -> Result<bool, StreamFault> {
        let text = std::str::from_utf8(event).map_err(|_| StreamFault::BrokenEvent)?;
        let Some(data) = text.lines().find_map(|line| line.strip_prefix(DATA_FIELD)) else {
            // A comment keeps the connection alive and carries no token.
            return Ok(!self.done);
        };
        let fields: EventFields =
            serde_json::from_str(data.trim()).map_err(|_| StreamFault::BrokenEvent)?;
        match fields.done {
            true => self.admit_end(&fields),
            false => self.admit_token(&fields),
        }
    }

    fn admit_end(&mut self, fields: &EventFields) -> Result<bool, StreamFault> {
        if fields.tokens != Some(self.next_offset) {
            return Err(StreamFault::WrongCount);
        }
        let first = !self.done;
        self.done = true;
        Ok(first)
    }

    fn admit_token(&mut self, fields: &EventFields) -> Result<bool, StreamFault> {
        let offset = fields.offset.ok_or(StreamFault::BrokenEvent)?;
        if offset < self.next_offset {
            return Ok(false);
        }
        if offset > self.next_offset || self.done {
            return Err(StreamFault::TokenGap);
        }
        self.next_offset += 1;
        Ok(true)
    }
}
