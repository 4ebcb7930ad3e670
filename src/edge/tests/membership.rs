//! How hosts of a large fleet learn of each other.

use std::time::Duration;

use super::super::gossip_builder::listed_hosts;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::members::MAX_CHANGED_RECORDS;
use crate::members::MemberRecord;
use crate::members::MemberTable;

const NOW: Duration = Duration::from_secs(100);

fn host_name(index: usize) -> HostName {
    format!("edge-{index:04}")
}

fn record(index: usize, incarnation: IncarnationId) -> MemberRecord {
    MemberRecord {
        host: host_name(index),
        availability_zone: "za".into(),
        address: ([10, 0, (index >> 8) as u8, index as u8], 7000).into(),
        capacity: 120,
        incarnation,
        age_ms: 0,
        leaving: false,
    }
}

/// The table of a host that learned of all others at `at`.
fn table_of(hosts: usize, at: Duration) -> MemberTable {
    let mut table = MemberTable::new("seed".into());
    for index in 0..hosts {
        table.apply_record(&record(index, 1), at);
    }
    table
}

/// Guards against a list that is always cut at the same hosts, so that a host that joins a large
/// fleet never learns of the others.
#[test]
fn a_joining_host_learns_all_hosts_within_seconds() {
    for hosts in [300, 585, 1200, 2400] {
        let seed = table_of(hosts, NOW);
        let mut joining = MemberTable::new("joining".into());
        let mut offset = 0;
        let mut exchanges = 0;
        while joining.live_count(NOW) < hosts {
            let count = listed_hosts(joining.live_count(NOW) + 1, hosts + 1);
            for listed in seed.records_from(offset, count, NOW) {
                joining.apply_record(&listed, NOW);
            }
            offset += count;
            exchanges += 1;
            assert!(exchanges < 20, "{} of {hosts}", joining.live_count(NOW));
        }
    }
}

/// Guards against a fleet that lists all hosts to each other all the time.
#[test]
fn a_host_that_knows_all_others_is_sent_few() {
    assert!(listed_hosts(585, 585) <= 4);
    assert!(listed_hosts(586, 585) <= 4);
}

/// Guards against restarted hosts that peers never hear of, because a message lists the first
/// changes by name only.
#[test]
fn all_restarts_of_half_a_fleet_are_passed_on() {
    let restarted = 660;
    let mut table = table_of(1200, NOW);
    let later = NOW + Duration::from_secs(10);
    for index in 0..restarted {
        table.apply_record(&record(index, 2), later);
    }

    let mut received = Vec::new();
    for message in 0..restarted.div_ceil(MAX_CHANGED_RECORDS) {
        let at = later + Duration::from_millis(200 * message as u64);
        let since = at.saturating_sub(Duration::from_millis(400));
        let skipped = message * MAX_CHANGED_RECORDS;
        let changed = table.changed_records(since, skipped, at);
        assert!(changed.len() <= MAX_CHANGED_RECORDS);
        received.extend(changed.into_iter().map(|record| record.host));
    }

    received.sort();
    received.dedup();
    assert_eq!(received.len(), restarted);
}
