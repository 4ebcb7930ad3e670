//! Validates an engine's token stream across one or more connections.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use crate::ids::TokenCount;

/// Maximum size of an event, in bytes. Without it, an event that never ends would
/// exhaust memory.
const MAX_EVENT_BYTES: usize = 64 << 10;
const EVENT_END: &[u8] = b"\n\n";
const DATA_FIELD: &str = "data:";

/// Why a stream can't be relayed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum StreamFault {
    /// Tokens are missing between two events, or a token follows the final event.
    #[display("missing tokens")]
    MissingTokens,
    /// An event is not JSON, has no offset, or is too large.
    #[display("malformed event")]
    MalformedEvent,
    /// The engine's token count differs from the number of tokens received.
    #[display("token count mismatch")]
    TokenCountMismatch,
}

/// The fields of an event that the guard reads.
#[derive(Debug, Deserialize)]
struct EventFields {
    offset: Option<TokenCount>,
    #[serde(default)]
    done: bool,
    tokens: Option<TokenCount>,
}

/// Validates an engine's token stream.
///
/// A resumed stream may repeat or omit tokens, and the caller could not recognise that
/// the answer is wrong. Therefore each event must have the next offset: events with an
/// earlier one are dropped, and a later one is a fault. The stream is complete only
/// after its final event, whose token count must match the tokens received.
#[derive(Debug, Default)]
pub(crate) struct StreamGuard {
    pending: Vec<u8>,
    next_offset: TokenCount,
    done: bool,
}

impl StreamGuard {
    /// Returns the offset of the next token, at which the stream is to be resumed.
    pub(crate) fn next_offset(&self) -> TokenCount {
        self.next_offset
    }

    /// Returns whether the final event has been received.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Starts a new connection, and discards an incomplete event of the previous one.
    pub(crate) fn resume(&mut self) {
        self.pending.clear();
    }

    /// Adds received bytes and returns the complete events to relay.
    ///
    /// # Errors
    ///
    /// A [`StreamFault`]; nothing may be relayed after it.
    pub(crate) fn accept(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamFault> {
        self.pending.extend_from_slice(bytes);
        let mut accepted = Vec::new();
        while let Some(event) = self.next_event() {
            if self.validate_event(&event)? {
                accepted.extend_from_slice(&event);
            }
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(StreamFault::MalformedEvent),
            false => Ok(accepted),
        }
    }

    fn next_event(&mut self) -> Option<Vec<u8>> {
        let found = self
            .pending
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.pending.drain(..found + EVENT_END.len()).collect())
    }

    /// Returns whether an event is to be relayed.
    fn validate_event(&mut self, event: &[u8]) -> Result<bool, StreamFault> {
        let text = std::str::from_utf8(event).map_err(|_| StreamFault::MalformedEvent)?;
        let Some(data) = text.lines().find_map(|line| line.strip_prefix(DATA_FIELD)) else {
            // An event without data, such as a keepalive comment, has no token.
            return Ok(!self.done);
        };
        let fields: EventFields =
            serde_json::from_str(data.trim()).map_err(|_| StreamFault::MalformedEvent)?;
        match fields.done {
            true => self.validate_final_event(&fields),
            false => self.validate_token_event(&fields),
        }
    }

    fn validate_final_event(&mut self, fields: &EventFields) -> Result<bool, StreamFault> {
        if fields.tokens != Some(self.next_offset) {
            return Err(StreamFault::TokenCountMismatch);
        }
        let first = !self.done;
        self.done = true;
        Ok(first)
    }

    fn validate_token_event(&mut self, fields: &EventFields) -> Result<bool, StreamFault> {
        let offset = fields.offset.ok_or(StreamFault::MalformedEvent)?;
        if offset < self.next_offset {
            return Ok(false);
        }
        if offset > self.next_offset || self.done {
            return Err(StreamFault::MissingTokens);
        }
        self.next_offset += 1;
        Ok(true)
    }
}
