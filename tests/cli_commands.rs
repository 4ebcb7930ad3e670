//! The command line as seen from outside: output, error messages and exit codes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

/// The result of one run of the program.
struct CommandRun {
    code: i32,
    output: String,
    errors: String,
}

fn run(arguments: &[&str]) -> CommandRun {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomgw"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program runs");
    CommandRun {
        code: output.status.code().expect("the program exits by itself"),
        output: String::from_utf8(output.stdout).expect("the output is UTF-8"),
        errors: String::from_utf8(output.stderr).expect("the error output is UTF-8"),
    }
}

/// Writes a file for one test and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

fn sample_with(old: &str, new: &str) -> String {
    include_str!("../resources/fleet-sample.json").replacen(old, new, 1)
}

/// Starts a server that answers one connection with `answer`, and returns its address.
fn answer_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the program connects");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(answer.as_bytes());
    });
    address
}

#[test]
fn help_and_version_are_printed_on_stdout() {
    let help = run(&["--help"]);
    let version = run(&["--version"]);

    assert_eq!((help.code, version.code), (0, 0));
    for word in [
        "serve",
        "check",
        "explain",
        "status",
        "replay",
        "settings",
        "Exit codes",
    ] {
        assert!(help.output.contains(word), "{word}");
    }
    let expected = format!("cardamomgw {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(version.output, expected);
}

#[test]
fn an_invalid_command_line_exits_with_2_and_a_missing_file_with_3() {
    for arguments in [
        &[][..],
        &["chek"],
        &["check"],
        &[
            "explain",
            "resources/fleet-sample.json",
            "--account",
            "crews",
        ],
        &["status", "nowhere"],
    ] {
        let run = run(arguments);
        assert_eq!(run.code, 2, "{arguments:?}");
        assert!(run.errors.starts_with("cardamomgw: "), "{}", run.errors);
        assert_eq!(run.output, "");
    }
    let missing = run(&["check", "no-such-file.json"]);
    assert_eq!(missing.code, 3);
    assert!(missing.errors.contains("no-such-file.json"));
}

#[test]
fn printed_settings_pass_the_check() {
    let path = write_file("printed.json", &run(&["settings"]).output);

    let check = run(&["check", &path]);

    assert_eq!(check.code, 0, "{}", check.output);
    assert!(check.output.contains("settings; faults: 0, warnings: 1"));
}

#[test]
fn check_prints_every_fault_of_a_fleet_document() {
    let text = sample_with("\"slots\": 4", "\"slotz\": 4").replacen(
        "zone-b\"}",
        "zone-b\", \"rack\": 1}",
        1,
    );
    let path = write_file("faulty.json", &text);

    let check = run(&["check", &path]);

    assert_eq!(check.code, 1);
    assert!(
        check.output.contains("(did you mean `slots`?)"),
        "{}",
        check.output
    );
    assert!(
        check.output.contains("roster.seats[1].rack"),
        "{}",
        check.output
    );
    assert!(
        check.output.contains("fleet document; faults: 2"),
        "{}",
        check.output
    );
}

#[test]
fn check_detects_a_document_with_a_syntax_error() {
    let path = write_file("broken.json", &sample_with("\"roster\": {", "\"roster\": "));

    let check = run(&["check", &path]);

    assert_eq!(check.code, 1);
    assert!(
        check.output.contains("fleet document; faults: 1"),
        "{}",
        check.output
    );
    assert!(check.output.contains("line 4"), "{}", check.output);
}

#[test]
fn explain_shows_each_target_and_the_first_reason_that_excludes_it() {
    let sample = "resources/fleet-sample.json";
    let text = run(&[
        "explain",
        sample,
        "--account",
        "crews",
        "--class",
        "manifest-briefing",
    ]);
    let json = run(&[
        "explain",
        sample,
        "--account",
        "crews",
        "--method",
        "POST",
        "--path",
        "/v1/generate",
        "--request-class",
        "manifest-briefing",
        "--json",
    ]);

    assert_eq!((text.code, json.code), (0, 0));
    assert!(text.output.contains("engine-04  yes"), "{}", text.output);
    assert!(
        text.output
            .contains("engine-01  no   the class's targets selector wants `generation!=g1`")
    );
    let value: serde_json::Value = serde_json::from_str(&json.output).unwrap();
    assert_eq!(value["class"], "manifest-briefing");
    assert_eq!(value["targets"].as_array().unwrap().len(), 15);
}

#[test]
fn explain_exits_with_1_if_no_target_is_allowed_and_suggests_names() {
    let path = write_file(
        "closed.json",
        &sample_with("kind=service, service=booking", "service=nothing"),
    );

    let closed = run(&[
        "explain",
        &path,
        "--account",
        "crews",
        "--class",
        "slot-confirmation",
    ]);
    let misspelt = run(&[
        "explain",
        &path,
        "--account",
        "crew",
        "--class",
        "slot-confirmation",
    ]);

    assert_eq!((closed.code, misspelt.code), (1, 2));
    assert!(misspelt.errors.contains("did you mean `crews`?"));
}

#[test]
fn status_prints_scalars_and_tables() {
    let body = r#"{"host":"entry-1","peers":[],"accounts":[1,2,3,4,5,6,7,8,9],"configuration":{"version":7},"targets":[{"name":"a","slots":4},{"name":"long-name"}]}"#;
    let length = body.len();
    let address = answer_once(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    ));

    let status = run(&["status", &address.to_string()]);

    assert_eq!(status.code, 0, "{}", status.errors);
    let expected = "host      entry-1\npeers     -\naccounts  9 entries\n\
        configuration.version  7\n\n\
        targets:\n  name       slots\n  a          4\n  long-name\n";
    assert_eq!(status.output, expected);
}

