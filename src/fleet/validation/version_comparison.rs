//! Differences between a fleet document and the version in force, with their effect on callers.

use std::fmt;
use std::fmt::Debug;

use serde::Serialize;

use crate::fleet::ClassRule;
use crate::fleet::ClientAccount;
use crate::fleet::FleetDocument;
use crate::fleet::FleetTarget;
use crate::fleet::TargetState;

/// A difference of one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct DocumentChange {
    /// The entry, such as `accounts.crews.burst`.
    pub(crate) path: String,
    /// What changed, in words.
    pub(crate) message: String,
    /// What callers notice; `None` if nothing, or if it can't be determined.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) effect: Option<String>,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)?;
        match &self.effect {
            Some(effect) => write!(formatter, " ({effect})"),
            None => Ok(()),
        }
    }
}

/// Returns the differences between the version in force and a new one, in the order of the document.
pub(crate) fn compare_documents(old: &FleetDocument, new: &FleetDocument) -> Vec<DocumentChange> {
    let mut changes = ChangeList::default();
    compare_versions(old, new, &mut changes);
    changes.compare(
        "roster.number",
        &old.roster.number,
        &new.roster.number,
        |_, _| None,
    );
    compare_entries(
        ("roster.seats", &old.roster.seats, &new.roster.seats),
        |seat| &seat.host,
        |path, old, new, changes| changes.compare(path, old, new, |_, _| None),
        |_| None,
        &mut changes,
    );
    compare_entries(
        ("targets", &old.targets, &new.targets),
        |target| &target.name,
        compare_targets,
        |target| match target.state {
            TargetState::Live => Some(format!("{} slots fewer", target.slots)),
            TargetState::Leaving => None,
        },
        &mut changes,
    );
    compare_entries(
        ("classes", &old.classes, &new.classes),
        |class| &class.name,
        compare_classes,
        |_| Some("its routes are removed: unless another class has them, requests get 404".into()),
        &mut changes,
    );
    compare_entries(
        ("accounts", &old.accounts, &new.accounts),
        |account| &account.name,
        compare_accounts,
        |_| Some("its token ends: requests with it are refused".into()),
        &mut changes,
    );
    let (before, now) = (&old.limits, &new.limits);
    let path = |field: &str| format!("limits.{field}");
    changes.compare(
        path("claim_window_ms"),
        &before.claim_window_ms,
        &now.claim_window_ms,
        |before, now| (now < before).then(|| "late resends are rejected earlier".into()),
    );
    changes.compare(
        path("clock_skew_ms"),
        &before.clock_skew_ms,
        &now.clock_skew_ms,
        |_, _| None,
    );
    changes.compare(
        path("max_waiting"),
        &before.max_waiting,
        &now.max_waiting,
        |before, now| (now < before).then(|| "more requests are refused under load".into()),
    );
    changes.compare(
        path("kept_answer_bytes"),
        &before.kept_answer_bytes,
        &now.kept_answer_bytes,
        |before, now| (now < before).then(|| "fewer answers are kept for resends".into()),
    );
    changes.0
}

/// An optional limit, as it is written in a change.
#[derive(PartialEq)]
struct LimitText(Option<u32>);

impl Debug for LimitText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(limit) => write!(formatter, "{limit}"),
            None => formatter.write_str("absent"),
        }
    }
}

/// Differences found so far.
#[derive(Default)]
struct ChangeList(Vec<DocumentChange>);

impl ChangeList {
    fn add(&mut self, path: impl Into<String>, message: String, effect: Option<String>) {
        self.0.push(DocumentChange {
            path: path.into(),
            message,
            effect,
        });
    }

    /// Adds a changed value.
    fn compare<T: Debug + PartialEq>(
        &mut self,
        path: impl Into<String>,
        old: &T,
        new: &T,
        effect: impl FnOnce(&T, &T) -> Option<String>,
    ) {
        if old != new {
            let message = format!("changed from {old:?} to {new:?}");
            self.add(path, message, effect(old, new));
        }
    }
}

fn compare_versions(old: &FleetDocument, new: &FleetDocument, changes: &mut ChangeList) {
    changes.compare("version", &old.version, &new.version, |old, new| {
        (new < old).then(|| "hosts never put a lower version in force".into())
    });
    if old.version == new.version && old != new {
        let message = format!("is {} in both documents, which differ", new.version);
        let effect = "hosts keep the document in force; raise the version".into();
        changes.add("version", message, Some(effect));
    }
}

