//! The engine's answers, request by request.

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

/// The id that a faulty engine echoes.
const WRONG_ID: &str = "00000000-0000-7000-8000-000000000000";
/// Where streams are resumed and cancelled.
const STREAM_PREFIX: &str = "/v1/streams/";

/// The body of `POST /v1/generate`.
#[derive(Debug, Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

/// The query of a resumed stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResumeQuery {
    from: u32,
}

/// Answers one request.
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
        (Method::Get, "/v1/load", _) => json_reply(&shared.lagging_load()),
        (Method::Post, "/v1/orders", _) => {
            let order: EngineOrder = request.body_json().await?;
            Ok(take_order(&shared, order))
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
        let conduct = shared.conduct();
        (conduct.faults.clone(), conduct.state)
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
    let id = shared.executions.note(&request);
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|mark| text.contains(mark))
    {
        shared.crash();
        return Err(http_types::format_err!("the engine crashed"));
    }
    let stream = Arc::new(TokenStream::new(id, body.max_tokens));
    shared.streams().add(Arc::clone(&stream));
    spawn_generation(shared, body.prompt, Arc::clone(&stream));
    if body.stream {
        Ok(stream_reply(stream, 0, faults))
    } else {
        whole_reply(&stream, &faults).await
    }
}

fn resume(shared: &EngineShared, id: &str, from: u32) -> Response {
    let Some(stream) = shared.streams().find(id) else {
        return status_reply(StatusCode::NotFound);
    };
    let mut faults = shared.conduct().faults.clone();
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
    shared.conduct().cancelled.push(id.to_owned());
    status_reply(StatusCode::Ok)
}

fn take_order(shared: &EngineShared, order: EngineOrder) -> Response {
    let mut conduct = shared.conduct();
    let newest = conduct.orders.iter().map(|taken| taken.fence).max();
    if conduct.checks_fences && newest.is_some_and(|fence| order.fence < fence) {
        return status_reply(StatusCode::Conflict);
    }
    conduct.orders.push(order);
    status_reply(StatusCode::Ok)
}

/// Returns the id that the answer bears.
fn answered_id<'a>(stream: &'a TokenStream, faults: &EngineFaults) -> &'a str {
    if faults.wrong_id {
        WRONG_ID
    } else {
        &stream.id
    }
}

fn stream_reply(stream: Arc<TokenStream>, from: u32, faults: EngineFaults) -> Response {
    let (pieces, body) = ChannelBody::open();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(body, None));
    response.insert_header("Content-Type", "text/event-stream");
    let id = answered_id(&stream, &faults);
    if !id.is_empty() {
        response.insert_header("Request-Id", id);
    }
    task::spawn(async move {
        // A reader that went away ends this task, not the generation.
        relay(&stream, from, &faults, &pieces).await.ok();
    });
    response
}

/// Sends the stream's events from `from` on, until its end or a fault.
async fn relay(
    stream: &TokenStream,
    from: u32,
    faults: &EngineFaults,
    pieces: &Sender<io::Result<Vec<u8>>>,
) -> Result<(), async_channel::SendError<io::Result<Vec<u8>>>> {
    let mut offset = from;
    let mut sent = 0;
    loop {
        if faults.silent_after.is_some_and(|bound| sent >= bound) {
            futures_lite::future::pending::<()>().await;
        }
        if faults.cut_after.is_some_and(|bound| sent >= bound) {
            return pieces.send(Err(broken())).await;
        }
        if offset >= stream.max_tokens {
            break;
        }
        stream.reach_beyond(offset).await;
        if stream.produced() <= offset {
            return pieces.send(Err(broken())).await;
        }
        let text = token_text(answered_id(stream, faults), offset);
        let event = json!({"offset": offset, "text": text});
        pieces.send(Ok(event_bytes(&event))).await?;
        offset += 1;
        sent += 1;
    }
    let end = json!({"done": true, "tokens": stream.max_tokens});
    pieces.send(Ok(event_bytes(&end))).await
}

fn broken() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

fn event_bytes(event: &serde_json::Value) -> Vec<u8> {
    format!("data: {event}\n\n").into_bytes()
}

/// Waits for all tokens and answers them at once.
async fn whole_reply(stream: &TokenStream, faults: &EngineFaults) -> http_types::Result<Response> {
    while !stream.is_complete() {
        stream.reach_beyond(stream.produced()).await;
        if stream.is_cancelled() {
            return Err(http_types::format_err!("the stream was cancelled"));
        }
    }
    let id = answered_id(stream, faults);
    let texts: Vec<String> = (0..stream.max_tokens)
        .map(|offset| token_text(id, offset))
        .collect();
    let answer = json!({"id": id, "text": texts.join(" "), "tokens": stream.max_tokens});
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(whole_body(serde_json::to_vec(&answer)?, faults));
    response.insert_header("Content-Type", "application/json");
    if !id.is_empty() {
        response.insert_header("Request-Id", id);
    }
    Ok(response)
}

fn whole_body(mut bytes: Vec<u8>, faults: &EngineFaults) -> Body {
    let ending = match faults {
        faults if faults.cut_after.is_some() => BodyEnding::Cut,
        faults if faults.silent_after.is_some() => BodyEnding::Silent,
        _ => return Body::from_bytes(bytes),
    };
    let length = bytes.len();
    bytes.truncate(length / 2);
    Body::from_reader(FaultyBody::new(bytes, ending), Some(length))
}
