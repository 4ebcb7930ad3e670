//! Quotas of a large fleet whose hosts report by way of leaders, in virtual time.

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

const HOSTS: usize = 300;
const GROUP: usize = 15;
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(8);
const RATE: f64 = 100_000.0;
const SLACK: f64 = 140_000.0;

/// Hosts in groups; the first live host of each leads it.
struct GroupWorld {
    ledgers: Vec<QuotaLimiter>,
    dead: Vec<usize>,
    chance: ChaCha8Rng,
    admitted: Vec<(Duration, f64)>,
    refused: usize,
}

fn account() -> ClientAccount {
    ClientAccount {
        name: "acme".into(),
        keys: Vec::new(),
        tier: None,
        allowance: Some(TokenRate {
            per_second: RATE,
            burst: 0.0,
        }),
        plain_tokens: 1,
        counts_tokens: true,
    }
}

fn name_of(host: usize) -> String {
    format!("e{host:03}")
}

impl GroupWorld {
    /// Starts hosts that know each other at `start`.
    fn new(start: Duration) -> Self {
        let tolerance = QuotaTolerance {
            window: WINDOW,
            overage: 0.25,
            slack: SLACK,
        };
        let ledger = || {
            let mut ledger = QuotaLimiter::new(tolerance, HOSTS, start);
            ledger.set_grouped(true, start);
            ledger
        };
        Self {
            ledgers: (0..HOSTS).map(|_| ledger()).collect(),
            dead: Vec::new(),
            chance: ChaCha8Rng::seed_from_u64(11),
            admitted: Vec::new(),
            refused: 0,
        }
    }

    fn leader_of(&self, group: usize) -> usize {
        let mut hosts = group * GROUP..(group + 1) * GROUP;
        hosts
            .find(|host| !self.dead.contains(host))
            .expect("a group has a live host")
    }

    /// Lets callers ask all hosts for so much a second, and hosts report, until `end`.
    fn run(&mut self, start: Duration, from: Duration, end: Duration, per_second: f64) {
        let mut now = from;
        while now < end {
            self.ask(per_second, now);
            self.report(start, now);
            now += STEP;
        }
    }

    fn ask(&mut self, per_second: f64, now: Duration) {
        let cost = 1000.0;
        let mut expected = per_second * STEP.as_secs_f64() / cost;
        while self.chance.random::<f64>() < expected {
            expected -= 1.0;
            let host = self.chance.random_range(0..HOSTS);
            if self.dead.contains(&host) {
                continue;
            }
            let request = QuotaRequest {
                priority_class: PriorityClass {
                    tier: 0,
                    metered: true,
                },
                cost,
            };
            let spread = self.chance.random::<f64>();
            match self.ledgers[host].try_consume(&account(), request, now, spread) {
                QuotaDecision::Admitted => self.admitted.push((now, cost)),
                QuotaDecision::Rejected => self.refused += 1,
            }
        }
    }

    /// Lets members report each 200 ms, and leaders exchange each 500 ms.
    fn report(&mut self, start: Duration, now: Duration) {
        let tick = (now.as_millis() / STEP.as_millis()) as usize;
        for host in 0..HOSTS {
            let leader = self.leader_of(host / GROUP);
            if host == leader || self.dead.contains(&host) || !(host + tick).is_multiple_of(10) {
                continue;
            }
            self.send(host, leader, UsageScope::Host, start, now);
            self.send(leader, host, UsageScope::Fleet, start, now);
        }
        let groups = HOSTS / GROUP;
        for group in (0..groups).filter(|group| (group + tick).is_multiple_of(25)) {
            let from = self.leader_of(group);
            for other in (0..groups).filter(|other| *other != group) {
                let to = self.leader_of(other);
                self.send(from, to, UsageScope::Group, start, now);
                self.send(to, from, UsageScope::Group, start, now);
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
            for ledger in &mut self.ledgers {
                ledger.set_unseen_hosts(time_since_seen, 1.0, now);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, scope: UsageScope, start: Duration, now: Duration) {
        let receiver = name_of(to);
        let ledger = &mut self.ledgers[from];
        let (accounts, unresponsive) = match scope {
            UsageScope::Host => (ledger.own_usage(false, now), Default::default()),
            UsageScope::Group => ledger.group_usage(false, now),
            UsageScope::Fleet => ledger.fleet_usage(&receiver, false, now),
        };
        let group = from / GROUP * GROUP..(from / GROUP + 1) * GROUP;
        let members = group.filter(|host| !self.dead.contains(host));
        let covered: Vec<u32> = match scope {
            UsageScope::Host => vec![hash_host(&name_of(from))],
            UsageScope::Group => members.map(|host| hash_host(&name_of(host))).collect(),
            UsageScope::Fleet => Vec::new(),
        };
        let report = UsageReport {
            incarnation: 1,
            uptime: now.saturating_sub(start),
            scope,
            hosts: match scope {
                UsageScope::Fleet => HOSTS - 1 - self.dead.len(),
                UsageScope::Host | UsageScope::Group => covered.len(),
            },
            covered,
            accounts,
            unresponsive,
        };
        self.ledgers[to].record_report(name_of(from), report, now);
    }

    /// Returns the most that was admitted in any window that ends behind `from`.
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

fn bound() -> f64 {
    RATE * WINDOW.as_secs_f64() * 1.25 + SLACK
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against requests within their quota that are rejected for want of reports.
#[test]
fn an_account_within_its_quota_is_served_by_300_hosts() {
    let start = seconds(100);
    let mut world = GroupWorld::new(start);

    world.run(start, start, seconds(104), 0.0);
    world.run(start, seconds(104), seconds(120), RATE * 0.95);

    let asked = world.admitted.len() + world.refused;
    assert!(world.refused * 200 < asked, "{} of {asked}", world.refused);
}

/// Guards against hosts that each admit what is left before any hears of the others.
#[test]
fn a_hot_account_keeps_its_quota_over_300_hosts() {
    let start = seconds(100);
    let mut world = GroupWorld::new(start);

    world.run(start, start, seconds(104), RATE * 0.5);
    world.run(start, seconds(104), seconds(120), RATE * 8.0);

    let largest = world.largest_window(start);
    assert!(largest <= bound(), "{largest} of {}", bound());
    let late = world.largest_window(seconds(114));
    assert!(late >= RATE * WINDOW.as_secs_f64(), "{late}");
}

/// Guards against usage that counts twice, or not at all, as members turn to another leader.
#[test]
fn leaders_that_die_change_nothing_for_accounts() {
    let start = seconds(100);
    let mut world = GroupWorld::new(start);
    world.run(start, start, seconds(110), RATE * 0.85);
    world.refused = 0;

    world.dead = (0..HOSTS / GROUP)
        .step_by(4)
        .map(|group| group * GROUP)
        .collect();
    world.run(start, seconds(110), seconds(125), RATE * 0.85);

    let asked = world.admitted.len() + world.refused;
    assert!(world.refused * 100 < asked, "{} of {asked}", world.refused);
    let hot = seconds(125);
    world.run(start, hot, seconds(140), RATE * 8.0);
    let largest = world.largest_window(hot);
    assert!(largest <= bound(), "{largest} of {}", bound());
}
