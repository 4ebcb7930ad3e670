//! The hosts' shares of a target's slots never exceed the slots, whatever happens to digests.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::HostDigest;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;
use cardamomgw::policy::WorkItem;
use cardamomgw::policy::WorkOutcome;

const ENGINE: &str = "engine-1";
const HOUR: Duration = Duration::from_secs(3600);

/// A simulation of hosts, the digests between them, and running work.
struct HostGroup {
    now: Duration,
    slots: u32,
    names: Vec<String>,
    policies: Vec<DispatchPolicy>,
    /// Every digest sent so far; each may arrive late, twice or never.
    sent: Vec<(usize, HostDigest)>,
    running: Vec<Vec<u64>>,
    count: u64,
}

impl HostGroup {
    fn new(hosts: usize, slots: u32) -> Self {
        let names: Vec<String> = (0..hosts).map(|host| format!("entry-{host}")).collect();
        let mut group = Self {
            now: Duration::ZERO,
            slots,
            policies: Vec::new(),
            sent: Vec::new(),
            running: vec![Vec::new(); hosts],
            count: 0,
            names,
        };
        for host in 0..hosts {
            let policy = group.new_policy(host);
            group.policies.push(policy);
        }
        group
    }

    fn new_policy(&mut self, host: usize) -> DispatchPolicy {
        self.count += 1;
        let settings = PolicySettings {
            incarnation: self.count,
            ..PolicySettings::default()
        };
        let mut policy = DispatchPolicy::new(self.names[host].clone(), settings);
        let facts = TargetFacts {
            name: ENGINE.to_string(),
            kind: TargetKind::Engine,
            slots: self.slots,
            state: TargetState::Live,
            availability_zone: "zone-a".to_string(),
        };
        policy.set_targets(self.now, vec![facts]);
        policy.set_hosts(self.now, self.names.clone());
        policy
    }

    fn send(&mut self, host: usize) {
        let digest = self.policies[host].digest(self.now);
        self.sent.push((host, digest));
    }

    fn deliver(&mut self, digest: usize, to: usize) {
        let (from, digest) = self.sent[digest].clone();
        let name = self.names[from].clone();
        self.policies[to].apply_peer_digest(self.now, &name, digest);
    }

    fn exchange_all(&mut self) {
        for host in 0..self.names.len() {
            self.send(host);
            let last = self.sent.len() - 1;
            for to in (0..self.names.len()).filter(|to| *to != host) {
                self.deliver(last, to);
            }
        }
    }

    fn arrive(&mut self, host: usize) {
        self.count += 1;
        let item = WorkItem {
            work: self.count,
            tier: 0,
            account: "account-1".to_string(),
            weight: 1,
            class: "check".to_string(),
            prompt_tokens: 10,
            output_tokens: 10,
            prefix: self.count,
            deadline: HOUR,
            first_token_goal: None,
            allowed: Arc::new(vec![ENGINE.to_string()]),
        };
        let actions = self.policies[host].accept_forwarded(self.now, item);
        self.record(host, actions);
    }

    fn end(&mut self, host: usize) {
        if let Some(work) = self.running[host].pop() {
            let actions = self.policies[host].record_end(self.now, work, WorkOutcome::Finished);
            self.record(host, actions);
        }
    }

