//! The lines of a trace after the header: one request each.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::HostName;
use crate::ids::TierRank;
use crate::ids::TokenCount;

/// One request of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceArrival {
    /// Time of arrival, in microseconds since the start of the trace.
    pub at_us: u64,
    /// The host that received it.
    pub host: HostName,
    /// The account that sent it.
    pub account: AccountName,
    /// Its class.
    pub class: ClassName,
    /// Its tier.
    pub tier: TierRank,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The actual length of the answer.
    pub output_tokens: TokenCount,
    /// The length of the answer as estimated at arrival.
    pub expected_tokens: TokenCount,
    /// The hash of the first bytes of the prompt.
    pub prefix: u64,
    /// Number of prompt tokens shared with other requests that have this prefix.
    #[serde(default)]
    pub prefix_tokens: TokenCount,
    /// The time limit for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The target for the time to the first token, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_goal_ms: Option<u64>,
}
