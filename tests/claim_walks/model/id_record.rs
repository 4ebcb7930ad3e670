//! What the callers and targets observed of one id, and whether it violates a
//! guarantee.

use cardamomgw::ids::AttemptNumber;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::RosterNumber;
use cardamomgw::sorted::SortedMap;

/// A violated guarantee.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum ModelFault {
    RanTwice(RequestId),
    RanAfterNotRun(RequestId, AttemptNumber),
    NotRunAfterRan(RequestId, AttemptNumber),
    /// A majority still answers under the first roster while the second is active.
    TwoRosters(RosterNumber, RosterNumber),
}

/// What the callers and targets observed of one id.
#[derive(Default)]
pub(super) struct IdRecord {
    pub(super) dispatched: Option<AttemptNumber>,
    pub(super) not_run_through: AttemptNumber,
}

pub(super) fn record_dispatch(
    records: &mut SortedMap<RequestId, IdRecord>,
    id: RequestId,
    attempt: AttemptNumber,
) -> Result<(), ModelFault> {
    let record = records.get_or_insert_with(id, IdRecord::default);
    if record.dispatched.is_some() {
        return Err(ModelFault::RanTwice(id));
    }
    if attempt <= record.not_run_through {
        return Err(ModelFault::RanAfterNotRun(id, attempt));
    }
    record.dispatched = Some(attempt);
    Ok(())
}

pub(super) fn record_not_run(
    records: &mut SortedMap<RequestId, IdRecord>,
    id: RequestId,
    attempt: AttemptNumber,
) -> Result<(), ModelFault> {
    let record = records.get_or_insert_with(id, IdRecord::default);
    if record.dispatched.is_some_and(|ran| ran <= attempt) {
        return Err(ModelFault::NotRunAfterRan(id, attempt));
    }
    record.not_run_through = record.not_run_through.max(attempt);
    Ok(())
}
