//! Finds the software version that began a stream whose caller asks for the rest.
//!
//! A host may remember the stream, or one of its peers. Where nobody does, hosts state which versions
//! the pool had and for which period: a version is known to have begun the stream only if no other
//! was there from the earliest time at which it can have begun until the request arrived. After a
//! restart of all hosts, the targets that keep the stream's prompt show it.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use super::part_holders::HolderSearch;
use super::request_execution::RequestExecution;
use super::route_filter::DEFAULT_TIMEOUT;
use super::route_filter::RoutedRequest;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::ids::HostName;
use crate::ids::SoftwareVersion;
use crate::logs::DecisionLine;
use crate::logs::OriginSource;
use crate::peers::PeerCall;
use crate::peers::PeerReply;
use crate::streams::OriginAnswer;
use crate::streams::OriginQuery;
use crate::streams::PeriodClaim;
use crate::streams::VersionClaim;
use crate::streams::VersionFinding;
use crate::streams::find_sole_version;
use crate::streams::stream_key;

/// Time limit for the answers of peers, and for those that a leader collects for a peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);
/// Tolerance on the age of a stream: the time of its caller's requests on the way.
const AGE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a host that is out of step may begin streams by an old view of the targets. Without
/// a recent confirmation of the keys it admits no requests.
const VIEW_LAG: Duration = Duration::from_secs(5);
/// Age up to which a view shows all targets that may hold a prompt: the store reports changes at
/// once, and at least each two seconds that there are none.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// Longest time limit of a request.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(300);
/// Tolerance on the end of a claim, whose age is stated in whole milliseconds.
const CLAIM_MARGIN: Duration = Duration::from_millis(2);

/// What is known of the origin of a stream, and from which source.
#[derive(Debug)]
struct FoundOrigin {
    version: Option<SoftwareVersion>,
    source: OriginSource,
    /// The peer that remembers the stream.
    peer: Option<HostName>,
    /// Age of the oldest stream that it can be.
    max_age: Duration,
    claims: Vec<VersionClaim>,
    holders: HolderSearch,
}

/// The answers of peers to a query.
#[derive(Debug)]
struct AskedPeers {
    asked_at: Duration,
    /// The version, and the peer that knows it.
    version: Option<(SoftwareVersion, HostName)>,
    claims: Vec<PeriodClaim>,
}

impl RequestExecution<'_> {
    /// Finds the version at which the rest of a stream may run; returns whether it is known.
    pub(super) async fn resolve_version(&mut self) -> bool {
        let routed = self.routed;
        let needs_version = routed.is_resumed && routed.kind == CallKind::ResumableStream;
        if !needs_version || self.version.is_some() {
            return true;
        }
        let started_at = boot_now();
        let found = self.state.find_origin(routed).await;
        let elapsed = boot_now().saturating_sub(started_at);
        self.state.log_origin(routed, &found, elapsed);
        self.version = found.version;
        self.version.is_some()
    }

    /// Keeps the version that made the first event of the response.
    pub(super) fn keep_version(&mut self, version: &SoftwareVersion) {
        if self.progress.has_started && self.version.is_none() {
            self.version = Some(version.clone());
        }
    }
}

impl EdgeState {
    /// Records that a target of this version makes the first event of a response.
    pub(super) fn record_stream(&self, routed: &RoutedRequest, version: &SoftwareVersion) {
        if routed.kind != CallKind::ResumableStream {
            return;
        }
        // A caller names the attempt that brought the first event of all.
        let request = routed.resumed_request.as_ref().unwrap_or(&routed.id);
        let stream = stream_key(request);
        self.streams()
            .record(stream, &routed.pool, version, boot_now());
    }

    /// Finds the version that began the stream that a request continues.
    async fn find_origin(self: &Arc<Self>, routed: &RoutedRequest) -> FoundOrigin {
        let max_age = max_stream_age(routed);
        let mut found = FoundOrigin {
            version: None,
            source: OriginSource::Memory,
            peer: None,
            max_age,
            claims: Vec::new(),
            holders: HolderSearch::default(),
        };
        let query = OriginQuery {
            stream: routed.resumed_request.as_deref().map_or(0, stream_key),
            pool: routed.pool.clone(),
            max_age_ms: (max_age + routed.age()).as_millis() as u64,
            relays: self.role().layout.is_grouped(),
        };
        found.version = self.remembered_version(&query);
        if found.version.is_some() {
            return found;
        }
        let asked = self.ask_origin(query.clone(), ASK_TIMEOUT).await;
        if let Some((version, peer)) = asked.version {
            found.version = Some(version);
            found.source = OriginSource::Peer;
            found.peer = Some(peer);
            return found;
        }
        found.source = OriginSource::Claims;
        let since = routed.request.arrived.saturating_sub(max_age);
        let until = routed.request.arrived.saturating_sub(CLAIM_MARGIN);
        let mut claims = asked.claims;
        claims.push(self.own_period_claim(&query));
        let mut finding = find_sole_version(&claims, since, until);
        if finding == VersionFinding::Incomplete && self.would_be_complete(&claims, since) {
            // A version may have joined since the view was confirmed last.
            if self.refresh_view(routed.request.arrived).await {
                claims.push(self.own_period_claim(&query));
                finding = find_sole_version(&claims, since, until);
            }
        }
        found.claims = claims.into_iter().map(|held| held.claim).collect();
        if let VersionFinding::Sole(version) = finding {
            found.version = Some(version);
            return found;
        }
        found.source = OriginSource::Holders;
        let recent = routed.request.arrived.saturating_sub(MAX_VIEW_AGE);
        if let Some(part) = &routed.last_part
            && self.refresh_view(recent).await
        {
            found.holders = self.find_holders(&routed.pool, part).await;
            let targets = self.view.count_versions(&routed.pool);
            found.version = found.holders.sole_version(&targets).cloned();
        }
        found
    }

