//! Matching of request methods and paths against routes.

use super::RouteRule;

/// The suffix of a route's path that makes the path a prefix.
const WILDCARD: &str = "*";

/// Returns whether a route matches the method and the path (without its query).
pub(crate) fn route_matches(route: &RouteRule, method: &str, path: &str) -> bool {
    route.method == method && path_matches(&route.path, path)
}

/// Returns whether the route `wide` matches every path that the route `narrow` matches.
pub(crate) fn route_covers(wide: &RouteRule, narrow: &RouteRule) -> bool {
    wide.method == narrow.method
        && match wide.path.strip_suffix(WILDCARD) {
            Some(prefix) => narrow.path.starts_with(prefix),
            None => wide.path == narrow.path,
        }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix(WILDCARD) {
        Some(prefix) => path.starts_with(prefix),
        None => pattern == path,
    }
}

/// Returns the path without its query.
pub(crate) fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// Returns whether a target might resolve the path differently than route matching does.
///
/// `/v1/generate/../orders` has the prefix of a route of an idempotent class, but
/// a target that resolves dot segments runs `/v1/orders`, so the call would run
/// under the wrong class's rules. Such a path matches no class.
pub(crate) fn has_ambiguous_segment(path: &str) -> bool {
    path.split('/').skip(1).any(|segment| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".." || decoded.contains("%2f") || decoded.contains('\\')
    })
}
