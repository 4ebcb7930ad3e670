//! The rate limits of all accounts on one host, replaced as a whole with each configuration.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use super::AccountBucket;
use crate::fleet::ClientAccount;
use crate::fleet::FleetDocument;
use crate::ids::AccountName;
use crate::sorted::SortedMap;

type BucketMap = SortedMap<AccountName, LimitedAccount>;

/// The rate limits of all accounts on one host.
#[derive(Debug, Default)]
pub(crate) struct AccountLimiter {
    buckets: ArcSwap<BucketMap>,
}

#[derive(Clone, Debug)]
struct LimitedAccount {
    rate: u32,
    burst: u32,
    hosts: usize,
    bucket: Arc<AccountBucket>,
}

impl AccountLimiter {
    /// Applies the limits of a document.
    ///
    /// The bucket of an unchanged limit is kept, so that an edit elsewhere in the document does
    /// not give the account a new burst.
    pub(crate) fn apply(&self, document: &FleetDocument) {
        let hosts = document.roster.seats.len().max(1);
        let former = self.buckets.load();
        let buckets: BucketMap = document
            .accounts
            .iter()
            .filter_map(|account| limit_account(&former, account, hosts))
            .collect();
        self.buckets.store(Arc::new(buckets));
    }

    /// Takes one request of an account at `now`.
    ///
    /// # Errors
    ///
    /// The time after which the account's next request is admitted.
    pub(crate) fn take(&self, account: &AccountName, now: Duration) -> Result<(), Duration> {
        match self.buckets.load().get(account) {
            Some(limited) => limited.bucket.take(now),
            None => Ok(()),
        }
    }
}

fn limit_account(
    former: &BucketMap,
    account: &ClientAccount,
    hosts: usize,
) -> Option<(AccountName, LimitedAccount)> {
    let rate = account.requests_per_second?;
    let burst = account.burst.unwrap_or(rate);
    let unchanged = former
        .get(&account.name)
        .filter(|limited| (limited.rate, limited.burst, limited.hosts) == (rate, burst, hosts));
    let limited = unchanged.cloned().unwrap_or_else(|| LimitedAccount {
        rate,
        burst,
        hosts,
        bucket: Arc::new(share_of_host(rate, burst, hosts)),
    });
    Some((account.name.clone(), limited))
}

fn share_of_host(rate: u32, burst: u32, hosts: usize) -> AccountBucket {
    let hosts = hosts as f64;
    // A burst of at least one request, or a small account would never be served.
    let burst = (f64::from(burst) / hosts).max(1.0);
    AccountBucket::new(f64::from(rate) / hosts, burst)
}
