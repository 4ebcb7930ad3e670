//! An account with a quota, and its requests.

use crate::catalog::ClientAccount;
use crate::catalog::TokenRate;
use crate::quota::PriorityClass;
use crate::quota::QuotaRequest;

/// Tokens that the account may use per second, and in a burst.
pub(super) const RATE: f64 = 10.0;

pub(super) fn limited_account() -> ClientAccount {
    ClientAccount {
        name: "acme".into(),
        keys: Vec::new(),
        tier: None,
        quota: Some(TokenRate {
            per_second: RATE,
            burst: RATE,
        }),
        plain_tokens: 1,
        counts_tokens: true,
    }
}

pub(super) fn request_of(cost: f64) -> QuotaRequest {
    QuotaRequest {
        priority_class: PriorityClass {
            tier: 0,
            metered: true,
        },
        cost,
    }
}
