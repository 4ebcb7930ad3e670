//! Many connections that send the same bytes at the same time.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A crowd is at rest when none of its connections could send or receive for this time.
const REST_TIME: Duration = Duration::from_secs(1);
/// Pause after a round in which nothing was sent.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Most bytes that a connection sends in one round.
const ROUND_BYTES: usize = 64 << 10;

/// What each connection of a crowd sends: a head, then `length` bytes of a block that repeats.
#[derive(Clone, Debug)]
pub(crate) struct CrowdRequest {
    pub(crate) head: String,
    pub(crate) block: Vec<u8>,
    pub(crate) length: usize,
}

/// Connections of one crowd. Dropping it closes them.
pub(crate) struct CallerCrowd {
    request: CrowdRequest,
    callers: Vec<CrowdCaller>,
}

struct CrowdCaller {
    /// `None` once the host closed the connection.
    stream: Option<TcpStream>,
    head: Vec<u8>,
    sent: usize,
}

impl CrowdRequest {
    /// Sends nothing.
    pub(crate) fn nothing() -> Self {
        Self::new(String::new(), b"", 0)
    }

    /// Sends a head, then `length` bytes of a repeated block.
    pub(crate) fn new(head: String, block: &[u8], length: usize) -> Self {
        Self {
            head,
            block: block.to_vec(),
            length,
        }
    }

    /// Sends `length` bytes of a body in chunks of `chunk` bytes, without the last chunk.
    pub(crate) fn chunked(head: String, chunk: usize, length: usize) -> Self {
        let mut block = format!("{chunk:x}\r\n").into_bytes();
        block.resize(block.len() + chunk, b'x');
        block.extend_from_slice(b"\r\n");
        let length = length / chunk * block.len();
        Self {
            head,
            block,
            length,
        }
    }
}

impl CallerCrowd {
    /// Opens the connections and sends until the crowd is at rest.
    pub(crate) fn open(address: SocketAddr, count: usize, request: CrowdRequest) -> Self {
        let callers = (0..count).map(|number| {
            let stream = TcpStream::connect(address).ok();
            if let Some(stream) = &stream {
                stream.set_nonblocking(true).unwrap();
            }
            CrowdCaller {
                stream,
                head: request
                    .head
                    .replace("{id}", &format!("crowd-{number}"))
                    .into_bytes(),
                sent: 0,
            }
        });
        let mut crowd = Self {
            callers: callers.collect(),
            request,
        };
        crowd.send();
        crowd
    }

    /// Sends what is left until the crowd is at rest.
    fn send(&mut self) {
        let mut moved_at = Instant::now();
        while moved_at.elapsed() < REST_TIME {
            let mut moved = false;
            for caller in &mut self.callers {
                moved |= caller.send(&self.request) | caller.receive();
            }
            match moved {
                true => moved_at = Instant::now(),
                false => thread::sleep(ROUND_PAUSE),
            }
        }
    }

    /// Sends these bytes on each open connection.
    pub(crate) fn send_more(&mut self, bytes: &[u8]) {
        for caller in &mut self.callers {
            if let Some(stream) = &mut caller.stream {
                stream.write_all(bytes).ok();
            }
            caller.receive();
        }
    }

    /// Returns the number of connections that the host has not closed.
    pub(crate) fn open_count(&self) -> usize {
        let open = self.callers.iter().filter(|caller| caller.stream.is_some());
        open.count()
    }
}

impl CrowdCaller {
    /// Sends some bytes; returns whether any could be sent.
    fn send(&mut self, request: &CrowdRequest) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let total = self.head.len() + request.length;
        if self.sent == total {
            return false;
        }
        let bytes = match self.sent.checked_sub(self.head.len()) {
            None => &self.head[self.sent..],
            Some(sent) => {
                let start = sent % request.block.len();
                let end = request.block.len().min(start + total - self.sent);
                &request.block[start..end.min(start + ROUND_BYTES)]
            }
        };
        match stream.write(bytes) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => self.stream = None,
        }
        true
    }

    /// Reads some bytes of an answer; returns whether there were any, or the connection closed.
    fn receive(&mut self) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        match stream.read(&mut [0; 4096]) {
            Ok(count) if count > 0 => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Ok(_) | Err(_) => self.stream = None,
        }
        true
    }
}
