//! Framing checks and the connection limit of a listener.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures_lite::io::Cursor;

use super::AnswerHead;
use super::CallerConnection;
use super::ConnectionLimits;
use super::ConnectionListener;
use super::HeaderMap;
use super::MessageFraming;
use crate::errors::ErrorKind;
use crate::limits::ConnectionTable;

fn framing(fields: &str) -> Result<MessageFraming, ErrorKind> {
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\n{fields}\r\n");
    MessageFraming::from_head(head.as_bytes())
}

#[test]
fn valid_framings_are_parsed() {
    assert_eq!(framing(""), Ok(MessageFraming::Undeclared));
    assert_eq!(
        framing("Content-Length: 12\r\n"),
        Ok(MessageFraming::Length(12))
    );
    assert_eq!(
        framing("transfer-encoding: Chunked\r\n"),
        Ok(MessageFraming::Chunked)
    );
}

/// Guards against request smuggling, by which a caller gets the answer to another
/// caller's request: a message has two lengths, a proxy uses the first and the
/// parser the last, and the rest of the body is parsed as a separate request.
#[test]
fn ambiguous_framings_are_refused() {
    for fields in [
        "content-length: 1\r\ncontent-length: 2\r\n",
        "content-length: 1\r\ncontent-length: 1\r\n",
        "content-length: 1\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "content-length: +1\r\n",
        "content-length: -1\r\n",
        "content-length: 1, 1\r\n",
        "content-length: 99999999999999999999\r\n",
        "content-length : 1\r\n",
        "x: 1\r\n folded: 2\r\n",
        "no colon\r\n",
        "x: \u{e9}t\u{e9}\r\n",
        "x: \u{7}\r\n",
        "x: a\nb\r\n",
    ] {
        assert_eq!(
            framing(fields),
            Err(ErrorKind::MalformedMessage),
            "{fields:?}"
        );
    }
}

/// Guards against a host that can't connect to targets because connections of callers
/// use all file descriptors: above the maximum, connections get a refusal while requests
/// run on the open ones.
#[async_std::test]
async fn connections_above_the_maximum_are_refused_while_requests_run() {
    let (running, is_running) = async_channel::bounded(1);
    let serve = move |mut connection: CallerConnection| {
        let running = running.clone();
        async move {
            connection.next_request().await.ok();
            running.send(connection.set_running(2)).await.ok();
            connection.wait_closed().await;
        }
    };
    let listener = bind_listener(serve).await;
    let mut first = TcpStream::connect(listener.address()).await.unwrap();
    first.write_all(REQUEST).await.unwrap();
    assert!(is_running.recv().await.unwrap());

    let mut second = TcpStream::connect(listener.address()).await.unwrap();
    let refused = read_status(&mut second).await;

    assert_eq!(refused, "HTTP/1.1 503");
}

/// Guards against idle connections that keep callers out.
#[async_std::test]
async fn an_idle_connection_is_evicted_for_a_new_one() {
    let serve = |mut connection: CallerConnection| async move {
        if let Ok(Some(_)) = connection.next_request().await {
            let answer = connection.send_answer(refusal_head(), Cursor::new([]));
            answer.await.unwrap();
        }
    };
    let listener = bind_listener(serve).await;
    let mut first = TcpStream::connect(listener.address()).await.unwrap();

    let mut second = TcpStream::connect(listener.address()).await.unwrap();
    second.write_all(REQUEST).await.unwrap();
    let served = read_status(&mut second).await;

    assert_eq!(served, "HTTP/1.1 503");
    assert_eq!(first.read(&mut [0; 1]).await.unwrap(), 0);
}

/// Guards against requests that run on for a caller that has left behind unread bytes.
#[async_std::test]
async fn a_caller_that_disconnects_behind_unread_bytes_is_noticed() {
    let (left, has_left) = async_channel::bounded(1);
    let serve = move |mut connection: CallerConnection| {
        let left = left.clone();
        async move {
            connection.next_request().await.ok();
            connection.wait_closed().await;
            left.send(()).await.ok();
        }
    };
    let listener = bind_listener(serve).await;
    let mut caller = TcpStream::connect(listener.address()).await.unwrap();
    // More than one read, and less than the kernel's buffer, behind which no end is received.
    let bytes = [REQUEST, &[b'x'; 10 << 10]].concat();
    caller.write_all(&bytes).await.unwrap();

    drop(caller);

    let noticed = timeout(Duration::from_secs(10), has_left.recv()).await;
    assert!(noticed.is_ok());
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Starts a listener with one descriptor, which answers further connections with 503.
async fn bind_listener<S, F>(serve: S) -> ConnectionListener
where
    S: Fn(CallerConnection) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let refuse = |mut connection: CallerConnection| async move {
        let answer = connection.send_answer(refusal_head(), Cursor::new([]));
        answer.await.ok();
        connection.close().await;
    };
    let limits = ConnectionLimits {
        table: ConnectionTable::new(),
        max_descriptors: 1,
        unread_bytes: 8 << 10,
    };
    ConnectionListener::bind(any_port, limits, serve, refuse)
        .await
        .unwrap()
}

fn refusal_head() -> AnswerHead {
    AnswerHead {
        status: 503,
        headers: HeaderMap::new(),
        length: Some(0),
    }
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    String::from_utf8(status.to_vec()).unwrap()
}
