//! Faults of documents and settings: all are reported at once, each with its path.

use cardamomgw::controllers::ConfigRefusal;
use cardamomgw::fleet::DocumentFault;
use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::FleetView;
use cardamomgw::fleet::parse_document;
use cardamomgw::settings::DEFAULT_SETTINGS;
use cardamomgw::settings::parse_settings;
use cardamomgw::settings::settings_warnings;
use serde_json::Value;
use serde_json::json;

const SAMPLE: &str = include_str!("../resources/fleet-sample.json");

fn sample_value() -> Value {
    serde_json::from_str(SAMPLE).expect("the sample is JSON")
}

/// Returns the sample with other values at some JSON pointers.
fn edited(edits: &[(&str, Value)]) -> String {
    let mut value = sample_value();
    for (pointer, edit) in edits {
        let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a parent");
        let parent = value.pointer_mut(parent).expect("the parent is there");
        match parent {
            Value::Array(elements) => {
                elements[field.parse::<usize>().expect("an index")] = edit.clone()
            }
            _ => parent[field] = edit.clone(),
        }
    }
    value.to_string()
}

fn parse_faults(text: &str) -> Vec<DocumentFault> {
    parse_document(text).expect_err("the document violates the schema")
}

fn compile_faults(edits: &[(&str, Value)]) -> Vec<String> {
    let document = parse_document(&edited(edits)).expect("the document is well-formed");
    let faults = FleetView::compile(document).expect_err("the document is invalid");
    faults.into_iter().map(|fault| fault.path).collect()
}

fn compile_warnings(edits: &[(&str, Value)]) -> Vec<DocumentFault> {
    let document = parse_document(&edited(edits)).expect("the document is well-formed");
    let view = FleetView::compile(document).expect("the document is valid");
    view.warnings().to_vec()
}

fn paths(faults: &[DocumentFault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.path.as_str()).collect()
}

#[test]
fn every_schema_fault_is_reported_with_its_path_and_a_suggestion() {
    let text = edited(&[
        ("/targets/1/slotz", json!(3)),
        ("/targets/2/slots", json!("eight")),
        ("/targets/3/kind", json!("engin")),
        ("/targets/5/address", json!("nowhere")),
        ("/limits/max_wating", json!(1)),
        ("/acounts", json!([])),
    ]);

    let faults = parse_faults(&text);

    let mut found = paths(&faults);
    found.sort_unstable();
    assert_eq!(
        found,
        [
            "acounts",
            "limits.max_wating",
            "targets[1].slotz",
            "targets[2].slots",
            "targets[3].kind",
            "targets[5].address",
        ]
    );
    let suggestion = |path: &str| {
        let fault = faults.iter().find(|fault| fault.path == path).unwrap();
        fault.suggestion.as_deref()
    };
    assert_eq!(suggestion("targets[1].slotz"), Some("slots"));
    assert_eq!(suggestion("targets[3].kind"), Some("engine"));
    assert_eq!(suggestion("limits.max_wating"), Some("max_waiting"));
    assert_eq!(suggestion("acounts"), Some("accounts"));
}

#[test]
fn a_missing_field_is_reported_for_each_element() {
    let mut value = sample_value();
    for index in [0, 2] {
        value["classes"][index]
            .as_object_mut()
            .unwrap()
            .remove("tier");
    }
    value.as_object_mut().unwrap().remove("version");

    let faults = parse_faults(&value.to_string());

    let reported: Vec<String> = faults.iter().map(DocumentFault::to_string).collect();
    assert!(
        reported.contains(&String::from("classes[0]: missing field `tier`")),
        "{reported:?}"
    );
    assert!(
        reported.contains(&String::from("classes[2]: missing field `tier`")),
        "{reported:?}"
    );
    assert!(
        reported.contains(&String::from(".: missing field `version`")),
        "{reported:?}"
    );
    assert_eq!(reported.len(), 3, "{reported:?}");
}

#[test]
fn a_syntax_fault_has_its_line_and_a_duplicate_field_is_refused() {
    let broken = parse_faults("{\n  \"version\": 1,\n  \"roster\": }");
    assert_eq!(broken.len(), 1);
    assert!(broken[0].message.contains("line 3"), "{}", broken[0]);

    let doubled = SAMPLE.replacen("\"version\": 1,", "\"version\": 1, \"version\": 2,", 1);
    assert!(
        parse_faults(&doubled)[0]
            .message
            .contains("duplicate field")
    );

    let behind = format!("{SAMPLE} {{}}");
    assert_eq!(parse_faults(&behind).len(), 1);
}