#[test]
fn status_exits_with_3_if_the_address_is_not_of_a_daemon() {
    for answer in [
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        "SSH-2.0-nothing\r\n",
    ] {
        let status = run(&["status", &answer_once(answer.to_string()).to_string()]);
        assert_eq!(status.code, 3, "{answer}");
        assert!(status.errors.contains("no status"), "{}", status.errors);
    }
}

#[test]
fn replay_prints_the_metrics_of_the_selected_policies() {
    let trace = cardamomgw::replay::generate_trace(
        cardamomgw::replay::TraceDeployment::Harmattan,
        cardamomgw::replay::LoadPattern::Steady,
        std::time::Duration::from_secs(20),
        1,
    );
    let path = write_file("trace.jsonl", &trace.to_json_lines().unwrap());

    let table = run(&["replay", &path, "--policy", "round-robin"]);
    let json = run(&[
        "replay", &path, "--policy", "current", "--policy", "first", "--json",
    ]);

    assert_eq!((table.code, json.code), (0, 0), "{}", table.errors);
    assert!(table.output.contains("round-robin"), "{}", table.output);
    let value: serde_json::Value = serde_json::from_str(&json.output).unwrap();
    assert_eq!(value["policies"].as_array().unwrap().len(), 2);
}

#[test]
fn replay_distinguishes_a_faulty_trace_from_an_unknown_policy() {
    let path = write_file("no-trace.jsonl", "{}\n");

    let faulty = run(&["replay", &path]);
    let misspelt = run(&["replay", &path, "--policy", "curent"]);

    assert_eq!((faulty.code, misspelt.code), (1, 2));
    assert!(
        faulty.output.starts_with("fault: line 1"),
        "{}",
        faulty.output
    );
    assert!(misspelt.errors.contains("did you mean `current`?"));
}

#[test]
fn trace_prints_the_lines_of_a_request_and_reports_when_there_are_none() {
    let log = r#"{"timestamp":1,"kv":{"line":{"event":"request-refused","request":"id1"}}}"#;
    let path = write_file("trace.log", log);

    let found = run(&["trace", &path, "id1"]);
    let none = run(&["trace", &path, "id2"]);
    let absent = run(&["trace", "no-such-file", "id1"]);

    assert_eq!(found.output, "1 request-refused request=\"id1\"\n");
    assert_eq!((found.code, none.code, absent.code), (0, 1, 3));
    assert!(absent.errors.contains("no-such-file"));
}

const SAMPLE_PATH: &str = "resources/fleet-sample.json";

/// Returns the sample, changed by `edit`, as a file.
fn edited_sample(name: &str, edit: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut document = serde_json::from_str(&sample_with("", "")).expect("the sample is JSON");
    edit(&mut document);
    write_file(name, &document.to_string())
}

