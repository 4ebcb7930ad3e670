//! Limits of client accounts, and of memory.

mod account_bucket;
mod account_limiter;
mod body_bytes;
mod byte_budget;
mod incoming_body;
#[cfg(test)]
mod tests;

pub use account_bucket::AccountBucket;
pub(crate) use account_limiter::AccountLimiter;
pub use byte_budget::ByteBudget;
pub use byte_budget::BytePermit;
pub(crate) use incoming_body::IncomingBody;
