//! In-flight and recent answers: a caller and its resends read the same bytes.

mod answer_buffer;
mod answer_cache;
mod answer_reader;
#[cfg(test)]
mod tests;

pub(crate) use answer_buffer::AnswerBuffer;
pub(crate) use answer_buffer::AnswerChunk;
pub(crate) use answer_buffer::AnswerEnd;
pub(crate) use answer_cache::AnswerCache;
pub(crate) use answer_cache::AnswerLookup;
pub(crate) use answer_reader::AnswerReader;
