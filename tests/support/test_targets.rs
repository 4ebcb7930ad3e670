//! Target stand-ins, each with a link.

use std::net::SocketAddr;

use cardamomgw::ids::TargetName;
use standins::EngineServer;
use standins::ExecutionRecord;
use standins::LinkServer;
use standins::ServiceServer;

use super::FleetPlan;

/// The stand-in of a target.
pub(crate) enum TargetServer {
    Engine(EngineServer),
    Service(ServiceServer),
}

/// A target with its name and the link that leads to it.
pub(crate) struct TestTarget {
    pub(crate) name: TargetName,
    pub(crate) server: TargetServer,
    pub(crate) link: LinkServer,
}

impl TestTarget {
    /// Starts an engine.
    pub(crate) async fn engine(number: usize, plan: &FleetPlan) -> Self {
        let server = EngineServer::bind(any_port(), plan.engine).await.unwrap();
        let link = LinkServer::bind(any_port(), server.address())
            .await
            .unwrap();
        Self {
            name: format!("engine-{number}"),
            server: TargetServer::Engine(server),
            link,
        }
    }

    /// Starts a service.
    pub(crate) async fn service(number: usize, plan: &FleetPlan) -> Self {
        let server = ServiceServer::bind(any_port(), plan.service).await.unwrap();
        let link = LinkServer::bind(any_port(), server.address())
            .await
            .unwrap();
        Self {
            name: format!("service-{number}"),
            server: TargetServer::Service(server),
            link,
        }
    }

    /// Returns the address of the target for the document.
    pub(crate) fn address(&self, plan: &FleetPlan) -> SocketAddr {
        match (&self.server, plan.targets_behind_links) {
            (_, true) => self.link.address(),
            (TargetServer::Engine(engine), false) => engine.address(),
            (TargetServer::Service(service), false) => service.address(),
        }
    }

    /// Returns all executions that started on this target.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        match &self.server {
            TargetServer::Engine(engine) => engine.executions(),
            TargetServer::Service(service) => service.executions(),
        }
    }
}

/// Loopback address with an automatically assigned port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
