//! One client account: its keys and its allowance.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountName;
use crate::ids::TierRank;

/// How many tokens an account may use over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenRate {
    /// Tokens a second.
    pub per_second: f64,
    /// Tokens beyond that at once.
    pub burst: f64,
}

/// One client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// The account's name; targets are told it in place of the key.
    pub name: AccountName,
    /// The keys by which its callers are known.
    pub keys: Vec<String>,
    /// The urgency of its requests in place of the route's.
    pub tier: Option<TierRank>,
    /// What it may use; no bound when absent.
    pub allowance: Option<TokenRate>,
    /// What a request counts that doesn't tell its tokens.
    pub plain_tokens: u64,
    /// Whether the allowance counts tokens; requests otherwise.
    pub counts_tokens: bool,
}
