//! Handle of a running engine stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::EngineControl;
use super::EngineFaults;
use super::EngineOrder;
use super::EngineSettings;
use super::engine_handler::answer;
use super::engine_shared::EngineShared;
use crate::http::ExecutionRecord;
use crate::http::HttpServer;
use crate::http::TargetState;

/// A running engine stand-in; it stops when dropped.
pub struct EngineServer {
    server: Arc<HttpServer>,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Binds `address` and serves requests.
    pub async fn bind(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(EngineShared::new(settings));
        let handled = Arc::clone(&shared);
        let server = Arc::new(
            HttpServer::bind(
                address,
                Arc::new(move |request| Box::pin(answer(Arc::clone(&handled), request))),
            )
            .await?,
        );
        shared.server.set(Arc::downgrade(&server)).ok();
        Ok(Self { server, shared })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies the fields that are set in `control`.
    pub fn control(&self, control: EngineControl) {
        self.shared.control(control);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.control(EngineControl {
            faults: Some(faults),
            ..EngineControl::default()
        });
    }

    /// Sets whether the engine accepts new work.
    pub fn set_state(&self, state: TargetState) {
        self.control(EngineControl {
            state: Some(state),
            ..EngineControl::default()
        });
    }

    /// Returns every execution that started, in order, including those lost in crashes.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.shared.executions.all()
    }

    /// Returns the accepted orders, in order.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.shared.control_state().orders.clone()
    }

    /// Returns the ids of cancelled streams, in order.
    pub fn cancelled(&self) -> Vec<String> {
        self.shared.control_state().cancelled.clone()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.shared.batch.running()
    }

    /// Returns the number of prompt tokens that were prefilled.
    pub fn prefilled_tokens(&self) -> u64 {
        self.shared.prefilled_tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens that were found in the prefix cache.
    pub fn cached_tokens(&self) -> u64 {
        self.shared.cached_tokens.load(Ordering::Relaxed)
    }

    /// Simulates a crash according to the crash mode.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts after a crash at the same address, without streams and cached prefixes.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }
}
