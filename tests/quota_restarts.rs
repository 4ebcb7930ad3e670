//! Quotas while hosts of a grouped fleet restart, in simulated time.

mod quota_fleet;

use std::time::Duration;

use cardamomgw::catalog::TokenRate;
use quota_fleet::FleetSettings;
use quota_fleet::GROUP_HOSTS;
use quota_fleet::GroupFleet;
use quota_fleet::STEP;
use quota_fleet::WINDOW;
use quota_fleet::window_limit;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Steps between two restarts, and until a stopped host starts again.
const RESTART_STEPS: usize = 64;
const DOWN_STEPS: usize = 50;
/// Hosts that restart together.
const RESTARTED_HOSTS: usize = 4;
/// Fraction of the requests that are five times as large as the others.
const LARGE_REQUESTS: f64 = 0.1;
const SEEDS: std::ops::Range<u64> = 1..7;

/// A fleet of slow processes: members report every 500 ms, leaders every second.
const SLOW_FLEET: FleetSettings = FleetSettings {
    hosts: 90,
    quota: TokenRate {
        per_second: 250_000.0,
        burst: 0.0,
    },
    slack: 140_000.0,
    cost: 2500.0,
    member_steps: 25,
    leader_steps: 50,
};

/// The same with reports once a second.
const SLOWER_FLEET: FleetSettings = FleetSettings {
    member_steps: 50,
    ..SLOW_FLEET
};

