//! Warnings about unreachable or shadowed entries, which are valid but probably mistakes.

use crate::fleet::ClassRule;
use crate::fleet::FleetDocument;
use crate::fleet::LabelMap;
use crate::fleet::reserved_labels::RequestLabels;
use crate::fleet::reserved_labels::target_labels;
use crate::fleet::route_matcher::route_covers;
use crate::json::DocumentFault;
use crate::selector::LabelSelector;

/// Returns every warning.
pub(super) fn warnings(document: &FleetDocument) -> Vec<DocumentFault> {
    let mut warnings = Vec::new();
    warn_about_empty_lists(document, &mut warnings);
    warn_about_unmatched_selectors(document, &mut warnings);
    warn_about_unused_targets(document, &mut warnings);
    warn_about_shadowed_routes(document, &mut warnings);
    warn_about_long_deadlines(document, &mut warnings);
    warnings
}

fn warn_about_empty_lists(document: &FleetDocument, warnings: &mut Vec<DocumentFault>) {
    let lists = [
        ("targets", document.targets.is_empty()),
        ("classes", document.classes.is_empty()),
        ("accounts", document.accounts.is_empty()),
    ];
    for (path, is_empty) in lists {
        if is_empty {
            let message = "is empty: every request is refused";
            warnings.push(DocumentFault::new(path, message));
        }
    }
}

/// Warns about classes whose selector matches no target.
fn warn_about_unmatched_selectors(document: &FleetDocument, warnings: &mut Vec<DocumentFault>) {
    let labels: Vec<LabelMap> = document.targets.iter().map(target_labels).collect();
    for (index, class) in document.classes.iter().enumerate() {
        let selector = parsed(&class.targets);
        if labels.is_empty() || labels.iter().any(|labels| selector.matches(labels)) {
            continue;
        }
        let path = format!("classes[{index}].targets");
        let message = format!("`{}` matches no target", class.targets);
        warnings.push(with_key_suggestion(
            DocumentFault::new(path, message),
            &selector,
            &labels,
        ));
    }
}

/// Warns about targets that accept no request of any class and account.
fn warn_about_unused_targets(document: &FleetDocument, warnings: &mut Vec<DocumentFault>) {
    for (index, target) in document.targets.iter().enumerate() {
        let accepts = parsed(&target.accepts);
        let is_accepting = accepts.requirements().is_empty() || accepts_any(document, &accepts);
        if is_accepting {
            continue;
        }
        let path = format!("targets[{index}].accepts");
        let message = format!("`{}` matches no request", target.accepts);
        warnings.push(DocumentFault::new(path, message));
    }
}

fn accepts_any(document: &FleetDocument, accepts: &LabelSelector) -> bool {
    document.classes.iter().any(|class| {
        let mut accounts = document.accounts.iter();
        accounts.any(|account| RequestLabels::new(class, account).matches(accepts))
    })
}

fn warn_about_shadowed_routes(document: &FleetDocument, warnings: &mut Vec<DocumentFault>) {
    for (index, class) in document.classes.iter().enumerate() {
        for (route_index, route) in class.routes.iter().enumerate() {
            let path = format!("classes[{index}].routes[{route_index}]");
            for earlier in &document.classes[..index] {
                let cover = earlier.routes.iter().find(|wide| route_covers(wide, route));
                if let Some(cover) = cover {
                    warn_about_cover(&path, class, earlier, cover.path != route.path, warnings);
                }
            }
        }
    }
}

/// Warns about a route that a route of an earlier class covers.
///
/// Classes may share a route; callers then select one with `Request-Class`. It is
/// probably a mistake if the earlier route is wider, or if the classes differ in
/// `idempotent`, so that callers select whether a call may run twice.
fn warn_about_cover(
    path: &str,
    class: &ClassRule,
    earlier: &ClassRule,
    is_wider: bool,
    warnings: &mut Vec<DocumentFault>,
) {
    if is_wider {
        let message = format!(
            "is hidden by a wider route of class `{}`: only `Request-Class: {}` reaches it",
            earlier.name, class.name
        );
        warnings.push(DocumentFault::new(path, message));
    }
    if earlier.idempotent != class.idempotent {
        let message = format!(
            "is shared with class `{}`, which differs in `idempotent`: callers select by `Request-Class` whether a call may run twice",
            earlier.name
        );
        warnings.push(DocumentFault::new(path, message));
    }
}

/// Warns about deadlines beyond the claim window: a resend after the window is
/// rejected, so the caller can't get the answer.
fn warn_about_long_deadlines(document: &FleetDocument, warnings: &mut Vec<DocumentFault>) {
    let window = document.limits.claim_window_ms;
    for (index, class) in document.classes.iter().enumerate() {
        if class.deadline_ms > window {
            let path = format!("classes[{index}].deadline_ms");
            let message = format!(
                "is above `limits.claim_window_ms` ({window}): a late resend can't get its answer"
            );
            warnings.push(DocumentFault::new(path, message));
        }
    }
}

fn parsed(text: &str) -> LabelSelector {
    // Validation has already rejected selectors that don't parse.
    text.parse().unwrap_or_default()
}

/// Suggests the closest key or value for the first requirement that no target meets.
fn with_key_suggestion(
    warning: DocumentFault,
    selector: &LabelSelector,
    labels: &[LabelMap],
) -> DocumentFault {
    let unmatched = selector
        .requirements()
        .iter()
        .find(|requirement| !labels.iter().any(|labels| requirement.matches(labels)));
    let Some(requirement) = unmatched else {
        return warning;
    };
    let keys: Vec<&str> = labels
        .iter()
        .flat_map(|labels| labels.iter().map(|(key, _)| key.as_str()))
        .collect();
    if !keys.contains(&requirement.key.as_str()) {
        return warning.with_suggestion(&requirement.key, keys);
    }
    let values = labels
        .iter()
        .filter_map(|labels| labels.get(&requirement.key))
        .map(String::as_str);
    match &requirement.condition {
        crate::selector::LabelCondition::In(wanted) => match wanted.first() {
            Some(value) => warning.with_suggestion(value, values),
            None => warning,
        },
        _ => warning,
    }
}
