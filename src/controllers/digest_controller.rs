//! What the hosts tell each other: versions, rosters and load, each second and
//! after each change.

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

/// How often digests are exchanged where nothing hurries. What peers do with them
/// bears one to be lost: a view may be 3 s old, a peer's room and shed level 2 s.
const PERIOD: Duration = Duration::from_secs(1);
/// How often the host looks whether something changed that peers wait for; also
/// the least time between two exchanges that load asks for.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// How long a caller's answer waits for peers to know of a loss. A peer that is
/// paused must not hold it longer; across zones a round trip takes two milliseconds.
const TELL_LIMIT: Duration = Duration::from_millis(150);
/// How long one exchange may take.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(450);

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

/// What peers are told at once when it changes.
#[derive(Debug, PartialEq)]
struct UrgentNews {
    shed_levels: (TierRank, TierRank),
    suspects: Vec<PoisonEntry>,
}

impl DigestController {
    /// Exchanges digests from now on.
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

    /// Takes what a peer says unasked, and returns what this host knows. The
    /// policy's part stays out: slots that it lends must be told to all peers at
    /// once, and the peer hears it from this host's own exchange.
    pub(crate) fn accept(&self, from: &HostName, digest: PeerDigest) -> PeerDigest {
        lock(&self.inbox).store(from, digest.clone());
        self.hear(from, digest);
        self.shared()
    }

    /// Takes what changed at a peer since its last digest.
    pub(crate) fn accept_delta(&self, from: &HostName, delta: &DigestDelta) -> DigestReceipt {
        let taken = lock(&self.inbox).apply_delta(from, delta);
        let Some(digest) = taken else {
            return DigestReceipt::UnknownBase;
        };
        let theirs = DocumentIdentity::of(&digest);
        self.hear(from, digest);
        let ours = self.document();
        match ours == theirs {
            true => DigestReceipt::SameDocument,
            false => DigestReceipt::OtherDocument(ours),
        }
    }

    /// Learns first: a document that waits for its roster is judged anew when a
    /// peer's version is noted, and must find the roster known by then.
    fn hear(&self, from: &HostName, digest: PeerDigest) {
        let document = DocumentIdentity::of(&digest);
        self.learn(from, digest);
        self.config
            .peer_announced(from, document.version, document.digest);
    }

    fn learn(&self, from: &HostName, digest: PeerDigest) {
        if let Some(roster) = digest.roster {
            let changed = self.learn_roster(from, roster);
            if changed {
                self.exchange_soon();
            }
        }
        if let Some(policy) = digest.policy {
            self.work.apply_peer_digest(from, policy);
        }
        self.suspects.merge(&digest.suspects);
    }

    /// Brings the next exchange forward: something changed that peers wait for.
    pub(crate) fn exchange_soon(&self) {
        // A full channel says that an exchange is due already.
        self.trigger.try_send(()).ok();
    }

    fn learn_roster(&self, from: &HostName, digest: RosterDigest) -> bool {
        let mut register = self.claims.register();
        register.roster_mut().learn(from, digest, unix_now())
    }

    fn document(&self) -> DocumentIdentity {
        let (version, digest) = self.config.version_digest();
        DocumentIdentity { version, digest }
    }

    /// Returns what this host knows, without the policy's part.
    fn shared(&self) -> PeerDigest {
        let document = self.document();
        PeerDigest {
            version: document.version,
            digest: document.digest,
            roster: Some(self.claims.register().roster().digest()),
            policy: None,
            suspects: self.suspects.table().entries(),
        }
    }

    /// Tells all peers and waits until they know, for a bounded time: a caller
    /// that gets its answer after this finds the same knowledge on every host.
    pub(crate) async fn broadcast_now(self: &Arc<Self>) {
        let told = self.tell_all();
        let all = async {
            for peer in told {
                peer.await;
            }
        };
        timeout(TELL_LIMIT, all).await.ok();
    }

    /// Tells all peers, and returns what they wait for when it changes next.
    fn exchange(self: &Arc<Self>) -> UrgentNews {
        // Looked at first: what changes in between is told twice and not never.
        let told = self.urgent_news();
        // The tasks go on by themselves.
        drop(self.tell_all());
        told
    }

    fn tell_all(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let own = Arc::new(PeerDigest {
            policy: Some(self.work.digest()),
            ..self.shared()
        });
        let peers = self.mesh.connected_peers();
        lock(&self.inbox).retain(&peers);
        lock(&self.outbox).retain(&peers);
        peers
            .into_iter()
            .map(|host| {
                let (controller, own) = (self.clone(), own.clone());
                task::spawn(async move { controller.tell(&host, &own).await })
            })
            .collect()
    }

    /// Tells one peer what changed, or the whole where it holds nothing to start from.
    async fn tell(&self, host: &HostName, own: &Arc<PeerDigest>) {
        let call = lock(&self.outbox).call_for(host, own);
        if !self.call_peer(host, own, call).await {
            lock(&self.outbox).forget(host);
            let whole = PeerCall::Digest(Box::new(PeerDigest::clone(own)));
            self.call_peer(host, own, whole).await;
        }
    }

    /// Makes one call; returns false where the peer wants the whole digest.
    async fn call_peer(&self, host: &HostName, own: &Arc<PeerDigest>, call: PeerCall) -> bool {
        let asked = boot_now();
        let whole = matches!(call, PeerCall::Digest(_));
        let document = match self.mesh.call(host, call, EXCHANGE_LIMIT).await {
            Ok(PeerReply::Digest(digest)) => {
                let document = DocumentIdentity::of(&digest);
                self.learn(host, *digest);
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
        lock(&self.outbox).mark_confirmed(host, own, whole);
        self.config
            .peer_replied(host, document.version, document.digest, asked);
        true
    }

    fn urgent_news(&self) -> UrgentNews {
        UrgentNews {
            shed_levels: self.work.shed_levels(),
            suspects: self.suspects.table().entries(),
        }
    }

    /// Waits until a second has passed or peers wait for something that changed.
    async fn wait_for_news(&self, told: &UrgentNews) {
        for _ in 0..PERIOD.as_millis() / LOOK_PERIOD.as_millis() {
            task::sleep(LOOK_PERIOD).await;
            if self.work.wants_digest() || self.urgent_news() != *told {
                return;
            }
        }
    }
}

async fn exchange_forever(controller: Weak<DigestController>, triggered: Receiver<()>) {
    while let Some(controller) = controller.upgrade() {
        let told = controller.exchange();
        let trigger = async {
            triggered.recv().await.ok();
        };
        or(trigger, controller.wait_for_news(&told)).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
