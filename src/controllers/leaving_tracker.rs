//! Which targets and hosts are leaving, by everybody who says so.

use crate::documents::HostList;
use crate::fleet::TargetState;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Who says that something is live or leaving.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StateVoice {
    /// The platform's list.
    List,
    /// The target itself: its load report or its answer to a request.
    Target,
}

/// The last thing that one voice said.
#[derive(Clone, Copy, Debug)]
struct StateClaim {
    state: TargetState,
    taken: UnixMillis,
}

/// What each voice last said of each name.
///
/// Leaving is sticky. The list lags: it goes on saying live for a while after a
/// target began to leave, and a list that was taken earlier may arrive later. If
/// the last word won, a draining target would get new work that its end cuts.
/// So each voice is heard apart and only forward in its own time, and one voice
/// that says leaving is enough; it has to take its word back itself, by a
/// newer one. The configuration's own state is held beside it by the caller.
#[derive(Debug, Default)]
pub struct LeavingTracker {
    claims: SortedMap<String, [Option<StateClaim>; 2]>,
    /// The newest list.
    list: Option<HostList>,
}

impl LeavingTracker {
    /// Takes the platform's list.
    pub fn take_list(&mut self, list: HostList) {
        for listed in &list.hosts {
            self.list_says(&listed.name, listed.state, list.taken_ms);
        }
        let known = self.list.as_ref();
        if known.is_none_or(|known| known.taken_ms <= list.taken_ms) {
            self.list = Some(list);
        }
    }

    /// Takes one line of the platform's list; returns whether this changed the state.
    pub fn list_says(&mut self, name: &str, state: TargetState, taken: UnixMillis) -> bool {
        self.note(name, StateVoice::List, StateClaim { state, taken })
    }

    /// Takes what a target says of itself; returns whether this changed the state.
    pub fn target_says(&mut self, name: &str, state: TargetState, taken: UnixMillis) -> bool {
        self.note(name, StateVoice::Target, StateClaim { state, taken })
    }

    /// Tells whether any voice calls the name leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.claims
            .get(name)
            .is_some_and(|claims| claims.iter().flatten().any(StateClaim::is_leaving))
    }

    /// Follows a new document: forgets all names but these, which stand in it, so
    /// that a target that operators take out and put in again starts afresh.
    ///
    /// The newest list is heard again. A target that the document just added may
    /// stand in it as leaving, from a time at which no document named it; while the
    /// platform is down no other list comes, and the target would get work until it
    /// ends.
    pub fn follow(&mut self, names: &[String]) {
        self.retain(names);
        if let Some(list) = self.list.take() {
            self.take_list(list);
        }
    }

    /// Forgets all names but these.
    pub fn retain(&mut self, names: &[String]) {
        self.claims.retain(|name, _| names.contains(name));
    }

    fn note(&mut self, name: &str, voice: StateVoice, claim: StateClaim) -> bool {
        let before = self.is_leaving(name);
        if !self.claims.contains_key(name) {
            self.claims.insert(name.to_owned(), [None, None]);
        }
        if let Some(claims) = self.claims.get_mut(name) {
            let known = &mut claims[voice as usize];
            if known.is_none_or(|known| claim.replaces(known)) {
                *known = Some(claim);
            }
        }
        self.is_leaving(name) != before
    }
}

impl StateClaim {
    fn is_leaving(&self) -> bool {
        self.state == TargetState::Leaving
    }

    /// Only a newer word replaces; of two words of one moment, leaving stays.
    fn replaces(&self, known: Self) -> bool {
        self.taken > known.taken || (self.taken == known.taken && self.is_leaving())
    }
}
