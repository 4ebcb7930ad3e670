//! Quotas in a large fleet whose hosts report through group leaders, in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomgw::catalog::ClientAccount;
use cardamomgw::catalog::TokenRate;
use cardamomgw::members::hash_host;
use cardamomgw::quota::PriorityClass;
use cardamomgw::quota::QuotaDecision;
use cardamomgw::quota::QuotaLimiter;
use cardamomgw::quota::QuotaRequest;
use cardamomgw::quota::QuotaTolerance;
use cardamomgw::quota::UsageReport;
use cardamomgw::quota::UsageScope;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GROUP_HOSTS: usize = 15;
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(8);
/// Fraction by which an account may exceed its quota in a window.
const OVERAGE: f64 = 0.25;
const RATE: f64 = 100_000.0;

/// Size of a fleet, its account's quota, and how often its hosts report.
#[derive(Clone, Copy, Debug)]
struct FleetSettings {
    hosts: usize,
    quota: TokenRate,
    slack: f64,
    /// Cost of a request.
    cost: f64,
    /// Steps between the reports of a member, and between those of a leader.
    member_steps: usize,
    leader_steps: usize,
}

/// A large fleet. Members report every 200 ms, and leaders exchange reports every 500 ms.
const LARGE_FLEET: FleetSettings = FleetSettings {
    hosts: 300,
    quota: TokenRate {
        per_second: RATE,
        burst: 0.0,
    },
    slack: 140_000.0,
    cost: 1000.0,
    member_steps: 10,
    leader_steps: 25,
};

/// A fleet of many processes on few cores, in which each host reports once a second.
const BUSY_FLEET: FleetSettings = FleetSettings {
    hosts: 60,
    quota: TokenRate {
        per_second: 10.0,
        burst: 20.0,
    },
    slack: 60.0,
    cost: 1.0,
    member_steps: 50,
    leader_steps: 50,
};

/// Simulated fleet of grouped hosts. The first live host of each group is its leader.
struct GroupFleet {
    settings: FleetSettings,
    limiters: Vec<QuotaLimiter>,
    dead: Vec<usize>,
    /// Restarted hosts and the time of their last start.
    restarted: BTreeMap<usize, Duration>,
    rng: ChaCha8Rng,
    admitted: Vec<(Duration, f64)>,
    rejected: usize,
    /// When each host last reported to each other, and the time before.
    reported_at: BTreeMap<(usize, usize), [Option<Duration>; 2]>,
}

fn account(quota: TokenRate) -> ClientAccount {
    ClientAccount {
        name: "acme".into(),
        keys: Vec::new(),
        tier: None,
        quota: Some(quota),
        plain_tokens: 1,
        counts_tokens: true,
    }
}

fn tolerance_of(settings: FleetSettings) -> QuotaTolerance {
    QuotaTolerance {
        window: WINDOW,
        overage: OVERAGE,
        slack: settings.slack,
    }
}

fn name_of(host: usize) -> String {
    format!("e{host:03}")
}

impl GroupFleet {
    /// Starts all hosts at `start`, each with the full number of hosts.
    fn new(settings: FleetSettings, start: Duration) -> Self {
        let limiter = || {
            let mut limiter = QuotaLimiter::new(tolerance_of(settings), settings.hosts, start);
            limiter.set_grouped(true, start);
            limiter
        };
        Self {
            settings,
            limiters: (0..settings.hosts).map(|_| limiter()).collect(),
            dead: Vec::new(),
            restarted: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(11),
            admitted: Vec::new(),
            rejected: 0,
            reported_at: BTreeMap::new(),
        }
    }

    /// Replaces the process of a host, which then knows nothing and is known to nobody.
    fn restart(&mut self, host: usize, now: Duration) {
        let settings = self.settings;
        let mut limiter = QuotaLimiter::new(tolerance_of(settings), settings.hosts, now);
        limiter.set_grouped(true, now);
        self.limiters[host] = limiter;
        self.restarted.insert(host, now);
        self.reported_at
            .retain(|(from, to), _| *from != host && *to != host);
    }

    fn leader_of(&self, group: usize) -> usize {
        let mut hosts = group * GROUP_HOSTS..(group + 1) * GROUP_HOSTS;
        hosts
            .find(|host| !self.dead.contains(host))
            .expect("a group has a live host")
    }