/// Compares two lists of named entries: what is added or changed in the order of the new list, then
/// what is removed.
fn compare_entries<T>(
    (list, old, new): (&str, &[T], &[T]),
    name: impl Fn(&T) -> &String,
    compare: impl Fn(&str, &T, &T, &mut ChangeList),
    removal_effect: impl Fn(&T) -> Option<String>,
    changes: &mut ChangeList,
) {
    let sorted = |entries: &[T]| {
        let names = entries.iter().enumerate();
        let mut names: Vec<(String, usize)> = names
            .map(|(index, entry)| (name(entry).clone(), index))
            .collect();
        names.sort_unstable();
        names
    };
    let find = |names: &[(String, usize)], wanted: &String| {
        let found = names.binary_search_by(|(held, _)| held.cmp(wanted)).ok()?;
        names.get(found).map(|(_, index)| *index)
    };
    let (old_names, new_names) = (sorted(old), sorted(new));
    for entry in new {
        let path = format!("{list}.{}", name(entry));
        match find(&old_names, name(entry)).and_then(|index| old.get(index)) {
            Some(before) => compare(&path, before, entry, changes),
            None => changes.add(path, "added".into(), None),
        }
    }
    for entry in old {
        if find(&new_names, name(entry)).is_none() {
            let path = format!("{list}.{}", name(entry));
            changes.add(path, "removed".into(), removal_effect(entry));
        }
    }
}

fn compare_targets(path: &str, old: &FleetTarget, new: &FleetTarget, changes: &mut ChangeList) {
    let field = |name: &str| format!("{path}.{name}");
    changes.compare(field("kind"), &old.kind, &new.kind, |_, _| None);
    changes.compare(field("address"), &old.address, &new.address, |_, _| None);
    changes.compare(
        field("availability_zone"),
        &old.availability_zone,
        &new.availability_zone,
        |_, _| None,
    );
    changes.compare(field("labels"), &old.labels, &new.labels, |_, _| None);
    changes.compare(field("slots"), &old.slots, &new.slots, |old, new| {
        (new < old).then(|| format!("{} slots fewer", old - new))
    });
    changes.compare(field("state"), &old.state, &new.state, |_, new| {
        (*new == TargetState::Leaving).then(|| "gets no new requests".into())
    });
    changes.compare(field("accepts"), &old.accepts, &new.accepts, |_, _| None);
}

fn compare_classes(path: &str, old: &ClassRule, new: &ClassRule, changes: &mut ChangeList) {
    let field = |name: &str| format!("{path}.{name}");
    changes.compare(field("labels"), &old.labels, &new.labels, |_, _| None);
    for route in &new.routes {
        if !old.routes.contains(route) {
            let message = format!("added `{} {}`", route.method, route.path);
            changes.add(field("routes"), message, None);
        }
    }
    for route in &old.routes {
        if !new.routes.contains(route) {
            let message = format!("removed `{} {}`", route.method, route.path);
            let effect = "unless another class has it, requests get 404".into();
            changes.add(field("routes"), message, Some(effect));
        }
    }
    changes.compare(field("targets"), &old.targets, &new.targets, |_, _| None);
    changes.compare(field("tier"), &old.tier, &new.tier, |old, new| {
        (new > old).then(|| "served after more urgent classes than before".into())
    });
    changes.compare(
        field("idempotent"),
        &old.idempotent,
        &new.idempotent,
        |_, new| match new {
            true => Some("a call may run more than once".into()),
            false => Some("a call whose target is lost is no longer retried".into()),
        },
    );
    changes.compare(
        field("deadline_ms"),
        &old.deadline_ms,
        &new.deadline_ms,
        |old, new| (new < old).then(|| "answers must arrive earlier".into()),
    );
    changes.compare(
        field("expected_prompt_tokens"),
        &old.expected_prompt_tokens,
        &new.expected_prompt_tokens,
        |_, _| None,
    );
    changes.compare(
        field("expected_output_tokens"),
        &old.expected_output_tokens,
        &new.expected_output_tokens,
        |_, _| None,
    );
    changes.compare(
        field("max_body_bytes"),
        &old.max_body_bytes,
        &new.max_body_bytes,
        |old, new| (new < old).then(|| "larger bodies are refused".into()),
    );
}

fn compare_accounts(
    path: &str,
    old: &ClientAccount,
    new: &ClientAccount,
    changes: &mut ChangeList,
) {
    let field = |name: &str| format!("{path}.{name}");
    if !old.token_sha256.eq_ignore_ascii_case(&new.token_sha256) {
        let effect = "the token before ends: requests with it are refused".into();
        changes.add(field("token_sha256"), "changed".into(), Some(effect));
    }
    changes.compare(field("labels"), &old.labels, &new.labels, |_, _| None);
    changes.compare(field("weight"), &old.weight, &new.weight, |old, new| {
        (new < old).then(|| "a smaller share under load".into())
    });
    let limit = |value: &Option<u32>| value.unwrap_or(u32::MAX);
    let is_slower = limit(&new.requests_per_second) < limit(&old.requests_per_second);
    changes.compare(
        field("requests_per_second"),
        &LimitText(old.requests_per_second),
        &LimitText(new.requests_per_second),
        |_, _| is_slower.then(|| "more requests get 429".into()),
    );
    // Without a burst, it is as large as the rate.
    let burst = |account: &ClientAccount| limit(&account.burst.or(account.requests_per_second));
    let is_lower = burst(new) < burst(old);
    changes.compare(
        field("burst"),
        &LimitText(old.burst),
        &LimitText(new.burst),
        |_, _| is_lower.then(|| "more requests of a burst get 429".into()),
    );
}
