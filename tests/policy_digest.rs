//! The size and the encoding of the digest between hosts.

use std::time::Duration;

use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::HostDigest;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;

/// The maximum size of a digest in the larger deployment: with seven peers and one digest per
/// second, a host's control traffic stays below 4 KB/s.
const MAX_BYTES: usize = 550;

fn policy_of(host: &str, hosts: &[String]) -> DispatchPolicy {
    let facts = (1..=15).map(|number| TargetFacts {
        name: format!("engine-{number:02}"),
        kind: TargetKind::Engine,
        slots: 16,
        state: TargetState::Live,
        availability_zone: "zone-a".to_string(),
    });
    let settings = PolicySettings {
        incarnation: u64::MAX,
        ..PolicySettings::default()
    };
    let mut policy = DispatchPolicy::new(host.to_string(), settings);
    policy.set_targets(Duration::ZERO, facts.collect());
    policy.set_hosts(Duration::ZERO, hosts.to_vec());
    policy
}

#[test]
fn a_digest_of_fifteen_targets_and_eight_hosts_is_small_and_survives_bincode() {
    let hosts: Vec<String> = (1..=8).map(|number| format!("entry-{number}")).collect();
    let mut policies: Vec<DispatchPolicy> =
        hosts.iter().map(|host| policy_of(host, &hosts)).collect();
    for _ in 0..3 {
        for from in 0..hosts.len() {
            let digest = policies[from].digest(Duration::ZERO);
            for to in (0..hosts.len()).filter(|to| *to != from) {
                policies[to].apply_peer_digest(Duration::ZERO, &hosts[from], digest.clone());
            }
        }
    }

    let digest = policies[0].digest(Duration::ZERO);
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&digest, config).unwrap();
    let (decoded, _): (HostDigest, usize) =
        bincode::serde::decode_from_slice(&bytes, config).unwrap();

    println!("digest: {} bytes", bytes.len());
    assert_eq!(decoded, digest);
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}
