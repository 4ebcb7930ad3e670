//! Limits of client accounts and of memory.

mod account_bucket;
mod account_limiter;
mod byte_budget;

pub use account_bucket::AccountBucket;
pub(crate) use account_limiter::AccountLimiter;
pub use byte_budget::ByteBudget;
pub use byte_budget::BytePermit;