    /// Sends requests of `per_second` tokens per second in total to random hosts, and exchanges
    /// reports, until `end`.
    fn run(&mut self, start: Duration, from: Duration, end: Duration, per_second: f64) {
        self.run_with(start, from, end, |fleet, now| {
            fleet.send_requests(per_second, now);
        });
    }

    fn send_requests(&mut self, per_second: f64, now: Duration) {
        let cost = self.settings.cost;
        let mut expected = per_second * STEP.as_secs_f64() / cost;
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let host = self.rng.random_range(0..self.settings.hosts);
            if !self.dead.contains(&host) {
                self.send_request(host, cost, now);
            }
        }
    }

    /// Sends one request to a host.
    fn send_request(&mut self, host: usize, cost: f64, now: Duration) {
        let account = account(self.settings.quota);
        let request = QuotaRequest {
            priority_class: PriorityClass {
                tier: 0,
                metered: true,
            },
            cost,
        };
        let spread = self.rng.random::<f64>();
        match self.limiters[host].try_consume(&account, request, now, spread) {
            QuotaDecision::Admitted => self.admitted.push((now, cost)),
            QuotaDecision::Rejected => self.rejected += 1,
        }
    }

    /// Exchanges reports until `end`, after `send` has sent the requests of each step.
    fn run_with(
        &mut self,
        start: Duration,
        from: Duration,
        end: Duration,
        send: impl Fn(&mut Self, Duration),
    ) {
        let mut now = from;
        while now < end {
            send(self, now);
            self.exchange_reports(start, now);
            now += STEP;
        }
    }

    /// Lets the members and leaders whose turn it is report.
    fn exchange_reports(&mut self, start: Duration, now: Duration) {
        let tick = (now.as_millis() / STEP.as_millis()) as usize;
        let settings = self.settings;
        for host in 0..settings.hosts {
            let leader = self.leader_of(host / GROUP_HOSTS);
            if host == leader
                || self.dead.contains(&host)
                || !(host + tick).is_multiple_of(settings.member_steps)
            {
                continue;
            }
            self.send_report(host, leader, UsageScope::Host, start, now);
            self.send_report(leader, host, UsageScope::Fleet, start, now);
        }
        let groups = settings.hosts / GROUP_HOSTS;
        let is_due = |group: &usize| (group + tick).is_multiple_of(settings.leader_steps);
        for group in (0..groups).filter(is_due) {
            let from = self.leader_of(group);
            for other in (0..groups).filter(|other| *other != group) {
                let to = self.leader_of(other);
                self.send_report(from, to, UsageScope::Group, start, now);
                self.send_report(to, from, UsageScope::Group, start, now);
            }
        }
        if tick.is_multiple_of(50) {
            let dead: Vec<u32> = self
                .dead
                .iter()
                .map(|host| hash_host(&name_of(*host)))
                .collect();
            let time_since_seen = |host: u32| match dead.contains(&host) {
                true => None,
                false => Some(Duration::from_millis(500)),
            };
            for limiter in &mut self.limiters {
                limiter.set_unseen_hosts(time_since_seen, 1.0, now);
            }
        }
    }

    fn send_report(
        &mut self,
        from: usize,
        to: usize,
        scope: UsageScope,
        start: Duration,
        now: Duration,
    ) {
        let receiver = name_of(to);
        // As in the protocol, a report repeats what the previous one listed, which may be lost.
        let reports = self.reported_at.entry((from, to)).or_default();
        let since = std::mem::replace(reports, [Some(now), reports[0]])[1];
        let limiter = &mut self.limiters[from];
        let (accounts, unresponsive) = match scope {
            UsageScope::Host => (limiter.own_usage(since, now), Default::default()),
            UsageScope::Group => limiter.group_usage(since, now),
            UsageScope::Fleet => limiter.fleet_usage(&receiver, since, now),
        };
        let group = from / GROUP_HOSTS * GROUP_HOSTS..(from / GROUP_HOSTS + 1) * GROUP_HOSTS;
        let members = group.filter(|host| !self.dead.contains(host));
        let covered: Vec<u32> = match scope {
            UsageScope::Host => vec![hash_host(&name_of(from))],
            UsageScope::Group => members.map(|host| hash_host(&name_of(host))).collect(),
            UsageScope::Fleet => Vec::new(),
        };
        let restarted_at = self.restarted.get(&from);
        let report = UsageReport {
            incarnation: 1 + u64::from(restarted_at.is_some()),
            uptime: now.saturating_sub(*restarted_at.unwrap_or(&start)),
            scope,
            hosts: match scope {
                UsageScope::Fleet => self.settings.hosts - 1 - self.dead.len(),
                UsageScope::Host | UsageScope::Group => covered.len(),
            },
            covered,
            accounts,
            unresponsive,
        };
        self.limiters[to].apply_report(name_of(from), report, now);
    }

    /// Returns the largest amount admitted in any window that ends at or after `from`.
    fn largest_window(&self, from: Duration) -> f64 {
        let ends = self.admitted.iter().filter(|(at, _)| *at >= from);
        ends.map(|(end, _)| {
            let in_window = |(at, _): &&(Duration, f64)| at <= end && *at + WINDOW > *end;
            let window = self.admitted.iter().filter(in_window);
            window.map(|(_, cost)| cost).sum::<f64>()
        })
        .fold(0.0, f64::max)
    }
}