/// The same at full pace.
const PROMPT_FLEET: FleetSettings = FleetSettings {
    member_steps: 10,
    leader_steps: 25,
    ..SLOW_FLEET
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn fleet_of(settings: FleetSettings, seed: u64, start: Duration) -> GroupFleet {
    let mut fleet = GroupFleet::new(settings, start);
    fleet.rng = ChaCha8Rng::seed_from_u64(seed);
    fleet
}

/// Sends requests of unlike size for `per_second` tokens per second in total to random live hosts.
fn send_mixed(fleet: &mut GroupFleet, per_second: f64, now: Duration) {
    let cost = fleet.settings.cost;
    let mean = cost * (1.0 + 4.0 * LARGE_REQUESTS);
    let mut expected = per_second * STEP.as_secs_f64() / mean;
    while fleet.rng.random::<f64>() < expected {
        expected -= 1.0;
        let host = fleet.rng.random_range(0..fleet.settings.hosts);
        let size = match fleet.rng.random::<f64>() < LARGE_REQUESTS {
            true => 5.0 * cost,
            false => cost,
        };
        if !fleet.dead.contains(&host) {
            fleet.send_request(host, size, now);
        }
    }
}

/// Restarts a few of `hosts` by turns while the account sends `load` times its quota.
fn restart_by_turns(fleet: &mut GroupFleet, hosts: &[usize], load: f64, start: Duration) {
    let per_second = load * fleet.settings.quota.per_second;
    fleet.run_with(start, start + seconds(10), |fleet, now| {
        send_mixed(fleet, per_second, now);
    });
    let mut next = 0;
    let mut stopped: Vec<(usize, usize)> = Vec::new();
    for step in 0..1500 {
        let now = start + seconds(10) + STEP * step as u32;
        if step % RESTART_STEPS == 0 {
            for _ in 0..RESTARTED_HOSTS {
                let host = hosts[next % hosts.len()];
                fleet.stop(host);
                stopped.push((step + DOWN_STEPS, host));
                next += 1;
            }
        }
        for (_, host) in stopped.iter().filter(|(at, _)| *at == step) {
            fleet.restart(*host, now);
        }
        fleet.run_with(now, now + STEP, |fleet, now| {
            send_mixed(fleet, per_second, now);
        });
    }
}

/// Returns the hosts in an order that takes those of all groups by turns.
fn hosts_by_turns(hosts: usize, first_in_group: usize) -> Vec<usize> {
    let groups = hosts / GROUP_HOSTS;
    let turns = (0..first_in_group)
        .flat_map(|place| (0..groups).map(move |group| group * GROUP_HOSTS + place));
    turns.collect()
}

fn case_of(settings: FleetSettings, load: f64, seed: u64) -> String {
    let steps = settings.member_steps;
    format!("reports each {steps} steps, load {load}, seed {seed}")
}

fn assert_within_quota(fleet: &GroupFleet, from: Duration, case: &str) {
    let largest = fleet.largest_window(from);
    let limit = window_limit(fleet.settings);
    assert!(largest <= limit, "{case}: {largest} of {limit}");
}

/// Restarts the first hosts of each group by turns while the account sends more than its quota.
fn assert_restarts_by_turns_keep_the_quota(first_in_group: usize) {
    for (settings, load) in [
        (PROMPT_FLEET, 4.0),
        (SLOW_FLEET, 2.0),
        (SLOW_FLEET, 4.0),
        (SLOWER_FLEET, 2.0),
        (SLOWER_FLEET, 4.0),
    ] {
        for seed in SEEDS {
            let start = seconds(100);
            let mut fleet = fleet_of(settings, seed, start);

            let hosts = hosts_by_turns(settings.hosts, first_in_group);
            restart_by_turns(&mut fleet, &hosts, load, start);

            let case = case_of(settings, load, seed);
            assert_within_quota(&fleet, start + WINDOW, &case);
        }
    }
}

/// Guards against usage that is lost with each change of a group's leader.
#[test]
fn leaders_that_restart_by_turns_keep_the_quota() {
    assert_restarts_by_turns_keep_the_quota(3);
}

/// Guards against usage that is lost while hosts of all groups restart by turns.
#[test]
fn hosts_that_restart_by_turns_keep_the_quota() {
    assert_restarts_by_turns_keep_the_quota(GROUP_HOSTS);
}

/// Restarts all hosts at once while the account sends `load` times its quota.
fn assert_restart_of_all_keeps_the_quota(settings: FleetSettings, load: f64) {
    for seed in SEEDS {
        let start = seconds(100);
        let mut fleet = fleet_of(settings, seed, start);
        let per_second = load * settings.quota.per_second;
        fleet.run_with(start, seconds(120), |fleet, now| {
            send_mixed(fleet, per_second, now);
        });

        for host in 0..settings.hosts {
            fleet.restart(host, seconds(120));
        }
        fleet.run_with(seconds(120), seconds(132), |fleet, now| {
            send_mixed(fleet, per_second, now);
        });

        let case = case_of(settings, load, seed);
        assert_within_quota(&fleet, start + WINDOW, &case);
    }
}

/// Guards against a second share of the quota for hosts that all restart at once.
#[test]
fn a_restart_of_all_hosts_keeps_the_quota() {
    assert_restart_of_all_keeps_the_quota(PROMPT_FLEET, 4.0);
}

/// Guards against the same in fleets whose hosts report late.
#[test]
fn a_restart_of_all_slow_hosts_keeps_the_quota() {
    assert_restart_of_all_keeps_the_quota(SLOW_FLEET, 4.0);
    assert_restart_of_all_keeps_the_quota(SLOWER_FLEET, 2.0);
    assert_restart_of_all_keeps_the_quota(SLOWER_FLEET, 4.0);
}

/// Sends less than the quota while hosts restart, a few of each group first.
fn assert_served_while_hosts_restart(settings: FleetSettings, first_in_group: usize) {
    let start = seconds(100);
    let mut fleet = fleet_of(settings, 1, start);

    let hosts = hosts_by_turns(settings.hosts, first_in_group);
    restart_by_turns(&mut fleet, &hosts, 0.95, start);

    let total = fleet.admitted.len() + fleet.rejected;
    let rejected = fleet.rejected;
    assert!(rejected * 100 < total, "{rejected} of {total}");
}

/// Guards against rejections within the quota while hosts and leaders restart.
#[test]
fn an_account_within_its_quota_is_served_while_hosts_restart() {
    assert_served_while_hosts_restart(PROMPT_FLEET, 3);
    assert_served_while_hosts_restart(PROMPT_FLEET, GROUP_HOSTS);
}

/// Guards against the same in fleets whose hosts report late.
#[test]
fn an_account_within_its_quota_is_served_while_slow_hosts_restart() {
    for settings in [SLOW_FLEET, SLOWER_FLEET] {
        assert_served_while_hosts_restart(settings, 3);
        assert_served_while_hosts_restart(settings, GROUP_HOSTS);
    }
}
