//! Retry delays, shared by everything that reconnects.

mod retry_backoff;

pub(crate) use retry_backoff::RetryBackoff;
