//! Request handler of the engine stand-in.

use std::io;
use std::sync::Arc;

use async_channel::Sender;
use async_std::task;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::EngineFaults;
use super::EngineOrder;
use super::engine_shared::EngineShared;
use super::generation::spawn_generation;
use super::token_stream::TokenStream;
use super::token_stream::token_text;
use crate::http::BodyEnding;
use crate::http::ChannelBody;
use crate::http::FaultyBody;
use crate::http::TargetState;
use crate::http::json_reply;
use crate::http::status_reply;

/// Request id in answers with the `wrong_id` fault.
const WRONG_ID: &str = "00000000-0000-7000-8000-000000000000";
/// Path prefix for resuming and cancelling streams.
const STREAM_PREFIX: &str = "/v1/streams/";

/// Body of `POST /v1/generate`.
#[derive(Debug, Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

/// Query parameters of a resumed stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResumeQuery {
    from: u32,
}

/// Handles one request.
pub(crate) async fn answer(
    shared: Arc<EngineShared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let stream_id = path.strip_prefix(STREAM_PREFIX);
    match (request.method(), path.as_str(), stream_id) {
        (Method::Post, "/v1/generate", _) => generate(&shared, request).await,
        (Method::Get, _, Some(id)) => {
            let query: ResumeQuery = request.query().unwrap_or_default();
            Ok(resume(&shared, id, query.from))
        }
        (Method::Delete, _, Some(id)) => Ok(cancel(&shared, id)),
        (Method::Get, "/v1/load", _) => json_reply(&shared.delayed_load()),
        (Method::Post, "/v1/orders", _) => {
            let order: EngineOrder = request.body_json().await?;
            Ok(accept_order(&shared, order))
        }
        (Method::Post, "/control", _) => {
            shared.control(request.body_json().await?);
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Get, "/executions", _) => json_reply(&shared.executions.all()),
        _ => Ok(status_reply(StatusCode::NotFound)),
    }
}

async fn generate(
    shared: &Arc<EngineShared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let (faults, state) = {
        let control_state = shared.control_state();
        (control_state.faults.clone(), control_state.state)
    };
    if state == TargetState::Leaving {
        let mut response = status_reply(StatusCode::ServiceUnavailable);
        response.insert_header("Target-State", "leaving");
        return Ok(response);
    }
    let text = request.body_string().await?;
    let Ok(body) = serde_json::from_str::<GenerateBody>(&text) else {
        return Ok(status_reply(StatusCode::BadRequest));
    };
    let id = shared.executions.record(&request);
    let trigger = faults.crash_on.as_ref();
    let crashes = trigger.is_some_and(|trigger| text.contains(trigger));
    if crashes && faults.crash_after == 0 {
        shared.crash();
        return Err(http_types::format_err!("the engine crashed"));
    }
    let stream = Arc::new(TokenStream::new(id, body.max_tokens));
    if crashes {
        task::spawn(crash_after(
            Arc::clone(shared),
            Arc::clone(&stream),
            faults.crash_after,
        ));
    }
    shared.streams().add(Arc::clone(&stream));
    spawn_generation(shared, body.prompt, Arc::clone(&stream));
    if body.stream {
        Ok(stream_reply(stream, 0, faults))
    } else {
        complete_reply(&stream, &faults).await
    }
}

/// Crashes the engine once it has generated this many tokens of the stream.
async fn crash_after(shared: Arc<EngineShared>, stream: Arc<TokenStream>, tokens: u32) {
    stream.wait_for_token(tokens).await;
    shared.crash();
}

fn resume(shared: &EngineShared, id: &str, from: u32) -> Response {
    let Some(stream) = shared.streams().find(id) else {
        return status_reply(StatusCode::NotFound);
    };
    let mut faults = shared.control_state().faults.clone();
    if !faults.on_resume {
        faults.cut_after = None;
        faults.silent_after = None;
    }
    let start = from.saturating_sub(faults.overlap) + faults.gap;
    stream_reply(stream, start, faults)
}

