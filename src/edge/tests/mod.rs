//! A host between raw callers and raw targets, with a store that tests write.

mod answers;
mod callers;
mod deadlines;
mod edge_fixture;
mod following;
mod gossip;
mod keys;
mod leaving;
mod metrics;
mod raw_target;
mod request_limits;