fn window_limit(settings: FleetSettings) -> f64 {
    let quota = settings.quota;
    let nominal = quota.per_second * WINDOW.as_secs_f64() + quota.burst;
    nominal * (1.0 + OVERAGE) + settings.slack
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against rejections within the quota due to missing reports.
#[test]
fn an_account_within_its_quota_is_served_by_300_hosts() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);

    fleet.run(start, start, seconds(104), 0.0);
    fleet.run(start, seconds(104), seconds(120), RATE * 0.95);

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

    fleet.run(start, start, seconds(104), RATE * 0.5);
    fleet.run(start, seconds(104), seconds(120), RATE * 8.0);

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
    fleet.run(start, start, seconds(110), RATE * 0.85);
    fleet.rejected = 0;

    fleet.dead = (0..LARGE_FLEET.hosts / GROUP_HOSTS)
        .step_by(4)
        .map(|group| group * GROUP_HOSTS)
        .collect();
    fleet.run(start, seconds(110), seconds(125), RATE * 0.85);

    let total = fleet.admitted.len() + fleet.rejected;
    assert!(
        fleet.rejected * 100 < total,
        "{} of {total}",
        fleet.rejected
    );
    let surge = seconds(125);
    fleet.run(start, surge, seconds(140), RATE * 8.0);
    let largest = fleet.largest_window(surge);
    let limit = window_limit(LARGE_FLEET);
    assert!(largest <= limit, "{largest} of {limit}");
}

/// Guards against the usage of a whole group counting once more when its leader restarts.
#[test]
fn restarted_leaders_do_not_count_usage_again() {
    let start = seconds(100);
    let mut fleet = GroupFleet::new(LARGE_FLEET, start);
    fleet.run(start, start, seconds(130), RATE * 0.6);
    fleet.rejected = 0;
    fleet.admitted.clear();

    for group in (0..LARGE_FLEET.hosts / GROUP_HOSTS).step_by(2) {
        fleet.restart(group * GROUP_HOSTS, seconds(130));
    }
    fleet.run(start, seconds(130), seconds(140), RATE * 0.6);

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

    fleet.run(start, start, seconds(102), 0.0);
    fleet.run(start, seconds(102), seconds(112), 130.0);

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

        fleet.run(start, start, seconds(102), 0.0);
        fleet.run(start, seconds(102), seconds(112), RATE * 8.0);

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

    fleet.run_with(start, seconds(104), seconds(120), |fleet, now| {
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
    for index in 0..200 {
        limiter.try_consume(&account_of(index), request, seconds(110), 0.5);
    }
    limiter.try_consume(&account_of(7), request, seconds(111), 0.5);

    let all = limiter.group_usage(None, seconds(111)).0;
    let changed = limiter.group_usage(Some(seconds(111)), seconds(111)).0;

    assert_eq!(all.len(), 200);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].account, "account-007");
}
