//! Resource usage of the current process.

use cardamomgw::peers::PeerMesh;

/// Clock ticks per second in `/proc/self/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the bytes read and written over all peer connections.
pub(crate) fn wire_bytes(mesh: &PeerMesh) -> f64 {
    let links = mesh.links();
    let bytes: u64 = links
        .iter()
        .map(|link| link.read_bytes + link.written_bytes)
        .sum();
    bytes as f64
}

/// Returns the CPU time of this process, in microseconds.
pub(crate) fn cpu_micros() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks: f64 = [13, 14]
        .iter()
        .filter_map(|index| fields.get(*index)?.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND * 1e6
}
