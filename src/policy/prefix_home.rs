//! The home targets of a prompt's prefix.
//!
//! Engines cache prefixes in limited memory. Placement by load alone would spread a frequent
//! prefix over all engines, so that each of them prefills it again and evicts others.
//!
//! Rendezvous hashing gives each prefix an order of targets that all hosts agree on without
//! communication, and that changes little when a target is removed. The first few targets are
//! the prefix's homes. There is more than one, so that a frequent prefix does not wait for a
//! single engine (bounded load: a home without a free slot is skipped). All targets have the
//! same weight: what a home provides is cache memory, which slow engines have as much of. With
//! faster engines preferred, their memory overflowed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of a target for a prefix; targets with the lowest ranks are its homes.
pub(super) fn home_rank(prefix: u64, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), prefix)
}
