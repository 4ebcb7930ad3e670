//! HTTP/1.1 server that can simulate crashes and restarts.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;

/// Delay between attempts to bind the previous address on a restart.
const REBIND_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of attempts to bind the previous address on a restart.
const MAX_REBIND_ATTEMPTS: usize = 2000;

/// Future of a handler's answer; an error closes the connection.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = http_types::Result<Response>> + Send>>;

/// Handles one request.
pub(crate) type RequestHandler = dyn Fn(Request) -> ReplyFuture + Send + Sync;

/// How a crash is simulated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashMode {
    /// Closes all connections and refuses new ones; the process keeps running.
    #[default]
    InProcess,
    /// Exits the process.
    ExitProcess,
}

/// A listener whose connections are all closed together in a crash.
pub(crate) struct HttpServer {
    address: SocketAddr,
    handler: Arc<RequestHandler>,
    stop: Mutex<Sender<()>>,
}

impl HttpServer {
    /// Binds `address` and serves requests with `handler` until dropped or crashed.
    pub(crate) async fn bind(
        address: SocketAddr,
        handler: Arc<RequestHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = Self::serve(listener, Arc::clone(&handler));
        Ok(Self {
            address,
            handler,
            stop: Mutex::new(stop),
        })
    }

    /// Returns the address that the server listens on, or listened on before a crash.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and drops running handlers.
    pub(crate) fn crash(&self) {
        self.stop().close();
    }

    /// Listens on the previous address again; does nothing if the server is running.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if !self.stop().is_closed() {
            return Ok(());
        }
        let listener = self.rebind().await?;
        *self.stop() = Self::serve(listener, Arc::clone(&self.handler));
        Ok(())
    }

    async fn rebind(&self) -> io::Result<TcpListener> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..MAX_REBIND_ATTEMPTS {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return Ok(listener),
                Err(error) => last = error,
            }
            task::sleep(REBIND_DELAY).await;
        }
        Err(last)
    }

    fn serve(listener: TcpListener, handler: Arc<RequestHandler>) -> Sender<()> {
        let (stop, stopped) = async_channel::bounded(1);
        task::spawn(accept_loop(listener, handler, stopped));
        stop
    }

    fn stop(&self) -> MutexGuard<'_, Sender<()>> {
        self.stop.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Accepts connections until the server stops.
async fn accept_loop(listener: TcpListener, handler: Arc<RequestHandler>, stopped: Receiver<()>) {
    loop {
        let accepted = async { listener.accept().await.ok() };
        let stop = async {
            stopped.recv().await.ok();
            None
        };
        let Some((stream, _)) = stop.or(accepted).await else {
            if stopped.is_closed() {
                return;
            }
            continue;
        };
        task::spawn(serve_connection(
            stream,
            Arc::clone(&handler),
            stopped.clone(),
        ));
    }
}

/// Serves one connection until it closes or the server stops.
async fn serve_connection(stream: TcpStream, handler: Arc<RequestHandler>, stopped: Receiver<()>) {
    stream.set_nodelay(true).ok();
    let serving = async {
        async_h1::accept(stream.clone(), |request| handler(request))
            .await
            .ok();
    };
    let stop = async {
        stopped.recv().await.ok();
    };
    stop.or(serving).await;
    stream.shutdown(std::net::Shutdown::Both).ok();
}
