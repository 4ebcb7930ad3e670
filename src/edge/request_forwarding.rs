//! Forwards a request to a peer that reaches targets, or that has room left in its part of them.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::forward_table::ForwardPermit;
use super::request_execution::ExecutionOutcome;
use super::request_execution::RequestExecution;
use super::response_relay::BufferedResponse;
use super::response_relay::RelayChecks;
use super::response_relay::RelayLimits;
use super::response_relay::RelayOutcome;
use super::response_relay::collect_body;
use super::response_source::ForwardError;
use super::response_source::PeerResponse;
use super::response_source::ResponseSource;
use super::send_outcome::LossCause;
use super::send_outcome::SendOutcome;
use super::target_send::cancel_on_disconnect;
use crate::clock::boot_now;
use crate::dispatch::DispatchQueue;
use crate::dispatch::PeerCandidate;
use crate::dispatch::choose_peer;
use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::logs::DecisionLine;
use crate::peers::ForwardCause;
use crate::peers::ForwardedRequest;
use crate::peers::PeerCall;
use crate::peers::PeerError;
use crate::peers::PeerStream;

/// Number of peers to which a request is offered. Where one can't serve it, another one may.
const MAX_PEERS: usize = 3;
/// How long a request waits for a link to a peer that may serve it. Links to peers are opened as
/// soon as connections to targets fail.
const LINK_TIMEOUT: Duration = Duration::from_millis(400);
const LINK_INTERVAL: Duration = Duration::from_millis(20);

/// How a request proceeds with regard to its peers.
pub(super) enum ForwardDecision {
    /// This host sends it to a target itself.
    Own,
    Peer(ForwardReceiver),
    /// No peer can serve it, and this host reaches no target.
    Nowhere,
}

/// The peer that a request is forwarded to.
pub(super) struct ForwardReceiver {
    host: HostName,
    cause: ForwardCause,
    /// The place that the request takes in the peer's part of a bound.
    _room: Option<PeerRoom>,
}

/// A place in a peer's part of a bound; returned on drop.
struct PeerRoom {
    queue: Arc<DispatchQueue>,
    pool: PoolName,
    host: HostName,
}

impl Drop for PeerRoom {
    fn drop(&mut self) {
        let mut table = self.queue.lock_table();
        table.return_peer_room(&self.pool, &self.host);
    }
}

/// An attempt to forward a request.
enum ForwardAttempt {
    Opened(PeerStream),
    /// Nothing was sent.
    NotSent,
    Failed(ForwardError),
}