fn cancel(shared: &EngineShared, id: &str) -> Response {
    let Some(stream) = shared.streams().find(id) else {
        return status_reply(StatusCode::NotFound);
    };
    stream.cancel();
    shared.control_state().cancelled.push(id.to_owned());
    status_reply(StatusCode::Ok)
}

fn accept_order(shared: &EngineShared, order: EngineOrder) -> Response {
    let mut control_state = shared.control_state();
    let newest = control_state.orders.iter().map(|taken| taken.fence).max();
    if control_state.checks_fences && newest.is_some_and(|fence| order.fence < fence) {
        return status_reply(StatusCode::Conflict);
    }
    control_state.orders.push(order);
    status_reply(StatusCode::Ok)
}

/// Returns the request id for the answer, which differs from the real one under `wrong_id`.
fn reply_id<'a>(stream: &'a TokenStream, faults: &EngineFaults) -> &'a str {
    if faults.wrong_id {
        WRONG_ID
    } else {
        &stream.id
    }
}

fn stream_reply(stream: Arc<TokenStream>, from: u32, faults: EngineFaults) -> Response {
    let (chunks, body) = ChannelBody::open();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(body, None));
    response.insert_header("Content-Type", "text/event-stream");
    let id = reply_id(&stream, &faults);
    if !id.is_empty() {
        response.insert_header("Request-Id", id);
    }
    task::spawn(async move {
        // A client disconnect ends this task but not the generation.
        send_events(&stream, from, &faults, &chunks).await.ok();
    });
    response
}

/// Sends the stream's events starting at `from`, until the end or an injected fault.
async fn send_events(
    stream: &TokenStream,
    from: u32,
    faults: &EngineFaults,
    chunks: &Sender<io::Result<Vec<u8>>>,
) -> Result<(), async_channel::SendError<io::Result<Vec<u8>>>> {
    let mut offset = from;
    let mut sent = 0;
    loop {
        if faults.silent_after.is_some_and(|limit| sent >= limit) {
            futures_lite::future::pending::<()>().await;
        }
        if faults.cut_after.is_some_and(|limit| sent >= limit) {
            return chunks.send(Err(connection_aborted())).await;
        }
        if offset >= stream.max_tokens {
            break;
        }
        stream.wait_for_token(offset).await;
        if stream.produced() <= offset {
            return chunks.send(Err(connection_aborted())).await;
        }
        let text = token_text(reply_id(stream, faults), offset);
        let event = json!({"offset": offset, "text": text});
        chunks.send(Ok(event_bytes(&event))).await?;
        offset += 1;
        sent += 1;
    }
    let end = json!({"done": true, "tokens": stream.max_tokens});
    chunks.send(Ok(event_bytes(&end))).await
}

fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

fn event_bytes(event: &serde_json::Value) -> Vec<u8> {
    format!("data: {event}\n\n").into_bytes()
}

/// Waits for all tokens and answers with the complete text.
async fn complete_reply(
    stream: &TokenStream,
    faults: &EngineFaults,
) -> http_types::Result<Response> {
    while !stream.is_complete() {
        stream.wait_for_token(stream.produced()).await;
        if stream.is_cancelled() {
            return Err(http_types::format_err!("the stream was cancelled"));
        }
    }
    let id = reply_id(stream, faults);
    let texts: Vec<String> = (0..stream.max_tokens)
        .map(|offset| token_text(id, offset))
        .collect();
    let answer = json!({"id": id, "text": texts.join(" "), "tokens": stream.max_tokens});
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(complete_body(serde_json::to_vec(&answer)?, faults));
    response.insert_header("Content-Type", "application/json");
    if !id.is_empty() {
        response.insert_header("Request-Id", id);
    }
    Ok(response)
}

fn complete_body(mut bytes: Vec<u8>, faults: &EngineFaults) -> Body {
    let ending = match faults {
        faults if faults.cut_after.is_some() => BodyEnding::Abort,
        faults if faults.silent_after.is_some() => BodyEnding::Stall,
        _ => return Body::from_bytes(bytes),
    };
    let length = bytes.len();
    bytes.truncate(length / 2);
    Body::from_reader(FaultyBody::new(bytes, ending), Some(length))
}
