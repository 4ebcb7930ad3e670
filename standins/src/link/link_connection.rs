//! A connection proxied by a link.

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

/// Size of the forwarding buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Faults injected into one connection.
#[derive(Debug)]
pub(crate) struct LinkConnection {
    pub(crate) client: SocketAddr,
    drop_upstream: AtomicBool,
    drop_downstream: AtomicBool,
    cut: AtomicBool,
    ended: AtomicBool,
    changed: Event,
}

impl LinkConnection {
    pub(crate) fn new(client: SocketAddr, mode: LinkMode) -> Self {
        Self {
            client,
            drop_upstream: AtomicBool::new(mode.drops_upstream()),
            drop_downstream: AtomicBool::new(mode.drops_downstream()),
            cut: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    /// Discards the directions that `mode` silences, without closing the connection. A direction
    /// that is already silenced stays so.
    pub(crate) fn silence(&self, mode: LinkMode) {
        self.drop_upstream
            .fetch_or(mode.drops_upstream(), Ordering::AcqRel);
        self.drop_downstream
            .fetch_or(mode.drops_downstream(), Ordering::AcqRel);
    }

    /// Closes the connection on both sides.
    pub(crate) fn cut(&self) {
        self.cut.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn is_closed(&self) -> bool {
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

    /// Forwards both directions until both ends close or the link is cut.
    pub(crate) async fn run(
        self: Arc<Self>,
        client: TcpStream,
        upstream: TcpStream,
        delay_ms: Arc<AtomicU64>,
    ) {
        let upstream_copy = copy_bytes(
            client.clone(),
            upstream.clone(),
            &self.drop_upstream,
            &self.cut,
            &delay_ms,
        );
        let downstream_copy = copy_bytes(
            upstream.clone(),
            client.clone(),
            &self.drop_downstream,
            &self.cut,
            &delay_ms,
        );
        let both = futures_lite::future::zip(upstream_copy, downstream_copy);
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

/// Forwards one direction. A silenced direction does not propagate the end of the stream.
async fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    dropping: &AtomicBool,
    cut: &AtomicBool,
    delay_ms: &AtomicU64,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let delay = Duration::from_millis(delay_ms.load(Ordering::Relaxed));
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        if dropping.load(Ordering::Acquire) {
            discard(&mut from).await;
        }
        // Data may be read after the cut but before the task that waits for the cut runs; without
        // this check, a request and its complete answer could still pass.
        if cut.load(Ordering::Acquire) {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            to.shutdown(Shutdown::Write).ok();
            return;
        }
    }
}

/// Reads and discards all further data; never returns.
async fn discard(from: &mut TcpStream) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while from.read(&mut buffer).await.unwrap_or(0) > 0 {}
    futures_lite::future::pending::<()>().await;
}
