//! Tracks which targets and hosts are leaving according to all sources.

use crate::documents::HostList;
use crate::fleet::TargetState;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// A source that reports something as live or leaving.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StateSource {
    /// The platform's list.
    List,
    /// The target itself, through its load report or its answer to a request.
    Target,
}

/// The last report of one source.
#[derive(Clone, Copy, Debug)]
struct StateReport {
    state: TargetState,
    taken: UnixMillis,
}

/// Tracks the last report of each source for each name.
///
/// Leaving takes precedence. The platform's list lags: it shows a target as live for a
/// while after it started to leave, and an earlier list may arrive later. If the last
/// report took effect, a draining target would get new work that is cut off when it
/// ends. Therefore the sources are kept apart, reports of one source take effect only
/// in the order of their own times, and one source that reports leaving is enough until
/// it reports otherwise itself. The state in the configuration is not kept here.
#[derive(Debug, Default)]
pub struct LeavingTracker {
    reports: SortedMap<String, [Option<StateReport>; 2]>,
    /// The newest list.
    list: Option<HostList>,
}

impl LeavingTracker {
    /// Applies the platform's list.
    pub fn apply_list(&mut self, list: HostList) {
        for listed in &list.hosts {
            self.record_list_state(&listed.name, listed.state, list.taken_ms);
        }
        let known = self.list.as_ref();
        if known.is_none_or(|known| known.taken_ms <= list.taken_ms) {
            self.list = Some(list);
        }
    }

    /// Records one entry of the platform's list; returns whether this changed the
    /// state.
    pub fn record_list_state(&mut self, name: &str, state: TargetState, taken: UnixMillis) -> bool {
        self.record(name, StateSource::List, StateReport { state, taken })
    }

    /// Records what a target reports about itself; returns whether this changed the
    /// state.
    pub fn record_target_state(
        &mut self,
        name: &str,
        state: TargetState,
        taken: UnixMillis,
    ) -> bool {
        self.record(name, StateSource::Target, StateReport { state, taken })
    }

    /// Returns whether any source reports the name as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.reports
            .get(name)
            .is_some_and(|reports| reports.iter().flatten().any(StateReport::is_leaving))
    }

    /// Applies the names of a new document and removes all others, so that a target
    /// that operators remove and add again starts afresh.
    ///
    /// The newest list is applied again. It may show a target that the document just
    /// added as leaving, from a time when no document named it. While the platform is
    /// down no other list arrives, and the target would get work until it ends.
    pub fn set_names(&mut self, names: &[String]) {
        self.retain(names);
        if let Some(list) = self.list.take() {
            self.apply_list(list);
        }
    }

    /// Removes all names but these.
    pub fn retain(&mut self, names: &[String]) {
        self.reports.retain(|name, _| names.contains(name));
    }

    fn record(&mut self, name: &str, source: StateSource, report: StateReport) -> bool {
        let before = self.is_leaving(name);
        if !self.reports.contains_key(name) {
            self.reports.insert(name.to_owned(), [None, None]);
        }
        if let Some(reports) = self.reports.get_mut(name) {
            let known = &mut reports[source as usize];
            if known.is_none_or(|known| report.replaces(known)) {
                *known = Some(report);
            }
        }
        self.is_leaving(name) != before
    }
}

impl StateReport {
    fn is_leaving(&self) -> bool {
        self.state == TargetState::Leaving
    }

    /// Returns whether this report replaces the known one: it must be newer, or be a
    /// report of leaving with the same time.
    fn replaces(&self, known: Self) -> bool {
        self.taken > known.taken || (self.taken == known.taken && self.is_leaving())
    }
}
