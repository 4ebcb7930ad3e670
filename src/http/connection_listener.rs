//! Accepts connections on an address, up to a maximum number at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;

use super::CallerConnection;

/// Delay after a failed accept. The process is then usually out of file
/// descriptors, and retrying at once would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of connections above the maximum that are refused with an answer at the
/// same time; any further ones are closed without an answer.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// A running listener; dropping it stops accepting and closes its connections.
#[derive(Debug)]
pub(crate) struct ConnectionListener {
    address: SocketAddr,
    _stop: Sender<()>,
}

/// Counts a connection while it is open.
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl ConnectionListener {
    /// Binds the address and starts to accept connections.
    ///
    /// Up to `max_open` concurrent connections are passed to `serve`, those above to
    /// `refuse`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub(crate) async fn bind<S, SF, R, RF>(
        address: SocketAddr,
        max_open: usize,
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
        let address = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        task::spawn(async move {
            let open = Arc::new(AtomicUsize::new(0));
            while let Some(accepted) = accept_stream(&listener, &stopped).await {
                let Ok(stream) = accepted else {
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let guard = OpenConnectionGuard::enter(&open);
                match open.load(Ordering::Relaxed) {
                    count if count <= max_open => {
                        spawn_connection(serve(CallerConnection::new(stream)), guard, &stopped);
                    }
                    count if count <= max_open + MAX_REFUSED_CONNECTIONS => {
                        spawn_connection(refuse(CallerConnection::new(stream)), guard, &stopped);
                    }
                    _ => drop(stream),
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

impl OpenConnectionGuard {
    fn enter(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
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

fn spawn_connection(
    handler: impl Future<Output = ()> + Send + 'static,
    guard: OpenConnectionGuard,
    stopped: &Receiver<()>,
) {
    let stopped = stopped.clone();
    task::spawn(async move {
        let _guard = guard;
        let stop = async {
            stopped.recv().await.ok();
        };
        or(handler, stop).await;
    });
}
