//! Allowances over several hosts, in virtual time.

use std::time::Duration;

use cardamomgw::catalog::ClientAccount;
use cardamomgw::catalog::TokenRate;
use cardamomgw::quota::AccountUsage;
use cardamomgw::quota::PriorityClass;
use cardamomgw::quota::QuotaDecision;
use cardamomgw::quota::QuotaLimiter;
use cardamomgw::quota::QuotaRequest;
use cardamomgw::quota::QuotaTolerance;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(8);
/// The age of a host that was there long before.
const OLD_LIFE: Duration = Duration::from_secs(1000);

fn account_with(per_second: f64, burst: f64) -> ClientAccount {
    ClientAccount {
        name: "acme".into(),
        keys: Vec::new(),
        tier: None,
        allowance: Some(TokenRate { per_second, burst }),
        plain_tokens: 1,
        counts_tokens: true,
    }
}

/// What all hosts together may let in of such an account in a window.
fn bound_of(per_second: f64, burst: f64) -> f64 {
    (per_second * WINDOW.as_secs_f64() + burst) * 1.25 + 1000.0
}

const URGENT: PriorityClass = PriorityClass {
    tier: 0,
    metered: true,
};
const CASUAL: PriorityClass = PriorityClass {
    tier: 2,
    metered: true,
};
const PLAIN: PriorityClass = PriorityClass {
    tier: 2,
    metered: false,
};

fn wish(cost: f64) -> QuotaRequest {
    QuotaRequest {
        priority_class: URGENT,
        cost,
    }
}

fn ledger_from(start: Duration) -> QuotaLimiter {
    ledger_among(1, start)
}

fn ledger_among(hosts: usize, start: Duration) -> QuotaLimiter {
    let tolerance = QuotaTolerance {
        window: WINDOW,
        overage: 0.25,
        slack: 1000.0,
    };
    QuotaLimiter::new(tolerance, hosts, start)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Hosts that tell each other what they let in.
struct SpendWorld {
    ledgers: Vec<QuotaLimiter>,
    chance: ChaCha8Rng,
    /// What was let in: when, at which host and how much.
    spent: Vec<(Duration, usize, f64)>,
}

impl SpendWorld {
    fn new(hosts: usize, start: Duration) -> Self {
        Self {
            ledgers: (0..hosts).map(|_| ledger_among(hosts, start)).collect(),
            chance: ChaCha8Rng::seed_from_u64(7),
            spent: Vec::new(),
        }
    }

    /// Asks one host for one request.
    fn ask(
        &mut self,
        host: usize,
        account: &ClientAccount,
        wish: QuotaRequest,
        now: Duration,
    ) -> bool {
        let spread = self.chance.random::<f64>();
        let within =
            self.ledgers[host].try_consume(account, wish, now, spread) == QuotaDecision::Admitted;
        if within {
            self.spent.push((now, host, wish.cost));
        }
        within
    }

    /// Asks a host for so much a second, in requests of `cost`, over 10 ms.
    fn ask_rate(
        &mut self,
        host: usize,
        account: &ClientAccount,
        per_second: f64,
        cost: f64,
        now: Duration,
    ) {
        let mut expected = per_second * 0.01 / cost;
        while self.chance.random::<f64>() < expected {
            self.ask(host, account, wish(cost), now);
            expected -= 1.0;
        }
    }

    /// Lets one host tell another one.
    fn tell(&mut self, from: usize, to: usize, life: Duration, now: Duration) {
        let told = self.ledgers[from].own_usage(false, now);
        self.ledgers[to].record_host_usage(format!("e{from}"), 1, life, told, now);
    }

    /// Lets each host of a group tell all others of it.
    fn tell_all(&mut self, group: &[usize], life: Duration, now: Duration) {
        for from in group {
            let told: Vec<AccountUsage> = self.ledgers[*from].own_usage(false, now);
            for to in group.iter().filter(|to| *to != from) {
                self.ledgers[*to].record_host_usage(format!("e{from}"), 1, life, told.clone(), now);
            }
        }
    }

    /// Returns what was let in at these hosts from `from` on.
    fn spent_by(&self, hosts: &[usize], from: Duration) -> f64 {
        let spent = self.spent.iter();
        let theirs = spent.filter(|(at, host, _)| *at >= from && hosts.contains(host));
        theirs.map(|(_, _, cost)| cost).sum()
    }

    /// Checks each window of what a limit allows.
    fn assert_bounded(&self, account: &ClientAccount) {
        let allowance = account.allowance.expect("a limit");
        let bound = bound_of(allowance.per_second, allowance.burst);
        let mut first = 0;
        let mut sum = 0.0;
        for (at, _, cost) in &self.spent {
            sum += cost;
            while self.spent[first].0 + WINDOW <= *at {
                sum -= self.spent[first].2;
                first += 1;
            }
            assert!(sum <= bound, "{sum} of {bound} until {at:?}");
        }
    }
}

const ALL_SIX: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// One account asks ten times its limit at eight hosts. All of them together must
/// let in little more than the limit over any window.
#[test]
fn a_hot_account_stays_within_its_limit_over_all_hosts() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(8, Duration::ZERO);
    let group: Vec<usize> = (0..8).collect();
    for step in 0..4000 {
        let now = Duration::from_secs(20) + millis(step * 10);
        for host in 0..8 {
            world.ask_rate(host, &account, 1300.0, 10.0, now);
        }
        if step % 10 == 0 {
            world.tell_all(&group, OLD_LIFE, now);
        }
    }

    world.assert_bounded(&account);
}

