//! A host between raw callers and raw targets, with a store that the test controls.

mod callers;
mod crashing_requests;
mod crowded_hosts;
mod deadlines;
mod edge_fixture;
mod event_splitting;
mod gossip;
mod group_partitions;
mod keys;
mod membership;
mod metrics;
mod partitions;
mod poison_parts;
mod raw_target;
mod recent_lines;
mod request_limits;
mod reset_paths;
mod response_ends;
mod responses;
mod shutdown;
mod store_access;
mod store_eras;
mod stream_versions;
mod suspect_trials;
mod target_notices;
