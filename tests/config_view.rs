//! The compiled fleet view: accounts, classes, allowed targets and explanations.

use cardamomgw::fleet::ExclusionReason;
use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::FleetView;
use cardamomgw::fleet::document_digest;
use cardamomgw::fleet::parse_document;

const SAMPLE: &str = include_str!("../resources/fleet-sample.json");

fn sample_document() -> FleetDocument {
    parse_document(SAMPLE).expect("the sample is well-formed")
}

fn sample_view() -> FleetView {
    FleetView::compile(sample_document()).expect("the sample is sound")
}

fn allowed(view: &FleetView, class: &str, account: &str) -> Vec<String> {
    let class = view.class(class).expect("the class is there");
    let account = view.account(account).expect("the account is there");
    view.allowed_targets(class, account).to_vec()
}

#[test]
fn the_sample_compiles_without_a_warning() {
    let view = sample_view();

    assert_eq!(view.warnings(), []);
    assert_eq!(view.targets().len(), 15);
}

#[test]
fn a_token_names_its_account_and_no_other() {
    let view = sample_view();

    let found = view.account_by_token("crews-token").unwrap();

    assert_eq!(found.account.name, "crews");
    assert!(view.account_by_token("crews-tokem").is_none());
    assert!(view.account_by_token("").is_none());
}

#[test]
fn class_is_the_named_one_or_the_first_with_the_route() {
    let view = sample_view();
    let name = |method, path, class| {
        view.class_for_request(method, path, class)
            .map(|class| class.rule.name.as_str())
    };

    assert_eq!(name("POST", "/v1/generate", None), Some("cargo-answer"));
    assert_eq!(
        name("POST", "/v1/generate", Some("weather-check")),
        Some("weather-check")
    );
    assert_eq!(
        name("POST", "/v1/generate", Some("slot-confirmation")),
        None
    );
    assert_eq!(name("GET", "/book/slots?day=3", None), Some("booking-view"));
    assert_eq!(name("get", "/book/slots", None), None);
    assert_eq!(name("GET", "/booking", None), None);
}

/// A caller sends `GET /book/%2e%2e/book/fuel`, and the route `/book/*` of an
/// idempotent class matches it. The target resolves the dots, so a different call runs
/// than the one whose rules were applied. Paths that the two ends may interpret
/// differently therefore have no class.
#[test]
fn a_path_with_dot_segments_has_no_class() {
    let view = sample_view();

    for path in [
        "/book/../v1/orders",
        "/book/./fuel",
        "/book/%2E%2e/fuel",
        "/book/..%2ffuel",
        "/book/..\\fuel",
    ] {
        assert!(
            view.class_for_request("GET", path, None).is_none(),
            "{path}"
        );
    }
}

#[test]
fn allowed_targets_follow_both_selectors() {
    let view = sample_view();

    let briefing = allowed(&view, "manifest-briefing", "crews");
    let weather = allowed(&view, "weather-check", "dispatch-north");

    let engines = |numbers: std::ops::RangeInclusive<u32>| -> Vec<String> {
        numbers
            .map(|number| format!("engine-{number:02}"))
            .collect()
    };
    assert_eq!(briefing, engines(4..=10));
    assert_eq!(weather, engines(1..=12));
    assert_eq!(
        allowed(&view, "slot-confirmation", "crews"),
        ["booking-1", "booking-2", "booking-3"]
    );
}

#[test]
fn lists_that_accounts_share_are_stored_once() {
    let view = sample_view();
    let class = view.class("slot-confirmation").unwrap();

    let north = view.allowed_targets(class, view.account("dispatch-north").unwrap());
    let crews = view.allowed_targets(class, view.account("crews").unwrap());

    assert!(std::sync::Arc::ptr_eq(&north, &crews));
}

/// The configuration changes while a request is between two filters, one of which still
/// holds the class of the older view. In the new view its index belongs to another
/// class, whose targets the request must not get.
#[test]
fn a_class_of_another_view_gets_no_targets() {
    let old = sample_view();
    let mut document = sample_document();
    document.classes.rotate_left(1);
    let new = FleetView::compile(document).unwrap();

    let class = old.class("slot-confirmation").unwrap();
    let account = new.account("crews").unwrap();

    assert!(new.allowed_targets(class, account).is_empty());
}

#[test]
fn explain_names_the_first_reason_of_each_excluded_target() {
    let mut document = sample_document();
    document.targets[4].state = cardamomgw::fleet::TargetState::Leaving;
    let view = FleetView::compile(document).unwrap();

    let explanations = view.explain(
        view.class("manifest-briefing").unwrap(),
        view.account("crews").unwrap(),
    );

    let reason = |name: &str| {
        explanations
            .iter()
            .find(|explanation| explanation.target == name)
            .unwrap()
            .excluded
            .clone()
    };
    assert_eq!(explanations.len(), 15);
    assert_eq!(reason("engine-04"), None);
    assert_eq!(reason("engine-05"), Some(ExclusionReason::TargetLeaving));
    assert_eq!(
        reason("engine-01"),
        Some(ExclusionReason::ClassSelector(String::from(
            "generation!=g1"
        )))
    );
    assert_eq!(
        reason("engine-11"),
        Some(ExclusionReason::TargetSelector(String::from(
            "tier in (0, 1)"
        )))
    );
    assert_eq!(
        reason("booking-1"),
        Some(ExclusionReason::ClassSelector(String::from("model=polar")))
    );
}

#[test]
fn digest_depends_on_the_content_and_not_on_the_format() {
    let document = sample_document();
    let compact = serde_json::to_string(&document).unwrap();
    let mut edited = document.clone();
    edited.targets[0].slots += 1;

    let digest = document_digest(&document);

    assert_eq!(digest, document_digest(&parse_document(&compact).unwrap()));
    assert_ne!(digest, document_digest(&edited));
    assert_eq!(digest, *sample_view().digest());
}
