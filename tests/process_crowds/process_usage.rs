//! What a process holds: memory, unread bytes of its connections, descriptors.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";

/// Returns the peak of a process's resident memory, in bytes.
///
/// # Panics
///
/// The process has ended.
pub(crate) fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes = kilobytes.expect("the process lives");
    kilobytes.parse::<u64>().unwrap() << 10
}

/// Returns the bytes that the kernel received for connections to these addresses, and that were
/// not read yet.
pub(crate) fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let names: Vec<String> = addresses.iter().map(table_name).collect();
    let table = fs::read_to_string("/proc/self/net/tcp").unwrap();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_counted = fields[3] != LISTENING && names.iter().any(|name| *name == fields[1]);
        let (_, unread) = fields[4].split_once(':')?;
        is_counted.then(|| u64::from_str_radix(unread, 16).unwrap())
    });
    unread.sum()
}

/// Returns the number of a process's open descriptors.
pub(crate) fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

/// Returns an address as it stands in the kernel's table.
fn table_name(address: &SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("{address} is not an IPv4 address");
    };
    let ip = u32::from_ne_bytes(ip.octets());
    format!("{ip:08X}:{:04X}", address.port())
}