/// An account that asks what it may gets all of it, whatever host it comes to.
#[test]
fn an_account_within_its_limit_is_never_refused() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(8, Duration::ZERO);
    let group: Vec<usize> = (0..8).collect();
    for step in 0..400 {
        let now = Duration::from_secs(20) + millis(step * 100);
        let host = step as usize % 3;
        let verdict = world.ledgers[host].try_consume(&account, wish(95.0), now, 0.999);
        assert_eq!(verdict, QuotaDecision::Admitted, "at {now:?}");
        world.tell_all(&group, OLD_LIFE, now);
    }
}

/// An account asks exactly its limit, in requests of very unlike size that come by
/// chance. Clumps of them must not be refused: over a window it keeps its word.
#[test]
fn an_account_at_its_exact_limit_is_served() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(6, Duration::ZERO);
    let mut asked = 0;
    let mut refused = 0;
    for step in 0..6000 {
        let now = Duration::from_secs(20) + millis(step * 10);
        let size = world.chance.random::<f64>().powi(3) * 200.0 + 1.0;
        if world.chance.random::<f64>() < 1000.0 * 0.01 / 51.0 {
            let host = step as usize % 6;
            asked += 1;
            refused += usize::from(!world.ask(host, &account, wish(size), now));
        }
        if step % 10 == 0 {
            world.tell_all(&ALL_SIX, OLD_LIFE, now);
        }
    }

    assert!(refused * 200 <= asked, "{refused} of {asked}");
}

/// An account at ten times its limit asked all hosts alike. One or two of them let in
/// nearly all that it got; callers of the others were refused for as long as it lasted,
/// since each host carried a level of its own, and those had come apart.
#[test]
fn no_host_takes_an_account_for_itself() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(6, Duration::ZERO);
    for step in 0..2000 {
        let now = Duration::from_secs(20) + millis(step * 10);
        for host in ALL_SIX {
            let cost = 10.0 + 50.0 * world.chance.random::<f64>();
            world.ask_rate(host, &account, 1700.0, cost, now);
        }
        if step % 10 == 0 {
            world.tell_all(&ALL_SIX, OLD_LIFE, now);
        }
    }

    let whole = world.spent_by(&ALL_SIX, Duration::ZERO);
    for host in ALL_SIX {
        let part = world.spent_by(&[host], Duration::ZERO) / whole;
        assert!((0.12..0.22).contains(&part), "host {host}: {part}");
    }
}

