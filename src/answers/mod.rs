//! Answers in flight and kept: the caller and its resends read the same bytes.

mod answer_cache;
mod answer_reader;
mod answer_slot;
#[cfg(test)]
mod tests;

pub(crate) use answer_cache::AnswerCache;
pub(crate) use answer_cache::AnswerLookup;
pub(crate) use answer_reader::AnswerReader;
pub(crate) use answer_slot::AnswerEnd;
pub(crate) use answer_slot::AnswerPiece;
pub(crate) use answer_slot::AnswerSlot;
