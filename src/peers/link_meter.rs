//! Byte counters of a peer connection.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_std::net::TcpStream;
use futures_lite::io::AsyncRead;
use futures_lite::io::AsyncWrite;

/// Bytes transferred over the connections of one peer, in both directions.
#[derive(Debug, Default)]
pub(crate) struct LinkMeter {
    read: AtomicU64,
    written: AtomicU64,
}

impl LinkMeter {
    /// Returns the bytes read.
    pub(crate) fn read_bytes(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the bytes written.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A TCP stream that counts the bytes read and written.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<LinkMeter>,
}

impl MeteredStream {
    /// Counts the bytes of `stream` in `meter`.
    pub(crate) const fn new(stream: TcpStream, meter: Arc<LinkMeter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = &poll {
            self.meter.read.fetch_add(*count as u64, Ordering::Relaxed);
        }
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count_written(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count_written(&poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl MeteredStream {
    fn count_written(&self, poll: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = poll {
            self.meter
                .written
                .fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}
