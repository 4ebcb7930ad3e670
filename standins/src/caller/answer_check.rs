//! Verifies that an answer is complete and belongs to the caller's request.

use std::fmt;

use serde::Deserialize;

use super::CallerAnswer;
use crate::engine::token_text;

/// The answer that a stand-in gives to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExpectedAnswer {
    /// An event stream of this many tokens from an engine.
    Stream(u32),
    /// An unstreamed engine answer of this many tokens.
    Text(u32),
    /// A service answer that echoes this request body.
    Echo(Vec<u8>),
}

/// Why an answer failed verification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// The status is not 200.
    NotOk,
    /// The body ended before its framing was complete.
    Truncated,
    /// The body does not have the format of a stand-in's answer.
    Malformed,
    /// The answer belongs to another request.
    WrongRequest,
    /// Tokens are missing, duplicated or out of order.
    WrongTokens,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

impl std::error::Error for AnswerFault {}

#[derive(Deserialize)]
struct TokenEvent {
    offset: Option<u32>,
    text: Option<String>,
    done: Option<bool>,
    tokens: Option<u32>,
}

#[derive(Deserialize)]
struct TextAnswer {
    id: String,
    text: String,
}

#[derive(Deserialize)]
struct EchoAnswer {
    id: String,
    echo: String,
}

/// Checks that `answer` is the complete answer to the request `id`.
pub fn check_answer(
    answer: &CallerAnswer,
    id: &str,
    expected: &ExpectedAnswer,
) -> Result<(), AnswerFault> {
    if answer.status != 200 {
        return Err(AnswerFault::NotOk);
    }
    if !answer.is_complete {
        return Err(AnswerFault::Truncated);
    }
    if answer
        .header("Request-Id")
        .is_some_and(|echoed| echoed != id)
    {
        return Err(AnswerFault::WrongRequest);
    }
    match expected {
        ExpectedAnswer::Stream(tokens) => check_stream(&answer.text(), id, *tokens),
        ExpectedAnswer::Text(tokens) => check_text(&answer.body, id, *tokens),
        ExpectedAnswer::Echo(body) => check_echo(&answer.body, id, body),
    }
}

fn check_stream(text: &str, id: &str, tokens: u32) -> Result<(), AnswerFault> {
    let mut next = 0;
    let mut done = false;
    for line in text.split("\n\n").filter(|line| !line.is_empty()) {
        let data = line.strip_prefix("data: ").ok_or(AnswerFault::Malformed)?;
        let event: TokenEvent = serde_json::from_str(data).map_err(|_| AnswerFault::Malformed)?;
        if done {
            return Err(AnswerFault::WrongTokens);
        }
        if event.done == Some(true) {
            done = event.tokens == Some(tokens);
            continue;
        }
        if event.offset != Some(next) {
            return Err(AnswerFault::WrongTokens);
        }
        if event.text != Some(token_text(id, next)) {
            return Err(AnswerFault::WrongRequest);
        }
        next += 1;
    }
    if done && next == tokens {
        Ok(())
    } else {
        Err(AnswerFault::WrongTokens)
    }
}

fn check_text(body: &[u8], id: &str, tokens: u32) -> Result<(), AnswerFault> {
    let answer: TextAnswer = serde_json::from_slice(body).map_err(|_| AnswerFault::Malformed)?;
    if answer.id != id {
        return Err(AnswerFault::WrongRequest);
    }
    let texts: Vec<String> = (0..tokens).map(|offset| token_text(id, offset)).collect();
    if answer.text == texts.join(" ") {
        Ok(())
    } else {
        Err(AnswerFault::WrongTokens)
    }
}

fn check_echo(body: &[u8], id: &str, sent: &[u8]) -> Result<(), AnswerFault> {
    let answer: EchoAnswer = serde_json::from_slice(body).map_err(|_| AnswerFault::Malformed)?;
    if answer.id == id && answer.echo.as_bytes() == sent {
        Ok(())
    } else {
        Err(AnswerFault::WrongRequest)
    }
}
