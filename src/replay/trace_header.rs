//! The first line of a trace: the fleet, the network and the faults.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetKind;
use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::ZoneName;

/// The version of the trace format that this build reads and writes.
pub const TRACE_FORMAT: u32 = 1;

/// The first line of a trace: the fleet, the network and the faults.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// The version of the format; see [`TRACE_FORMAT`].
    pub format: u32,
    /// The name of the trace in reports.
    pub name: String,
    /// The entry hosts.
    pub hosts: Vec<HostName>,
    /// The targets and their speeds.
    pub targets: Vec<TraceTarget>,
    /// The classes and their targets.
    pub classes: Vec<TraceClass>,
    /// The accounts and their weights.
    pub accounts: Vec<TraceAccount>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<TraceFault>,
    /// The one-way network delay between two hosts, in milliseconds.
    #[serde(default = "default_network_ms")]
    pub network_ms: u64,
    /// The age of a target's load report on arrival, in milliseconds.
    #[serde(default = "default_report_lag_ms")]
    pub report_lag_ms: u64,
    /// The delay until the platform's list no longer contains a lost host, in milliseconds.
    #[serde(default = "default_list_lag_ms")]
    pub list_lag_ms: u64,
}

const fn default_network_ms() -> u64 {
    1
}

const fn default_report_lag_ms() -> u64 {
    500
}

const fn default_list_lag_ms() -> u64 {
    3000
}

/// A target of the trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceTarget {
    /// The target's name.
    pub name: TargetName,
    /// Whether it is an engine or a service.
    pub kind: TargetKind,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// The target's availability zone.
    pub availability_zone: ZoneName,
    /// The speed of the target's model.
    #[serde(default)]
    pub pace: TargetPace,
}

/// The speed of a target's model; the defaults are those of the reference engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetPace {
    /// The duration of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// The time that each sequence of the batch adds to a step, in microseconds.
    pub sequence_us: u64,
    /// The time that each prefilled prompt token adds to a step, in microseconds.
    pub prefill_us: u64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// The duration of one call of a service, in microseconds.
    pub call_us: u64,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self {
            step_us: 18_000,
            sequence_us: 600,
            prefill_us: 100,
            chunk_tokens: 512,
            cache_tokens: 20_000,
            call_us: 50_000,
        }
    }
}

/// A class of the trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceClass {
    /// The class's name.
    pub name: ClassName,
    /// The targets that serve it.
    pub targets: Vec<TargetName>,
}

/// An account of the trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceAccount {
    /// The account's name.
    pub name: AccountName,
    /// The account's weight in the fair queue.
    pub weight: u32,
}

/// A fault to inject.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum TraceFault {
    /// A target becomes slower by a factor, which its load reports don't show.
    SlowTarget {
        /// The target.
        target: TargetName,
        /// The slowdown factor.
        factor: u32,
        /// Start, in milliseconds since the start of the trace.
        from_ms: u64,
        /// End, in milliseconds since the start of the trace.
        to_ms: u64,
    },
    /// Hosts fail permanently, and their requests are lost.
    LostHosts {
        /// The hosts.
        hosts: Vec<HostName>,
        /// Time, in milliseconds since the start of the trace.
        at_ms: u64,
    },
    /// Some hosts can't reach the others; callers and targets are not affected.
    Partition {
        /// The hosts on one side of the partition.
        hosts: Vec<HostName>,
        /// Start, in milliseconds since the start of the trace.
        from_ms: u64,
        /// End, in milliseconds since the start of the trace.
        to_ms: u64,
    },
}
