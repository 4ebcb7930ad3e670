//! Fairness of the distribution of useful engine work among accounts.

use serde::Serialize;

use crate::ids::AccountName;

use super::ReplayTrace;
use super::offline_bound::runs_on_engines;
use super::work_cost;
use super::work_record::RecordOutcome;
use super::work_record::WorkRecord;

/// The engine work that one account requested and received, in engine seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountReport {
    /// The account.
    pub account: AccountName,
    /// The work requested.
    pub offered: f64,
    /// The work of requests that were answered before their deadline.
    pub useful: f64,
    /// Its weighted max-min fair share of all useful work.
    pub entitled: f64,
}

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if only one is not zero.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

/// Returns Jain's index over the fraction of its fair share that each account received.
///
/// An account that requests little receives little, which is fair. Therefore the useful
/// work of each account is divided by its max-min fair share, with a maximum of 1.
pub(super) fn satisfaction_index(accounts: &[AccountReport]) -> f64 {
    let fractions: Vec<f64> = accounts
        .iter()
        .filter(|account| account.entitled > 0.0)
        .map(|account| (account.useful / account.entitled).min(1.0))
        .collect();
    jain_index(&fractions)
}

/// Sums up the work that each account requested and received.
pub(super) fn report_accounts(trace: &ReplayTrace, records: &[WorkRecord]) -> Vec<AccountReport> {
    let mut accounts: Vec<AccountReport> = Vec::new();
    let mut weights = Vec::new();
    for account in &trace.header.accounts {
        let mut report = AccountReport {
            account: account.name.clone(),
            offered: 0.0,
            useful: 0.0,
            entitled: 0.0,
        };
        for (arrival, record) in trace.arrivals.iter().zip(records) {
            if arrival.account != account.name || !runs_on_engines(trace, arrival) {
                continue;
            }
            let cost = work_cost(arrival).as_secs_f64();
            report.offered += cost;
            if record.outcome == Some(RecordOutcome::Useful) {
                report.useful += cost;
            }
        }
        weights.push(f64::from(account.weight));
        accounts.push(report);
    }
    assign_fair_shares(&mut accounts, &weights);
    accounts
}

/// Computes the fair shares: the total useful work is divided by weight, and no account is
/// entitled to more than it requested.
fn assign_fair_shares(accounts: &mut [AccountReport], weights: &[f64]) {
    let mut remaining: f64 = accounts.iter().map(|account| account.useful).sum();
    let mut unassigned: Vec<usize> = (0..accounts.len()).collect();
    while !unassigned.is_empty() {
        let total: f64 = unassigned.iter().map(|index| weights[*index]).sum();
        let share_per_weight = remaining / total;
        let (satisfied, unsatisfied): (Vec<usize>, Vec<usize>) = unassigned
            .iter()
            .partition(|index| accounts[**index].offered <= share_per_weight * weights[**index]);
        if satisfied.is_empty() {
            for index in unsatisfied {
                accounts[index].entitled = share_per_weight * weights[index];
            }
            return;
        }
        for index in satisfied {
            accounts[index].entitled = accounts[index].offered;
            remaining -= accounts[index].offered;
        }
        unassigned = unsatisfied;
    }
}
