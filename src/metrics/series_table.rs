//! The table of series, read without a lock.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

use super::request_series::RequestSeries;

type AccountSeries = SortedMap<AccountName, Arc<RequestSeries>>;
type ClassSeries = SortedMap<ClassName, AccountSeries>;
type TierSeries = SortedMap<TierRank, ClassSeries>;

/// All series created so far; a lookup takes no lock and copies no name.
#[derive(Debug, Default)]
pub(super) struct SeriesTable {
    series: ArcSwap<TierSeries>,
}

impl SeriesTable {
    /// Returns the series of a tier, class and account; calls `create` to create a missing one.
    pub(super) fn get_or_create(
        &self,
        tier: TierRank,
        class: &str,
        account: &str,
        create: impl Fn() -> RequestSeries,
    ) -> Arc<RequestSeries> {
        if let Some(series) = find(&self.series.load(), tier, class, account) {
            return series;
        }
        let created = Arc::new(create());
        // Two threads may create the same series concurrently. `rcu` retries the one that
        // lost the race, and both series record to the same instruments either way.
        self.series
            .rcu(|table| with_series(table, tier, class, account, &created));
        created
    }
}

fn find(
    table: &TierSeries,
    tier: TierRank,
    class: &str,
    account: &str,
) -> Option<Arc<RequestSeries>> {
    table.get(&tier)?.get(class)?.get(account).cloned()
}

fn with_series(
    table: &TierSeries,
    tier: TierRank,
    class: &str,
    account: &str,
    created: &Arc<RequestSeries>,
) -> TierSeries {
    let mut table = table.clone();
    table
        .get_or_insert_with(tier, SortedMap::new)
        .get_or_insert_with(String::from(class), SortedMap::new)
        .insert(String::from(account), Arc::clone(created));
    table
}
