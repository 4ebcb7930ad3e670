//! The lines from which a failure is explained afterwards.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use spdlog::Level;

use crate::errors::ErrorKind;
use crate::ids::AccountName;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::StoreRevision;
use crate::ids::TargetName;
use crate::ids::ZoneName;

/// One decision that touches a request or changes what the process believes.
///
/// Fields are stable; docs/OPERATIONS.md lists them.
#[derive(Clone, Debug, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum DecisionLine {
    /// The process serves.
    #[display("{host} started")]
    Started {
        /// This host.
        host: HostName,
        /// The program's version.
        program: &'static str,
        /// Where callers connect.
        caller_address: SocketAddr,
        /// Where the balancer asks for readiness.
        ready_address: SocketAddr,
        /// Where metrics are served.
        metrics_address: Option<SocketAddr>,
    },
    /// The process ends.
    #[display("stopped")]
    Stopped {
        /// Requests that were cut.
        cut: usize,
    },
    /// The host takes nothing new and finishes what runs.
    #[display("leaving")]
    Leaving {
        /// Requests that run.
        running: usize,
    },
    /// The settings were read again.
    #[display("settings read again")]
    SettingsReloaded {
        /// Whether they differ from those before.
        changed: bool,
    },
    /// The settings were read again and refused; those before stay.
    #[display("settings refused: {fault}")]
    SettingsRefused {
        /// The first fault.
        fault: String,
    },
    /// The store does not answer.
    #[display("store lost: {reason}")]
    StoreLost {
        /// How it was noticed.
        reason: String,
    },
    /// The store answers again.
    #[display("store back")]
    StoreBack {
        /// The revision that it showed.
        revision: StoreRevision,
    },
    /// A catalog came into force.
    #[display("catalog {catalog} in force")]
    CatalogInForce {
        /// Its version.
        catalog: CatalogVersion,
        /// The peer that it came from; the store when absent.
        peer: Option<HostName>,
    },
    /// Targets changed.
    #[display("targets changed")]
    TargetsChanged {
        /// The revision of the view.
        revision: StoreRevision,
        /// Targets that are new or differ.
        changed: Vec<TargetName>,
        /// Targets that are gone.
        gone: Vec<TargetName>,
    },
    /// The targets of an availability zone get no new work, or do so again.
    #[display("evacuation of {availability_zone}: {active}")]
    ZoneEvacuation {
        /// The availability zone.
        availability_zone: ZoneName,
        /// The revision at which the store was changed.
        revision: StoreRevision,
        /// Whether the zone is evacuated.
        active: bool,
    },
    /// The peers that can be called changed.
    #[display("peers changed")]
    PeersChanged {
        /// All that can be called now.
        connected: Vec<HostName>,
    },
    /// Gossip with a peer failed, for the first time since an exchange succeeded.
    #[display("gossip with {peer} failed: {reason}")]
    GossipFailed {
        /// The peer.
        peer: HostName,
        /// How the call failed.
        reason: String,
        /// Age of the view of the targets, in milliseconds.
        view_age_ms: Option<u64>,
    },
    /// Gossip with a peer succeeds again.
    #[display("gossip with {peer} succeeds again")]
    GossipBack {
        /// The peer.
        peer: HostName,
    },
    /// A newer view could not be read from a peer.
    #[display("the view of {peer} can't be read: {reason}")]
    ViewFetchFailed {
        /// The peer that has it.
        peer: HostName,
        /// Its revision.
        revision: StoreRevision,
        /// The version of its catalog.
        catalog: CatalogVersion,
        /// How the call failed.
        reason: String,
    },
    /// Other hosts joined, said that they leave, or were not heard of for long.
    #[display("{hosts} hosts serve")]
    MembersChanged {
        /// Hosts that serve since.
        live: Vec<HostName>,
        /// Hosts that leave since.
        leaving: Vec<HostName>,
        /// Hosts that count as dead since.
        dead: Vec<HostName>,
        /// How many serve now, this one included; allowances are shared among them.
        hosts: usize,
    },
    /// Targets get no new work, as they can't be reached or say nothing, or again do.
    #[display("targets suspected")]
    TargetsSuspected {
        /// Targets that are passed over since.
        suspected: Vec<TargetName>,
        /// Targets that are used again since.
        back: Vec<TargetName>,
    },
    /// A target states a request limit, another one, or none any more.
    #[display("{target} takes {per_second:?} requests a second")]
    TargetLimited {
        /// The target.
        target: TargetName,
        /// Requests per second over all hosts; absent once the limit has ended.
        per_second: Option<f64>,
        /// The peer that reported it; absent for an answer of the target.
        peer: Option<HostName>,
    },
    /// A request was sent to a target.
    #[display("sent to {target}")]
    RequestSent {
        /// The request.
        request: String,
        /// The route.
        route: String,
        /// The account.
        account: Option<AccountName>,
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
        /// Which send of this request it is, from 1.
        attempt: u32,
        /// How long it waited for a target, in milliseconds.
        waited_ms: u64,
        /// How long its caller had waited in earlier attempts, in milliseconds.
        earlier_ms: u64,
        /// Tokens of its prompt, as it says itself.
        prompt_tokens: Option<u64>,
        /// The most tokens that it may get.
        output_tokens: Option<u64>,
        /// The tokens that its caller expects.
        expected_tokens: Option<u64>,
        /// The catalog that routed it.
        catalog: CatalogVersion,
        /// Age of the view of the targets, in milliseconds.
        view_age_ms: Option<u64>,
    },
    /// A send did not bring a whole answer.
    #[display("no whole answer from {target}")]
    SendFailed {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// Which send it was.
        attempt: u32,
        /// What happened.
        cause: String,
        /// Whether it is sent once more.
        again: bool,
    },
    /// A request was answered by a target.
    #[display("answered {status}")]
    RequestAnswered {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// The status.
        status: u16,
        /// How many sends it took.
        attempts: u32,
        /// From its arrival to the first byte towards the caller, in milliseconds.
        first_ms: u64,
        /// From its arrival to the end, in milliseconds.
        total_ms: u64,
        /// The longest pause between two events of a stream, in milliseconds.
        longest_pause_ms: u64,
    },
    /// A request was answered by the host itself, or cut.
    #[display("refused: {kind}")]
    RequestRefused {
        /// The request; empty where it named none.
        request: String,
        /// The account, where it is known by then.
        account: Option<AccountName>,
        /// What the request counts against the account's allowance, where that
        /// refused it.
        cost: Option<f64>,
        /// Why.
        kind: ErrorKind,
        /// The status; 0 where the connection was cut.
        status: u16,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
        /// How many sends there were.
        attempts: u32,
        /// From its arrival, in milliseconds.
        total_ms: u64,
        /// The catalog in force; 0 when there was none.
        catalog: CatalogVersion,
        /// How old the view of the store was, in milliseconds.
        evidence_age_ms: Option<u64>,
        /// How many requests of its pool waited.
        waiting: usize,
    },
    /// A request's caller left.
    #[display("caller left")]
    CallerLeft {
        /// The request.
        request: String,
        /// How many sends there were.
        attempts: u32,
        /// From its arrival, in milliseconds.
        total_ms: u64,
    },
    /// A target did not survive a request.
    #[display("{target} lost with a request")]
    TargetCrashed {
        /// The target.
        target: TargetName,
        /// The request that ran there.
        request: String,
        /// The request's fingerprint.
        fingerprint: String,
    },
}

impl DecisionLine {
    /// Returns the level at which the line is written.
    pub const fn level(&self) -> Level {
        match self {
            Self::RequestSent { .. } | Self::RequestAnswered { .. } => Level::Debug,
            Self::StoreLost { .. }
            | Self::GossipFailed { .. }
            | Self::ViewFetchFailed { .. }
            | Self::SettingsRefused { .. }
            | Self::SendFailed { .. }
            | Self::RequestRefused { .. }
            | Self::TargetCrashed { .. } => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Tells whether the line may be left out when there are too many: only what
    /// went as it should.
    pub const fn is_plain(&self) -> bool {
        matches!(
            self,
            Self::RequestSent { .. } | Self::RequestAnswered { .. } | Self::CallerLeft { .. }
        )
    }
}
