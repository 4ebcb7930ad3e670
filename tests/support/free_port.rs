//! Port allocation for processes whose settings name their ports before they start.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First allocated port; the range lies below the kernel's ephemeral ports.
const FIRST_PORT: u16 = 10_000;
/// Number of ports reserved for each test process.
const PORTS_PER_PROCESS: u16 = 200;
/// Number of port blocks; test processes whose ids differ by a multiple of it share a block.
const PORT_BLOCKS: u32 = 110;

/// Serialises port probes and process starts: between fork and exec, a child holds a copy of the
/// socket with which another test probes a port.
pub(crate) static PORT_LOCK: Mutex<()> = Mutex::new(());

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with a free port.
pub(crate) fn free_address() -> SocketAddr {
    let base = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORTS_PER_PROCESS;
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], base + offset));
        let _lock = PORT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
