//! Fixtures: hosts with a listener, a mesh and a configuration controller, and their
//! platform.

// Each including test or example uses only some of these fixtures.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use cardamomgw::clock::boot_now;
use cardamomgw::controllers::ConfigController;
use cardamomgw::controllers::ConfigDependencies;
use cardamomgw::controllers::RosterAdmission;
use cardamomgw::documents::DocumentClient;
use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::SeatAddress;
use cardamomgw::fleet::parse_document;
use cardamomgw::logs::StateLog;
use cardamomgw::metrics::RequestMetrics;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerDigest;
use cardamomgw::peers::PeerIdentity;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::ReplySender;
use cardamomgw::settings::LogLevel;
use standins::PlatformServer;

/// Interval of digest exchanges between members.
pub(crate) const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Answers calls with the state of its controller.
#[derive(Default)]
pub(crate) struct ConfigHandler {
    controller: OnceLock<Arc<ConfigController>>,
}

impl CallHandler for ConfigHandler {
    fn handle(&self, from: String, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            let Some(controller) = self.controller.get() else {
                return;
            };
            let reply = match call {
                PeerCall::Digest(digest) => {
                    controller.peer_announced(&from, digest.version, digest.digest);
                    PeerReply::Digest(Box::new(own_digest(controller)))
                }
                PeerCall::Document => PeerReply::Document(controller.copy()),
                _ => return,
            };
            replies.finish(reply).await.ok();
        })
    }
}

pub(crate) fn own_digest(controller: &ConfigController) -> PeerDigest {
    let (version, digest) = controller.version_digest();
    PeerDigest {
        version,
        digest,
        ..PeerDigest::default()
    }
}

/// One host with its listener, mesh and controller.
pub(crate) struct FleetMember {
    pub(crate) name: String,
    pub(crate) listener: PeerListener,
    pub(crate) handler: Arc<ConfigHandler>,
}

impl FleetMember {
    /// Binds the port for peers, so that documents can name it.
    pub(crate) async fn bind(name: &str) -> Self {
        let handler = Arc::<ConfigHandler>::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = PeerListener::bind(address, identity(name), handler.clone())
            .await
            .expect("a free port");
        Self {
            name: name.to_owned(),
            listener,
            handler,
        }
    }

    /// Starts to follow the platform and the peers.
    pub(crate) fn start(&self, platform: SocketAddr, seeds: &[&Self]) {
        let seeds = seeds.iter().map(|seed| seed.listener.address()).collect();
        let mesh = PeerMesh::spawn(identity(&self.name), seeds);
        let platform = DocumentClient::new(vec![platform], "fleet".to_owned());
        let metrics = RequestMetrics::open().expect("metrics open");
        let log = StateLog::open(LogLevel::Error, metrics.clone()).expect("the log opens");
        let controller = ConfigController::spawn(ConfigDependencies {
            host: self.name.clone(),
            mesh: mesh.clone(),
            platform: Arc::new(platform),
            log: Arc::new(log),
            metrics,
            admit_roster: Box::new(|_| RosterAdmission::Admitted),
            view_listener: Box::new(|_| {}),
        });
        let (trigger, triggered) = async_channel::bounded(1);
        controller.set_exchange_trigger(Box::new(move || {
            trigger.try_send(()).ok();
        }));
        task::spawn(exchange_forever(mesh, controller.clone(), triggered));
        assert!(self.handler.controller.set(controller).is_ok());
    }

    pub(crate) fn controller(&self) -> &ConfigController {
        self.handler.controller.get().expect("the member started")
    }

    pub(crate) fn version(&self) -> u64 {
        self.controller().version_digest().0
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.controller().readiness(boot_now()).is_ok()
    }

    pub(crate) fn refusal(&self) -> String {
        self.controller().last_refusal().unwrap_or_default()
    }
}

pub(crate) fn identity(host: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.to_owned(),
        key: b"key".to_vec(),
    }
}

pub(crate) async fn exchange_forever(
    mesh: Arc<PeerMesh>,
    controller: Arc<ConfigController>,
    triggered: Receiver<()>,
) {
    loop {
        for host in mesh.connected_peers() {
            let call = PeerCall::Digest(Box::new(own_digest(&controller)));
            let asked = boot_now();
            let reply = mesh.call(&host, call, EXCHANGE_PERIOD).await;
            if let Ok(PeerReply::Digest(digest)) = reply {
                controller.peer_replied(&host, digest.version, digest.digest, asked);
            }
        }
        let pause = async_std::future::timeout(EXCHANGE_PERIOD, triggered.recv());
        pause.await.ok();
    }
}

pub(crate) async fn bind_members(names: &[&str]) -> Vec<FleetMember> {
    let mut members = Vec::new();
    for name in names {
        members.push(FleetMember::bind(name).await);
    }
    members
}

pub(crate) async fn open_platform() -> PlatformServer {
    PlatformServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a free port")
}

/// An address without a listener.
pub(crate) fn no_platform() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// The sample fleet with these members as its seats.
pub(crate) fn document(version: u64, members: &[FleetMember]) -> FleetDocument {
    let text = include_str!("../../resources/fleet-sample.json");
    let mut document = parse_document(text).expect("the sample is sound");
    document.version = version;
    document.roster.seats = members
        .iter()
        .map(|member| SeatAddress {
            host: member.name.clone(),
            address: member.listener.address(),
            availability_zone: "zone-a".to_owned(),
        })
        .collect();
    document
}

pub(crate) fn publish(platform: &PlatformServer, document: &FleetDocument) {
    platform
        .publish("fleet", document)
        .expect("the document has a version");
}
