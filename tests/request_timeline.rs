//! What a log tells of one request.

use cardamomgw::logs::RequestTimeline;

fn line(time: u32, fields: &str) -> String {
    format!(r#"{{"level":"info","timestamp":{time},"payload":"p","kv":{{"line":{{{fields}}}}}}}"#)
}

fn story_of(request: &str, lines: &[String]) -> Vec<String> {
    let mut story = RequestTimeline::new(request);
    for line in lines {
        story.add_line(line);
    }
    story.lines().to_vec()
}

/// A caller complains of a 503. The operator has the id and one host's log, in which
/// the store was lost before the request came and the configuration changed twice.
#[test]
fn a_request_is_told_with_the_beliefs_in_force() {
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

    let story = story_of("id1", &log);

    assert_eq!(
        story,
        [
            "  2 catalog-in-force catalog=4",
            "  3 store-lost reason=\"no answer in time\"",
            "5 request-sent request=\"id1\" attempt=1",
            "  6 targets-suspected suspected=[\"t1\"] back=[]",
            "7 request-refused request=\"id1\" status=503",
        ]
    );
}

#[test]
fn what_is_no_line_is_passed_over() {
    let log = [
        "".to_owned(),
        "{".to_owned(),
        "[1]".to_owned(),
        line(1, r#""event":7"#),
    ];

    assert!(story_of("id1", &log).is_empty());
}