    fn record(&mut self, host: usize, actions: Vec<PolicyAction>) {
        for action in actions {
            if let PolicyAction::Dispatch { work, .. } = action {
                self.running[host].push(work);
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.policies[host] = self.new_policy(host);
        // The connections of the former process closed, so its work was cancelled.
        self.running[host].clear();
    }

    fn held(&self) -> u32 {
        let held = self.policies.iter().map(|policy| policy.held_slots(ENGINE));
        held.sum()
    }

    fn filled(&self) -> u32 {
        self.running.iter().map(|works| works.len() as u32).sum()
    }

    fn check(&self) {
        let slots = self.slots;
        assert!(self.held() <= slots, "held {} of {slots}", self.held());
        assert!(
            self.filled() <= slots,
            "filled {} of {slots}",
            self.filled()
        );
    }
}

fn random_step(group: &mut HostGroup, random: &mut Unstructured<'_>) -> Result<()> {
    group.now += Duration::from_millis(random.int_in_range(0..=400)?);
    let hosts = group.names.len();
    let host = random.choose_index(hosts)?;
    match random.int_in_range(0..=11)? {
        0..=2 => group.arrive(host),
        3 | 4 => group.end(host),
        5 | 6 => group.send(host),
        7 => group.exchange_all(),
        8 | 9 if !group.sent.is_empty() => {
            let digest = random.choose_index(group.sent.len())?;
            group.deliver(digest, host);
        }
        10 => {
            let actions = group.policies[host].tick(group.now);
            group.record(host, actions);
        }
        11 if random.ratio(1, 4)? => group.restart(host),
        _ => (),
    }
    Ok(())
}

/// Runs random steps and checks the shares after each.
fn run_random_steps(random: &mut Unstructured<'_>) -> Result<()> {
    let hosts = random.int_in_range(1..=5)?;
    let slots = random.int_in_range(0..=20)?;
    let mut group = HostGroup::new(hosts, slots);
    while !random.is_empty() {
        random_step(&mut group, random)?;
        group.check();
    }
    Ok(())
}

#[test]
fn shares_never_exceed_the_slots_with_lost_late_or_duplicate_digests() {
    arbtest(run_random_steps)
        .size_min(64)
        .size_max(4096)
        .budget_ms(3_000);
}

/// A seed of the test above with which hosts held nine of eight slots: restarts, and late and
/// duplicate digests, left two hosts with the same slot.
#[test]
fn shares_never_exceed_the_slots_with_a_known_seed() {
    arbtest(run_random_steps)
        .size_min(64)
        .size_max(4096)
        .seed(0xc5dd_66c6_0000_1000);
}

/// Runs random steps with a changing list of hosts: a host that never starts is added and
/// removed again, and the hosts learn of it at different times.
fn run_with_changing_lists(random: &mut Unstructured<'_>) -> Result<()> {
    let hosts = random.int_in_range(2..=4)?;
    let slots = random.int_in_range(4..=20)?;
    let mut group = HostGroup::new(hosts, slots);
    while !random.is_empty() {
        if random.ratio(1, 12)? {
            let host = random.choose_index(hosts)?;
            let mut list = group.names.clone();
            if random.arbitrary()? {
                list.push("entry-unborn".to_string());
            }
            group.policies[host].set_hosts(group.now, list);
        } else {
            random_step(&mut group, random)?;
        }
        group.check();
    }
    Ok(())
}

#[test]
fn shares_never_exceed_the_slots_with_changing_host_lists() {
    arbtest(run_with_changing_lists)
        .size_min(64)
        .size_max(4096)
        .budget_ms(3_000);
}

/// Guards against a target that runs 14 requests on 13 slots. A host ran borrowed slots when a
/// peer restarted and a new epoch began. It saw that all others had announced the epoch, and
/// settled and announced it too although it still ran more than its base share, so the others
/// filled theirs as well.
#[test]
fn a_host_that_runs_borrowed_slots_does_not_settle() {
    arbtest(run_random_steps).seed(0x491e_fed4_0000_1000);
}

/// Guards against a target that runs nine requests on eight slots. A host restarted while its
/// last digest was still in transit. Its peer lent two slots to the new incarnation, then took
/// the late digest for another restart. The former incarnation had announced the current epoch,
/// so the peer filled its base share again in addition to the slots it had lent.
#[test]
fn a_late_digest_of_a_former_incarnation_does_not_restore_its_epoch() {
    let mut group = HostGroup::new(2, 8);
    group.send(1);
    group.deliver(0, 0);
    group.send(0);
    let late = group.sent.len() - 1;
    group.restart(0);
    for _ in 0..3 {
        group.exchange_all();
    }
    for _ in 0..6 {
        group.arrive(0);
    }
    for _ in 0..2 {
        group.exchange_all();
    }
    assert_eq!(group.policies[0].held_slots(ENGINE), 6);

    group.deliver(late, 1);
    group.send(1);

    group.check();
    // The peer must return to the current incarnation.
    for _ in 0..2 {
        group.end(0);
    }
    for _ in 0..3 {
        group.exchange_all();
    }
    assert_eq!(group.held(), 8);
}

#[test]
fn connected_hosts_hold_all_slots() {
    let mut group = HostGroup::new(3, 16);

    for _ in 0..3 {
        group.exchange_all();
    }

    assert_eq!(group.held(), 16);
}

/// Guards against callers that wait at one host, to which the load balancer sent most of them,
/// while its peers' slots are unused. The peers lend the slots that they do not need.
#[test]
fn slots_move_to_the_host_with_the_callers() {
    let mut group = HostGroup::new(4, 16);
    for _ in 0..3 {
        group.exchange_all();
    }
    let before = group.policies[0].held_slots(ENGINE);

    for _ in 0..12 {
        group.arrive(0);
    }
    for _ in 0..3 {
        group.exchange_all();
    }

    let after = group.policies[0].held_slots(ENGINE);
    assert!(after > before, "{after} of {before}");
    group.check();
}

/// A network partition occurs while slots are lent. The borrower continues to use them, and the
/// lender must not reclaim them, or both sides would fill them.
#[test]
fn each_side_of_a_partition_keeps_the_slots_it_holds() {
    let mut group = HostGroup::new(2, 16);
    for _ in 0..3 {
        group.exchange_all();
    }
    for _ in 0..12 {
        group.arrive(0);
    }
    for _ in 0..2 {
        group.exchange_all();
    }

    group.now += Duration::from_secs(600);
    for _ in 0..16 {
        group.arrive(1);
        group.send(1);
    }

    group.check();
}

/// A host lends slots, restarts and loses the record. If it used its full base share at once, it
/// would overfill the target until the peers learn of the restart.
#[test]
fn a_restarted_host_does_not_use_slots_lent_by_its_former_incarnation() {
    let mut group = HostGroup::new(2, 16);
    for _ in 0..3 {
        group.exchange_all();
    }
    for _ in 0..12 {
        group.arrive(0);
    }
    for _ in 0..2 {
        group.exchange_all();
    }
    assert!(group.policies[0].held_slots(ENGINE) > 8);

    group.restart(1);

    group.check();
    assert!(group.policies[1].held_slots(ENGINE) >= 4);
}

/// A lost host is removed from the list. Its share goes to the remaining hosts only once all of
/// them know, or hosts would divide the slots by different lists.
#[test]
fn the_share_of_a_removed_host_goes_to_the_others_once_all_know() {
    let mut group = HostGroup::new(3, 15);
    for _ in 0..3 {
        group.exchange_all();
    }
    let left: Vec<String> = group.names[..2].to_vec();

    group.policies[0].set_hosts(group.now, left.clone());
    let before_the_other_knew = group.policies[0].held_slots(ENGINE);
    group.policies[1].set_hosts(group.now, left);
    group.names.truncate(2);
    group.policies.truncate(2);
    for _ in 0..3 {
        group.exchange_all();
    }

    assert!(before_the_other_knew <= 5);
    assert_eq!(group.held(), 15);
}
