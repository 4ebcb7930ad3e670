//! Limits of client accounts, of memory and of connections.

mod account_bucket;
mod account_limiter;
mod body_bytes;
mod byte_budget;
mod connection_table;
mod incoming_body;
mod memory_shares;
#[cfg(test)]
mod tests;

pub use account_bucket::AccountBucket;
pub(crate) use account_limiter::AccountLimiter;
pub use byte_budget::ByteBudget;
pub use byte_budget::BytePermit;
pub(crate) use connection_table::ConnectionPermit;
pub(crate) use connection_table::ConnectionTable;
pub(crate) use incoming_body::IncomingBody;
pub(crate) use memory_shares::receive_buffer_bytes;
pub(crate) use memory_shares::request_memory_bytes;