#[test]
fn every_semantic_fault_is_reported_at_once() {
    let sample = sample_value();
    let hash = sample["accounts"][0]["token_sha256"].clone();
    let empty_hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

    let mut paths = compile_faults(&[
        ("/version", json!(0)),
        ("/limits/clock_skew_ms", json!(600_000)),
        ("/limits/max_waiting", json!(0)),
        ("/roster/seats/1/host", json!("entry-1")),
        ("/roster/seats/2/address", json!("127.0.0.1:0")),
        ("/former_lost", json!(true)),
        ("/targets/0/slots", json!(0)),
        ("/targets/1/name", json!("entry-3")),
        ("/targets/2/address", json!("127.0.0.1:7300")),
        ("/targets/3/labels/kind", json!("fast")),
        ("/targets/4/accepts", json!("tier in (0")),
        ("/targets/5/labels/model", json!("po lar")),
        ("/classes/0/deadline_ms", json!(0)),
        ("/classes/1/routes", json!([])),
        ("/classes/2/targets", json!("model==")),
        ("/classes/3/routes/0/method", json!("post")),
        ("/classes/4/routes/0/path", json!("v1/*/x")),
        ("/accounts/1/token_sha256", hash),
        ("/accounts/2/token_sha256", json!("abc")),
        ("/accounts/3/weight", json!(0)),
        ("/accounts/3/burst", json!(0)),
        ("/accounts/4/token_sha256", json!(empty_hash)),
        ("/accounts/4/name", json!("")),
    ]);

    paths.sort_unstable();
    assert_eq!(
        paths,
        [
            "accounts[1].token_sha256",
            "accounts[2].token_sha256",
            "accounts[3].burst",
            "accounts[3].weight",
            "accounts[4].name",
            "accounts[4].token_sha256",
            "classes[0].deadline_ms",
            "classes[1].routes",
            "classes[2].targets",
            "classes[3].routes[0].method",
            "classes[4].routes[0].path",
            "former_lost",
            "limits.clock_skew_ms",
            "limits.max_waiting",
            "roster.seats[1].host",
            "roster.seats[2].address",
            "targets[0].slots",
            "targets[1].name",
            "targets[2].address",
            "targets[3].labels.kind",
            "targets[4].accepts",
            "targets[5].labels.model",
            "version",
        ]
    );
}

/// Guards against slots of targets whose sums overflow, and of which a host would lend each one by
/// itself.
#[test]
fn the_slots_of_a_target_are_bounded() {
    let faults_of = |slots: u64| compile_faults(&[("/targets/0/slots", json!(slots))]);

    assert_eq!(faults_of(65_537), ["targets[0].slots"]);
    assert_eq!(faults_of(u64::from(u32::MAX)), ["targets[0].slots"]);
    let largest = parse_document(&edited(&[("/targets/0/slots", json!(65_536))]));
    assert!(FleetView::compile(largest.expect("the document is well-formed")).is_ok());
}

#[test]
fn a_roster_has_1_to_8_seats_and_a_number_above_its_former() {
    let sample = sample_value();
    let seat = |index: u16| {
        let address = format!("127.0.0.1:{}", 9000 + index);
        json!({"host": format!("seat-{index}"), "address": address, "availability_zone": "zone-a"})
    };
    let seats = |count| -> Value { (0..count).map(seat).collect() };
    let roster = sample["roster"].clone();

    assert_eq!(
        compile_faults(&[("/roster/seats", json!([]))]),
        ["roster.seats"]
    );
    assert_eq!(
        compile_faults(&[("/roster/seats", seats(9))]),
        ["roster.seats"]
    );
    assert_eq!(compile_faults(&[("/former", roster)]), ["former.number"]);
    assert_eq!(compile_warnings(&[("/roster/seats", seats(8))]), []);
}

