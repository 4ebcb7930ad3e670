//! Raw bytes from callers to a real host: malformed requests get a specific refusal, and
//! other requests are not affected.

#[path = "../support/mod.rs"]
mod support;

mod connections;
mod fixture;
mod refusals;
