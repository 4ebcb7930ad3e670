//! The settings of one host, as an adapter gives them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::ids::HostName;
use crate::ids::ZoneName;
use crate::json::DocumentFault;
use crate::quota::QuotaTolerance;
use crate::quota::RetryBounds;

/// The settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EdgeSettings {
    /// The host's name, unique among its peers.
    pub(crate) host: HostName,
    /// Its availability zone.
    pub(crate) availability_zone: ZoneName,
    /// Where callers connect.
    pub(crate) caller_address: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub(crate) ready_address: SocketAddr,
    /// Where peers connect.
    pub(crate) peer_address: SocketAddr,
    /// Where metrics are read.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// Where to find some peers; may be stale.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The processor time that the host has, in thousandths of a core.
    pub(crate) capacity: u32,
    /// How many file descriptors the process may have.
    pub(crate) max_descriptors: usize,
    /// What must hold, in figures.
    pub(crate) bounds: EdgeBounds,
}

/// What must hold, in figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EdgeBounds {
    /// How long the process has from the signal to leave to its end.
    pub(crate) shutdown_grace: Duration,
    /// How old the view of keys may be for a request with a key to run; `None`
    /// where a key that was taken away need not bind hosts that are cut off.
    pub(crate) max_key_age: Option<Duration>,
    /// Within which a new configuration must be in force.
    pub(crate) max_configuration_delay: Duration,
    /// Within which a target that leaves, or whose availability zone is evacuated, must get
    /// no new work.
    pub(crate) max_target_delay: Duration,
    /// Repeats by requests, over all hosts.
    pub(crate) retry_ratio: f64,
    /// Repeats beyond that in a window, over all hosts.
    pub(crate) retry_slack: f64,
    /// The window of repeats.
    pub(crate) retry_window: Duration,
    /// How far all hosts together may go beyond an account's allowance.
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
    /// Returns the bound on repeats.
    pub(crate) const fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}

/// Reads the settings again while the process runs.
pub(crate) trait SettingsLoader: Send + Sync + 'static {
    /// Reads the settings as they stand now.
    ///
    /// # Errors
    ///
    /// Every fault; the settings before stay in force.
    fn load(&self) -> Result<EdgeSettings, Vec<DocumentFault>>;

    /// Returns the file, whose changes are noticed without a signal.
    fn path(&self) -> &Path;
}
