//! A `cardamomgw edge` process with the limits of a small machine, its store and its targets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::platform_standin::ConfigSpec;
use crate::platform_standin::StoreServer;
use crate::platform_standin::TargetSpec;
use crate::platform_standin::headers;
use crate::process_usage::open_descriptors;
use crate::process_usage::peak_memory;
use crate::process_usage::unread_bytes;
use crate::raw_link::RawLink;
use crate::soak_host::SoakHost;

/// Memory of the machine.
const MEMORY_MB: u64 = 64;
/// Descriptors of the machine, and those of them that the platform reserves for files.
const MAX_DESCRIPTORS: usize = 1000;
const FILE_DESCRIPTORS: usize = 200;
const MAX_SOCKETS: usize = MAX_DESCRIPTORS - FILE_DESCRIPTORS;
/// Largest body that the configuration allows, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;

/// Run number that no other test uses, for separate host addresses.
const RESERVED_RUN: u8 = 251;
/// Time limit of a start and of an ordinary request.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Longest connection of a target.
const TARGET_TIMEOUT: Duration = Duration::from_secs(600);
/// Size of an ordinary request's body, in bytes.
const ORDINARY_BODY_BYTES: usize = 2 << 10;

/// A host with a target that answers at once and one that never answers.
pub(crate) struct EdgeMachine {
    pub(crate) host: SoakHost,
    _store: StoreServer,
}

impl EdgeMachine {
    /// Starts the host and waits until it serves.
    pub(crate) fn start() -> Self {
        let store = StoreServer::new();
        let config = ConfigSpec {
            version: 3,
            service_pool: "desk".into(),
            engine_pool: "llm".into(),
            accounts: vec![("steady".into(), "k1".into(), 0.0)],
            max_body_bytes: Some(MAX_BODY_BYTES),
        };
        store.write(ConfigSpec::KEY, Some(&config.document()));
        for pool in ["desk", "llm"] {
            let target = TargetSpec {
                name: format!("{pool}-1"),
                pool: pool.into(),
                address: spawn_target(),
                leaving: false,
                slots: 400,
                version: "v1".into(),
                born_ms: 1,
            };
            store.write(&target.key(), Some(&target.document()));
        }
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("crowds-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let address = store.spawn(Arc::new(|target| target));
        let mut host = SoakHost::open(RESERVED_RUN, 0, address, directory);
        host.settings.memory_mb = MEMORY_MB;
        host.settings.max_descriptors = MAX_DESCRIPTORS;
        host.start();
        let machine = Self {
            host,
            _store: store,
        };
        let started_at = Instant::now();
        while machine.call(ORDINARY_BODY_BYTES) != 200 {
            assert!(started_at.elapsed() < WAIT_LIMIT, "the host does not serve");
            thread::sleep(Duration::from_millis(20));
        }
        machine
    }

    /// Returns the addresses for callers, readiness probes and metrics.
    pub(crate) fn addresses(&self) -> [SocketAddr; 3] {
        let settings = &self.host.settings;
        [
            settings.caller_address(),
            settings.ready_address(),
            settings.metrics_address(),
        ]
    }

    /// Sends a request with a body of `length` bytes on a new connection, and returns the status
    /// of the answer; 0 if there is none.
    pub(crate) fn call(&self, length: usize) -> u16 {
        let head = request_head("/look/x", "k1", &format!("Content-Length: {length}"));
        let head = head.replace("{id}", "ordinary");
        exchange(
            self.host.settings.caller_address(),
            &head,
            &vec![b'x'; length],
        )
    }

    /// Asserts that the process lives within the limits of its machine, and that callers, probes
    /// and scrapes are answered.
    pub(crate) fn assert_serves(&self, case: &str) {
        let process = self.host.process_id().unwrap();
        let unread = unread_bytes(&self.addresses());
        let descriptors = open_descriptors(process);

        let ordinary = self.call(ORDINARY_BODY_BYTES);
        let [_, ready, metrics] = self.addresses();
        let probe = exchange(ready, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", b"");
        let scrape = exchange(metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", b"");

        let peak = peak_memory(process);
        println!("{case}: peak {peak}, unread {unread}, descriptors {descriptors}");
        let answers = [ordinary, probe, scrape];
        assert_eq!(answers, [200, 200, 200], "{case}");
        assert!(
            peak + unread <= MEMORY_MB << 20,
            "{case}: {peak} bytes of memory, {unread} bytes unread"
        );
        assert!(
            descriptors <= MAX_SOCKETS,
            "{case}: {descriptors} descriptors"
        );
    }

    /// Asserts that the process has no more descriptors than its machine leaves to sockets.
    pub(crate) fn assert_descriptors(&self) {
        let descriptors = open_descriptors(self.host.process_id().unwrap());
        assert!(descriptors <= MAX_SOCKETS, "{descriptors} descriptors");
    }
}

/// Returns the head of a request, with a field that tells the length of its body.
pub(crate) fn request_head(path: &str, key: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: soak.example\r\n{}: {{id}}\r\n{}: 60000\r\n\
         Authorization: {} {key}\r\n{framing}\r\n\r\n",
        headers::REQUEST_ID,
        headers::DEADLINE_MS,
        headers::KEY_SCHEME
    )
}

/// Returns the head of a request that its caller gives up after `deadline`.
pub(crate) fn hurried_head(framing: &str, deadline: Duration) -> String {
    let head = request_head("/look/x", "k1", framing);
    head.replace(": 60000\r\n", &format!(": {}\r\n", deadline.as_millis()))
}

/// Sends a request and returns the status of its answer; 0 if there is none.
fn exchange(address: SocketAddr, head: &str, body: &[u8]) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return 0;
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.set_write_timeout(Some(WAIT_LIMIT)).unwrap();
    if stream.write_all(&[head.as_bytes(), body].concat()).is_err() {
        return 0;
    }
    let mut link = RawLink::new(stream, WAIT_LIMIT);
    let head = link.read_head().ok().flatten();
    head.map_or(0, |head| head.status())
}

/// Starts a target that answers each request at once, except for those of streams.
fn spawn_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_target(stream));
        }
    });
    address
}

fn serve_target(stream: TcpStream) {
    let mut link = RawLink::new(stream, TARGET_TIMEOUT);
    let Ok(Some(head)) = link.read_head() else {
        return;
    };
    if head.header("content-length").is_some() {
        link.read_body(&head);
    }
    if head.first_line_part(1).starts_with("/talk/") {
        thread::sleep(TARGET_TIMEOUT);
    }
    link.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
        .ok();
}
