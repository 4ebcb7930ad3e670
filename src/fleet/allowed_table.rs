//! Precomputed table of the allowed targets of each class and account.

use std::sync::Arc;

use crate::ids::TargetName;
use crate::sorted::SortedMap;

use super::compiled_entries::CompiledAccount;
use super::compiled_entries::CompiledClass;
use super::compiled_entries::CompiledTarget;
use super::reserved_labels::RequestLabels;

/// The allowed targets for each combination of class and account.
///
/// Accounts with identical lists share one allocation per class: 2,100 accounts
/// that the selectors treat alike need one list per class and one pointer per account.
#[derive(Clone, Debug)]
pub(super) struct AllowedTable {
    rows: Vec<Arc<Vec<TargetName>>>,
    account_count: usize,
}

impl AllowedTable {
    /// Computes the table; `targets` must be sorted by name.
    pub(super) fn build(
        targets: &[CompiledTarget],
        classes: &[CompiledClass],
        accounts: &[CompiledAccount],
    ) -> Self {
        let rows = classes
            .iter()
            .flat_map(|class| class_rows(targets, class, accounts))
            .collect();
        Self {
            rows,
            account_count: accounts.len(),
        }
    }

    /// Returns the allowed targets for a class index and an account index.
    pub(super) fn row(&self, class: usize, account: usize) -> Option<&Arc<Vec<TargetName>>> {
        if account >= self.account_count {
            return None;
        }
        self.rows.get(class * self.account_count + account)
    }
}

/// One flag per target that the class selects: whether it accepts the request.
type AcceptMask = Vec<bool>;

/// The distinct target lists of one class, by accept mask.
type ListsByMask = SortedMap<AcceptMask, Arc<Vec<TargetName>>>;

fn class_rows(
    targets: &[CompiledTarget],
    class: &CompiledClass,
    accounts: &[CompiledAccount],
) -> Vec<Arc<Vec<TargetName>>> {
    let selected: Vec<&CompiledTarget> = targets
        .iter()
        .filter(|target| class.targets.matches(&target.labels))
        .collect();
    let mut lists = ListsByMask::new();
    accounts
        .iter()
        .map(|account| {
            let mask = accept_mask(&selected, class, account);
            list_for_mask(mask, &selected, &mut lists)
        })
        .collect()
}

fn accept_mask(
    selected: &[&CompiledTarget],
    class: &CompiledClass,
    account: &CompiledAccount,
) -> AcceptMask {
    let request = RequestLabels::new(&class.rule, &account.account);
    selected
        .iter()
        .map(|target| request.matches(&target.accepts))
        .collect()
}

/// Returns the list for `mask`; names are cloned only when the list is first needed.
fn list_for_mask(
    mask: AcceptMask,
    selected: &[&CompiledTarget],
    lists: &mut ListsByMask,
) -> Arc<Vec<TargetName>> {
    if let Some(list) = lists.get(&mask) {
        return Arc::clone(list);
    }
    let accepting = selected.iter().zip(&mask).filter(|(_, accepts)| **accepts);
    let names = accepting.map(|(target, _)| target.target.name.clone());
    let list = Arc::new(names.collect());
    lists.insert(mask, Arc::clone(&list));
    list
}