/// An account at five times its limit sends large urgent requests, as much small talk
/// and a few cheap calls. The urgent ones were refused as often as the rest, and
/// large ones far more often than small ones of the same kind.
#[test]
fn urgent_work_comes_first_and_no_kind_starves() {
    let account = account_with(10_000.0, 10_000.0);
    let mut world = SpendWorld::new(6, Duration::ZERO);
    // Asked and let in, of small urgent, large urgent, casual and plain requests.
    let mut counts = [[0.0, 0.0]; 4];
    for step in 0..2000 {
        let now = Duration::from_secs(20) + millis(step * 10);
        for host in ALL_SIX {
            let kinds = [
                (URGENT, 20.0),
                (URGENT, 500.0),
                (CASUAL, 200.0),
                (PLAIN, 5.0),
            ];
            let rates = [2000.0, 2000.0, 4000.0, 100.0];
            for (kind, (priority_class, cost)) in kinds.into_iter().enumerate() {
                if world.chance.random::<f64>() < rates[kind] * 0.01 / cost {
                    let within = world.ask(
                        host,
                        &account,
                        QuotaRequest {
                            priority_class,
                            cost,
                        },
                        now,
                    );
                    counts[kind][0] += 1.0;
                    counts[kind][1] += f64::from(u8::from(within));
                }
            }
        }
        if step % 10 == 0 {
            world.tell_all(&ALL_SIX, OLD_LIFE, now);
        }
    }

    let shares = counts.map(|[asked, within]| within / asked);
    let [small, large, casual, plain] = shares;
    assert!(small > 2.0 * casual && large > 2.0 * casual, "{shares:?}");
    assert!((small / large - 1.0).abs() < 0.25, "{shares:?}");
    assert!(casual > 0.04, "{shares:?}");
    assert!(plain > 0.95, "{shares:?}");
}

/// An account at five times its limit meets the kill of all hosts: those that start
/// again knew nothing and let in a whole window's worth at once, behind the one that
/// had just been used.
#[test]
fn a_kill_of_all_hosts_does_not_double_a_window() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(8, Duration::ZERO);
    let group: Vec<usize> = (0..8).collect();
    for lives in 0..3 {
        let start = Duration::from_secs(20) + millis(lives * 6000);
        // Half a second of each life goes by until the hosts are up again.
        world.ledgers = (0..8).map(|_| ledger_among(8, start)).collect();
        for step in 50..600 {
            let now = start + millis(step * 10);
            for host in 0..8 {
                world.ask_rate(host, &account, 700.0, 10.0, now);
            }
            if step % 10 == 0 {
                world.tell_all(&group, now - start, now);
            }
        }
    }

    world.assert_bounded(&account);
}

/// All hosts were killed while nobody asked too much. Those that came up again knew
/// nothing, took the whole window for spent, and refused what accounts may ask.
#[test]
fn hosts_that_start_together_serve_accounts_within_their_limits() {
    let account = account_with(1000.0, 1000.0);
    let start = Duration::from_secs(100);
    let mut world = SpendWorld::new(6, start);
    for ledger in &mut world.ledgers {
        // Each knows at first only of those that its settings name.
        *ledger = ledger_among(4, start);
    }
    let mut refused = 0;
    for step in 20..300 {
        let now = start + millis(step * 10);
        for host in ALL_SIX {
            if world.chance.random::<f64>() < 600.0 / 6.0 * 0.01 / 50.0 {
                refused += usize::from(!world.ask(host, &account, wish(50.0), now));
            }
        }
        if step % 10 == 0 && step >= 50 {
            world.tell_all(&ALL_SIX, now - start, now);
        }
    }

    assert_eq!(refused, 0);
}

