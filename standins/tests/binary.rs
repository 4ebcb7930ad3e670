//! The `standins` binary prints its listen address, and a simulated crash exits the process.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use standins::CallerRequest;
use support::call;

struct StandinProcess {
    child: Child,
    address: SocketAddr,
}

impl StandinProcess {
    fn spawn(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standins"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap();
        Self {
            child,
            address: address.parse().unwrap(),
        }
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

#[async_std::test]
async fn each_standin_prints_its_listen_address() {
    for name in ["platform", "engine", "service"] {
        let process = StandinProcess::spawn(&[name]);

        let answer = call(process.address, &CallerRequest::new("GET", "/v1/hosts")).await;

        assert!(answer.is_ok(), "{name}");
    }
}

#[async_std::test]
async fn a_link_forwards_to_its_upstream() {
    let service = StandinProcess::spawn(&["service"]);
    let link = StandinProcess::spawn(&["link", "--upstream", &service.address.to_string()]);

    let answer = call(link.address, &CallerRequest::new("GET", "/x")).await;

    assert!(answer.unwrap().is_complete);
}

#[async_std::test]
async fn a_crashed_engine_process_exits() {
    let mut engine = StandinProcess::spawn(&["engine"]);
    let control =
        CallerRequest::new("POST", "/control").with_body(r#"{"faults":{"crash_on":"boom"}}"#);
    call(engine.address, &control).await.unwrap();

    call(engine.address, &CallerRequest::generate("boom", 1, false))
        .await
        .unwrap_err();

    assert_eq!(engine.child.wait().unwrap().code(), Some(70));
}

#[test]
fn a_load_run_prints_its_report_as_json() {
    let engine = StandinProcess::spawn(&["engine"]);

    let output = Command::new(env!("CARGO_BIN_EXE_standins"))
        .args(["load", "--requests", "2", "--json", "--direct"])
        .arg(engine.address.to_string())
        .output()
        .unwrap();

    assert!(output.status.success());
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["done"], 2);
}
