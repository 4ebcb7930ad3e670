//! Maps connections to the processes that opened them.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

/// Returns which of `processes` owns the socket with the local address `client`.
///
/// A link uses it to apply rules per host: all connections come from the loopback address, so
/// only the kernel's socket tables tell which host opened one.
pub(crate) fn socket_owner(client: SocketAddr, processes: &[u32]) -> Option<u32> {
    let link = format!("socket:[{}]", socket_inode(client)?);
    processes
        .iter()
        .copied()
        .find(|process| holds_socket(*process, &link))
}

/// Returns the inode of the socket with the local address `client`. Sockets at other addresses of
/// the loopback range may have the same port.
fn socket_inode(client: SocketAddr) -> Option<u64> {
    let IpAddr::V4(ip) = client.ip() else {
        return None;
    };
    let address = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(ip.octets()),
        client.port()
    );
    let table = fs::read_to_string("/proc/self/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let local = fields.get(1)?;
        let inode: u64 = fields.get(9)?.parse().ok()?;
        (*local == address && inode != 0).then_some(inode)
    })
}

fn holds_socket(process: u32, link: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    entries
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok())
        .any(|target| target.to_string_lossy() == link)
}
