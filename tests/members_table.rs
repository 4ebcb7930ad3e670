//! Membership by gossip.

use std::time::Duration;

use cardamomgw::members::CallInitiator;
use cardamomgw::members::GossipPeer;
use cardamomgw::members::GossipSchedule;
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

/// Guards against quotas that are divided among the hosts on one side of a partition only.
#[test]
fn hosts_that_announced_a_shutdown_do_not_count_as_dead() {
    let mut table = MemberTable::new("e1".into());
    table.apply_record(&record("e2", 1, 0), seconds(100));
    table.apply_record(&record("e4", 1, 0), seconds(108));
    let leaving = MemberRecord {
        leaving: true,
        ..record("e3", 1, 0)
    };
    table.apply_record(&leaving, seconds(100));

    let dead = table.dead_since(seconds(110));

    assert_eq!(dead, [seconds(100)]);
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

/// A leader's table and that of a host that reports to it, each with the same other hosts. The
/// host last heard of them `age_ms` ago, and the leader just now.
fn leader_and_member(hosts: usize, age_ms: u32, now: Duration) -> (MemberTable, MemberTable) {
    let mut leader = MemberTable::new("leader".into());
    let mut member = MemberTable::new("member".into());
    for index in 0..hosts {
        let host = format!("edge-{index:04}");
        leader.apply_record(&record(&host, 1, 300), now);
        member.apply_record(&record(&host, 1, age_ms), now);
    }
    leader.apply_record(&record("member", 1, 0), now);
    member.apply_record(&record("leader", 1, 0), now);
    (leader, member)
}

/// Guards against live hosts that count as dead in a large fleet, because each message carries
/// the heartbeats of a few hosts only.
#[test]
fn one_message_refreshes_the_heartbeats_of_the_whole_fleet() {
    for hosts in [60, 585, 1200] {
        let now = seconds(100);
        let (leader, mut member) = leader_and_member(hosts, 4_500, now);

        let (digest, listed) = leader.heartbeat_digest(now);
        member.apply_digest(&digest, now);

        assert!(listed.is_empty());
        assert_eq!(member.live_count(now + seconds(4)), hosts + 1);
    }
}

/// Guards against a dead host that lives on with the others of its bucket, and against those
/// others dying with it.
#[test]
fn a_silent_host_dies_alone() {
    let now = seconds(100);
    let (mut leader, mut member) = leader_and_member(585, 0, now);
    let later = now + seconds(4);
    for index in (0..585).filter(|index| *index != 7) {
        let host = format!("edge-{index:04}");
        leader.apply_record(&record(&host, 1, 0), later);
    }

    let (digest, listed) = leader.heartbeat_digest(later);
    member.apply_digest(&digest, later);
    for heartbeat in listed {
        member.apply_heartbeat(heartbeat, later);
    }

    let at = now + seconds(6);
    assert_eq!(state_of(&member, "edge-0007", at), Some(MemberState::Dead));
    assert_eq!(member.live_count(at), 584 + 1);
}

/// Guards against a digest that applies to a host that the sender does not know.
#[test]
fn a_host_unknown_to_the_sender_gets_no_heartbeat() {
    let now = seconds(100);
    let (leader, mut member) = leader_and_member(585, 4_000, now);
    member.apply_record(&record("edge-9999", 1, 4_000), now);

    let (digest, _) = leader.heartbeat_digest(now);
    member.apply_digest(&digest, now);

    let at = now + seconds(2);
    assert_eq!(state_of(&member, "edge-9999", at), Some(MemberState::Dead));
}

/// Guards against a leader that answers each report like the first one, with everything it knows.
#[test]
fn a_reporting_host_stays_known_to_its_leader() {
    let mut schedule = GossipSchedule::new("leader".into());
    schedule.record_answered_call("member", 1, seconds(100));

    schedule.retain(|_| false, seconds(101));
    let is_new = schedule.is_new("member");
    schedule.retain(|_| false, seconds(110));

    assert!(!is_new);
    assert!(schedule.is_new("member"), "a host that left is forgotten");
}

/// Guards against a restarted host that never asks its peers for all that they know, since one of
/// them called first and did not notice the restart.
#[test]
fn a_restarted_host_calls_a_peer_that_called_first() {
    let mut schedule = GossipSchedule::new("e1".into());
    let now = seconds(100);
    let peers = [GossipPeer {
        host: "e2".into(),
        active_interval: seconds(1),
        idle_interval: seconds(1),
        initiator: CallInitiator::Alternating,
        sends_loads: true,
    }];
    schedule.record_answered_call("e2", 1, now);

    let due = schedule.due(&peers, 1, now);
    schedule.record_call_start("e2", now);
    schedule.record_call_end("e2", Some(1));
    let due_again = schedule.due(&peers, 1, now);

    assert_eq!(due.len(), 1);
    assert!(due_again.is_empty());
}
