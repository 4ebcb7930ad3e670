//! One connection through a link.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use event_listener::Event;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;

use super::link_server::LinkMode;

/// How much is passed on at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// What befalls one connection.
#[derive(Debug)]
pub(crate) struct LinkConnection {
    pub(crate) client: SocketAddr,
    silent_forth: AtomicBool,
    silent_back: AtomicBool,
    cut: AtomicBool,
    ended: AtomicBool,
    changed: Event,
}

impl LinkConnection {
    pub(crate) fn new(client: SocketAddr, mode: LinkMode) -> Self {
        Self {
            client,
            silent_forth: AtomicBool::new(mode.swallows_forth()),
            silent_back: AtomicBool::new(mode.swallows_back()),
            cut: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    /// Swallows from now on what `mode` says, without an end. A direction that was
    /// silenced stays so.
    pub(crate) fn silence(&self, mode: LinkMode) {
        self.silent_forth
            .fetch_or(mode.swallows_forth(), Ordering::AcqRel);
        self.silent_back
            .fetch_or(mode.swallows_back(), Ordering::AcqRel);
    }

    /// Ends the connection on both sides.
    pub(crate) fn cut(&self) {
        self.cut.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    async fn wait_for_cut(&self) {
        loop {
            let changed = self.changed.listen();
            if self.cut.load(Ordering::Acquire) {
                return;
            }
            changed.await;
        }
    }

    /// Passes bytes on in both directions until an end or a cut.
    pub(crate) async fn run(
        self: Arc<Self>,
        client: TcpStream,
        upstream: TcpStream,
        delay_ms: Arc<AtomicU64>,
    ) {
        let forth = pump(
            client.clone(),
            upstream.clone(),
            &self.silent_forth,
            &self.cut,
            &delay_ms,
        );
        let back = pump(
            upstream.clone(),
            client.clone(),
            &self.silent_back,
            &self.cut,
            &delay_ms,
        );
        let both = futures_lite::future::zip(forth, back);
        async {
            both.await;
        }
        .or(self.wait_for_cut())
        .await;
        client.shutdown(Shutdown::Both).ok();
        upstream.shutdown(Shutdown::Both).ok();
        self.ended.store(true, Ordering::Release);
    }
}

/// Passes bytes on in one direction. A silent one also hides the end.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    silent: &AtomicBool,
    cut: &AtomicBool,
    delay_ms: &AtomicU64,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let count = from.read(&mut piece).await.unwrap_or(0);
        let delay = Duration::from_millis(delay_ms.load(Ordering::Relaxed));
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        if silent.load(Ordering::Acquire) {
            swallow(&mut from).await;
        }
        // What came behind a cut may be read before the task that waits for the cut has
        // its turn; a request and its whole answer got through.
        if cut.load(Ordering::Acquire) {
            return;
        }
        if count == 0 || to.write_all(&piece[..count]).await.is_err() {
            to.shutdown(Shutdown::Write).ok();
            return;
        }
    }
}

/// Reads and drops what still comes, and never returns.
async fn swallow(from: &mut TcpStream) {
    let mut piece = vec![0; PIECE_BYTES];
    while from.read(&mut piece).await.unwrap_or(0) > 0 {}
    futures_lite::future::pending::<()>().await;
}
