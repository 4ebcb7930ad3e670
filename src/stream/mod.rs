//! Validation of token streams (server-sent events): complete, in order, without overlaps
//! or gaps.

mod stream_guard;
#[cfg(test)]
mod tests;

#[cfg(test)]
use stream_guard::StreamFault;
pub(crate) use stream_guard::StreamGuard;
