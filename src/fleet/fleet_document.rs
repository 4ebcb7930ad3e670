//! The typed form of the fleet document's JSON.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::ids::RosterNumber;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::ids::TokenCount;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// Operator-defined labels of a target, class or account.
pub type LabelMap = SortedMap<String, String>;

/// The complete configuration of one fleet, published by its operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Increases with each edit; a lower version is never put in force.
    pub version: FleetVersion,
    /// The version that this edit is based on, if the editor states it.
    #[serde(default)]
    pub edited_from: Option<FleetVersion>,
    /// The entry hosts that hold seats.
    pub roster: SeatRoster,
    /// The roster that `roster` replaces; absent in the first document of a fleet.
    #[serde(default)]
    pub former: Option<SeatRoster>,
    /// The operator's statement that every seat of `former` is permanently lost.
    #[serde(default)]
    pub former_lost: bool,
    /// The engines and services.
    pub targets: Vec<FleetTarget>,
    /// The request classes, in the order in which their routes are matched.
    pub classes: Vec<ClassRule>,
    /// The client accounts.
    pub accounts: Vec<ClientAccount>,
    /// Fleet-wide limits.
    #[serde(default)]
    pub limits: FleetLimits,
}

/// A numbered set of seats, the hosts that vote on claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SeatRoster {
    /// Increases with each change of the seats.
    pub number: RosterNumber,
    /// The seats.
    pub seats: Vec<SeatAddress>,
}

/// One entry host's seat.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SeatAddress {
    /// The host that holds the seat; a replacement host has a new name.
    pub host: HostName,
    /// The address at which peers reach the host.
    pub address: SocketAddr,
    /// The host's availability zone.
    pub availability_zone: ZoneName,
}

/// The kind of a back end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine: continuous batching, token streaming, resumption and cancellation.
    Engine,
    /// A plain service: one answer per call.
    Service,
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Accepts new work.
    #[default]
    Live,
    /// Finishes running work and accepts nothing new.
    Leaving,
}

/// A back end that serves requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTarget {
    /// The target's name.
    pub name: TargetName,
    /// The kind of back end.
    pub kind: TargetKind,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub availability_zone: ZoneName,
    /// Operator-defined labels, such as `model`, `generation` or `lot`.
    #[serde(default)]
    pub labels: LabelMap,
    /// The maximum number of concurrent requests, over all hosts.
    pub slots: u32,
    /// Whether the target accepts new work.
    #[serde(default)]
    pub state: TargetState,
    /// A selector over a request's labels (those of its class and account, and
    /// `class`, `account`, `tier`); only matching requests may use the target.
    #[serde(default)]
    pub accepts: String,
}

/// A method and path that assign a request to a class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The HTTP method.
    pub method: String,
    /// The exact path, or a prefix if it ends in `/*`.
    pub path: String,
}

/// A class of requests and the targets that may serve it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The class's name. Where several classes share a route, a caller selects one
    /// with `Request-Class`; without the header the first in order applies.
    pub name: ClassName,
    /// Operator-defined labels.
    #[serde(default)]
    pub labels: LabelMap,
    /// The routes of the class.
    pub routes: Vec<RouteRule>,
    /// A selector over the targets' labels (and `kind`, `name`,
    /// `availability_zone`); only matching targets serve the class.
    pub targets: String,
    /// The priority tier; 0 is the highest.
    pub tier: TierRank,
    /// Whether a call of the class may safely run more than once.
    pub idempotent: bool,
    /// The deadline for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The expected prompt length in tokens, used where the body doesn't state it.
    #[serde(default)]
    pub expected_prompt_tokens: TokenCount,
    /// The expected answer length in tokens.
    #[serde(default)]
    pub expected_output_tokens: TokenCount,
    /// The maximum body size in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

const fn default_max_body_bytes() -> u64 {
    1 << 20
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name.
    pub name: AccountName,
    /// The SHA-256 of the bearer token in hexadecimal; the token itself is not stored.
    pub token_sha256: String,
    /// Operator-defined labels.
    #[serde(default)]
    pub labels: LabelMap,
    /// The account's weight in the fair queue; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The maximum request rate per second over all hosts; unlimited if absent.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// The maximum burst above the rate, in requests; equal to the rate if absent.
    #[serde(default)]
    pub burst: Option<u32>,
}

const fn default_weight() -> u32 {
    1
}

/// Fleet-wide limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetLimits {
    /// How long seats retain a request id, in milliseconds.
    pub claim_window_ms: u64,
    /// The maximum tolerated difference between two clocks, in milliseconds.
    pub clock_skew_ms: u64,
    /// The maximum number of requests queued on one host.
    pub max_waiting: u32,
    /// The maximum size of the answers that a host caches for resends, in bytes.
    pub kept_answer_bytes: u64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            claim_window_ms: 600_000,
            clock_skew_ms: 500,
            max_waiting: 4096,
            kept_answer_bytes: 16 << 20,
        }
    }
}
