//! The report of a replay.

use std::time::Duration;

use serde::Serialize;

use crate::ids::TokenCount;

use super::AccountReport;
use super::PolicyKind;
use super::ReplayTrace;
use super::TraceArrival;
use super::fairness::report_accounts;
use super::fairness::satisfaction_index;
use super::offline_bound::runs_on_engines;
use super::work_cost;
use super::work_record::RecordOutcome;
use super::work_record::WorkRecord;

/// The results of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// The name of the trace.
    pub trace: String,
    /// The seed.
    pub seed: u64,
    /// The upper bound on useful engine work for any schedule, in engine seconds.
    pub bound_seconds: f64,
    /// One report for each policy.
    pub policies: Vec<PolicyReport>,
}

/// The results of one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: PolicyKind,
    /// Engine work of requests answered before their deadline, in engine seconds.
    pub useful_seconds: f64,
    /// The results by tier.
    pub tiers: Vec<GroupReport>,
    /// The results by class.
    pub classes: Vec<GroupReport>,
    /// Prompt tokens whose prefill was wasted.
    pub waste: WasteReport,
    /// The results by account.
    pub accounts: Vec<AccountReport>,
    /// Jain's index over the fraction of its fair share that each account received.
    pub fairness: f64,
}

/// The outcomes of the requests of a tier or class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupReport {
    /// The tier or class.
    pub name: String,
    /// Requests that arrived.
    pub offered: usize,
    /// Requests whose complete answer arrived before the deadline.
    pub useful: usize,
    /// Requests that were dispatched but missed their deadline.
    pub late: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that were lost with their host.
    pub lost: usize,
    /// Requests that were forwarded to a peer.
    pub handed_over: usize,
    /// The time to the first token.
    pub first_token_ms: QuantileReport,
    /// The time to the refusal.
    pub refusal_ms: QuantileReport,
}

/// Quantiles of durations, in milliseconds; zero if there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct QuantileReport {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// Prompt tokens that engines prefilled, and those whose prefill was wasted, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct WasteReport {
    /// All prompt tokens prefilled.
    pub computed: u64,
    /// Prefilled again, because the prefix was evicted or cached on another engine.
    pub repeated: u64,
    /// Prefilled for requests that missed their deadline.
    pub late: u64,
    /// Prefilled for requests that were lost with their host.
    pub lost: u64,
}

impl WasteReport {
    /// Returns the number of prompt tokens whose prefill was wasted.
    pub const fn total(&self) -> u64 {
        self.repeated + self.late + self.lost
    }
}

impl PolicyReport {
    /// Returns the report of a tier.
    pub fn tier(&self, tier: u8) -> Option<&GroupReport> {
        let name = tier_name(tier);
        self.tiers.iter().find(|group| group.name == name)
    }

    /// Returns the report of a class.
    pub fn class(&self, name: &str) -> Option<&GroupReport> {
        self.classes.iter().find(|group| group.name == name)
    }
}

impl GroupReport {
    /// Returns the fraction of the offered requests that was useful; 1 if there were none.
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            return 1.0;
        }
        self.useful as f64 / self.offered as f64
    }
}

impl ReplayReport {
    /// Returns the report of a policy.
    pub fn policy(&self, kind: PolicyKind) -> Option<&PolicyReport> {
        self.policies.iter().find(|report| report.policy == kind)
    }
}

/// Builds the report of one policy.
pub(super) fn report_policy(
    trace: &ReplayTrace,
    policy: PolicyKind,
    records: &[WorkRecord],
) -> PolicyReport {
    let accounts = report_accounts(trace, records);
    let classes = trace.header.classes.iter().map(|class| &class.name);
    let mut tiers: Vec<u8> = trace.arrivals.iter().map(|arrival| arrival.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    PolicyReport {
        policy,
        useful_seconds: useful_seconds(trace, records),
        tiers: tiers
            .into_iter()
            .map(|tier| report_group(trace, records, tier_name(tier), |a| a.tier == tier))
            .collect(),
        classes: classes
            .map(|name| report_group(trace, records, name.clone(), |a| a.class == *name))
            .collect(),
        waste: report_waste(records),
        fairness: satisfaction_index(&accounts),
        accounts,
    }
}

fn tier_name(tier: u8) -> String {
    format!("tier {tier}")
}

fn useful_seconds(trace: &ReplayTrace, records: &[WorkRecord]) -> f64 {
    trace
        .arrivals
        .iter()
        .zip(records)
        .filter(|(arrival, _)| runs_on_engines(trace, arrival))
        .filter(|(_, record)| record.outcome == Some(RecordOutcome::Useful))
        .map(|(arrival, _)| work_cost(arrival).as_secs_f64())
        .sum()
}

fn report_group(
    trace: &ReplayTrace,
    records: &[WorkRecord],
    name: String,
    is_member: impl Fn(&TraceArrival) -> bool,
) -> GroupReport {
    let group: Vec<&WorkRecord> = trace
        .arrivals
        .iter()
        .zip(records)
        .filter(|(arrival, _)| is_member(arrival))
        .map(|(_, record)| record)
        .collect();
    let count = |outcome| group.iter().filter(|r| r.outcome == Some(outcome)).count();
    let first_tokens = group.iter().filter_map(|record| record.first_token);
    let refused = group
        .iter()
        .filter(|record| record.outcome == Some(RecordOutcome::Refused));
    GroupReport {
        name,
        offered: group.len(),
        useful: count(RecordOutcome::Useful),
        late: count(RecordOutcome::Late),
        refused: count(RecordOutcome::Refused),
        lost: count(RecordOutcome::Lost),
        handed_over: group
            .iter()
            .filter(|record| record.forward_count > 0)
            .count(),
        first_token_ms: quantiles(first_tokens.collect()),
        refusal_ms: quantiles(refused.map(|record| record.time_to_end).collect()),
    }
}

fn quantiles(mut times: Vec<Duration>) -> QuantileReport {
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else {
        return QuantileReport::default();
    };
    let percentile = |percent: usize| times[(times.len() * percent / 100).min(last)].as_micros();
    let milliseconds = |micros: u128| micros as f64 / 1000.0;
    QuantileReport {
        p50: milliseconds(percentile(50)),
        p95: milliseconds(percentile(95)),
        p99: milliseconds(percentile(99)),
    }
}

fn report_waste(records: &[WorkRecord]) -> WasteReport {
    let mut waste = WasteReport::default();
    for record in records {
        let widen = |tokens: TokenCount| u64::from(tokens);
        waste.computed += widen(record.computed);
        match record.outcome {
            Some(RecordOutcome::Late) => waste.late += widen(record.computed),
            Some(RecordOutcome::Lost) => waste.lost += widen(record.computed),
            _ => waste.repeated += widen(record.repeated),
        }
    }
    waste
}