    /// Returns whether the claims would cover the time since `since` if this host's view were
    /// confirmed now.
    fn would_be_complete(&self, claims: &[PeriodClaim], since: Duration) -> bool {
        let now = boot_now();
        let mut claims = claims.to_vec();
        if let Some(own) = claims.last_mut() {
            own.until = now;
        }
        matches!(
            find_sole_version(&claims, since, now),
            VersionFinding::Sole(_)
        )
    }

    fn remembered_version(&self, query: &OriginQuery) -> Option<SoftwareVersion> {
        let streams = self.streams();
        let version = streams.version_of(query.stream, &query.pool, boot_now());
        version.map(str::to_owned)
    }

    /// Returns what this host states about the versions of a pool.
    fn own_claim(&self, query: &OriginQuery) -> VersionClaim {
        // The age of the view is read before the versions: a change that arrives in between only
        // adds to them.
        let now = boot_now();
        let view_age_ms = self.view_age_ms();
        let known_for = self.view.known_for(now).unwrap_or_default();
        let period = Duration::from_millis(query.max_age_ms) + AGE_MARGIN;
        let mut possible = self.streams().versions(&query.pool, period, now);
        let registered = self.view.count_versions(&query.pool);
        possible.extend(registered.iter().map(|(version, _)| version.clone()));
        possible.sort();
        possible.dedup();
        VersionClaim {
            host: self.startup.host.clone(),
            possible,
            known_for_ms: known_for.as_millis() as u64,
            view_age_ms,
        }
    }

    fn own_period_claim(&self, query: &OriginQuery) -> PeriodClaim {
        let asked_at = boot_now();
        let claim = self.own_claim(query);
        claim.with_period(asked_at, boot_now())
    }

    /// Asks all connected peers; returns as soon as one knows the version.
    async fn ask_origin(self: &Arc<Self>, query: OriginQuery, limit: Duration) -> AskedPeers {
        let mut asked = AskedPeers {
            asked_at: boot_now(),
            version: None,
            claims: Vec::new(),
        };
        let Some(mesh) = self.mesh() else {
            return asked;
        };
        let (sender, receiver) = async_channel::unbounded();
        for peer in mesh.connected_peers() {
            let (mesh, sender) = (Arc::clone(mesh), sender.clone());
            let call = PeerCall::StreamOrigin(query.clone());
            task::spawn(async move {
                if let Ok(PeerReply::StreamOrigin(answer)) = mesh.call(&peer, call, limit).await {
                    sender.send((peer, answer)).await.ok();
                }
            });
        }
        drop(sender);
        // The channel is closed once all peers have answered, or had their time.
        while let Ok((peer, answer)) = receiver.recv().await {
            let received_at = boot_now();
            let periods = answer.claims.into_iter();
            asked
                .claims
                .extend(periods.map(|claim| claim.with_period(asked.asked_at, received_at)));
            if let Some(version) = answer.version {
                asked.version = Some((version, peer));
                break;
            }
        }
        asked
    }

    /// Logs why the rest of a stream may run or may not.
    fn log_origin(&self, routed: &RoutedRequest, found: &FoundOrigin, elapsed: Duration) {
        let request = routed.id.clone();
        let resumes = routed.resumed_request.clone();
        let pool = routed.pool.clone();
        let max_age_ms = found.max_age.as_millis() as u64;
        let claims = found.claims.clone();
        let elapsed_ms = elapsed.as_millis() as u64;
        self.log.write(&match &found.version {
            Some(version) => DecisionLine::VersionKnown {
                request,
                resumes,
                pool,
                version: version.clone(),
                source: found.source,
                peer: found.peer.clone(),
                max_age_ms,
                claims,
                elapsed_ms,
            },
            None => DecisionLine::VersionUnknown {
                request,
                resumes,
                pool,
                max_age_ms,
                claims,
                holders: found.holders.versions.clone(),
                targets_asked: found.holders.targets,
                targets_answered: found.holders.answered,
                view_age_ms: self.view_age_ms(),
                elapsed_ms,
            },
        });
    }
}

/// Returns the age of the oldest stream that the request can continue: the longest time limit of a
/// caller, less the time that this one has left.
fn max_stream_age(routed: &RoutedRequest) -> Duration {
    let longest = routed.catalog.longest_timeout(CallKind::ResumableStream);
    let longest = longest.clamp(DEFAULT_TIMEOUT, LONGEST_TIMEOUT);
    let left = routed.caller_timeout.filter(|left| *left <= longest);
    longest - left.unwrap_or_default() + AGE_MARGIN + VIEW_LAG
}

/// Answers a peer that asks which version began a stream.
pub(super) async fn answer_origin(state: &Arc<EdgeState>, query: OriginQuery) -> OriginAnswer {
    let own = OriginAnswer {
        version: state.remembered_version(&query),
        claims: vec![state.own_claim(&query)],
    };
    if own.version.is_some() || !query.relays || !state.acts_as_leader(&state.role()) {
        return own;
    }
    let query = OriginQuery {
        relays: false,
        ..query
    };
    let asked = state.ask_origin(query, RELAY_TIMEOUT).await;
    // The ages of the answers rise by the time that the leader waited for them.
    let waited_ms = boot_now().saturating_sub(asked.asked_at).as_millis() as u64;
    let relayed = asked.claims.into_iter().map(|held| VersionClaim {
        view_age_ms: held
            .claim
            .view_age_ms
            .map(|age| age.saturating_add(waited_ms)),
        ..held.claim
    });
    OriginAnswer {
        version: asked.version.map(|(version, _)| version),
        claims: own.claims.into_iter().chain(relayed).collect(),
    }
}
