//! Requests that crash targets, as the ledgers of several hosts see them.

use cardamomgw::ids::TargetName;
use cardamomgw::poison::PoisonTable;
use cardamomgw::poison::RequestFingerprint;
use cardamomgw::poison::fingerprint_request;

const MINUTE: u64 = 60_000;

fn killer() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"poison")
}

fn innocent() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"weather")
}

fn target(number: u32) -> TargetName {
    format!("engine-{number}")
}

/// Exchanges all entries, as two digests do.
fn exchange(left: &mut PoisonTable, right: &mut PoisonTable) {
    for entry in left.entries() {
        right.merge(&entry);
    }
    for entry in right.entries() {
        left.merge(&entry);
    }
}

/// A caller sends a request again and again, each time to another host and with
/// a new id, and each time an engine dies. Two hosts saw one loss each; after
/// one exchange both must refuse it.
#[test]
fn second_loss_on_another_host_refuses_on_both() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    left.record_loss(killer(), &target(1), MINUTE);
    right.record_loss(killer(), &target(2), MINUTE + 5_000);
    assert!(!left.is_refused(killer()));

    exchange(&mut left, &mut right);

    assert!(left.is_refused(killer()) && right.is_refused(killer()));
}

#[test]
fn request_that_ran_beside_it_is_cleared_everywhere_by_one_success() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    left.record_loss(innocent(), &target(1), MINUTE);
    exchange(&mut left, &mut right);

    right.record_success(innocent(), MINUTE + 3_000);
    exchange(&mut left, &mut right);
    exchange(&mut left, &mut right);

    assert!(!left.is_suspect(innocent()) && !right.is_suspect(innocent()));
}

#[test]
fn copies_lost_with_one_target_are_one_loss() {
    let mut table = PoisonTable::default();

    table.record_loss(killer(), &target(1), MINUTE);
    table.record_loss(killer(), &target(1), MINUTE + 10);

    assert!(table.is_suspect(killer()));
    assert!(!table.is_refused(killer()));
}

#[test]
fn refusal_ends_with_the_memory_and_memory_is_bounded() {
    let mut table = PoisonTable::default();
    table.record_loss(killer(), &target(1), MINUTE);
    table.record_loss(killer(), &target(2), MINUTE);
    for other in 0..1000u32 {
        let other = fingerprint_request("harbour", "digest", &other.to_le_bytes());
        table.record_loss(other, &target(3), MINUTE / 2);
    }
    assert!(table.is_refused(killer()));
    assert!(table.entries().len() <= 64);

    table.evict_expired(20 * MINUTE);

    assert!(!table.is_suspect(killer()));
}
