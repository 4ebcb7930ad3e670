//! The typed form of a host's settings file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::ZoneName;

/// The commented default settings, printed by `cardamomgw settings`.
pub const DEFAULT_SETTINGS: &str = include_str!("../../resources/host.json");

/// The minimum severity of written log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and conditions that may lead to one.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// The settings that a process needs before it can read its configuration from the
/// platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name; its seat in the roster has the same name.
    pub host: HostName,
    /// The host's availability zone.
    pub availability_zone: ZoneName,
    /// Whether the whole fleet starts for the first time, so that no request has crashed a target
    /// before.
    #[serde(default)]
    pub first_start: bool,
    /// The listening address for callers.
    pub caller_address: SocketAddr,
    /// The listening address for peers.
    pub peer_address: SocketAddr,
    /// The listening address for operators (`/metrics`, `/status`, `/ready`).
    pub operator_address: SocketAddr,
    /// The platform's addresses, tried in order.
    pub platform_addresses: Vec<SocketAddr>,
    /// The name of the fleet document at the platform.
    pub scope: String,
    /// Addresses of seats to contact before the first document is known; may be empty.
    #[serde(default)]
    pub peer_addresses: Vec<SocketAddr>,
    /// The shared key by which the system's processes authenticate to each other.
    pub peer_key: String,
    /// The memory that the process may use, in MiB. Requests may hold a quarter of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// The minimum severity of written log lines.
    #[serde(default)]
    pub log_level: LogLevel,
    /// The file that receives a trace for `replay`; nothing is recorded if absent.
    #[serde(default)]
    pub trace_file: Option<String>,
}

/// The memory that a process may use by default, in MiB.
const DEFAULT_MEMORY_MB: usize = 128;

impl HostSettings {
    /// Returns the memory that the process may use, in bytes.
    pub(crate) const fn memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1 << 20)
    }
}

const fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}
