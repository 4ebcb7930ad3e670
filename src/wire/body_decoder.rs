//! Decodes the body of one message from the bytes of a connection.

use super::BodyFraming;
use super::InputBuffer;
use super::WireError;

/// Maximum length of a chunk-size line or a trailer line, in bytes. Without it, a
/// line that never ends would exhaust memory.
const MAX_LINE_BYTES: usize = 4 << 10;

/// The position of the decoder within the body; counts are remaining bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

/// Decodes the body of one message, and distinguishes a complete body from a
/// truncated one.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: DecoderState,
    /// The declared length.
    length: Option<u64>,
}

impl BodyDecoder {
    /// Creates a decoder positioned at the start of a body.
    pub(crate) const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Remaining(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        let length = match framing {
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        };
        Self { state, length }
    }

    /// Returns the length of the body if it is declared, or else `limit`.
    pub(crate) fn max_bytes(&self, limit: usize) -> usize {
        let length = self.length.and_then(|length| usize::try_from(length).ok());
        length.unwrap_or(limit)
    }

    /// Returns whether the body has reached its verified end.
    pub(crate) const fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Complete)
    }

    /// Moves the bytes of the body from `input` to `output`; bytes after the body stay
    /// in `input`.
    ///
    /// # Errors
    ///
    /// `Malformed` if the chunked coding is invalid.
    pub(crate) fn decode(
        &mut self,
        input: &mut InputBuffer,
        output: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        while self.step(input, output)? {}
        Ok(())
    }

    /// Handles the end of the connection.
    ///
    /// # Errors
    ///
    /// `Truncated` if the body was incomplete.
    pub(crate) fn finish_at_eof(&mut self) -> Result<(), WireError> {
        match self.state {
            DecoderState::UntilClose | DecoderState::Complete => {
                self.state = DecoderState::Complete;
                Ok(())
            }
            _ => Err(WireError::Truncated),
        }
    }

    /// Decodes one element; returns whether the next one may follow immediately.
    fn step(&mut self, input: &mut InputBuffer, output: &mut Vec<u8>) -> Result<bool, WireError> {
        if input.is_empty() {
            return Ok(false);
        }
        match self.state {
            DecoderState::Remaining(remaining) => {
                let remaining = remaining - move_bytes(input, output, remaining);
                self.state = match remaining {
                    0 => DecoderState::Complete,
                    remaining => DecoderState::Remaining(remaining),
                };
                Ok(false)
            }
            DecoderState::ChunkData(remaining) => {
                let remaining = remaining - move_bytes(input, output, remaining);
                self.state = match remaining {
                    0 => DecoderState::ChunkEnd,
                    remaining => DecoderState::ChunkData(remaining),
                };
                Ok(remaining == 0)
            }
            DecoderState::ChunkSize => self.read_chunk_size(input),
            DecoderState::ChunkEnd => self.read_chunk_end(input),
            DecoderState::Trailer => self.read_trailer(input),
            DecoderState::UntilClose => {
                move_bytes(input, output, u64::MAX);
                Ok(false)
            }
            DecoderState::Complete => Ok(false),
        }
    }

    fn read_chunk_size(&mut self, input: &mut InputBuffer) -> Result<bool, WireError> {
        match httparse::parse_chunk_size(input.bytes()) {
            Ok(httparse::Status::Complete((used, size))) => {
                input.consume(used);
                self.state = match size {
                    0 => DecoderState::Trailer,
                    size => DecoderState::ChunkData(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(WireError::Malformed),
        }
    }

    fn read_chunk_end(&mut self, input: &mut InputBuffer) -> Result<bool, WireError> {
        match input.bytes() {
            [b'\r', b'\n', ..] => {
                input.consume(2);
                self.state = DecoderState::ChunkSize;
                Ok(true)
            }
            [b'\r'] => Ok(false),
            _ => Err(WireError::Malformed),
        }
    }

    /// Skips trailer lines up to the empty line, which ends the body.
    fn read_trailer(&mut self, input: &mut InputBuffer) -> Result<bool, WireError> {
        let end = input.bytes().windows(2).position(|pair| pair == b"\r\n");
        let Some(end) = end else {
            return match input.len() <= MAX_LINE_BYTES {
                true => Ok(false),
                false => Err(WireError::Malformed),
            };
        };
        input.consume(end + 2);
        if end == 0 {
            self.state = DecoderState::Complete;
            return Ok(false);
        }
        Ok(true)
    }
}

/// Moves up to `max_count` bytes and returns how many were moved.
fn move_bytes(input: &mut InputBuffer, output: &mut Vec<u8>, max_count: u64) -> u64 {
    let count =
        usize::try_from(max_count).map_or(input.len(), |max_count| max_count.min(input.len()));
    output.extend_from_slice(&input.bytes()[..count]);
    input.consume(count);
    count as u64
}
