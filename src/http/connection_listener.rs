//! Accepts connections on an address, up to a maximum number at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::CallerConnection;
use crate::limits::ConnectionTable;

/// Delay after a failed accept. The process is then usually out of file
/// descriptors, and retrying at once would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of connections above the maximum that are refused with an answer at the
/// same time; any further ones are closed without an answer.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Limits on the connections at an address.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLimits {
    pub(crate) table: Arc<ConnectionTable>,
    /// Number of descriptors that they may use, with those to the targets of their requests.
    pub(crate) max_descriptors: usize,
    /// Size of the kernel's buffer for the unread bytes of one connection.
    pub(crate) unread_bytes: usize,
}

/// A running listener; dropping it stops accepting and closes its connections.
#[derive(Debug)]
pub(crate) struct ConnectionListener {
    address: SocketAddr,
    _stop: Sender<()>,
}

impl ConnectionListener {
    /// Binds the address and starts to accept connections.
    ///
    /// Connections within the limits are passed to `serve`, those above to `refuse`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub(crate) async fn bind<S, SF, R, RF>(
        address: SocketAddr,
        limits: ConnectionLimits,
        serve: S,
        refuse: R,
    ) -> io::Result<Self>
    where
        S: Fn(CallerConnection) -> SF + Send + 'static,
        SF: Future<Output = ()> + Send + 'static,
        R: Fn(CallerConnection) -> RF + Send + 'static,
        RF: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        // Connections inherit it.
        set_socket_recv_buffer_size(&listener, limits.unread_bytes).ok();
        let address = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        task::spawn(async move {
            let refused = ConnectionTable::new();
            while let Some(accepted) = accept_stream(&listener, &stopped).await {
                let Ok(stream) = accepted else {
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                if let Some(permit) = limits.table.open(limits.max_descriptors) {
                    spawn_connection(serve(CallerConnection::new(stream, permit)), &stopped);
                } else if let Some(permit) = refused.open(MAX_REFUSED_CONNECTIONS) {
                    spawn_connection(refuse(CallerConnection::new(stream, permit)), &stopped);
                }
            }
        });
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// Returns the bound address, with the actual port.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts the next connection; `None` once the [`ConnectionListener`] has been dropped.
async fn accept_stream(
    listener: &TcpListener,
    stopped: &Receiver<()>,
) -> Option<io::Result<TcpStream>> {
    let accepted = async {
        let accepted = listener.accept().await;
        Some(accepted.map(|(stream, _)| stream))
    };
    or(accepted, async {
        stopped.recv().await.ok();
        None
    })
    .await
}

fn spawn_connection(handler: impl Future<Output = ()> + Send + 'static, stopped: &Receiver<()>) {
    let stopped = stopped.clone();
    task::spawn(async move {
        let stop = async {
            stopped.recv().await.ok();
        };
        or(handler, stop).await;
    });
}
