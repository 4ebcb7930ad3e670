//! Settings that change while a host runs.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use standins::PathMode;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::FleetFixture;
use super::edge_fixture::isolated_state;
use super::edge_fixture::request_for;
use super::quota_fixture::limited_account;
use super::quota_fixture::request_of;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::write_text;
use crate::clock::boot_now;
use crate::edge::EdgeBounds;
use crate::edge::RuntimeSettings;
use crate::quota::QuotaDecision;
use crate::quota::QuotaTolerance;

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// A target that answers with a stream of two events, and sends the second when it is told to.
fn held_target() -> (RawTarget, Sender<()>) {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let target = RawTarget::spawn(move |request, stream| {
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(1));
        released.lock().unwrap().recv().ok();
        write_text(stream, &event_chunk(2));
        write_text(stream, "0\r\n\r\n");
        true
    });
    (target, release)
}

/// An address at which no host listens.
fn stale_seed() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Reads until the response contains `end`.
fn read_until(caller: &mut TcpStream, answer: &mut String, end: &str) {
    let mut chunk = [0; 4096];
    while !answer.contains(end) {
        let count = caller.read(&mut chunk).unwrap();
        assert!(count > 0, "{answer}");
        answer.push_str(&String::from_utf8_lossy(&chunk[..count]));
    }
}

impl FleetFixture {
    /// Changes the seeds of all hosts, and waits until their links use them.
    fn reload_seeds(&self, seeds: &[SocketAddr]) {
        for (host, own) in self.hosts.iter().zip(&self.addresses) {
            host.reload(|settings| settings.runtime.seeds = seeds.to_vec());
            let others: Vec<_> = seeds.iter().filter(|seed| *seed != own).collect();
            let others = serde_json::to_string(&others).unwrap();
            host.wait_logged(&format!(r#""event":"seeds-changed","seeds":{others}"#));
        }
    }
}

/// Guards against hosts that keep looking for peers at the seeds of their start, so that hosts
/// which started with stale ones never meet and each lets a request crash targets for itself.
#[test]
fn hosts_with_stale_seeds_meet_after_a_reload() {
    let (target, _release) = held_target();
    let fleet = FleetFixture::open_with_seeds(&[target], &ZONES, &[stale_seed()]);

    fleet.reload_seeds(&fleet.addresses[..1]);

    fleet.wait_connected();
}

/// Guards against a forwarded request that is cut when a reload takes away the seed by which its
/// host found the peer.
#[test]
fn a_forwarded_stream_outlasts_the_seeds_of_its_host() {
    let (target, release) = held_target();
    let fleet = FleetFixture::open(&[target], &ZONES);
    fleet.set_paths(0, PathMode::Refusing);
    let mut caller = fleet.hosts[0].connect();
    let request = request_for("/long/x", "id1").replace("2000", "10000");
    caller.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    read_until(&mut caller, &mut answer, "data: e1");

    fleet.reload_seeds(&[stale_seed()]);
    fleet.reload_seeds(&[]);
    fleet.reload_seeds(&fleet.addresses[..1]);

    release.send(()).unwrap();
    read_until(&mut caller, &mut answer, "0\r\n\r\n");
    assert!(answer.contains("data: e2"), "{answer}");
    fleet.wait_connected();
}

/// Guards against quotas that keep the tolerance of the host's start.
#[test]
fn a_reloaded_quota_tolerance_limits_requests() {
    let bounds = |slack: f64| EdgeBounds {
        quota_tolerance: QuotaTolerance {
            window: Duration::from_secs(8),
            overage: 0.25,
            slack,
        },
        ..EdgeBounds::default()
    };
    let account = limited_account();
    let state = isolated_state(bounds(100_000.0));
    let request = request_of(1000.0);
    let admits = |now: Duration| {
        let mut limiter = state.quota_limiter();
        limiter.try_consume(&account, request, now, 0.0) == QuotaDecision::Admitted
    };
    let now = boot_now();
    assert!(admits(now));

    let mut settings = RuntimeSettings::clone(&state.runtime.load());
    settings.bounds = bounds(0.0);
    state.apply_settings(settings);

    assert!(!admits(now + Duration::from_secs(20)));
}

/// Guards against limits at plain targets that stay until the list of targets changes.
#[test]
fn a_reload_switches_limits_at_plain_targets() {
    let state = isolated_state(EdgeBounds::default());
    for adapts in [true, false, true] {
        let mut settings = RuntimeSettings::clone(&state.runtime.load());
        settings.load_control.adapts_to_targets = adapts;

        state.apply_settings(settings);

        assert_eq!(state.queue.lock_table().adapts_to_targets(), adapts);
    }
}

/// Guards against a limit on caller connections that stays that of the host's start.
#[test]
fn a_reloaded_descriptor_limit_bounds_caller_connections() {
    let (target, _release) = held_target();
    let host = EdgeFixture::open(&[target]);
    let mut first = host.connect();
    let request = request_for("/long/x", "id1");
    first.write_all(request.as_bytes()).unwrap();
    read_until(&mut first, &mut String::new(), "data: e1");

    // A running request takes the only descriptor for callers and one for its target.
    host.reload(|settings| settings.runtime.max_descriptors = 2);
    host.wait_logged(r#""changed":["max_descriptors"]"#);

    let mut second = host.connect();
    second.write_all(request.as_bytes()).ok();
    assert_eq!(second.read(&mut [0; 64]).unwrap_or(0), 0);
}

/// Guards against a host that takes itself for the whole fleet, and so for informed, when its
/// settings name others soon after its start.
#[test]
fn a_starting_host_that_learns_of_seeds_is_not_informed() {
    let state = isolated_state(EdgeBounds::default());
    assert!(state.is_informed());

    let mut settings = RuntimeSettings::clone(&state.runtime.load());
    settings.seeds = vec![stale_seed()];
    state.apply_settings(settings);

    assert!(!state.is_informed());
}

/// Guards against settings that were cut off at the moment of the signal and are not read again
/// when they are complete.
#[test]
fn settings_that_were_cut_off_are_read_when_they_are_complete() {
    let (target, _release) = held_target();
    let host = EdgeFixture::open(&[target]);

    let mut settings = host.cut_settings();
    host.wait_logged(r#""event":"settings-refused""#);
    settings.runtime.capacity += 1;
    host.restore_settings(settings);

    host.wait_logged(r#""changed":["capacity"]"#);
    assert_eq!(host.logged(r#""event":"settings-refused""#), 1);
}

/// Guards against a change that comes right after a reload and is missed, as the file's time and
/// length are those that were read before.
#[test]
fn a_second_change_without_a_signal_takes_effect() {
    let (target, _release) = held_target();
    let host = EdgeFixture::open(&[target]);
    host.reload(|settings| settings.runtime.capacity += 1);
    host.wait_logged(r#""changed":["capacity"]"#);

    host.change_settings(|settings| settings.runtime.seeds = vec![stale_seed()]);

    host.wait_logged(r#""changed":["seeds"]"#);
}

/// Guards against a changed address or name that takes effect in part, or of which no line says
/// that it waits for the next start.
#[test]
fn settings_of_the_start_are_named_and_stay() {
    let (target, _release) = held_target();
    let host = EdgeFixture::open(&[target]);

    host.reload(|settings| {
        settings.startup.host = "other".into();
        settings.startup.peer_address = stale_seed();
        settings.runtime.capacity += 1;
    });

    host.wait_logged(r#""changed":["capacity"],"at_next_start":["host","peer_address"]"#);
}
