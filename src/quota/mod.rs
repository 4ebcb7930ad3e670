//! Fleet-wide limits: token quotas of accounts and the retry budget.
//!
//! Neither needs a shared store. Hosts report their usage to each other; a host that
//! receives no reports limits itself to its own share of the total.

mod account_state;
mod demand_tracker;
mod host_clock;
mod host_shares;
mod peer_usage;
mod priority_split;
mod quota_limiter;
mod quota_snapshot;
mod quota_tolerance;
mod report_age;
mod report_merge;
mod retry_budget;
mod surge_guard;
mod tracked_window;
mod usage_counters;
mod usage_totals;
mod usage_window;

pub use account_state::QuotaDecision;
pub use account_state::QuotaRequest;
pub use peer_usage::AccountUsage;
pub use peer_usage::FormerUsage;
pub use peer_usage::ReportBasis;
pub use peer_usage::UnresponsiveHosts;
pub use peer_usage::UsageReport;
pub use peer_usage::UsageScope;
pub use priority_split::ClassDemand;
pub use priority_split::PriorityClass;
pub use quota_limiter::QuotaLimiter;
pub use quota_snapshot::QuotaSnapshot;
pub use quota_tolerance::QuotaTolerance;
pub use retry_budget::RetryBounds;
pub use retry_budget::RetryBudget;
pub use usage_window::UsageBuckets;
