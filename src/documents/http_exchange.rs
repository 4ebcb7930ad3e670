//! A single HTTP/1.1 GET with a bounded and validated answer.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use http_types::headers::CONTENT_LENGTH;
use http_types::headers::TRANSFER_ENCODING;

use super::DocumentError;

/// The maximum size of a value on the platform, in bytes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// The status of an answer without a body.
const NOT_MODIFIED: u16 = 304;

/// A completely read answer.
#[derive(Debug)]
pub(super) struct CompleteAnswer {
    pub(super) status: u16,
    pub(super) document_version: Option<String>,
    pub(super) retry_after: Option<String>,
    pub(super) body: Bytes,
}

/// Sends a GET for `path` on a new connection and reads the complete answer.
pub(super) async fn get(address: SocketAddr, path: &str) -> Result<CompleteAnswer, DocumentError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(malformed)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let exchange = async_h1::connect(stream, Request::get(url));
    // async-h1 2.3.4 panics on a non-ASCII header value. Without this guard such an
    // answer would permanently end the task that watches the configuration.
    let response = AssertUnwindSafe(exchange)
        .catch_unwind()
        .await
        .map_err(|_| malformed("unreadable header"))?
        .map_err(malformed)?;
    read_answer(response).await
}

async fn read_answer(mut response: Response) -> Result<CompleteAnswer, DocumentError> {
    let status = u16::from(response.status());
    let body = if status == NOT_MODIFIED {
        Bytes::new()
    } else {
        read_body(&mut response).await?
    };
    Ok(CompleteAnswer {
        status,
        document_version: header(&response, "Document-Version"),
        retry_after: header(&response, "Retry-After"),
        body,
    })
}

/// Reads the body and checks it against its framing: async-h1 2.3.4 reports a
/// truncated body as complete, and one without framing as empty. Both are errors,
/// since a truncated document could still parse.
async fn read_body(response: &mut Response) -> Result<Bytes, DocumentError> {
    let declared = declared_length(response)?;
    if declared.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(DocumentError::BodyTooLarge);
    }
    let mut body = Vec::new();
    response
        .take_body()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body)
        .await?;
    let length = body.len() as u64;
    if length > MAX_BODY_BYTES {
        return Err(DocumentError::BodyTooLarge);
    }
    if declared.is_some_and(|declared| declared != length) {
        return Err(DocumentError::LengthMismatch);
    }
    Ok(body.into())
}

/// Returns the declared length, or `None` for a chunked body, which marks its own end.
fn declared_length(response: &Response) -> Result<Option<u64>, DocumentError> {
    let Some(values) = response.header(CONTENT_LENGTH) else {
        return match response.header(TRANSFER_ENCODING) {
            Some(_) => Ok(None),
            None => Err(DocumentError::LengthMismatch),
        };
    };
    let first = values.get(0).map_or("", |value| value.as_str());
    if values.iter().any(|value| value.as_str() != first) {
        return Err(DocumentError::LengthMismatch);
    }
    first
        .parse()
        .map(Some)
        .map_err(|_| DocumentError::LengthMismatch)
}

fn header(response: &Response, name: &str) -> Option<String> {
    let values = response.header(name)?;
    Some(values.last().as_str().to_owned())
}

pub(super) fn malformed(reason: impl ToString) -> DocumentError {
    DocumentError::Malformed {
        reason: reason.to_string(),
    }
}
