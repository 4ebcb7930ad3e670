//! Minimal HTTP/1.1 reader and writer, independent of the code under test.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use rustix::net::sockopt::set_socket_linger;

/// Pause before a connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct RawHead {
    text: String,
}

/// A body, and whether its framing was complete.
#[derive(Debug, Default)]
pub(crate) struct RawBody {
    pub(crate) bytes: Vec<u8>,
    pub(crate) complete: bool,
}

/// One end of a connection.
pub(crate) struct RawLink {
    stream: TcpStream,
    pending: Vec<u8>,
    /// Deadline of reads.
    pub(crate) deadline: Instant,
}

impl RawHead {
    /// Returns the space-separated part of the first line at `index`.
    pub(crate) fn first_line_part(&self, index: usize) -> &str {
        let first = self.text.lines().next().unwrap_or_default();
        first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer, or 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.first_line_part(1).parse().unwrap_or(0)
    }

    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.text.lines().filter_map(|line| line.split_once(": "));
        let found = fields.find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns whether the connection closes after this message.
    pub(crate) fn closes(&self) -> bool {
        let value = self.header("connection");
        value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

impl RawLink {
    /// Wraps a connection; the first read deadline is `timeout` from now.
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            pending: Vec::new(),
            deadline: Instant::now() + timeout,
        }
    }

    /// Writes all of `text`.
    pub(crate) fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream
            .set_write_timeout(Some(Duration::from_secs(2)))?;
        self.stream.write_all(text.as_bytes())
    }

    /// Lets the end of the connection be a reset, behind what was written.
    pub(crate) fn reset(&self) {
        // What was written must arrive before the reset.
        std::thread::sleep(RESET_DELAY);
        set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Returns whether unread bytes are buffered.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Reads a head; returns `None` if the connection closes before its end.
    pub(crate) fn read_head(&mut self) -> io::Result<Option<RawHead>> {
        loop {
            let end = self.pending.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 4);
                return Ok(Some(RawHead { text }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that follows `head`; a truncated body is returned as far as received.
    pub(crate) fn read_body(&mut self, head: &RawHead) -> RawBody {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            return self.read_chunks();
        }
        let length = head.header("content-length");
        let Some(length) = length.and_then(|length| length.parse().ok()) else {
            return self.read_to_end();
        };
        let complete = self.wait_for(length).is_ok();
        let count = self.pending.len().min(length);
        RawBody {
            bytes: self.pending.drain(..count).collect(),
            complete,
        }
    }

    fn read_to_end(&mut self) -> RawBody {
        let complete = loop {
            match self.fill() {
                Ok(0) => break true,
                Ok(_) => {}
                Err(_) => break false,
            }
        };
        RawBody {
            bytes: std::mem::take(&mut self.pending),
            complete,
        }
    }

    fn read_chunks(&mut self) -> RawBody {
        let mut body = RawBody::default();
        while let Ok(size) = self.read_chunk_size() {
            // Each chunk, including the last one, is followed by CRLF.
            if self.wait_for(size + 2).is_err() {
                let received = self.pending.len().min(size);
                body.bytes.extend(self.pending.drain(..received));
                return body;
            }
            body.bytes.extend(self.pending.drain(..size));
            self.pending.drain(..2);
            if size == 0 {
                body.complete = true;
                return body;
            }
        }
        body
    }

    fn read_chunk_size(&mut self) -> io::Result<usize> {
        loop {
            let end = self.pending.windows(2).position(|part| part == b"\r\n");
            let Some(end) = end else {
                if self.fill()? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
                continue;
            };
            let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
            self.pending.drain(..end + 2);
            return usize::from_str_radix(line.trim(), 16)
                .map_err(|_| ErrorKind::InvalidData.into());
        }
    }

    fn wait_for(&mut self, count: usize) -> io::Result<()> {
        while self.pending.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; 8192];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }
}