/// Guards against a rollout whose effect on callers is noticed only by them.
#[test]
fn check_reports_the_changes_against_the_version_in_force() {
    let path = edited_sample("next.json", |document| {
        document["version"] = 2.into();
        document["accounts"].as_array_mut().unwrap().remove(0);
        document["accounts"][0]["requests_per_second"] = 1.into();
        document["targets"][0]["slots"] = 1.into();
    });

    let text = run(&["check", &path, "--against", SAMPLE_PATH]);
    let json = run(&["check", &path, "--against", SAMPLE_PATH, "--format", "json"]);

    assert_eq!((text.code, json.code), (0, 0), "{}", text.output);
    for change in [
        "change: version: changed from 1 to 2",
        "requests_per_second: changed from ",
        "removed (its token ends: requests with it are refused)",
        "slots fewer)",
        "changes: 4",
    ] {
        assert!(text.output.contains(change), "{change}: {}", text.output);
    }
    let report: serde_json::Value = serde_json::from_str(&json.output).unwrap();
    assert_eq!(report["changes"]["count"], 4);
    assert_eq!(report["faults"]["count"], 0);
}

/// Guards against changes that are reported where there are none.
#[test]
fn check_reports_no_change_against_the_same_document() {
    let check = run(&["check", SAMPLE_PATH, "--against", SAMPLE_PATH]);

    assert!(check.output.contains("changes: 0"), "{}", check.output);
}

/// Guards against a document with a low version or a damaged one in force that seems ready.
#[test]
fn check_reports_a_version_in_force_that_is_not_replaced() {
    let same = edited_sample("same.json", |document| {
        document["targets"][0]["slots"] = 1.into();
    });
    let broken = write_file("broken-in-force.json", "{\"version\": 1, \"targets\": [");

    let unraised = run(&["check", &same, "--against", SAMPLE_PATH]);
    let damaged = run(&["check", SAMPLE_PATH, "--against", &broken]);

    assert!(
        unraised.output.contains("raise the version"),
        "{}",
        unraised.output
    );
    assert_eq!(damaged.code, 1);
    assert!(
        damaged.output.contains("in the version in force:") && damaged.output.contains("line 1"),
        "{}",
        damaged.output
    );
}

/// Guards against warnings that pass a script, and against flags that it misspells.
#[test]
fn check_fails_for_warnings_where_it_is_strict() {
    let path = edited_sample("warned.json", |document| {
        document["classes"][0]["targets"] = "service=nothing".into();
    });

    let lenient = run(&["check", &path]);
    let strict = run(&["check", &path, "--strict"]);
    let misspelt = run(&["check", &path, "--format", "yaml"]);

    assert_eq!((lenient.code, strict.code, misspelt.code), (0, 1, 2));
}

/// Guards against a second run that first shows a repeated name, or against a list without end.
#[test]
fn check_reports_repeated_names_behind_other_faults_and_a_bounded_list() {
    let doubled = edited_sample("doubled.json", |document| {
        document["targets"][0]["slotz"] = 1.into();
        document["accounts"][1]["name"] = document["accounts"][0]["name"].clone();
    });
    let many = edited_sample("many.json", |document| {
        let account = document["accounts"][0].clone();
        let accounts = document["accounts"].as_array_mut().unwrap();
        accounts.extend(std::iter::repeat_n(account, 500));
    });

    let doubled = run(&["check", &doubled]);
    let many = run(&["check", &many]);

    assert!(doubled.output.contains("slotz"), "{}", doubled.output);
    assert!(
        doubled.output.contains("accounts[1].name:"),
        "{}",
        doubled.output
    );
    assert_eq!(many.code, 1);
    assert!(many.output.contains("fault: and "), "{}", many.output);
    assert!(many.output.lines().count() < 300);
}

/// Guards against a document that `check` passes and hosts refuse, or the other way round.
#[test]
fn check_and_hosts_agree_on_the_same_documents() {
    let edits: [(&str, &str, serde_json::Value); 6] = [
        ("sound", "/limits", serde_json::json!({})),
        ("slots", "/targets/0/slots", 0.into()),
        ("deadline", "/classes/0/deadline_ms", 0.into()),
        ("burst", "/accounts/0/burst", 0.into()),
        ("selector", "/targets/0/accepts", "tier in (0".into()),
        ("type", "/classes/0/tier", "first".into()),
    ];
    for (name, pointer, value) in edits {
        let path = edited_sample(&format!("agree-{name}.json"), |document| {
            let (parent, field) = pointer.rsplit_once('/').unwrap();
            document.pointer_mut(parent).unwrap()[field] = value;
        });
        let text = std::fs::read_to_string(&path).unwrap();
        let parsed = cardamomgw::fleet::parse_document(&text);
        let hosts_accept = parsed
            .and_then(cardamomgw::fleet::FleetView::compile)
            .is_ok();

        let check = run(&["check", &path]);

        assert_eq!(check.code == 0, hosts_accept, "{name}: {}", check.output);
    }
}
