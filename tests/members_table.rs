//! Membership by gossip.

use std::time::Duration;

use cardamomgw::members::MemberRecord;
use cardamomgw::members::MemberState;
use cardamomgw::members::MemberTable;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn record(host: &str, incarnation: u64, age_ms: u32) -> MemberRecord {
    MemberRecord {
        host: host.into(),
        availability_zone: "za".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        capacity: 1000,
        incarnation,
        age_ms,
        leaving: false,
    }
}

fn state_of(table: &MemberTable, host: &str, now: Duration) -> Option<MemberState> {
    let states = table.states(now);
    let found = states.into_iter().find(|(name, _)| name == host);
    found.map(|(_, state)| state)
}

#[test]
fn an_unseen_host_is_dead_and_keeps_its_address() {
    let mut table = MemberTable::new("e1".into());
    table.apply_record(&record("e2", 1, 0), seconds(100));

    assert_eq!(
        state_of(&table, "e2", seconds(101)),
        Some(MemberState::Live)
    );
    assert_eq!(
        state_of(&table, "e2", seconds(110)),
        Some(MemberState::Dead)
    );
    assert_eq!(
        table.addresses().len(),
        1,
        "the end of a network partition must be noticed"
    );
    assert!(
        table.records(seconds(110)).is_empty(),
        "hosts must not keep a dead host alive for each other"
    );
}

/// Guards against a dead host that stays alive because two hosts keep relaying its record to
/// each other and each relay counts as a new heartbeat.
#[test]
fn relayed_records_keep_their_age() {
    let mut table = MemberTable::new("e1".into());
    table.apply_record(&record("e2", 1, 0), seconds(100));

    table.apply_record(&record("e2", 1, 3_000), seconds(102));

    assert_eq!(
        state_of(&table, "e2", seconds(105)),
        Some(MemberState::Dead)
    );
}

#[test]
fn a_new_incarnation_replaces_the_old_one_and_the_host_itself_is_no_member() {
    let mut table = MemberTable::new("e1".into());
    table.apply_record(&record("e2", 1, 0), seconds(100));
    table.apply_record(&record("e2", 2, 0), seconds(101));
    table.apply_record(&record("e1", 9, 0), seconds(101));

    let records = table.records(seconds(101));

    assert_eq!(records.len(), 1);
    assert_eq!(records[0].incarnation, 2);
}

#[test]
fn only_changed_addresses_are_reported_as_changed() {
    let mut table = MemberTable::new("e1".into());
    table.apply_record(&record("e2", 1, 0), seconds(100));

    let first = table.take_changed();
    table.apply_record(&record("e2", 1, 0), seconds(101));

    assert!(first);
    assert!(!table.take_changed());
}
