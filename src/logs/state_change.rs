//! The lines of the state log.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use spdlog::Level;

use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::ids::RosterNumber;
use crate::ids::TargetName;
use crate::ids::TierRank;

/// A logged change of the host's state. Single requests are counted in the metrics and
/// never logged here.
#[derive(Clone, Debug, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum StateChange {
    /// The process started listening.
    #[display("{host} started")]
    Started {
        /// This host.
        host: HostName,
        /// The program's version.
        program: &'static str,
        /// The address for callers.
        caller_address: SocketAddr,
    },
    /// The host accepts requests.
    #[display("ready")]
    Ready,
    /// The host accepts no requests.
    #[display("not ready: {reason}")]
    NotReady {
        /// The reason.
        reason: String,
    },
    /// A fleet document came into force.
    #[display("configuration {version} is in force")]
    ConfigurationAccepted {
        /// The document's version.
        version: FleetVersion,
        /// The document's SHA-256 digest, in hexadecimal.
        digest: String,
        /// The peer that it was fetched from; absent if it came from the platform.
        peer: Option<HostName>,
    },
    /// A fleet document was refused; the previous one stays in force.
    #[display("configuration was refused: {first_fault}")]
    ConfigurationRefused {
        /// The document's version, if it could be read.
        version: Option<FleetVersion>,
        /// How many faults it has.
        faults: usize,
        /// The first fault.
        first_fault: String,
    },
    /// Two different documents have the same version; the first one stays in force.
    #[display("two different configurations have version {version}; the first stays")]
    ConfigurationConflict {
        /// The version of both documents.
        version: FleetVersion,
    },
    /// A roster became active.
    #[display("roster {number} is active")]
    RosterActive {
        /// The roster's number.
        number: RosterNumber,
    },
    /// No majority of seats answers; nothing is dispatched.
    #[display("no majority of seats answers")]
    MajorityLost,
    /// A majority of seats answers again.
    #[display("a majority of seats answers")]
    MajorityBack,
    /// A seat left a claim unanswered, for the first time after it answered. If this host itself
    /// gets no processor time, it notices the time limit late.
    #[display("seat {seat} left a claim unanswered: {reason}")]
    SeatUnanswered {
        /// The seat.
        seat: HostName,
        /// How the call failed.
        reason: String,
        /// Time from the call until its failure was noticed, in milliseconds.
        waited_ms: u64,
        /// The part of it that lies beyond the time limit of the call, in milliseconds.
        late_ms: u64,
    },
    /// A seat answers claims again.
    #[display("seat {seat} answers claims again")]
    SeatBack {
        /// The seat.
        seat: HostName,
    },
    /// A peer is connected.
    #[display("peer {host} is connected")]
    PeerConnected {
        /// The peer.
        host: HostName,
    },
    /// The connection to a peer was lost.
    #[display("peer {host} is lost: {reason}")]
    PeerLost {
        /// The peer.
        host: HostName,
        /// How this was detected.
        reason: String,
    },
    /// A connection to the address for peers was refused.
    #[display("a peer at {address} was refused: {reason}")]
    PeerRefused {
        /// The address of the connecting end.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The platform doesn't answer.
    #[display("the platform is unreachable: {reason}")]
    PlatformLost {
        /// How this was detected.
        reason: String,
    },
    /// The platform answers again.
    #[display("the platform is reachable again")]
    PlatformBack,
    /// A target accepts new requests.
    #[display("target {target} is live")]
    TargetLive {
        /// The target.
        target: TargetName,
    },
    /// A target accepts no new requests and completes the running ones.
    #[display("target {target} is leaving")]
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// A target doesn't answer.
    #[display("target {target} is lost: {reason}")]
    TargetLost {
        /// The target.
        target: TargetName,
        /// How this was detected.
        reason: String,
    },
    /// Requests with one fingerprint are refused, because they crash targets.
    #[display("requests that crash targets are refused")]
    CrashingRequest {
        /// The fingerprint, in hexadecimal.
        fingerprint: String,
        /// The targets that crashed.
        targets: Vec<TargetName>,
    },
    /// A request that is refused because it crashes targets runs once more.
    #[display("trial of a refused request at {target}")]
    TrialStarted {
        /// The target.
        target: TargetName,
        /// The fingerprint, in hexadecimal.
        fingerprint: String,
    },
    /// The lowest tier that is admitted changed.
    #[display("tiers above {tier} are shed")]
    ShedLevel {
        /// The lowest tier that is admitted.
        tier: TierRank,
    },
    /// SIGHUP was received, for example since the terminal or shell that started the process
    /// ended. The host continues.
    #[display("hang-up ignored")]
    HangUpIgnored,
    /// The host accepts no new requests and completes the running ones.
    #[display("draining: {waiting} waiting, {running} running")]
    DrainBegan {
        /// Waiting requests.
        waiting: usize,
        /// Running requests.
        running: usize,
    },
    /// All requests have ended.
    #[display("drained")]
    DrainEnded,
    /// The daemon detected a fault of its own.
    #[display("internal fault: {fault}")]
    InternalFault {
        /// The fault.
        fault: String,
    },
}

impl StateChange {
    /// Returns the line's log level.
    pub fn level(&self) -> Level {
        match self {
            Self::ConfigurationConflict { .. }
            | Self::InternalFault { .. }
            | Self::MajorityLost => Level::Error,
            Self::ConfigurationRefused { .. }
            | Self::CrashingRequest { .. }
            | Self::NotReady { .. }
            | Self::PeerLost { .. }
            | Self::PeerRefused { .. }
            | Self::PlatformLost { .. }
            | Self::SeatUnanswered { .. }
            | Self::ShedLevel { .. }
            | Self::TargetLost { .. }
            | Self::TrialStarted { .. } => Level::Warn,
            Self::PeerConnected { .. } => Level::Debug,
            Self::ConfigurationAccepted { .. }
            | Self::DrainBegan { .. }
            | Self::DrainEnded
            | Self::HangUpIgnored
            | Self::MajorityBack
            | Self::PlatformBack
            | Self::Ready
            | Self::RosterActive { .. }
            | Self::SeatBack { .. }
            | Self::Started { .. }
            | Self::TargetLeaving { .. }
            | Self::TargetLive { .. } => Level::Info,
        }
    }
}
