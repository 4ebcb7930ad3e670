//! Exchanges digests between hosts: versions, rosters and load, every second and after
//! each urgent change.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use async_std::task::JoinHandle;
use futures_lite::future::or;

use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::controllers::ClaimCoordinator;
use crate::controllers::ConfigController;
use crate::controllers::WorkController;
use crate::ids::HostName;
use crate::ids::TierRank;
use crate::peers::DigestDelta;
use crate::peers::DigestInbox;
use crate::peers::DigestOutbox;
use crate::peers::DigestReceipt;
use crate::peers::DocumentIdentity;
use crate::peers::PeerCall;
use crate::peers::PeerDigest;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::poison::PoisonEntry;
use crate::poison::PoisonGuard;
use crate::roster::RosterDigest;

/// Regular interval of digest exchanges. Peers tolerate the loss of one: a view may be
/// 3 s old, a peer's free slots and shed level 2 s.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// How often the host checks for changes that peers wait for; also the minimum time
/// between two exchanges triggered by load.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a caller's answer waits until peers know of a loss. A paused peer must not
/// delay it for longer; a round trip across zones takes 2 ms.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(450);

/// Exchanges digests with all peers.
pub(crate) struct DigestController {
    mesh: Arc<PeerMesh>,
    config: Arc<ConfigController>,
    claims: Arc<ClaimCoordinator>,
    work: Arc<WorkController>,
    suspects: Arc<PoisonGuard>,
    trigger: Sender<()>,
    inbox: Mutex<DigestInbox>,
    outbox: Mutex<DigestOutbox>,
}

/// The state that is sent to peers immediately after it changes.
#[derive(Debug, PartialEq)]
struct UrgentState {
    shed_levels: (TierRank, TierRank),
    suspects: Vec<PoisonEntry>,
}

impl DigestController {
    /// Starts to exchange digests.
    pub(crate) fn spawn(
        mesh: Arc<PeerMesh>,
        config: Arc<ConfigController>,
        claims: Arc<ClaimCoordinator>,
        work: Arc<WorkController>,
        suspects: Arc<PoisonGuard>,
    ) -> Arc<Self> {
        let (trigger, triggered) = async_channel::bounded(1);
        let controller = Arc::new(Self {
            mesh,
            config,
            claims,
            work,
            suspects,
            trigger,
            inbox: Mutex::default(),
            outbox: Mutex::default(),
        });
        let trigger = controller.trigger.clone();
        controller.config.set_exchange_trigger(Box::new(move || {
            trigger.try_send(()).ok();
        }));
        task::spawn(exchange_forever(Arc::downgrade(&controller), triggered));
        controller
    }

    /// Processes an unsolicited digest and returns this host's own, without the
    /// policy's part: lent slots must be announced to all peers at once, which this
    /// host's own exchange does.
    pub(crate) fn accept(&self, from: &HostName, digest: PeerDigest) -> PeerDigest {
        lock(&self.inbox).store(from, digest.clone());
        self.apply_announced(from, digest);
        self.own_digest()
    }

    /// Processes the changes since a peer's last digest.
    pub(crate) fn accept_delta(&self, from: &HostName, delta: &DigestDelta) -> DigestReceipt {
        let applied = lock(&self.inbox).apply_delta(from, delta);
        let Some(digest) = applied else {
            return DigestReceipt::UnknownBase;
        };
        let theirs = DocumentIdentity::of(&digest);
        self.apply_announced(from, digest);
        let ours = self.document();
        match ours == theirs {
            true => DigestReceipt::SameDocument,
            false => DigestReceipt::OtherDocument(ours),
        }
    }

    /// Applies the digest before announcing its document version: the announcement makes
    /// the controller check a waiting document again, which must find the new roster.
    fn apply_announced(&self, from: &HostName, digest: PeerDigest) {
        let document = DocumentIdentity::of(&digest);
        self.apply_digest(from, digest);
        self.config
            .peer_announced(from, document.version, document.digest);
    }

    fn apply_digest(&self, from: &HostName, digest: PeerDigest) {
        if let Some(roster) = digest.roster {
            let changed = self.apply_roster(from, roster);
            if changed {
                self.trigger_exchange();
            }
        }
        if let Some(policy) = digest.policy {
            self.work.apply_peer_digest(from, policy);
        }
        self.suspects.merge(&digest.suspects);
        let history_gap = Duration::from_millis(digest.history_gap_ms);
        self.suspects.gap.merge(history_gap, boot_now());
    }

