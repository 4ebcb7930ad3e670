//! `cardamomgw edge` as a process, beside a stand-in of the platform.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    dead_code,
    unused_imports,
    reason = "fixtures fail by panics and are shared with the soak"
)]

#[path = "../platform/standin/mod.rs"]
mod platform_standin;
#[path = "soak/raw_link.rs"]
mod raw_link;
#[path = "soak/soak_host.rs"]
mod soak_host;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use platform_standin::StoreServer;
use rustix::fs::CWD;
use rustix::fs::FileType;
use rustix::fs::Mode;
use rustix::fs::mknodat;
use rustix::process::Signal;
use soak_host::SoakHost;

/// Host numbers that the soak does not use.
const OWN_RUN: u8 = 250;
/// Within which a host that has its settings serves.
const START_LIMIT: Duration = Duration::from_secs(10);
/// How long a signal takes at most to reach a process.
const SIGNAL_TIME: Duration = Duration::from_millis(250);

fn open_host(number: usize, store: &StoreServer) -> SoakHost {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let name = format!("edge-{}-{number}", std::process::id());
    let directory = directory.join(name);
    std::fs::create_dir_all(&directory).unwrap();
    SoakHost::open(OWN_RUN, number, store.address(), directory)
}

/// Waits until the host serves, and lets it end.
fn assert_serves_and_ends(host: &mut SoakHost) {
    let begun = Instant::now();
    while !host.serves_metrics() && begun.elapsed() < START_LIMIT {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(host.check_process(), None);
    assert!(host.serves_metrics());
    host.signal(Signal::TERM);
    assert!(host.wait_for_exit(Duration::from_secs(7)));
    assert_eq!(host.check_output(), Vec::<String>::new());
}

/// A host that was killed comes back, and the operator's new settings are announced by
/// SIGHUP in the same moment. The host did not take signals yet: it ended, and its
/// callers were sent elsewhere until somebody started it by hand.
#[test]
fn a_signal_to_read_settings_does_not_end_a_host_that_starts() {
    let store = StoreServer::spawn();
    let mut host = open_host(0, &store);
    let path = host.settings_path();
    // The host waits in its start for as long as the pipe is empty.
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    host.launch();
    let mut pipe = File::options().write(true).open(&path).unwrap();
    std::thread::sleep(SIGNAL_TIME);

    host.signal(Signal::HUP);
    std::thread::sleep(SIGNAL_TIME);
    std::fs::remove_file(&path).unwrap();
    host.write_settings(false);
    pipe.write_all(host.settings.document().as_bytes()).unwrap();
    drop(pipe);

    assert_serves_and_ends(&mut host);
}

/// Guards against a host that ends since its settings file is being rewritten as it starts.
#[test]
fn a_host_that_starts_waits_for_whole_settings() {
    let store = StoreServer::spawn();
    let mut host = open_host(1, &store);
    host.write_settings(true);

    host.launch();
    std::thread::sleep(SIGNAL_TIME);
    host.write_settings(false);

    assert_serves_and_ends(&mut host);
}
