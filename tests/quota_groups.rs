//! Quotas in a large fleet whose hosts report through group leaders, in simulated time.

mod quota_fleet;

use std::time::Duration;

use cardamomgw::catalog::ClientAccount;
use cardamomgw::quota::PriorityClass;
use cardamomgw::quota::QuotaLimiter;
use cardamomgw::quota::QuotaRequest;
use cardamomgw::quota::UsageScope;
use quota_fleet::BUSY_FLEET;
use quota_fleet::FleetSettings;
use quota_fleet::GROUP_HOSTS;
use quota_fleet::GroupFleet;
use quota_fleet::LARGE_FLEET;
use quota_fleet::RATE;
use quota_fleet::STEP;
use quota_fleet::WINDOW;
use quota_fleet::account;
use quota_fleet::tolerance_of;
use quota_fleet::window_limit;
use rand::RngExt;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against rejections within the quota due to missing reports.
#[test]
fn an_account_within_its_quota_is_served_by_300_hosts() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);

    fleet.run(start, seconds(104), 0.0);
    fleet.run(seconds(104), seconds(120), RATE * 0.95);

    let total = fleet.admitted.len() + fleet.rejected;
    assert!(
        fleet.rejected * 200 < total,
        "{} of {total}",
        fleet.rejected
    );
}

/// Guards against an exceeded quota because each host admits the remaining amount before it
/// receives reports of the others.
#[test]
fn an_account_above_its_quota_is_limited_over_300_hosts() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);

    fleet.run(start, seconds(104), RATE * 0.5);
    fleet.run(seconds(104), seconds(120), RATE * 8.0);

    let largest = fleet.largest_window(start);
    let limit = window_limit(LARGE_FLEET);
    assert!(largest <= limit, "{largest} of {limit}");
    let late = fleet.largest_window(seconds(114));
    assert!(late >= RATE * WINDOW.as_secs_f64(), "{late}");
}

/// Guards against usage that is counted twice or not at all when members switch to another
/// leader.
#[test]
fn failed_leaders_do_not_affect_accounts() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);
    fleet.run(start, seconds(110), RATE * 0.85);
    fleet.rejected = 0;

    fleet.dead = (0..LARGE_FLEET.hosts / GROUP_HOSTS)
        .step_by(4)
        .map(|group| group * GROUP_HOSTS)
        .collect();
    fleet.run(seconds(110), seconds(125), RATE * 0.85);

    let total = fleet.admitted.len() + fleet.rejected;
    assert!(
        fleet.rejected * 100 < total,
        "{} of {total}",
        fleet.rejected
    );
    let surge = seconds(125);
    fleet.run(surge, seconds(140), RATE * 8.0);
    let largest = fleet.largest_window(surge);
    let limit = window_limit(LARGE_FLEET);
    assert!(largest <= limit, "{largest} of {limit}");
}

/// Guards against the usage of a whole group counting once more when its leader restarts.
#[test]
fn restarted_leaders_do_not_count_usage_again() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);
    fleet.run(start, seconds(130), RATE * 0.6);
    fleet.rejected = 0;
    fleet.admitted.clear();

    for group in (0..LARGE_FLEET.hosts / GROUP_HOSTS).step_by(2) {
        fleet.restart(group * GROUP_HOSTS, seconds(130));
    }
    fleet.run(seconds(130), seconds(140), RATE * 0.6);

    let total = fleet.admitted.len() + fleet.rejected;
    assert!(
        fleet.rejected * 100 < total,
        "{} of {total}",
        fleet.rejected
    );
}

/// Guards against each host admitting all that an idle account suddenly sends, before it receives
/// reports of the others.
#[test]
fn a_surge_of_an_idle_account_is_limited_while_reports_are_late() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(BUSY_FLEET, start);

    fleet.run(start, seconds(102), 0.0);
    fleet.run(seconds(102), seconds(112), 130.0);

    let largest = fleet.largest_window(start);
    let limit = window_limit(BUSY_FLEET);
    assert!(largest <= limit, "{largest} of {limit}");
}

/// Guards against a surge of an idle account that large fleets admit before reports arrive.
#[test]
fn a_surge_of_an_idle_account_is_limited_at_any_size() {
    for hosts in [30, 300, 600, 1200] {
        let settings = FleetSettings {
            hosts,
            ..LARGE_FLEET
        };
        let start = seconds(100);
        let mut fleet = GroupFleet::new(settings, start);

        fleet.run(start, seconds(102), 0.0);
        fleet.run(seconds(102), seconds(112), RATE * 8.0);

        let largest = fleet.largest_window(start);
        let limit = window_limit(settings);
        assert!(largest <= limit, "{hosts} hosts: {largest} of {limit}");
    }
}

/// Guards against an account whose callers all use one host being limited to the even share of
/// that host.
#[test]
fn an_account_that_uses_one_host_is_served() {
    let settings = FleetSettings {
        hosts: 60,
        ..LARGE_FLEET
    };
    let start = seconds(100);
    let mut fleet = GroupFleet::new(settings, start);

    fleet.run_with(seconds(104), seconds(120), |fleet, now| {
        let expected = RATE * 0.9 * STEP.as_secs_f64() / settings.cost;
        if fleet.rng.random::<f64>() < expected {
            fleet.send_request(7, settings.cost, now);
        }
    });

    let total = fleet.admitted.len() + fleet.rejected;
    assert!(fleet.rejected * 20 < total, "{} of {total}", fleet.rejected);
}

/// Guards against reports that list all accounts each time: the accounts that did not change
/// fill the links between leaders.
#[test]
fn reports_list_the_accounts_that_changed() {
    let mut limiter = QuotaLimiter::new(tolerance_of(LARGE_FLEET), 585, seconds(100));
    let account_of = |index: usize| ClientAccount {
        name: format!("account-{index:03}"),
        ..account(LARGE_FLEET.quota)
    };
    let request = QuotaRequest {
        priority_class: PriorityClass {
            tier: 0,
            metered: true,
        },
        cost: 1000.0,
    };
    let basis = limiter.basis(UsageScope::Host, seconds(105));
    limiter.apply_host_usage("e1".into(), 2, basis, Vec::new(), seconds(105));
    for index in 0..200 {
        limiter.try_consume(&account_of(index), request, seconds(110), 0.5);
    }
    limiter.try_consume(&account_of(7), request, seconds(111), 0.5);

    let all = limiter.group_usage("e1", None, seconds(111)).0;
    let changed = limiter
        .group_usage("e1", Some(seconds(111)), seconds(111))
        .0;

    assert_eq!(all.len(), 200);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].account, "account-007");
}