/// The operator lowers a limit. The account, which kept to the old one, was shut
/// out for a whole window, as all that it had spent counted against the new one.
#[test]
fn a_lowered_limit_counts_from_its_change_on() {
    let before = account_with(1000.0, 1000.0);
    let after = account_with(200.0, 1000.0);
    let mut ledger = ledger_from(Duration::ZERO);
    for step in 0..80 {
        let now = Duration::from_secs(20) + millis(step * 100);
        ledger.try_consume(&before, wish(100.0), now, 0.999);
    }

    let now = Duration::from_secs(28);
    let verdict = ledger.try_consume(&after, wish(20.0), now, 0.999);

    assert_eq!(verdict, QuotaDecision::Admitted);
}

/// A host says that it leaves and goes on telling until its end. What it had spent
/// was counted anew with each word, and the account was refused everywhere.
#[test]
fn a_leaving_host_is_not_counted_twice() {
    let account = account_with(1000.0, 1000.0);
    let mut ledger = ledger_from(Duration::ZERO);
    let start = Duration::from_secs(20);
    ledger.try_consume(&account, wish(10.0), start, 0.5);
    ledger.record_host_usage("e2".into(), 1, OLD_LIFE, told(0.0), start);

    for _ in 0..5 {
        ledger.record_host_usage("e2".into(), 1, OLD_LIFE, told(500.0), start);
        ledger.mark_departed("e2");
    }

    let later = start + millis(1200);
    let verdict = ledger.try_consume(&account, wish(1000.0), later, 0.999);
    assert_eq!(verdict, QuotaDecision::Admitted);
}

/// A host is cut off from one of two peers, which serves the same account. Each
/// side must keep to its part.
#[test]
fn a_silent_peer_counts_as_spending_its_part() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(2, Duration::ZERO);
    for step in 0..200 {
        let now = Duration::from_secs(18) + millis(step * 10);
        world.ask_rate(0, &account, 300.0, 10.0, now);
        world.ask_rate(1, &account, 300.0, 10.0, now);
        if step % 10 == 0 {
            world.tell_all(&[0, 1], OLD_LIFE, now);
        }
    }
    let cut = Duration::from_secs(22);
    for step in 0..1000 {
        let now = cut + millis(step * 10);
        world.ask_rate(0, &account, 5000.0, 10.0, now);
    }

    let part = world.spent_by(&[0], cut + millis(2000)) / bound_of(1000.0, 1000.0);
    assert!(part > 0.35 && part < 0.65, "{part}");
}

/// Two of six hosts are cut off from the others and from each other, and an account
/// turns to six times its usual load behind the cut, which sends a third of it to one
/// host. All sides together must keep the limit, and none of them stand dry: callers
/// of the host with a third of the load were refused twice as often as all others.
#[test]
fn sides_of_a_split_keep_the_limit_together_and_share_it_by_their_callers() {
    let account = account_with(1000.0, 1000.0);
    let mut world = SpendWorld::new(6, Duration::ZERO);
    let usual = [60.0, 60.0, 60.0, 190.0, 90.0, 90.0];
    let connected = [0, 3, 4, 5];
    let cut = Duration::from_secs(25);
    for step in 0..1500 {
        let now = Duration::from_secs(20) + millis(step * 10);
        let factor = if now >= cut { 6.0 } else { 1.0 };
        for host in ALL_SIX {
            world.ask_rate(host, &account, usual[host] * factor, 10.0, now);
        }
        if step % 10 == 0 {
            let group: &[usize] = if now >= cut { &connected } else { &ALL_SIX };
            world.tell_all(group, OLD_LIFE, now);
        }
    }

    world.assert_bounded(&account);
    let from = cut + millis(2500);
    let whole = world.spent_by(&ALL_SIX, from);
    let per_asked = |host: usize| world.spent_by(&[host], from) / usual[host];
    for host in ALL_SIX {
        let fair = per_asked(host) * 550.0 / whole;
        assert!((0.55..1.8).contains(&fair), "host {host}: {fair}");
    }
}

