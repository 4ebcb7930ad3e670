//! Allowances over several hosts, in virtual time.

use std::time::Duration;

use cardamomgw::catalog::ClientAccount;
use cardamomgw::catalog::TokenRate;
use cardamomgw::spending::AccountSpending;
use cardamomgw::spending::AllowanceLedger;
use cardamomgw::spending::SpendTolerance;
use cardamomgw::spending::SpendVerdict;

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

fn ledger_from(start: Duration) -> AllowanceLedger {
    let tolerance = SpendTolerance {
        window: WINDOW,
        overage: 0.25,
        slack: 1000.0,
    };
    AllowanceLedger::new(tolerance, start)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Spends `cost` as often as it is let in, and returns how much that was.
fn spend_all(
    ledger: &mut AllowanceLedger,
    account: &ClientAccount,
    cost: f64,
    now: Duration,
) -> f64 {
    let mut spent = 0.0;
    while ledger.spend(account, cost, now) == SpendVerdict::Within {
        spent += cost;
    }
    spent
}

/// Lets each host tell its spending to all others.
fn tell_all(ledgers: &mut [AllowanceLedger], now: Duration) {
    let told: Vec<Vec<AccountSpending>> = ledgers
        .iter_mut()
        .map(|ledger| ledger.own_spending())
        .collect();
    for (index, ledger) in ledgers.iter_mut().enumerate() {
        for (peer, spending) in told.iter().enumerate() {
            if peer != index {
                ledger.take_peer(format!("e{peer}"), 1, OLD_LIFE, spending.clone(), now);
            }
        }
    }
}

/// Checks each window of what a limit of 1,000 a second and 1,000 at once allows.
fn assert_bounded(spent: &[(Duration, f64)]) {
    let bound = (1000.0 * 8.0 + 1000.0) * 1.25 + 1000.0;
    let mut starts: Vec<Duration> = spent.iter().map(|(at, _)| *at).collect();
    starts.dedup();
    for from in starts {
        let within = spent
            .iter()
            .filter(|(at, _)| *at >= from && *at < from + WINDOW);
        let sum: f64 = within.map(|(_, cost)| cost).sum();
        assert!(sum <= bound, "{sum} from {from:?}");
    }
}

/// One account asks ten times its limit at eight hosts. All of them together must
/// let in little more than the limit over any window.
#[test]
fn a_hot_account_stays_within_its_limit_over_all_hosts() {
    let account = account_with(1000.0, 1000.0);
    let mut ledgers: Vec<AllowanceLedger> = (0..8).map(|_| ledger_from(Duration::ZERO)).collect();
    let mut spent: Vec<(Duration, f64)> = Vec::new();
    for step in 0..400 {
        let now = Duration::from_secs(20) + millis(step * 100);
        for ledger in &mut ledgers {
            for _ in 0..13 {
                if ledger.spend(&account, 10.0, now) == SpendVerdict::Within {
                    spent.push((now, 10.0));
                }
            }
        }
        tell_all(&mut ledgers, now);
    }

    assert_bounded(&spent);
}

/// An account that asks what it may gets all of it, whatever host it comes to.
#[test]
fn an_account_within_its_limit_is_never_refused() {
    let account = account_with(1000.0, 1000.0);
    let mut ledgers: Vec<AllowanceLedger> = (0..8).map(|_| ledger_from(Duration::ZERO)).collect();
    for step in 0..400 {
        let now = Duration::from_secs(20) + millis(step * 100);
        let ledger = &mut ledgers[step as usize % 3];
        let verdict = ledger.spend(&account, 95.0, now);
        assert_eq!(verdict, SpendVerdict::Within, "at {now:?}");
        tell_all(&mut ledgers, now);
    }
}

/// An account at five times its limit meets the kill of all hosts: those that start
/// again knew nothing and let in a whole window's worth at once, behind the one that
/// had just been used.
#[test]
fn a_kill_of_all_hosts_does_not_double_a_window() {
    let account = account_with(1000.0, 1000.0);
    let mut spent: Vec<(Duration, f64)> = Vec::new();
    for lives in 0..3 {
        let mut ledgers: Vec<AllowanceLedger> =
            (0..8).map(|_| ledger_from(Duration::ZERO)).collect();
        for step in 0..60 {
            let now = Duration::from_secs(20) + millis(lives * 6000 + step * 100);
            for ledger in &mut ledgers {
                for _ in 0..7 {
                    if ledger.spend(&account, 10.0, now) == SpendVerdict::Within {
                        spent.push((now, 10.0));
                    }
                }
            }
            tell_all(&mut ledgers, now);
        }
    }

    assert_bounded(&spent);
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
        ledger.spend(&before, 100.0, now);
    }

    let now = Duration::from_secs(28);
    let verdict = ledger.spend(&after, 20.0, now);

    assert_eq!(verdict, SpendVerdict::Within);
}

/// A host says that it leaves and goes on telling until its end. What it had spent
/// was counted anew with each word, and the account was refused everywhere.
#[test]
fn a_leaving_host_is_not_counted_twice() {
    let account = account_with(1000.0, 1000.0);
    let mut ledger = ledger_from(Duration::ZERO);
    let start = Duration::from_secs(20);
    ledger.spend(&account, 10.0, start);
    let told = |total: f64| {
        vec![AccountSpending {
            account: "acme".into(),
            total,
        }]
    };
    ledger.take_peer("e2".into(), 1, OLD_LIFE, told(0.0), start);

    for _ in 0..5 {
        ledger.take_peer("e2".into(), 1, OLD_LIFE, told(500.0), start);
        ledger.note_left("e2");
    }

    let later = start + millis(1200);
    assert_eq!(ledger.spend(&account, 1000.0, later), SpendVerdict::Within);
}

/// A host is cut off from one of two peers, which serves the same account. Each
/// side must keep to its part.
#[test]
fn a_silent_peer_counts_as_spending_its_part() {
    let account = account_with(1000.0, 1000.0);
    let mut ledger = ledger_from(Duration::ZERO);
    let told = vec![AccountSpending {
        account: "acme".into(),
        total: 10.0,
    }];
    ledger.take_peer("e2".into(), 1, OLD_LIFE, told, Duration::from_secs(20));
    // What was free as the silence began may still be spent once.
    spend_all(&mut ledger, &account, 10.0, Duration::from_secs(22));
    let mut spent = 0.0;
    for step in 1..=85 {
        let now = Duration::from_secs(22) + millis(step * 100);
        spent += spend_all(&mut ledger, &account, 10.0, now);
    }

    let whole = 1000.0 * 8.0 + 1000.0;
    assert!(
        spent > 0.5 * whole && spent < 0.75 * whole,
        "{spent} of {whole}"
    );
}

/// All hosts of a fleet were killed and started again. Until they found each other,
/// each let in what it was asked; what they had spent by then was never counted, and
/// the account got a second's worth twice.
#[test]
fn what_hosts_spent_before_they_met_counts() {
    let account = account_with(1000.0, 1000.0);
    let start = Duration::from_secs(100);
    let mut ledger = ledger_from(start);
    ledger.spend(&account, 10.0, start);
    let told = vec![AccountSpending {
        account: "acme".into(),
        total: 3000.0,
    }];

    let met = start + millis(800);
    ledger.take_peer("e2".into(), 1, millis(900), told, met);

    let verdict = ledger.spend(&account, 500.0, met);
    assert!(matches!(verdict, SpendVerdict::Beyond(_)), "{verdict:?}");
}
