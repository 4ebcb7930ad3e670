//! The base share of a target's slots that each host may fill without coordination.

use crate::ids::HostName;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the base share of `host` in the `slots` of `target`.
///
/// Slots that do not divide evenly go to the hosts that rank first by rendezvous hashing, so
/// that each target favours different hosts. The shares of all `hosts` add up to `slots` if all
/// of them use the same list of hosts.
pub(crate) fn base_share(target: &str, slots: u32, hosts: &[HostName], host: &str) -> u32 {
    if !hosts.iter().any(|other| other == host) {
        return 0;
    }
    let count = hosts.len() as u32;
    let own = rank(target, host);
    let ahead = hosts
        .iter()
        .filter(|other| (rank(target, other), other.as_str()) < (own, host))
        .count() as u32;
    slots / count + u32::from(ahead < slots % count)
}

fn rank(target: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(target.as_bytes(), 0))
}
