//! Callers and targets that send arbitrary bytes.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use serde_json::Value;

use super::WAIT_LIMIT;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A caller's connection for raw bytes.
pub(crate) struct RawCaller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A parsed answer.
#[derive(Clone, Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawCaller {
    /// Connects to a host.
    pub(crate) async fn open(host: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(host).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    /// Sends bytes; a closed connection is detected by the next read.
    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.ok();
    }

    /// Closes the sending direction of the connection.
    pub(crate) fn shutdown_write(&self) {
        self.stream.shutdown(Shutdown::Write).ok();
    }

    /// Reads one answer; returns `None` if the connection closes before it is complete.
    pub(crate) async fn read_answer(&mut self) -> Option<RawAnswer> {
        let head = self.read_head().await?;
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let is_length = name.eq_ignore_ascii_case("content-length");
            is_length.then(|| value.trim().parse::<usize>().unwrap())
        });
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = length.unwrap_or(0);
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        let body = self.buffer.drain(..length).collect();
        Some(RawAnswer {
            status,
            head,
            body: String::from_utf8(body).unwrap(),
        })
    }

    /// Reads the head of an answer without its body.
    pub(crate) async fn read_head(&mut self) -> Option<String> {
        loop {
            let found = self.buffer.windows(4).position(|part| part == HEAD_END);
            if let Some(end) = found {
                let head: Vec<u8> = self.buffer.drain(..end + HEAD_END.len()).collect();
                return Some(String::from_utf8(head).unwrap());
            }
            self.read_more().await?;
        }
    }

    /// Reads until the host closes the connection.
    pub(crate) async fn read_to_end(&mut self) -> Vec<u8> {
        while self.read_more().await.is_some() {}
        std::mem::take(&mut self.buffer)
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        let read = timeout(WAIT_LIMIT, self.stream.read(&mut buffer)).await;
        let count = read
            .expect("the host sends data or closes within the wait limit")
            .ok()?;
        self.buffer.extend_from_slice(&buffer[..count]);
        (count > 0).then_some(())
    }
}

impl RawAnswer {
    /// Returns the error kind from the body, or an empty string.
    pub(crate) fn kind(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns a header's value, or an empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        let found = self.head.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        });
        found.unwrap_or_default()
    }
}

/// Sends bytes on a new connection and reads one answer.
pub(crate) async fn send_raw(host: SocketAddr, bytes: &[u8]) -> Option<RawAnswer> {
    let mut caller = RawCaller::open(host).await;
    caller.send(bytes).await;
    caller.read_answer().await
}

/// A target that answers every POST with configurable bytes and closes the connection.
pub(crate) struct RawTarget {
    address: SocketAddr,
    answer: Arc<Mutex<Vec<u8>>>,
    posts: Arc<Mutex<Vec<String>>>,
}

impl RawTarget {
    /// Starts the target on a free port.
    pub(crate) async fn bind() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            answer: Arc::default(),
            posts: Arc::default(),
        };
        let (answer, posts) = (target.answer.clone(), target.posts.clone());
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(answer_raw(stream, answer.clone(), posts.clone()));
            }
        });
        target
    }

    /// Returns the address that the target listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the bytes of the answer; `{id}` is replaced by the request id.
    pub(crate) fn set_answer(&self, bytes: &[u8]) {
        *self.answer.lock().unwrap() = bytes.to_vec();
    }

    /// Returns the number of POSTs received with a request id.
    pub(crate) fn post_count(&self, id: &str) -> usize {
        let posts = self.posts.lock().unwrap();
        posts.iter().filter(|known| *known == id).count()
    }
}

async fn answer_raw(
    mut stream: TcpStream,
    answer: Arc<Mutex<Vec<u8>>>,
    posts: Arc<Mutex<Vec<String>>>,
) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !request.windows(4).any(|part| part == HEAD_END) {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&request).into_owned();
    if !head.starts_with("POST ") {
        // Load reports and streams are not supported.
        let none = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(none).await.ok();
        return;
    }
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "))
        .unwrap_or_default()
        .to_owned();
    posts.lock().unwrap().push(id.clone());
    let bytes = answer.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap().replace("{id}", &id);
    stream.write_all(text.as_bytes()).await.ok();
    stream.shutdown(Shutdown::Write).ok();
    // Closing a socket with unread bytes would reset the connection.
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}
