//! Client accounts: keys and quotas.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountName;
use crate::ids::TierRank;

/// Number of tokens that an account may use over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenRate {
    /// Sustained rate in tokens per second.
    pub per_second: f64,
    /// Additional tokens that may be used at once.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Name of the account, which targets receive in place of the key.
    pub name: AccountName,
    /// Keys that authenticate its callers.
    pub keys: Vec<String>,
    /// Tier of its requests, overriding the route's tier.
    pub tier: Option<TierRank>,
    /// Quota of the account; `None` for unlimited use.
    pub quota: Option<TokenRate>,
    /// Tokens charged for a request that does not state its token usage.
    pub plain_tokens: u64,
    /// Whether the quota counts tokens rather than requests.
    pub counts_tokens: bool,
}
