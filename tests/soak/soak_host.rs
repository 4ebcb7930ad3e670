//! One `cardamomgw edge` process, its settings and its link to the store.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use standins::LinkServer;

use super::platform_standin::SETTINGS_VARIABLE;
use super::platform_standin::SettingsSpec;
use super::raw_link::RawLink;

/// The most memory that a host may ever take, in KB: the smallest machine has 160 MB,
/// and a host needs a small part of it.
const MEMORY_BOUND_KB: u64 = 96 << 10;
/// How long a host may take to leave, as its settings say.
const GRACE: Duration = Duration::from_secs(6);
/// How long the system may take until a started process reaches its own code, on a busy
/// machine: it can obey no signal before.
const LOADING_TIME: Duration = Duration::from_millis(200);
/// Hosts of the soak are small.
const HOST_THREADS: &str = "2";

/// The second number of the hosts' addresses: one block a test process.
const FIRST_BLOCK: u8 = 20;
const BLOCKS: u32 = 200;

/// One host.
pub(crate) struct SoakHost {
    pub(crate) settings: SettingsSpec,
    /// What stands between the host and the store.
    pub(crate) store_link: LinkServer,
    directory: PathBuf,
    child: Option<Child>,
    /// Whether its end was asked for.
    ending: bool,
    paused: bool,
    started: Option<Instant>,
    /// When it could first hear that it is to leave.
    told: Option<Instant>,
}

impl SoakHost {
    /// Puts a host before the store; it is started by [`SoakHost::start`].
    pub(crate) fn open(run: u8, number: usize, store: SocketAddr, directory: PathBuf) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store_link = task::block_on(LinkServer::bind(any, store)).unwrap();
        let settings = SettingsSpec {
            host: format!("e{number}"),
            ip: host_ip(run, number),
            seeds: Vec::new(),
            store: store_link.address(),
        };
        Self {
            settings,
            store_link,
            directory,
            child: None,
            ending: false,
            paused: false,
            started: None,
            told: None,
        }
    }

    /// Starts the process, unless it runs.
    pub(crate) fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        self.write_settings(false);
        self.launch();
    }

    /// Starts the process with the settings file as it stands.
    pub(crate) fn launch(&mut self) {
        let open = |end: &str| {
            let path = self.directory.join(format!("{}.{end}", self.settings.host));
            File::options().append(true).create(true).open(path)
        };
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomgw"))
            .arg("edge")
            .env(SETTINGS_VARIABLE, self.settings_path())
            .env("ASYNC_STD_THREAD_COUNT", HOST_THREADS)
            .stdin(Stdio::null())
            .stdout(open("log").unwrap())
            .stderr(open("err").unwrap())
            .spawn();
        self.child = Some(child.unwrap());
        self.ending = false;
        self.paused = false;
        self.started = Some(Instant::now());
        self.told = None;
    }

    /// Writes the settings file, or half of it.
    pub(crate) fn write_settings(&self, torn: bool) {
        let text = self.settings.document();
        let length = if torn { text.len() / 2 } else { text.len() };
        std::fs::write(self.settings_path(), &text[..length]).unwrap();
    }

    /// Sends a signal, if the process runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        let loads = self
            .started
            .is_some_and(|started| started.elapsed() < LOADING_TIME);
        if signal == Signal::HUP && loads {
            return;
        }
        self.ending |= signal == Signal::TERM || signal == Signal::KILL;
        // A paused process takes its signals, and goes on with its end, when it goes on.
        if signal == Signal::STOP {
            self.paused = true;
            self.told = None;
        }
        self.paused &= signal != Signal::CONT;
        if self.ending && !self.paused {
            self.told.get_or_insert_with(Instant::now);
        }
        if let Some(child) = &self.child {
            // It may have ended a moment ago.
            kill_process(Pid::from_child(child), signal).ok();
        }
    }

    /// Tells whether its end was asked for.
    pub(crate) const fn is_ending(&self) -> bool {
        self.ending
    }

    /// Tells whether its grace is over.
    pub(crate) fn is_overdue(&self) -> bool {
        self.told.is_some_and(|told| told.elapsed() >= GRACE)
    }

    /// Waits for the end that was asked for, and ends the process itself behind
    /// `limit`; returns whether it ended by itself.
    pub(crate) fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if child.try_wait().unwrap().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        false
    }

    /// Returns what is wrong with a process that should run.
    pub(crate) fn check_process(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        if !self.ending
            && let Some(status) = child.try_wait().unwrap()
        {
            self.ending = true;
            return Some(format!("{} ended by itself: {status}", self.settings.host));
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
        let peak: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        let beyond = peak > MEMORY_BOUND_KB;
        beyond.then(|| format!("{} took {peak} KB", self.settings.host))
    }

    /// Returns what is wrong with what it wrote.
    pub(crate) fn check_output(&self) -> Vec<String> {
        let read = |end: &str| {
            let path = self.directory.join(format!("{}.{end}", self.settings.host));
            std::fs::read(path).unwrap_or_default()
        };
        let mut faults = Vec::new();
        let errors = String::from_utf8_lossy(&read("err")).into_owned();
        if !errors.is_empty() {
            faults.push(format!("{} wrote on stderr: {errors}", self.settings.host));
        }
        let log = read("log");
        let broken = log
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .filter(|line| serde_json::from_slice::<Value>(line).is_err())
            .count();
        // A kill may tear the last line of each life.
        if broken > log.len() / 2000 + 4 {
            faults.push(format!("{}: {broken} broken log lines", self.settings.host));
        }
        faults
    }

    /// Asks for the metrics; returns whether they came.
    pub(crate) fn serves_metrics(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.settings.metrics_address()) else {
            return false;
        };
        let mut link = RawLink::new(stream, Duration::from_secs(2));
        let request = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        link.write(request).ok();
        let head = link.read_head().ok().flatten();
        head.is_some_and(|head| head.status() == 200 && link.read_body(&head).whole)
    }

    /// Returns where its settings file lies.
    pub(crate) fn settings_path(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.settings.host))
    }
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // SIGKILL also ends a stopped process.
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Returns the loopback address of one host.
///
/// Settings name ports before the process binds them, and a killed host comes back to
/// its own. Each host has an address of 127.0.0.0/8 for itself, so no other test can
/// take one of its ports meanwhile.
fn host_ip(run: u8, number: usize) -> Ipv4Addr {
    let process = FIRST_BLOCK + (std::process::id() % BLOCKS) as u8;
    Ipv4Addr::new(127, process, run, number as u8 + 1)
}
