//! Settings of one host, independent of the platform's file format.

use std::net::SocketAddr;
use std::time::Duration;

use super::LoadControl;
use crate::ids::HostName;
use crate::ids::ZoneName;
use crate::json::DocumentFault;
use crate::quota::QuotaTolerance;
use crate::quota::RetryBounds;

/// The settings file of a host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EdgeSettings {
    pub(crate) startup: StartupSettings,
    pub(crate) runtime: RuntimeSettings,
}

/// Settings that the process reads once. A changed one takes effect at the next start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StartupSettings {
    /// The host's name, unique among its peers.
    pub(crate) host: HostName,
    /// Whether the whole fleet starts for the first time, so that there are no losses of before.
    pub(crate) is_first_start: bool,
    pub(crate) availability_zone: ZoneName,
    /// Where callers connect.
    pub(crate) caller_address: SocketAddr,
    /// Where the load balancer sends readiness probes.
    pub(crate) ready_address: SocketAddr,
    /// Where peers connect.
    pub(crate) peer_address: SocketAddr,
    /// Where metrics are scraped.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// Memory of the machine, in bytes.
    pub(crate) memory_bytes: usize,
}

/// Settings that take effect when they are reloaded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RuntimeSettings {
    /// Addresses of some peers; may be out of date.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Where the store of configuration and targets is.
    pub(crate) store_address: SocketAddr,
    /// Available processor time, in thousandths of a core.
    pub(crate) capacity: u32,
    /// Limit on open descriptors of the process for connections.
    pub(crate) max_descriptors: usize,
    pub(crate) bounds: EdgeBounds,
    /// Settings of the decisions under heavy load.
    pub(crate) load_control: LoadControl,
}

impl StartupSettings {
    /// Returns the names of the settings that differ.
    pub(crate) fn differences(&self, other: &Self) -> Vec<&'static str> {
        let Self {
            host,
            is_first_start,
            availability_zone,
            caller_address,
            ready_address,
            peer_address,
            metrics_address,
            memory_bytes,
        } = self;
        names_of(&[
            ("host", *host != other.host),
            ("is_first_start", *is_first_start != other.is_first_start),
            (
                "availability_zone",
                *availability_zone != other.availability_zone,
            ),
            ("caller_address", *caller_address != other.caller_address),
            ("ready_address", *ready_address != other.ready_address),
            ("peer_address", *peer_address != other.peer_address),
            ("metrics_address", *metrics_address != other.metrics_address),
            ("memory_bytes", *memory_bytes != other.memory_bytes),
        ])
    }
}

impl RuntimeSettings {
    /// Returns the names of the settings that differ.
    pub(crate) fn differences(&self, other: &Self) -> Vec<&'static str> {
        let Self {
            seeds,
            store_address,
            capacity,
            max_descriptors,
            bounds,
            load_control,
        } = self;
        names_of(&[
            ("seeds", *seeds != other.seeds),
            ("store_address", *store_address != other.store_address),
            ("capacity", *capacity != other.capacity),
            ("max_descriptors", *max_descriptors != other.max_descriptors),
            ("bounds", *bounds != other.bounds),
            ("load_control", *load_control != other.load_control),
        ])
    }
}

/// Returns the names of the settings that are marked as different.
fn names_of(settings: &[(&'static str, bool)]) -> Vec<&'static str> {
    let different = settings.iter().filter(|(_, differs)| *differs);
    different.map(|(name, _)| *name).collect()
}

/// Service levels that the host must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EdgeBounds {
    /// Time between the stop signal and the exit of the process.
    pub(crate) shutdown_grace: Duration,
    /// Maximum age of the key data on which a request with a key may be admitted. `None`
    /// where key revocation need not reach hosts that are cut off from the store.
    pub(crate) max_key_age: Option<Duration>,
    /// Time within which a new configuration must take effect.
    pub(crate) max_configuration_delay: Duration,
    /// Time within which a target that is leaving, or whose availability zone is
    /// evacuated, must stop receiving new work.
    pub(crate) max_target_delay: Duration,
    /// Allowed retries per request, across all hosts.
    pub(crate) retry_ratio: f64,
    /// Allowed retries per window in addition to the ratio, across all hosts.
    pub(crate) retry_slack: f64,
    /// The window over which retries are counted.
    pub(crate) retry_window: Duration,
    /// How far all hosts together may exceed an account's quota.
    pub(crate) quota_tolerance: QuotaTolerance,
}

impl Default for EdgeBounds {
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(8),
            max_key_age: Some(Duration::from_secs(5)),
            max_configuration_delay: Duration::from_secs(2),
            max_target_delay: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window: Duration::from_secs(10),
            quota_tolerance: QuotaTolerance {
                window: Duration::from_secs(8),
                overage: 0.0,
                slack: 0.0,
            },
        }
    }
}

impl EdgeBounds {
    /// Returns the limits on retries.
    pub(crate) const fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}

/// Reloads the settings while the process runs.
pub(crate) trait SettingsLoader: Send + Sync + 'static {
    /// Reads the current settings.
    ///
    /// # Errors
    ///
    /// All faults that were found. The previous settings stay in effect.
    fn load(&self) -> Result<EdgeSettings, Vec<DocumentFault>>;
}
