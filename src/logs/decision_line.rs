//! The lines of the decision log, from which failures are diagnosed.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use spdlog::Level;

use crate::capacity::WindowCause;
use crate::errors::ErrorKind;
use crate::ids::AccountName;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::ids::StoreRevision;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::peers::ForwardCause;
use crate::quota::QuotaSnapshot;
use crate::streams::VersionClaim;

/// How the version that began a stream is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OriginSource {
    /// The host remembers the stream.
    Memory,
    /// A peer remembers it.
    Peer,
    /// The pool had no other version for as long as the stream can have lasted.
    Claims,
    /// Targets of this version, and of no other, keep the prompt of the stream.
    Holders,
}

/// A decision about a request, or a change of the process's view of its environment.
///
/// The fields are a stable format; docs/OPERATIONS.md lists them.
#[derive(Clone, Debug, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum DecisionLine {
    /// The process started serving.
    #[display("{host} started")]
    Started {
        /// This host.
        host: HostName,
        /// The program's version.
        program: &'static str,
        /// The address for callers.
        caller_address: SocketAddr,
        /// The address for the load balancer's readiness checks.
        ready_address: SocketAddr,
        /// The address for metrics, if configured.
        metrics_address: Option<SocketAddr>,
    },
    /// The process is ending.
    #[display("stopped")]
    Stopped {
        /// Requests that were aborted.
        cut: usize,
    },
    /// The host accepts no new requests and completes the running ones.
    #[display("leaving")]
    Leaving {
        /// Running requests.
        running: usize,
    },
    /// The settings were reloaded.
    #[display("settings reloaded")]
    SettingsReloaded {
        /// The settings that differ from the previous ones and take effect now.
        changed: Vec<&'static str>,
        /// The settings that differ from those of the start and take effect at the next one.
        at_next_start: Vec<&'static str>,
    },
    /// The addresses at which the host looks for peers are others than before.
    #[display("seeds changed")]
    SeedsChanged {
        /// Addresses from the settings to which links are maintained.
        seeds: Vec<SocketAddr>,
    },
    /// The reloaded settings were refused; the previous ones stay in force.
    #[display("settings refused: {fault}")]
    SettingsRefused {
        /// The first fault.
        fault: String,
    },
    /// The store doesn't answer.
    #[display("store unreachable: {reason}")]
    StoreLost {
        /// How this was detected.
        reason: String,
    },
    /// The store answers again.
    #[display("store reachable again")]
    StoreBack {
        /// The store's revision.
        revision: StoreRevision,
    },
    /// The store continues from an older copy of itself.
    #[display("store went back from {from} to {to}")]
    StoreRewound {
        /// Up to which revision the view was complete before.
        from: StoreRevision,
        /// The revision of the first view of the new era.
        to: StoreRevision,
        /// Targets that were leaving, which get no requests.
        leaving: Vec<TargetName>,
        /// Targets that were removed, which get no requests for some seconds.
        returning: Vec<TargetName>,
    },
    /// The whole view was read from the store: at the start, after expired history, or because
    /// the store does not have the revision that this host holds.
    #[display("whole view read from the store")]
    StoreRead {
        /// Up to which revision the view was complete before.
        held: StoreRevision,
        /// The store's revision.
        revision: StoreRevision,
        /// Number of targets in the store.
        targets: usize,
    },
    /// A catalog came into force.
    #[display("catalog {catalog} in force")]
    CatalogInForce {
        /// Its version.
        catalog: CatalogVersion,
        /// The peer that it was fetched from; absent if it came from the store.
        peer: Option<HostName>,
    },
    /// Targets changed.
    #[display("targets changed")]
    TargetsChanged {
        /// The revision of the view.
        revision: StoreRevision,
        /// Targets that are new or changed.
        changed: Vec<TargetName>,
        /// Targets that were removed.
        gone: Vec<TargetName>,
    },
    /// The evacuation of an availability zone began or ended; while it is active, the zone's
    /// targets get no new requests.
    #[display("evacuation of {availability_zone}: {active}")]
    ZoneEvacuation {
        /// The availability zone.
        availability_zone: ZoneName,
        /// The store revision of the change.
        revision: StoreRevision,
        /// Whether the zone is evacuated.
        active: bool,
    },
    /// The set of connected peers changed.
    #[display("peers changed")]
    PeersChanged {
        /// All connected peers.
        connected: Vec<HostName>,
    },
    /// Gossip with a peer failed, for the first time after a successful exchange.
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
    /// Fetching a newer view from a peer failed.
    #[display("the view of {peer} can't be fetched: {reason}")]
    ViewFetchFailed {
        /// The peer that has the newer view.
        peer: HostName,
        /// The view's revision.
        revision: StoreRevision,
        /// The version of the peer's catalog.
        catalog: CatalogVersion,
        /// How the call failed.
        reason: String,
    },
    /// Other hosts joined, announced that they leave, or were declared dead.
    #[display("members changed: {hosts} hosts serving")]
    MembersChanged {
        /// Hosts that now serve.
        live: Vec<HostName>,
        /// Hosts that are now leaving.
        leaving: Vec<HostName>,
        /// Hosts that are now considered dead.
        dead: Vec<HostName>,
        /// Number of serving hosts, including this one.
        hosts: usize,
    },
    /// An account is near its quota; once a second, at each host that serves it.
    #[display("{} tokens of {} are used of the quota", snapshot.known, snapshot.account)]
    QuotaUsed {
        /// The usage that this host knows of.
        #[serde(flatten)]
        snapshot: QuotaSnapshot,
    },
    /// Targets became suspected, because they are unreachable or unresponsive, or recovered;
    /// suspected targets get no new requests.
    #[display("suspected targets changed")]
    TargetsSuspected {
        /// Targets that are now suspected.
        suspected: Vec<TargetName>,
        /// Targets that have recovered.
        back: Vec<TargetName>,
    },
    /// Targets were ejected, because they failed request after request, or are used again.
    #[display("ejected targets changed")]
    TargetsEjected {
        /// Targets that are now ejected.
        ejected: Vec<TargetName>,
        /// Targets that are used again.
        back: Vec<TargetName>,
    },
    /// The range of a pool's targets that this host's group prefers changed; written by the
    /// leader.
    #[display("the shard of {pool} has {targets} targets")]
    ShardChanged {
        /// The pool.
        pool: PoolName,
        /// Number of targets in the shard.
        targets: usize,
        /// Where the range starts, as a fraction of the targets; absent if ranges are equal.
        start: Option<f64>,
        /// Where it ends.
        end: Option<f64>,
    },
    /// A target announced a request limit, changed it, or has none any more.
    #[display("{target} accepts {per_second:?} requests per second")]
    TargetLimited {
        /// The target.
        target: TargetName,
        /// Requests per second over all hosts; absent when there is no limit any more.
        per_second: Option<f64>,
        /// The peer that reported it; absent if it came with an answer of the target.
        peer: Option<HostName>,
    },
    /// This host began to limit what it has outstanding at a plain target, or no longer does.
    #[display("{target} may have {window:?} requests of this host outstanding")]
    TargetWindow {
        /// The target.
        target: TargetName,
        /// The limit; absent when there is none any more. Below one it is a fraction of the time.
        window: Option<f64>,
        /// The recent latency of its answers to this host.
        latency_ms: Option<u64>,
        /// Why there is a limit; absent when there is none any more.
        cause: Option<WindowCause>,
    },
    /// The targets of a pool stated in an answer that they crash after so many rejections in a
    /// second, or no longer do.
    #[display("{pool} tolerates {per_second:?} rejections per second")]
    PoolBrittle {
        /// The pool.
        pool: PoolName,
        /// Rejections per second of a target; absent when the pool is not brittle any more.
        per_second: Option<f64>,
        /// The peer that reported it; absent if it came with an answer of a target.
        peer: Option<HostName>,
    },
    /// A target stated in an answer that it is leaving.
    #[display("{target} is leaving")]
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// The request that it answered; absent if a peer reported it.
        request: Option<String>,
        /// The status of the answer; absent if a peer reported it.
        status: Option<u16>,
        /// The peer that reported it; absent if it came with an answer of the target.
        peer: Option<HostName>,
    },
    /// A target rejected a request and asked for no others for some time.
    #[display("{target} asks for a pause of {pause_ms} ms")]
    TargetPaused {
        /// The target.
        target: TargetName,
        /// The request that it rejected.
        request: String,
        /// Length of the pause, in milliseconds.
        pause_ms: u64,
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
        /// The version of the target's software.
        version: SoftwareVersion,
        /// The attempt that began the stream, if the request asks for the rest of one.
        resumes: Option<String>,
        /// The number of this send of the request, from 1.
        attempt: u32,
        /// How long the request waited for a target, in milliseconds.
        waited_ms: u64,
        /// The number of prompt tokens declared by the request.
        prompt_tokens: Option<u64>,
        /// The maximum number of output tokens.
        output_tokens: Option<u64>,
        /// The number of output tokens that the caller expects.
        expected_tokens: Option<u64>,
        /// The version of the catalog that routed the request.
        catalog: CatalogVersion,
        /// Age of the view of the targets, in milliseconds.
        view_age_ms: Option<u64>,
    },
    /// A send did not result in a complete answer.
    #[display("no complete answer from {target}")]
    SendFailed {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// The number of the send.
        attempt: u32,
        /// The cause.
        cause: String,
        /// Whether the head of a response was received.
        head_received: bool,
        /// How the target declared the end of the response: `length`, `chunked` or `close`;
        /// absent if no head was received.
        framing: Option<&'static str>,
        /// Whether the request is sent again.
        again: bool,
    },
    /// A target answered a request.
    #[display("answered {status}")]
    RequestAnswered {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// The status.
        status: u16,
        /// Number of sends.
        attempts: u32,
        /// From the request's arrival to the first byte sent to the caller, in milliseconds.
        first_ms: u64,
        /// From the request's arrival to the end of the answer, in milliseconds.
        total_ms: u64,
        /// The longest pause between two events of a stream, in milliseconds.
        longest_pause_ms: u64,
        /// How the target declared the end of the response: `length`, `chunked` or `close`.
        framing: Option<&'static str>,
    },
    /// Connections to several targets of a pool fail, while peers reach them or did not try: this
    /// host has lost its path, and forwards requests to peers.
    #[display("path to {pool} lost")]
    PathLost {
        /// The pool.
        pool: PoolName,
        /// The target that failed last.
        target: TargetName,
        /// Number of peers that reported recently that they reach the pool.
        peers_reaching: usize,
        /// Number of peers that reported recently that they fail there.
        peers_failing: usize,
    },
    /// Targets of a pool are reached again, or peers fail at them too.
    #[display("path to {pool} back")]
    PathBack {
        /// The pool.
        pool: PoolName,
        /// The target that was reached; absent where peers fail too.
        target: Option<TargetName>,
        /// Number of peers that reported recently that they reach the pool.
        peers_reaching: usize,
        /// Number of peers that reported recently that they fail there.
        peers_failing: usize,
    },
    /// A request asks for the rest of a stream, which goes on at the version that began it.
    #[display("a stream of {pool} goes on at version {version}")]
    VersionKnown {
        /// The request.
        request: String,
        /// The attempt that began the stream.
        resumes: Option<String>,
        /// The pool.
        pool: PoolName,
        /// The version.
        version: SoftwareVersion,
        /// How it is known.
        source: OriginSource,
        /// The peer that remembers the stream, if one does.
        peer: Option<HostName>,
        /// Age of the oldest stream that it can be, in milliseconds.
        max_age_ms: u64,
        /// What hosts stated about the versions of the pool.
        claims: Vec<VersionClaim>,
        /// Time until it was known, in milliseconds.
        elapsed_ms: u64,
    },
    /// A request asks for the rest of a stream, and it is not known which version began it.
    #[display("unknown version of a stream of {pool}")]
    VersionUnknown {
        /// The request.
        request: String,
        /// The attempt that began the stream.
        resumes: Option<String>,
        /// The pool.
        pool: PoolName,
        /// Age of the oldest stream that it can be, in milliseconds.
        max_age_ms: u64,
        /// What hosts stated about the versions of the pool.
        claims: Vec<VersionClaim>,
        /// Versions of the targets that keep the prompt of the stream.
        holders: Vec<SoftwareVersion>,
        /// Number of targets that were asked for the prompts that they keep.
        targets_asked: usize,
        /// Number of these that answered.
        targets_answered: usize,
        /// Age of the view of the targets, in milliseconds.
        view_age_ms: Option<u64>,
        /// Time until the request was refused, in milliseconds.
        elapsed_ms: u64,
    },
    /// The targets of a pool were searched for those that hold a part of a prompt.
    #[display("{answered} of {targets} targets listed their parts")]
    HoldersSearched {
        /// The pool.
        pool: PoolName,
        /// Id of the part.
        part: String,
        /// Software versions of the targets that hold it.
        versions: Vec<SoftwareVersion>,
        /// Number of targets of the pool.
        targets: usize,
        /// Number of targets that listed their parts.
        answered: usize,
        /// Duration of the search, in milliseconds.
        elapsed_ms: u64,
    },
    /// A request was forwarded to a peer.
    #[display("forwarded to {peer}")]
    RequestForwarded {
        /// The request.
        request: String,
        /// The peer.
        peer: HostName,
        /// The pool.
        pool: PoolName,
        /// Why it is forwarded.
        cause: ForwardCause,
        /// How long the request has waited, in milliseconds.
        waited_ms: u64,
        /// How often it was sent to a target before.
        attempts: u32,
    },
    /// A peer did not serve a forwarded request.
    #[display("{peer} did not serve a forwarded request: {cause}")]
    ForwardFailed {
        /// The request.
        request: String,
        /// The peer.
        peer: HostName,
        /// The cause, or the kind of the peer's error.
        cause: String,
        /// Whether another host or target is tried.
        again: bool,
    },
    /// A request of a peer was accepted.
    #[display("serves a request of {peer}")]
    ForwardAccepted {
        /// The request.
        request: String,
        /// The peer.
        peer: HostName,
        /// The pool.
        pool: PoolName,
        /// Why it was forwarded.
        cause: ForwardCause,
        /// Time since it arrived at the peer, in milliseconds.
        age_ms: u64,
    },
    /// The host refused a request with an answer of its own, or aborted it.
    #[display("refused: {kind}")]
    RequestRefused {
        /// The request id; empty if the request had none.
        request: String,
        /// The account, if it was identified.
        account: Option<AccountName>,
        /// The request's cost against the account's quota, if it was refused for that.
        cost: Option<f64>,
        /// The kind of error.
        kind: ErrorKind,
        /// The status; 0 if the connection was aborted.
        status: u16,
        /// When to retry, in milliseconds.
        retry_after_ms: Option<u64>,
        /// Number of sends.
        attempts: u32,
        /// From its arrival, in milliseconds.
        total_ms: u64,
        /// The version of the catalog in force; 0 if there was none.
        catalog: CatalogVersion,
        /// Age of the view of the store, in milliseconds.
        evidence_age_ms: Option<u64>,
        /// Number of waiting requests of the same pool.
        waiting: usize,
        /// The estimated wait for a target, in milliseconds, if the request was refused for it.
        #[serde(skip_serializing_if = "Option::is_none")]
        expected_wait_ms: Option<u64>,
    },
    /// A caller disconnected before its answer was complete.
    #[display("caller disconnected")]
    CallerLeft {
        /// The request.
        request: String,
        /// Number of sends.
        attempts: u32,
        /// From its arrival, in milliseconds.
        total_ms: u64,
    },
    /// A target closed the connection of a request that it ran, and accepts connections.
    #[display("{target} closed the connection of a request and is alive")]
    TargetAlive {
        /// The target.
        target: TargetName,
        /// The request that ran there.
        request: String,
        /// The request's fingerprint.
        fingerprint: String,
    },
    /// A target crashed while running a request.
    #[display("{target} crashed while running a request")]
    TargetCrashed {
        /// The target.
        target: TargetName,
        /// The request that ran there.
        request: String,
        /// The request's fingerprint.
        fingerprint: String,
        /// The parts of its prompt that other requests may share.
        parts: Vec<String>,
    },
    /// A request that is rejected because it crashes targets runs once more.
    #[display("trial of a rejected request at {target}")]
    TrialStarted {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// The request's fingerprint.
        fingerprint: String,
        /// The part of its prompt that is rejected, if it is a trial of that.
        part: Option<String>,
    },
    /// A request was rejected because targets crashed while they ran others with a part of its
    /// prompt.
    #[display("part {part} of a prompt is rejected")]
    PartRejected {
        /// The request.
        request: String,
        /// The part.
        part: String,
        /// The pool.
        pool: PoolName,
        /// The account.
        account: Option<AccountName>,
        /// The targets that crashed.
        targets: Vec<TargetName>,
    },
}

impl DecisionLine {
    /// Returns the line's log level.
    pub const fn level(&self) -> Level {
        match self {
            Self::RequestSent { .. }
            | Self::RequestAnswered { .. }
            | Self::RequestForwarded { .. }
            | Self::ForwardAccepted { .. } => Level::Debug,
            Self::StoreLost { .. }
            | Self::GossipFailed { .. }
            | Self::ViewFetchFailed { .. }
            | Self::SettingsRefused { .. }
            | Self::SendFailed { .. }
            | Self::PathLost { .. }
            | Self::ForwardFailed { .. }
            | Self::RequestRefused { .. }
            | Self::TargetCrashed { .. }
            | Self::PartRejected { .. }
            | Self::TrialStarted { .. } => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Returns whether the line may be left out above the rate limit; true only for lines
    /// that report no failure.
    pub const fn is_routine(&self) -> bool {
        matches!(
            self,
            Self::RequestSent { .. }
                | Self::RequestAnswered { .. }
                | Self::RequestForwarded { .. }
                | Self::ForwardAccepted { .. }
                | Self::CallerLeft { .. }
        )
    }
}