    /// Triggers an immediate exchange after a change that peers wait for.
    pub(crate) fn trigger_exchange(&self) {
        // If the channel is full, an exchange is already due.
        self.trigger.try_send(()).ok();
    }

    fn apply_roster(&self, from: &HostName, digest: RosterDigest) -> bool {
        let mut register = self.claims.register();
        register.roster_mut().apply_digest(from, digest, unix_now())
    }

    fn document(&self) -> DocumentIdentity {
        let (version, digest) = self.config.version_digest();
        DocumentIdentity { version, digest }
    }

    /// Returns this host's digest without the policy's part.
    fn own_digest(&self) -> PeerDigest {
        let document = self.document();
        PeerDigest {
            version: document.version,
            digest: document.digest,
            roster: Some(self.claims.register().roster().digest()),
            policy: None,
            suspects: self.suspects.table().entries(),
            history_gap_ms: self.suspects.gap.left(boot_now()).as_millis() as u64,
        }
    }

    /// Sends the digest to all peers and waits, for a limited time, until they have it.
    /// A caller that is answered afterwards finds the same state on every host.
    pub(crate) async fn broadcast_now(self: &Arc<Self>) {
        let sent = self.send_to_all();
        let all = async {
            for peer in sent {
                peer.await;
            }
        };
        timeout(BROADCAST_TIMEOUT, all).await.ok();
    }

    /// Sends the digest to all peers and returns the urgent state that it contains.
    fn exchange(self: &Arc<Self>) -> UrgentState {
        // Read before sending: a change in between is sent twice rather than not at
        // all.
        let sent = self.urgent_state();
        // The tasks continue when their handles are dropped.
        drop(self.send_to_all());
        sent
    }

    fn send_to_all(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let own = Arc::new(PeerDigest {
            policy: Some(self.work.digest()),
            ..self.own_digest()
        });
        let peers = self.mesh.connected_peers();
        lock(&self.inbox).retain(&peers);
        lock(&self.outbox).retain(&peers);
        peers
            .into_iter()
            .map(|host| {
                let (controller, own) = (self.clone(), own.clone());
                task::spawn(async move { controller.send_to(&host, &own).await })
            })
            .collect()
    }

    /// Sends a peer the changes, or the full digest if it has no base for them.
    async fn send_to(&self, host: &HostName, own: &Arc<PeerDigest>) {
        let call = lock(&self.outbox).call_for(host, own);
        if !self.call_peer(host, own, call).await {
            lock(&self.outbox).forget(host);
            let full = PeerCall::Digest(Box::new(PeerDigest::clone(own)));
            self.call_peer(host, own, full).await;
        }
    }

    /// Makes one call; returns false if the peer needs the full digest.
    async fn call_peer(&self, host: &HostName, own: &Arc<PeerDigest>, call: PeerCall) -> bool {
        let asked = boot_now();
        let full = matches!(call, PeerCall::Digest(_));
        let document = match self.mesh.call(host, call, EXCHANGE_TIMEOUT).await {
            Ok(PeerReply::Digest(digest)) => {
                let document = DocumentIdentity::of(&digest);
                self.apply_digest(host, *digest);
                document
            }
            Ok(PeerReply::Receipt(DigestReceipt::SameDocument)) => DocumentIdentity::of(own),
            Ok(PeerReply::Receipt(DigestReceipt::OtherDocument(document))) => document,
            Ok(PeerReply::Receipt(DigestReceipt::UnknownBase)) => return false,
            _ => {
                lock(&self.outbox).forget(host);
                return true;
            }
        };
        lock(&self.outbox).mark_confirmed(host, own, full);
        self.config
            .peer_replied(host, document.version, document.digest, asked);
        true
    }

    fn urgent_state(&self) -> UrgentState {
        UrgentState {
            shed_levels: self.work.shed_levels(),
            suspects: self.suspects.table().entries(),
        }
    }

    /// Waits until a second has passed or a change occurs that peers wait for.
    async fn wait_for_change(&self, sent: &UrgentState) {
        for _ in 0..EXCHANGE_PERIOD.as_millis() / CHECK_PERIOD.as_millis() {
            task::sleep(CHECK_PERIOD).await;
            if self.work.wants_digest() || self.urgent_state() != *sent {
                return;
            }
        }
    }
}

async fn exchange_forever(controller: Weak<DigestController>, triggered: Receiver<()>) {
    while let Some(controller) = controller.upgrade() {
        let sent = controller.exchange();
        let trigger = async {
            triggered.recv().await.ok();
        };
        or(trigger, controller.wait_for_change(&sent)).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
