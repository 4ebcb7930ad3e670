//! One `cardamomgw serve` process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use cardamomgw::settings::HostSettings;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use standins::CallerClient;
use standins::CallerRequest;

use super::WAIT_LIMIT;
use super::free_port::PORT_LOCK;
use super::wait_for;

/// How often a host is asked whether it serves.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// How many threads serve requests in one host.
const HOST_THREADS: &str = "12";

/// A host's process with its settings; it is killed when dropped.
pub(crate) struct HostProcess {
    pub(crate) settings: HostSettings,
    directory: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Writes the settings below `directory` and starts the process.
    pub(crate) fn spawn(settings: HostSettings, directory: PathBuf) -> Self {
        let child = spawn_child(&settings, &directory);
        Self {
            settings,
            directory,
            child,
        }
    }

    /// Returns where callers connect.
    pub(crate) const fn caller_address(&self) -> SocketAddr {
        self.settings.caller_address
    }

    /// Returns the process id.
    pub(crate) fn process(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once and waits for its end.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the process where it is.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a stopped process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to drain and end.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Starts the same host again with empty memory; the old process must have ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn_child(&self.settings, &self.directory);
    }

    /// Waits for the process's own end.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let child = std::sync::Mutex::new(&mut self.child);
        let has_ended = || child.lock().unwrap().try_wait().unwrap().is_some();
        wait_for("the process to end", has_ended).await;
        self.child.wait().unwrap()
    }

    /// Waits until the host serves; says what the host says when it never does.
    pub(crate) async fn wait_ready(&self) {
        let began = Instant::now();
        while !self.is_ready().await {
            if began.elapsed() > WAIT_LIMIT {
                let status = self.status().await;
                unreachable!("never ready, see {}: {status}", self.log_path());
            }
            task::sleep(READY_PAUSE).await;
        }
    }

    /// Tells whether the host says that it serves.
    pub(crate) async fn is_ready(&self) -> bool {
        self.operator_status("/ready").await == Some(200)
    }

    /// Returns what the host tells its operators; null while it does not answer.
    pub(crate) async fn status(&self) -> Value {
        let answer = CallerClient::new(WAIT_LIMIT)
            .call(
                self.settings.operator_address,
                &CallerRequest::new("GET", "/status"),
            )
            .await;
        answer.map_or(Value::Null, |answer| {
            serde_json::from_slice(&answer.body).unwrap_or_default()
        })
    }

    /// Returns the host's log so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn log_path(&self) -> String {
        log_file(&self.settings, &self.directory)
            .display()
            .to_string()
    }

    async fn operator_status(&self, path: &str) -> Option<u16> {
        CallerClient::new(WAIT_LIMIT)
            .call(
                self.settings.operator_address,
                &CallerRequest::new("GET", path),
            )
            .await
            .ok()
            .map(|answer| answer.status)
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn log_file(settings: &HostSettings, directory: &std::path::Path) -> PathBuf {
    directory.join(format!("{}.log", settings.host))
}

fn spawn_child(settings: &HostSettings, directory: &std::path::Path) -> Child {
    let path = directory.join(format!("{}.json", settings.host));
    std::fs::write(&path, serde_json::to_string_pretty(settings).unwrap()).unwrap();
    let log = File::options()
        .append(true)
        .create(true)
        .open(log_file(settings, directory))
        .unwrap();
    let _lock = PORT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    Command::new(env!("CARGO_BIN_EXE_cardamomgw"))
        .env("ASYNC_STD_THREAD_COUNT", HOST_THREADS)
        .arg("serve")
        .arg("--settings")
        .arg(path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}