/// A cut heals behind which a host went on serving. All that it had let in since was
/// counted as spent in that moment, and the account was refused for seconds.
#[test]
fn what_a_host_spent_behind_a_cut_counts_for_when_it_was_spent() {
    let account = account_with(1000.0, 1000.0);
    let mut ledger = ledger_from(Duration::ZERO);
    ledger.record_host_usage("e2".into(), 1, OLD_LIFE, told(0.0), Duration::from_secs(20));

    let healed = Duration::from_secs(40);
    ledger.record_host_usage("e2".into(), 1, OLD_LIFE, told(10_000.0), healed);

    let verdict = ledger.try_consume(&account, wish(100.0), healed, 0.999);
    assert_eq!(verdict, QuotaDecision::Admitted);
}

/// All hosts of a fleet were killed and started again. Until they found each other,
/// each let in what it was asked; what they had spent by then was never counted, and
/// the account got a second's worth twice.
#[test]
fn what_hosts_spent_before_they_met_counts() {
    let account = account_with(1000.0, 1000.0);
    let start = Duration::from_secs(100);
    let mut ledger = ledger_from(start);
    ledger.try_consume(&account, wish(10.0), start, 0.5);

    let met = start + millis(800);
    ledger.record_host_usage("e2".into(), 1, millis(900), told(3000.0), met);

    let verdict = ledger.try_consume(&account, wish(500.0), met, 0.5);
    assert_eq!(verdict, QuotaDecision::Rejected);
}

/// In a large fleet each host hears of another one once a second. An account that
/// turns to eight times its usual load must not exceed a window until all know.
fn assert_late_words_keep_a_window(hosts: usize) {
    let account = account_with(100_000.0, 100_000.0);
    let mut world = SpendWorld::new(hosts, Duration::ZERO);
    let hot = Duration::from_secs(24);
    for step in 0..1200_u64 {
        let now = Duration::from_secs(20) + millis(step * 10);
        let factor = if now >= hot { 8.0 } else { 1.0 };
        for host in 0..hosts {
            let rate = 100_000.0 / 1.8 * factor / hosts as f64;
            world.ask_rate(host, &account, rate, 500.0, now);
        }
        // Each pair in its turn, once a second.
        for from in 0..hosts {
            for to in 0..hosts {
                if from != to && (from * 7 + to) as u64 % 100 == step % 100 {
                    world.tell(from, to, OLD_LIFE, now);
                }
            }
        }
    }

    world.assert_bounded(&account);
    let served = world.spent_by(&(0..hosts).collect::<Vec<usize>>(), hot);
    assert!(served > 0.7 * bound_of(100_000.0, 100_000.0), "{served}");
}

#[test]
fn late_words_keep_a_window_at_85_hosts() {
    assert_late_words_keep_a_window(85);
}

#[test]
fn late_words_keep_a_window_at_300_hosts() {
    assert_late_words_keep_a_window(300);
}

/// All hosts of a large fleet have just started as an account turns up at all of them
/// with twenty times what it may ask. Each host let in what it was asked until it
/// heard of the others, a second later, and the window was exceeded.
#[test]
fn a_large_fleet_that_has_just_started_is_careful_with_an_account() {
    let account = account_with(1000.0, 2000.0);
    let start = Duration::from_secs(100);
    let mut world = SpendWorld::new(60, start);
    for step in 50..1000_u64 {
        let now = start + millis(step * 10);
        for host in 0..60 {
            world.ask_rate(host, &account, 650.0, 100.0, now);
        }
        for from in 0..60 {
            for to in 0..60 {
                if from != to && (from * 7 + to) as u64 % 100 == step % 100 {
                    world.tell(from, to, now - start, now);
                }
            }
        }
    }

    world.assert_bounded(&account);
}

/// What a peer tells that is asked for nothing now.
fn told(total: f64) -> Vec<AccountUsage> {
    vec![AccountUsage {
        account: "acme".into(),
        total,
        demands: Vec::new(),
        unresponsive_share: 0.0,
    }]
}