impl RequestExecution<'_> {
    /// Decides whether the request is forwarded. One that a peer forwarded stays here.
    pub(super) async fn decide_forward(&self) -> ForwardDecision {
        let pool = &self.routed.pool;
        let share = self
            .state
            .queue
            .lock_table()
            .own_path_share(pool, boot_now());
        if self.routed.is_forwarded() {
            return match share > 0.0 {
                true => ForwardDecision::Own,
                false => ForwardDecision::Nowhere,
            };
        }
        if share >= 1.0 || rand::random::<f64>() < share {
            return match self.take_peer_room() {
                Some(receiver) => ForwardDecision::Peer(receiver),
                None => ForwardDecision::Own,
            };
        }
        let started_at = boot_now();
        loop {
            if let Some(host) = self.choose_peer() {
                return ForwardDecision::Peer(ForwardReceiver {
                    host,
                    cause: ForwardCause::PathLost,
                    _room: None,
                });
            }
            if share > 0.0 {
                return ForwardDecision::Own;
            }
            let has_waited = boot_now().saturating_sub(started_at) >= LINK_TIMEOUT;
            if has_waited || self.tried_peers.len() >= MAX_PEERS || !self.awaits_links() {
                return ForwardDecision::Nowhere;
            }
            task::sleep(LINK_INTERVAL).await;
        }
    }

    /// Returns whether the request may be forwarded to a peer that has room in its part of a bound.
    pub(super) fn may_use_peer_room(&self) -> bool {
        if self.routed.is_forwarded() || self.tried_peers.len() >= MAX_PEERS {
            return false;
        }
        let now = boot_now();
        let mut table = self.state.queue.lock_table();
        let exceeds = table.exceeds_part(&self.placement(), now);
        if exceeds {
            table.record_shortage(&self.routed.pool, now);
        }
        exceeds
    }

    /// Returns whether a peer has room for a request that waits for this host's part of a bound.
    pub(super) fn finds_peer_room(&self) -> bool {
        let connected = self.untried_peers();
        let table = self.state.queue.lock_table();
        table.has_peer_room(&self.routed.pool, &connected, boot_now())
    }

    /// Takes a place at a peer that has room, if this host's part of a bound is used up.
    fn take_peer_room(&self) -> Option<ForwardReceiver> {
        if !self.may_use_peer_room() {
            return None;
        }
        let connected = self.untried_peers();
        let pool = &self.routed.pool;
        let now = boot_now();
        let mut table = self.state.queue.lock_table();
        let host = table.take_peer_room(pool, &connected, rand::random(), now)?;
        drop(table);
        Some(ForwardReceiver {
            cause: ForwardCause::PartUsed,
            _room: Some(PeerRoom {
                queue: Arc::clone(&self.state.queue),
                pool: pool.clone(),
                host: host.clone(),
            }),
            host,
        })
    }

    /// Returns the connected peers to which the request was not forwarded, sorted.
    fn untried_peers(&self) -> Vec<HostName> {
        let mut connected = self.state.connected_peers();
        connected.retain(|host| !self.tried_peers.contains(host));
        connected
    }

    /// Returns whether links to peers that were not tried may still be opened.
    fn awaits_links(&self) -> bool {
        let wanted = self.state.forward_peers(boot_now());
        let connected = self.state.connected_peers();
        let is_open = |host: &HostName| {
            connected.binary_search(host).is_err() && !self.tried_peers.contains(host)
        };
        wanted.iter().any(is_open)
    }

    fn choose_peer(&self) -> Option<HostName> {
        if self.tried_peers.len() >= MAX_PEERS {
            return None;
        }
        let state = self.state;
        let now = boot_now();
        let connected = self.untried_peers();
        let table = state.queue.lock_table();
        let mut peers = table.reaching_peers(&self.routed.pool, &connected, now);
        drop(table);
        let members = state.members();
        peers.retain(|peer| members.is_alive(&peer.host, now));
        let candidates = peers.into_iter().map(|mut peer| {
            peer.load += state.forwards.count(&peer.host);
            // A host that is leaving still serves for a while; any other one is preferred.
            peer.is_certain &= members.is_live(&peer.host, now);
            PeerCandidate {
                same_zone: members.zone_of(&peer.host) == Some(&state.startup.availability_zone),
                peer,
            }
        });
        let mut candidates: Vec<PeerCandidate> = candidates.collect();
        drop(members);
        let index = choose_peer(&candidates, [rand::random(), rand::random()])?;
        Some(candidates.swap_remove(index).peer.host)
    }

    /// Forwards the request to a peer. Returns `None` if another host or target may serve it.
    pub(super) async fn forward(&mut self, receiver: ForwardReceiver) -> Option<ExecutionOutcome> {
        let peer = receiver.host.clone();
        // Both may have changed while the request waited.
        if self.caller.has_disconnected().await {
            return Some(ExecutionOutcome::Closed);
        }
        if let Some(kind) = self.state.suspicion(self.routed) {
            return Some(self.fail(kind).await);
        }
        self.tried_peers.push(peer.clone());
        let state = self.state;
        let size = self.routed.request.body.len();
        let permit = state.forwards.take(&peer, size)?;
        count(&state.metrics.forwarded);
        state.log.write(&DecisionLine::RequestForwarded {
            request: self.routed.id.clone(),
            peer: peer.clone(),
            pool: self.routed.pool.clone(),
            cause: receiver.cause,
            waited_ms: self.routed.age().as_millis() as u64,
            attempts: self.attempts,
        });
        let outcome = match self.open_forward(&receiver, permit).await {
            ForwardAttempt::NotSent => {
                self.report_forward_failure(&peer, "not sent", true);
                return None;
            }
            ForwardAttempt::Opened(stream) => self.receive(stream).await,
            ForwardAttempt::Failed(error) => Err(error),
        };
        match outcome {
            Ok(outcome) => Some(self.finish_forward(&peer, outcome).await),
            Err(ForwardError::Refused {
                kind,
                retry_after_ms,
            }) => self.handle_refusal(&peer, kind, retry_after_ms).await,
            Err(ForwardError::Lost) => {
                let outcome = SendOutcome::Lost(LossCause::ConnectionClosed);
                Some(self.finish_forward(&peer, outcome).await)
            }
        }
    }

    async fn open_forward(
        &mut self,
        receiver: &ForwardReceiver,
        permit: ForwardPermit,
    ) -> ForwardAttempt {
        let call = PeerCall::Forward(Box::new(self.forwarded_request(receiver.cause)));
        let left = self.routed.deadline.saturating_sub(boot_now());
        let Some(mesh) = self.state.mesh() else {
            return ForwardAttempt::NotSent;
        };
        let opened = timeout(left, mesh.open_call(&receiver.host, call)).await;
        self.forward_permit = Some(permit);
        self.sent_after = None;
        match opened {
            Ok(Ok(stream)) => ForwardAttempt::Opened(stream),
            Ok(Err(
                PeerError::UnknownHost { .. }
                | PeerError::NotConnected
                | PeerError::TooManyCalls
                | PeerError::MessageTooLarge,
            )) => ForwardAttempt::NotSent,
            // The peer may have received the request.
            Ok(Err(_)) | Err(_) => ForwardAttempt::Failed(ForwardError::Lost),
        }
    }

    /// Receives the peer's response and delivers it.
    async fn receive(&mut self, stream: PeerStream) -> Result<SendOutcome, ForwardError> {
        // The peer retries where a target is silent; a silent peer ends the link.
        let left = self.routed.deadline.saturating_sub(boot_now());
        let head = async {
            let head = timeout(left, PeerResponse::read_head(stream)).await;
            head.map_err(|_| SendOutcome::DeadlineExceeded)
        };
        let head = cancel_on_disconnect(&mut self.caller, self.routed.kind, head).await;
        let response = match head {
            Ok(head) => head?,
            Err(outcome) => return Ok(outcome),
        };
        self.framing = Some(response.declared());
        self.responder.clone_from(&response.responder);
        let status = response.status();
        let mut source = ResponseSource::Peer(response);
        Ok(match self.routed.has_events(status) {
            true => self.relay_forwarded(&mut source).await,
            false => self.deliver_forwarded(&mut source).await,
        })
    }

    async fn relay_forwarded(&mut self, source: &mut ResponseSource) -> SendOutcome {
        let limits = RelayLimits {
            deadline: self.routed.deadline,
            // The peer resumes a stream whose target is lost, and a lost peer ends the link.
            max_pause: None,
        };
        let request = &self.routed.request.message;
        let version = match source {
            ResponseSource::Peer(response) => response.version.clone(),
            ResponseSource::Target(_) => String::new(),
        };
        let (state, routed) = (self.state, self.routed);
        let checks = RelayChecks {
            begin: || state.record_stream(routed, &version),
            can_resume: || false,
            is_silent: || false,
        };
        let relayed = self
            .progress
            .relay(&mut self.caller, request, source, None, limits, checks);
        let relayed = relayed.await;
        self.keep_version(&version);
        match relayed {
            RelayOutcome::Complete | RelayOutcome::Closed => SendOutcome::Delivered { status: 200 },
            RelayOutcome::CallerDisconnected => SendOutcome::CallerDisconnected,
            RelayOutcome::DeadlineExceeded => SendOutcome::DeadlineExceeded,
            RelayOutcome::TargetLost(cause) => SendOutcome::Lost(cause),
        }
    }

    async fn deliver_forwarded(&mut self, source: &mut ResponseSource) -> SendOutcome {
        let left = self.routed.deadline.saturating_sub(boot_now());
        let memory = &self.state.memory;
        let collected = async {
            match timeout(left, collect_body(source, memory)).await {
                Ok(Ok(collected)) => Ok(collected),
                Ok(Err(error)) => Err(SendOutcome::Lost(error.into())),
                Err(_) => Err(SendOutcome::DeadlineExceeded),
            }
        };
        let body = cancel_on_disconnect(&mut self.caller, self.routed.kind, collected).await;
        match body {
            Ok((body, permit)) => {
                let response = BufferedResponse {
                    head: source.head().clone(),
                    body,
                    declared: source.declared(),
                    _permit: permit,
                };
                match self.progress.has_started {
                    true => SendOutcome::Lost(LossCause::NotResumed(response.head.status)),
                    false => self.write_response(&response).await,
                }
            }
            Err(outcome) => outcome,
        }
    }

    /// Ends the request after an attempt that a peer may have sent to a target.
    async fn finish_forward(&mut self, peer: &HostName, outcome: SendOutcome) -> ExecutionOutcome {
        self.forward_permit = None;
        self.may_have_run = true;
        let cause = match outcome {
            SendOutcome::Delivered { status } => {
                let responder = self.responder.clone();
                self.report_served(&responder, status);
                return ExecutionOutcome::Answered;
            }
            SendOutcome::CallerDisconnected => return ExecutionOutcome::Closed,
            SendOutcome::DeadlineExceeded => return self.fail(ErrorKind::TargetSilent).await,
            SendOutcome::Lost(cause) => cause,
            SendOutcome::NotRun(_) | SendOutcome::TargetFailure(_) => LossCause::InvalidResponse,
        };
        // The peer may have sent the request to as many targets as the route allows.
        self.attempts = self.routed.max_attempts;
        self.report_forward_failure(peer, &cause.to_string(), false);
        self.fail(ErrorKind::TargetLost).await
    }

    /// Handles the refusal of a peer. Where the request did not run and another host may serve it,
    /// returns `None`.
    async fn handle_refusal(
        &mut self,
        peer: &HostName,
        kind: ErrorKind,
        retry_after_ms: Option<u64>,
    ) -> Option<ExecutionOutcome> {
        self.forward_permit = None;
        let status = kind.answer().status;
        let may_try_other = matches!(
            kind,
            ErrorKind::HostLeaving
                | ErrorKind::NotReady
                | ErrorKind::StaleView
                | ErrorKind::NoTarget
                | ErrorKind::TargetUnreachable
                | ErrorKind::Overloaded
        );
        self.report_forward_failure(peer, &kind.to_string(), may_try_other);
        let refusal = EdgeRefusal {
            kind,
            retry_after: retry_after_ms.map(Duration::from_millis),
        };
        if may_try_other {
            // If no peer serves it, the caller returns when this one has room.
            self.peer_refusal = (kind == ErrorKind::Overloaded).then_some(refusal);
            let mut table = self.state.queue.lock_table();
            table.clear_peer_room(&self.routed.pool, peer);
            return None;
        }
        self.may_have_run |= matches!(status, 502 | 504);
        if self.progress.has_started || status == 503 && self.may_have_run {
            return Some(self.fail(ErrorKind::TargetLost).await);
        }
        Some(ExecutionOutcome::Refused(refusal))
    }

    fn report_forward_failure(&self, peer: &HostName, cause: &str, again: bool) {
        self.state.log.write(&DecisionLine::ForwardFailed {
            request: self.routed.id.clone(),
            peer: peer.clone(),
            cause: cause.to_owned(),
            again,
        });
    }

    /// Returns the request as its caller sent it, with what happened to it since.
    fn forwarded_request(&self, cause: ForwardCause) -> ForwardedRequest {
        let routed = self.routed;
        let header_names = &self.state.header_names;
        let mut headers = routed.request.message.headers.clone();
        if let Some(credentials) = &routed.credentials {
            headers.push("Authorization", credentials);
        }
        // The called host counts the age of the request towards its deadline.
        let total = routed.deadline.saturating_sub(routed.request.arrived);
        headers.push(&header_names.deadline_ms, total.as_millis().to_string());
        if let Some(last) = self.progress.last_id() {
            headers.retain(|name| !name.eq_ignore_ascii_case(&header_names.resume_after));
            headers.push(&header_names.resume_after, last);
        }
        ForwardedRequest {
            cause,
            method: routed.request.message.method.clone(),
            target: routed.request.message.target.clone(),
            headers: headers.lines().to_vec(),
            body: routed.request.body.clone(),
            catalog: routed.catalog.version(),
            pool: routed.pool.clone(),
            age_ms: routed.age().as_millis() as u64,
            attempts: self.attempts,
            tried: self.tried.clone(),
            version: self.version.clone(),
        }
    }
}
