//! Reading of hand-written JSON documents, with comments, fault paths and suggestions.

mod document_fault;
mod document_reader;
mod fault_collector;

pub use document_fault::DocumentFault;
pub(crate) use document_reader::read_document;
pub(crate) use document_reader::strip_comments;
