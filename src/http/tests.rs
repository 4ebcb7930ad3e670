//! Framing checks and the connection limit of a listener.

use std::net::SocketAddr;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures_lite::io::Cursor;

use super::AnswerHead;
use super::CallerConnection;
use super::ConnectionListener;
use super::HeaderMap;
use super::MessageFraming;
use crate::errors::ErrorKind;

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
/// use all file descriptors: above the maximum, connections get a refusal until an
/// open one is closed.
#[async_std::test]
async fn connections_above_the_maximum_are_refused_until_one_closes() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let serve = |mut connection: CallerConnection| async move {
        connection.next_request().await.ok();
    };
    let refuse = |mut connection: CallerConnection| async move {
        connection
            .send_answer(refusal_head(), Cursor::new([]))
            .await
            .ok();
        connection.close().await;
    };
    let listener = ConnectionListener::bind(any_port, 1, serve, refuse)
        .await
        .unwrap();
    let mut first = TcpStream::connect(listener.address()).await.unwrap();

    let mut second = TcpStream::connect(listener.address()).await.unwrap();
    let refused = read_status(&mut second).await;
    drop(second);
    first.write_all(b"nonsense\r\n\r\n").await.unwrap();
    let served = first.read(&mut [0; 1]).await.unwrap();

    assert_eq!(refused, "HTTP/1.1 503");
    assert_eq!(served, 0);
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
