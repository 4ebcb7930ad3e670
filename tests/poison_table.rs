//! Detection of requests that crash targets, over several hosts.

use cardamomgw::ids::TargetName;
use cardamomgw::poison::PoisonTable;
use cardamomgw::poison::RequestFingerprint;
use cardamomgw::poison::fingerprint_request;

const MINUTE_MS: u64 = 60_000;

fn poison() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"poison")
}

fn harmless() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"weather")
}

fn target(number: u32) -> TargetName {
    format!("engine-{number}")
}

/// Exchanges all entries in both directions, as gossip messages do.
fn exchange(left: &mut PoisonTable, right: &mut PoisonTable) {
    for entry in left.entries() {
        right.merge(&entry);
    }
    for entry in right.entries() {
        left.merge(&entry);
    }
}

/// Guards against a caller that resends a crashing request to different hosts with new ids. Two
/// hosts observed one loss each; after one exchange both must reject the request.
#[test]
fn second_loss_on_another_host_rejects_on_both() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    left.record_loss(poison(), &target(1), MINUTE_MS);
    right.record_loss(poison(), &target(2), MINUTE_MS + 5_000);
    assert!(!left.is_refused(poison()));

    exchange(&mut left, &mut right);

    assert!(left.is_refused(poison()) && right.is_refused(poison()));
}

#[test]
fn concurrent_request_is_cleared_everywhere_by_one_success() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    left.record_loss(harmless(), &target(1), MINUTE_MS);
    exchange(&mut left, &mut right);

    right.record_success(harmless(), MINUTE_MS + 3_000);
    exchange(&mut left, &mut right);
    exchange(&mut left, &mut right);

    assert!(!left.is_suspect(harmless()) && !right.is_suspect(harmless()));
}

#[test]
fn copies_lost_with_one_target_count_as_one_loss() {
    let mut table = PoisonTable::default();

    table.record_loss(poison(), &target(1), MINUTE_MS);
    table.record_loss(poison(), &target(1), MINUTE_MS + 10);

    assert!(table.is_suspect(poison()));
    assert!(!table.is_refused(poison()));
}

#[test]
fn rejection_ends_after_retention_and_table_size_is_limited() {
    let mut table = PoisonTable::default();
    table.record_loss(poison(), &target(1), MINUTE_MS);
    table.record_loss(poison(), &target(2), MINUTE_MS);
    for other in 0..1000u32 {
        let other = fingerprint_request("harbour", "digest", &other.to_le_bytes());
        table.record_loss(other, &target(3), MINUTE_MS / 2);
    }
    assert!(table.is_refused(poison()));
    assert!(table.entries().len() <= 64);

    table.evict_expired(20 * MINUTE_MS);

    assert!(!table.is_suspect(poison()));
}
