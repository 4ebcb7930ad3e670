//! One HTTP/1.1 GET, bounded and checked.

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

/// The largest value that the platform holds, in bytes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// The status of an answer without a body.
const NOT_MODIFIED: u16 = 304;

/// An answer that was read whole.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: u16,
    pub(super) document_version: Option<String>,
    pub(super) retry_after: Option<String>,
    pub(super) body: Bytes,
}

/// Sends a GET for `path` on a connection of its own and reads the whole answer.
pub(super) async fn get(address: SocketAddr, path: &str) -> Result<WholeAnswer, DocumentError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(malformed)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let exchange = async_h1::connect(stream, Request::get(url));
    // async-h1 2.3.4 panics on a header value outside ASCII: without this guard
    // such an answer would end the task that follows the configuration, for good.
    let response = AssertUnwindSafe(exchange)
        .catch_unwind()
        .await
        .map_err(|_| malformed("a header that can't be read"))?
        .map_err(malformed)?;
    read_answer(response).await
}

async fn read_answer(mut response: Response) -> Result<WholeAnswer, DocumentError> {
    let status = u16::from(response.status());
    let body = if status == NOT_MODIFIED {
        Bytes::new()
    } else {
        read_body(&mut response).await?
    };
    Ok(WholeAnswer {
        status,
        document_version: header(&response, "Document-Version"),
        retry_after: header(&response, "Retry-After"),
        body,
    })
}

/// Reads the body and holds it against its framing: async-h1 2.3.4 reads a body
/// that was cut short as complete, and one without framing as empty. Half a
/// document could still parse when the cut falls well, so both are errors.
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
        return Err(DocumentError::WrongLength);
    }
    Ok(body.into())
}

/// Returns the declared length, or nothing for a chunked body, which tells its own end.
fn declared_length(response: &Response) -> Result<Option<u64>, DocumentError> {
    let Some(values) = response.header(CONTENT_LENGTH) else {
        return match response.header(TRANSFER_ENCODING) {
            Some(_) => Ok(None),
            None => Err(DocumentError::WrongLength),
        };
    };
    let first = values.get(0).map_or("", |value| value.as_str());
    if values.iter().any(|value| value.as_str() != first) {
        return Err(DocumentError::WrongLength);
    }
    first
        .parse()
        .map(Some)
        .map_err(|_| DocumentError::WrongLength)
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
