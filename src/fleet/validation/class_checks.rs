//! Validation of the request classes and their routes.

use crate::fleet::ClassRule;
use crate::fleet::FleetDocument;
use crate::fleet::RouteRule;
use crate::fleet::reserved_labels::RESERVED_REQUEST_KEYS;
use crate::fleet::route_matcher::has_ambiguous_segment;
use crate::json::DocumentFault;

use super::name_checks::check_labels;
use super::name_checks::check_name;
use super::name_checks::check_selector;
use super::name_checks::check_unique;

/// Checks every class.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    for (index, class) in document.classes.iter().enumerate() {
        check_class(&format!("classes[{index}]"), class, faults);
    }
    let names = document.classes.iter().map(|class| class.name.as_str());
    check_unique(names, |index| format!("classes[{index}].name"), faults);
}

fn check_class(path: &str, class: &ClassRule, faults: &mut Vec<DocumentFault>) {
    check_name(&format!("{path}.name"), &class.name, faults);
    check_labels(
        &format!("{path}.labels"),
        &class.labels,
        RESERVED_REQUEST_KEYS,
        faults,
    );
    check_selector(&format!("{path}.targets"), &class.targets, faults);
    if class.deadline_ms == 0 {
        faults.push(DocumentFault::new(
            format!("{path}.deadline_ms"),
            "must be 1 or more: every request would be late",
        ));
    }
    if class.routes.is_empty() {
        faults.push(DocumentFault::new(
            format!("{path}.routes"),
            "must not be empty: no request would match the class",
        ));
    }
    for (index, route) in class.routes.iter().enumerate() {
        check_route(&format!("{path}.routes[{index}]"), route, faults);
    }
    let routes: Vec<String> = class
        .routes
        .iter()
        .map(|route| format!("{} {}", route.method, route.path))
        .collect();
    check_unique(
        routes.iter().map(String::as_str),
        |index| format!("{path}.routes[{index}]"),
        faults,
    );
}

fn check_route(path: &str, route: &RouteRule, faults: &mut Vec<DocumentFault>) {
    let is_method = !route.method.is_empty()
        && route
            .method
            .chars()
            .all(|character| character.is_ascii_uppercase());
    if !is_method {
        let message = format!("`{}` is not an HTTP method in upper case", route.method);
        faults.push(DocumentFault::new(format!("{path}.method"), message));
    }
    if let Some(message) = path_error(&route.path) {
        faults.push(DocumentFault::new(format!("{path}.path"), message));
    }
}

fn path_error(path: &str) -> Option<&'static str> {
    if !path.starts_with('/') {
        return Some("must begin with `/`");
    }
    let prefix = path.strip_suffix("/*").unwrap_or(path);
    if prefix.contains('*') {
        return Some("may contain `*` only as its last segment, as in `/v1/*`");
    }
    if path.contains(['?', '#', ' ']) {
        return Some("must not contain a query, fragment or space: it would match nothing");
    }
    if has_ambiguous_segment(path) {
        return Some("must not contain a `.` or `..` segment: it would match nothing");
    }
    None
}
