//! Extracting the log lines of one request.

use cardamomgw::logs::RequestTimeline;

fn line(time: u32, fields: &str) -> String {
    format!(r#"{{"level":"info","timestamp":{time},"payload":"p","kv":{{"line":{{{fields}}}}}}}"#)
}

fn timeline_of(request: &str, lines: &[String]) -> Vec<String> {
    let mut timeline = RequestTimeline::new(request);
    for line in lines {
        timeline.add_line(line);
    }
    timeline.lines().to_vec()
}

/// An operator looks up a request that was answered 503, in the log of one host. The store
/// was lost before the request arrived, and the catalog changed twice.
#[test]
fn a_request_is_shown_with_the_state_at_the_time() {
    let log = [
        line(1, r#""event":"catalog-in-force","catalog":3,"peer":null"#),
        line(2, r#""event":"catalog-in-force","catalog":4,"peer":null"#),
        line(3, r#""event":"store-lost","reason":"no answer in time""#),
        line(4, r#""event":"request-sent","request":"other","attempt":1"#),
        line(5, r#""event":"request-sent","request":"id1","attempt":1"#),
        line(
            6,
            r#""event":"targets-suspected","suspected":["t1"],"back":[]"#,
        ),
        line(
            7,
            r#""event":"request-refused","request":"id1","status":503"#,
        ),
        line(8, r#""event":"store-back","revision":9"#),
    ];

    let timeline = timeline_of("id1", &log);

    assert_eq!(
        timeline,
        [
            "  2 catalog-in-force catalog=4",
            "  3 store-lost reason=\"no answer in time\"",
            "5 request-sent request=\"id1\" attempt=1",
            "  6 targets-suspected suspected=[\"t1\"] back=[]",
            "7 request-refused request=\"id1\" status=503",
        ]
    );
}

/// Guards against a rejected request whose timeline does not show that its target had said it is
/// leaving or asked for a pause.
#[test]
fn statements_of_targets_are_shown() {
    let log = [
        line(1, r#""event":"target-leaving","target":"t1","request":"a""#),
        line(2, r#""event":"target-paused","target":"t2","request":"b""#),
        line(
            3,
            r#""event":"request-refused","request":"id1","status":503"#,
        ),
    ];

    let timeline = timeline_of("id1", &log);

    assert_eq!(timeline.len(), 3);
    assert!(timeline[0].contains("target-leaving") && timeline[1].contains("target-paused"));
}

#[test]
fn anything_but_a_decision_line_is_ignored() {
    let log = [
        "".to_owned(),
        "{".to_owned(),
        "[1]".to_owned(),
        line(1, r#""event":7"#),
    ];

    assert!(timeline_of("id1", &log).is_empty());
}
