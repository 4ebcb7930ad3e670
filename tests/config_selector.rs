//! Label selectors: matching, syntax and error messages.

use arbtest::arbitrary::Result as InputResult;
use arbtest::arbitrary::Unstructured;
use cardamomgw::fleet::LabelMap;
use cardamomgw::selector::LabelSelector;

fn labels(pairs: &[(&str, &str)]) -> LabelMap {
    pairs
        .iter()
        .map(|(key, value)| (String::from(*key), String::from(*value)))
        .collect()
}

fn selector(text: &str) -> LabelSelector {
    text.parse().expect("the selector is well-formed")
}

fn engine() -> LabelMap {
    labels(&[
        ("model", "polar"),
        ("generation", "g3"),
        ("tier", "1"),
        ("kind", "engine"),
        ("spare", ""),
    ])
}

#[test]
fn each_kind_of_condition_matches_as_kubernetes_has_it() {
    let engine = engine();
    let cases = [
        ("", true),
        ("  ", true),
        ("model=polar", true),
        ("model == polar", true),
        ("model=tidal", false),
        ("absent=polar", false),
        ("generation in (g3, g4)", true),
        ("generation in(g1,g2)", false),
        ("absent in (g1)", false),
        ("generation notin (g1, g2)", true),
        ("absent notin (g1)", true),
        ("generation notin (g3)", false),
        ("tier!=2", true),
        ("absent!=2", true),
        ("tier!=1", false),
        ("!canary", true),
        ("!spare", false),
        ("spare", true),
        ("canary", false),
        (
            "model=polar, generation in (g3, g4), tier!=2, kind=engine, !canary, spare",
            true,
        ),
        ("model=polar, canary", false),
    ];
    for (text, expected) in cases {
        assert_eq!(selector(text).matches(&engine), expected, "{text}");
    }
}

#[test]
fn first_mismatch_is_the_first_condition_that_fails() {
    let selector = selector("model=polar, generation in (g4, g1), canary");

    let term = selector.first_mismatch(&engine()).unwrap();

    assert_eq!(term.to_string(), "generation in (g1, g4)");
}

#[test]
fn a_fault_reports_its_position() {
    let cases = [
        ("model=", "at character 7: expected a value, found the end"),
        (
            "model=polar,",
            "at character 13: expected a label's key, found the end",
        ),
        (
            "=polar",
            "at character 1: expected a label's key, found `=`",
        ),
        (
            "a in (b",
            "at character 8: expected `,` or `)`, found the end",
        ),
        ("a in ()", "at character 7: expected a value, found `)`"),
        (
            "a of (b)",
            "at character 3: expected `=`, `!=`, `in`, `notin` or `,`, found `o`",
        ),
        ("a=b c", "at character 5: expected `,`, found `c`"),
        (
            "!",
            "at character 2: expected a label's key after `!`, found the end",
        ),
        ("a!b", "at character 3: expected `=`, found `b`"),
        ("é=1", "at character 1: expected a label's key, found `é`"),
    ];
    for (text, expected) in cases {
        let error = text.parse::<LabelSelector>().unwrap_err();
        assert_eq!(error.to_string(), expected, "{text}");
    }
}

fn arbitrary_selector(input: &mut Unstructured<'_>) -> InputResult<String> {
    let words = ["a", "in", "notin", "b-1", "x.y/z:0"];
    let mut terms = Vec::new();
    for _ in 0..input.int_in_range(1..=4)? {
        let key = input.choose(&words)?;
        let value = input.choose(&words)?;
        let other = input.choose(&words)?;
        terms.push(match input.int_in_range(0..=5)? {
            0 => String::from(*key),
            1 => format!("! {key}"),
            2 => format!("{key} = {value}"),
            3 => format!("{key}!={value}"),
            4 => format!("{key} in ({value}, {other})"),
            _ => format!("{key} notin({value},{other})"),
        });
    }
    Ok(terms.join(","))
}

#[test]
fn a_selector_survives_a_text_round_trip() {
    arbtest::arbtest(|input| {
        let text = arbitrary_selector(input)?;
        let once = selector(&text);
        let again = selector(&once.to_string());
        assert_eq!(once, again, "{text}");
        Ok(())
    });
}