/// An operator labels a class and some accounts with `region`, and a target accepts
/// `region=north`. It is ambiguous which of the two is meant, and one reading would
/// send an account's work out of its region.
#[test]
fn a_selector_over_a_label_of_both_classes_and_accounts_is_refused() {
    let paths = compile_faults(&[
        ("/classes/0/labels/region", json!("north")),
        ("/accounts/0/labels/region", json!("south")),
        ("/targets/0/accepts", json!("region=north")),
    ]);

    assert_eq!(paths, ["targets[0].accepts"]);
}

#[test]
fn a_likely_mistake_is_a_warning() {
    let warnings = compile_warnings(&[
        ("/classes/0/targets", json!("kind=service, servise=booking")),
        ("/classes/1/targets", json!("service=boking")),
        ("/classes/2/routes/0/path", json!("/v1/*")),
        ("/classes/3/idempotent", json!(true)),
        ("/classes/4/deadline_ms", json!(600_001)),
        ("/targets/0/accepts", json!("account=nobody")),
    ]);

    let reported = |path: &str| -> Vec<String> {
        warnings
            .iter()
            .filter(|warning| warning.path == path)
            .map(DocumentFault::to_string)
            .collect()
    };
    assert!(reported("classes[0].targets")[0].ends_with("(did you mean `service`?)"));
    assert!(reported("classes[1].targets")[0].ends_with("(did you mean `booking`?)"));
    assert!(reported("classes[3].routes[0]")[0].contains("is hidden by a wider route"));
    assert!(reported("classes[3].routes[0]")[1].contains("differs in `idempotent`"));
    assert_eq!(reported("classes[4].deadline_ms").len(), 1);
    assert!(reported("targets[0].accepts")[0].contains("matches no request"));
}

#[test]
fn default_settings_are_valid_except_for_the_known_key() {
    let settings = parse_settings(DEFAULT_SETTINGS).unwrap();

    assert_eq!(paths(&settings_warnings(&settings)), ["peer_key"]);
}

#[test]
fn every_fault_of_settings_is_reported_at_once() {
    let invalid = DEFAULT_SETTINGS
        .replace("127.0.0.1:7101", "0.0.0.0:7100")
        .replace("\"entry-1\"", "\" \"")
        .replace("127.0.0.1:7000", "0.0.0.0:7000")
        .replace("\"fleet\"", "\"a/b\"")
        .replace("\"log_level\"", "\"trace_file\": \"\", \"log_level\"");
    let misspelled = DEFAULT_SETTINGS
        .replace("\"scope\"", "\"scop\"")
        .replace("127.0.0.1:7102", "here");

    let faults = parse_settings(&invalid).unwrap_err();
    let form = parse_settings(&misspelled).unwrap_err();

    assert_eq!(
        paths(&faults),
        [
            "host",
            "trace_file",
            "scope",
            "platform_addresses[0]",
            "peer_address",
        ]
    );
    assert!(paths(&form).contains(&"operator_address"), "{form:?}");
    let unknown = form.iter().find(|fault| fault.path == "scop").unwrap();
    assert_eq!(unknown.suggestion.as_deref(), Some("scope"));
}

/// A log line of an invalid document must not be as long as the document: its field
/// `first_fault` holds only the first fault.
#[test]
fn first_fault_of_a_refusal_is_one_fault() {
    let refusal = ConfigRefusal::Invalid {
        version: 7,
        faults: vec!["a: no number".to_owned(), "b: unknown".to_owned()],
    };

    assert_eq!(refusal.first_fault(), "a: no number");
    assert!(refusal.to_string().contains("b: unknown"));
}

#[test]
fn reading_never_panics_on_damaged_text() {
    arbtest::arbtest(|input| {
        let mut text = SAMPLE.as_bytes().to_vec();
        for _ in 0..input.int_in_range(1..=4)? {
            let at = input.choose_index(text.len())?;
            text[at] = input.arbitrary()?;
        }
        let text = String::from_utf8_lossy(&text);
        let _ = parse_document(&text).map(FleetView::compile);
        let _ = parse_settings(&text);
        Ok(())
    });
}

#[test]
fn a_document_survives_a_json_round_trip() {
    let document = parse_document(SAMPLE).unwrap();

    let again: FleetDocument = parse_document(&serde_json::to_string(&document).unwrap()).unwrap();

    assert_eq!(again, document);
}
