//! The allowed targets of every class and account, worked out once a document.

use std::sync::Arc;

use crate::ids::TargetName;
use crate::sorted::SortedMap;

use super::compiled_entries::CompiledAccount;
use super::compiled_entries::CompiledClass;
use super::compiled_entries::CompiledTarget;
use super::reserved_labels::RequestLabels;

/// The allowed targets of every class and account.
///
/// Equal lists of a class are shared: with 2,100 accounts that the selectors
/// treat alike there is one list a class, and a pointer an account.
#[derive(Clone, Debug)]
pub(super) struct AllowedTable {
    rows: Vec<Arc<Vec<TargetName>>>,
    accounts: usize,
}

impl AllowedTable {
    /// Works the table out; `targets` stand sorted by name.
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
            accounts: accounts.len(),
        }
    }

    /// Returns the row of a class and an account by their places.
    pub(super) fn row(&self, class: usize, account: usize) -> Option<&Arc<Vec<TargetName>>> {
        if account >= self.accounts {
            return None;
        }
        self.rows.get(class * self.accounts + account)
    }
}

/// Which of a class's reachable targets accept a request.
type AcceptMask = Vec<bool>;

/// The lists that a class's accounts share, by the targets that are in them.
type SharedLists = SortedMap<AcceptMask, Arc<Vec<TargetName>>>;

fn class_rows(
    targets: &[CompiledTarget],
    class: &CompiledClass,
    accounts: &[CompiledAccount],
) -> Vec<Arc<Vec<TargetName>>> {
    let reachable: Vec<&CompiledTarget> = targets
        .iter()
        .filter(|target| class.targets.matches(&target.labels))
        .collect();
    let mut shared = SharedLists::new();
    accounts
        .iter()
        .map(|account| {
            let mask = accept_mask(&reachable, class, account);
            shared_list(mask, &reachable, &mut shared)
        })
        .collect()
}

fn accept_mask(
    reachable: &[&CompiledTarget],
    class: &CompiledClass,
    account: &CompiledAccount,
) -> AcceptMask {
    let request = RequestLabels::new(&class.rule, &account.account);
    reachable
        .iter()
        .map(|target| request.match_all(&target.accepts))
        .collect()
}

/// Names are copied only for the first account of each list.
fn shared_list(
    mask: AcceptMask,
    reachable: &[&CompiledTarget],
    shared: &mut SharedLists,
) -> Arc<Vec<TargetName>> {
    if let Some(list) = shared.get(&mask) {
        return Arc::clone(list);
    }
    let accepting = reachable.iter().zip(&mask).filter(|(_, accepts)| **accepts);
    let names = accepting.map(|(target, _)| target.target.name.clone());
    let list = Arc::new(names.collect());
    shared.insert(mask, Arc::clone(&list));
    list
}
