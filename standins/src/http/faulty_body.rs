//! Answer body that is shorter than its declared length.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::ready;

/// What happens after the last byte of a [`FaultyBody`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyEnding {
    /// End of file before the declared length; the connection stays open.
    Short,
    /// The connection is aborted.
    Abort,
    /// No further data; the connection stays open.
    Stall,
}

/// A body that sends its bytes and then behaves as `ending` says.
pub(crate) struct FaultyBody {
    bytes: Vec<u8>,
    sent: usize,
    ending: BodyEnding,
}

impl FaultyBody {
    /// Creates a body of `bytes` followed by `ending`.
    pub(crate) const fn new(bytes: Vec<u8>, ending: BodyEnding) -> Self {
        Self {
            bytes,
            sent: 0,
            ending,
        }
    }
}

impl AsyncBufRead for FaultyBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.sent < body.bytes.len() {
            return Poll::Ready(Ok(&body.bytes[body.sent..]));
        }
        match body.ending {
            BodyEnding::Short => Poll::Ready(Ok(&[])),
            BodyEnding::Abort => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            BodyEnding::Stall => Poll::Pending,
        }
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().sent += count;
    }
}

impl AsyncRead for FaultyBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
