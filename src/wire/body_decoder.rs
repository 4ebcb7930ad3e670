//! Takes one message's body out of the bytes of a connection.

use super::BodyFraming;
use super::InputBuffer;
use super::WireError;

/// The longest line of a chunk's size or of a trailer, in bytes. A size line
/// without an end would otherwise grow until memory is gone.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Where in the body the decoder stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Whole,
}

/// Takes one message's body out of the bytes of a connection, and tells a whole
/// body from a cut one.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Makes a decoder for a body that has not begun.
    pub(crate) const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Whole,
            BodyFraming::Length(length) => DecoderState::Counted(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Tells whether the body came to its proven end.
    pub(crate) const fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Whole)
    }

    /// Moves what belongs to the body from `input` to `output`, and no byte more.
    ///
    /// # Errors
    ///
    /// `Malformed` where the chunks are broken.
    pub(crate) fn decode(
        &mut self,
        input: &mut InputBuffer,
        output: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        while self.step(input, output)? {}
        Ok(())
    }

    /// Notes that the connection ended cleanly.
    ///
    /// # Errors
    ///
    /// `Truncated` where the body was to go on.
    pub(crate) fn finish_at_eof(&mut self) -> Result<(), WireError> {
        match self.state {
            DecoderState::UntilClose | DecoderState::Whole => {
                self.state = DecoderState::Whole;
                Ok(())
            }
            _ => Err(WireError::Truncated),
        }
    }

    /// Takes one step; returns whether another may follow at once.
    fn step(&mut self, input: &mut InputBuffer, output: &mut Vec<u8>) -> Result<bool, WireError> {
        if input.is_empty() {
            return Ok(false);
        }
        match self.state {
            DecoderState::Counted(left) => {
                let left = left - move_bytes(input, output, left);
                self.state = match left {
                    0 => DecoderState::Whole,
                    left => DecoderState::Counted(left),
                };
                Ok(false)
            }
            DecoderState::ChunkData(left) => {
                let left = left - move_bytes(input, output, left);
                self.state = match left {
                    0 => DecoderState::ChunkEnd,
                    left => DecoderState::ChunkData(left),
                };
                Ok(left == 0)
            }
            DecoderState::ChunkSize => self.read_size(input),
            DecoderState::ChunkEnd => self.read_chunk_end(input),
            DecoderState::Trailer => self.read_trailer(input),
            DecoderState::UntilClose => {
                move_bytes(input, output, u64::MAX);
                Ok(false)
            }
            DecoderState::Whole => Ok(false),
        }
    }

    fn read_size(&mut self, input: &mut InputBuffer) -> Result<bool, WireError> {
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

    /// Passes over trailer lines up to the empty one, which ends the body.
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
            self.state = DecoderState::Whole;
            return Ok(false);
        }
        Ok(true)
    }
}

/// Moves up to `most` bytes and returns how many.
fn move_bytes(input: &mut InputBuffer, output: &mut Vec<u8>, most: u64) -> u64 {
    let count = usize::try_from(most).map_or(input.len(), |most| most.min(input.len()));
    output.extend_from_slice(&input.bytes()[..count]);
    input.consume(count);
    count as u64
}
