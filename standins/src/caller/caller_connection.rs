//! An HTTP/1.1 client connection that exposes the framing of answers.

use std::net::SocketAddr;
use std::time::Instant;

use async_std::io::BufReader;
use async_std::net::TcpStream;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

use super::CallerAnswer;
use super::CallerError;
use super::CallerRequest;

/// Maximum number of headers in an answer.
const MAX_HEADERS: usize = 64;
/// Maximum size of an answer head, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Size of the buffer for reading bodies, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// An open connection to a host.
pub struct CallerConnection {
    host: SocketAddr,
    reader: BufReader<TcpStream>,
}

/// How the end of an answer's body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    None,
    Length(u64),
    Chunked,
    Undeclared,
}

impl CallerConnection {
    /// Opens a connection to `host`.
    pub async fn open(host: SocketAddr) -> Result<Self, CallerError> {
        let stream = TcpStream::connect(host)
            .await
            .map_err(|_| CallerError::Refused)?;
        stream.set_nodelay(true).ok();
        Ok(Self {
            host,
            reader: BufReader::new(stream),
        })
    }

    /// Returns the address of the connected host.
    pub const fn host(&self) -> SocketAddr {
        self.host
    }

    /// Sends `request` and reads the answer.
    pub async fn call(&mut self, request: &CallerRequest) -> Result<CallerAnswer, CallerError> {
        let sent = Instant::now();
        self.send_bytes(&request.to_bytes(self.host)).await?;
        self.read_answer(sent).await
    }

    /// Sends raw bytes.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), CallerError> {
        let stream = self.reader.get_mut();
        stream
            .write_all(bytes)
            .await
            .map_err(|_| CallerError::Closed)
    }

    /// Reads until the peer closes the connection.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // On a reset, the bytes received before it are kept.
        self.reader.read_to_end(&mut bytes).await.ok();
        bytes
    }

    /// Reads one answer; its times are relative to `sent`.
    pub async fn read_answer(&mut self, sent: Instant) -> Result<CallerAnswer, CallerError> {
        let mut answer = self.read_head(sent).await?;
        let framing = body_framing(&answer)?;
        answer.is_complete = match framing {
            BodyFraming::None => true,
            BodyFraming::Length(length) => self.read_length(&mut answer, length, sent).await,
            BodyFraming::Chunked => self.read_chunks(&mut answer, sent).await,
            BodyFraming::Undeclared => {
                answer.body = self.read_to_end().await;
                false
            }
        };
        let closes = answer
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        answer.reusable = answer.is_complete && !closes;
        Ok(answer)
    }

    /// Reads only the head of an answer; a chunked body is then read with [`Self::read_chunk`].
    pub async fn read_head(&mut self, sent: Instant) -> Result<CallerAnswer, CallerError> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let count = self.reader.read_until(b'\n', &mut head).await;
            match count {
                Ok(1..) if head.len() < MAX_LINE_BYTES => {}
                Ok(1..) => return Err(CallerError::Malformed),
                _ => return Err(CallerError::Closed),
            }
        }
        parse_head(&head, sent)
    }

    /// Reads one chunk of a chunked body; returns `None` for the terminating chunk, and an error
    /// when the body is truncated or malformed.
    pub async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, CallerError> {
        let mut line = Vec::new();
        let count = self.reader.read_until(b'\n', &mut line).await;
        if count.unwrap_or(0) == 0 || !line.ends_with(b"\r\n") {
            return Err(CallerError::Closed);
        }
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim(), 16).map_err(|_| CallerError::Malformed)?;
        let mut chunk = vec![0; size + 2];
        self.reader
            .read_exact(&mut chunk)
            .await
            .map_err(|_| CallerError::Closed)?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    async fn read_chunks(&mut self, answer: &mut CallerAnswer, sent: Instant) -> bool {
        loop {
            match self.read_chunk().await {
                Ok(Some(chunk)) => {
                    answer.body.extend_from_slice(&chunk);
                    answer.chunk_times.push(sent.elapsed());
                }
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    async fn read_length(&mut self, answer: &mut CallerAnswer, length: u64, sent: Instant) -> bool {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while (answer.body.len() as u64) < length {
            let rest = (length - answer.body.len() as u64).min(READ_BUFFER_BYTES as u64) as usize;
            match self.reader.read(&mut buffer[..rest]).await {
                Ok(count) if count > 0 => answer.body.extend_from_slice(&buffer[..count]),
                _ => return false,
            }
            answer.chunk_times.push(sent.elapsed());
        }
        true
    }
}

fn parse_head(head: &[u8], sent: Instant) -> Result<CallerAnswer, CallerError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    parsed.parse(head).map_err(|_| CallerError::Malformed)?;
    let headers = parsed
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        })
        .collect();
    Ok(CallerAnswer {
        status: parsed.code.ok_or(CallerError::Malformed)?,
        headers,
        body: Vec::new(),
        is_complete: false,
        reusable: false,
        head_time: sent.elapsed(),
        chunk_times: Vec::new(),
    })
}

fn body_framing(answer: &CallerAnswer) -> Result<BodyFraming, CallerError> {
    if matches!(answer.status, 100..=199 | 204 | 304) {
        return Ok(BodyFraming::None);
    }
    let chunked = answer
        .header("Transfer-Encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    match (chunked, answer.header("Content-Length")) {
        (true, None) => Ok(BodyFraming::Chunked),
        (false, Some(text)) => text
            .parse()
            .map(BodyFraming::Length)
            .map_err(|_| CallerError::Malformed),
        (true, Some(_)) => Err(CallerError::Malformed),
        (false, None) => Ok(BodyFraming::Undeclared),
    }
}
