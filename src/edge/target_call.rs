//! One request on a connection to a target.

use std::future::pending;

use futures_lite::AsyncWriteExt;
use futures_lite::future::or;

use derive_more::Display;
use derive_more::Error;

use super::connection_pool::TargetConnection;
use crate::wire::AnswerMessage;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::WireError;
use crate::wire::keeps_connection;

/// What can go wrong once something was sent.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum CallError {
    /// The connection ended or failed before the answer did.
    #[display("the connection ended early")]
    Cut,
    /// What came is no answer, or another request's.
    #[display("the answer can't be trusted")]
    Broken,
}

/// What identifies the call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallIdentity<'a> {
    /// The name of the header that bears the request's id.
    pub(crate) header: &'a str,
    /// The request's id.
    pub(crate) request: &'a str,
    /// The request's method.
    pub(crate) method: &'a str,
}

/// An answer whose head was read.
#[derive(Debug)]
pub(crate) struct TargetCall {
    link: TargetConnection,
    /// The head.
    pub(crate) head: AnswerMessage,
    decoder: BodyDecoder,
    /// Whether the connection may carry another request once the answer is whole.
    keeps: bool,
}

impl TargetCall {
    /// Sends a request and reads the answer's head.
    ///
    /// The answer may come before the request is written to its end: a target that
    /// refuses a long upload does so. The connection is not used again then, since
    /// the target would take the next request for the rest of this one.
    ///
    /// # Errors
    ///
    /// The target may have run the request in each case.
    pub(crate) async fn send(
        mut link: TargetConnection,
        request: &[u8],
        identity: CallIdentity<'_>,
    ) -> Result<Self, CallError> {
        let mut written = false;
        let mut stream = link.stream.clone();
        let write = async {
            // A write that fails shows in the read as well.
            written = stream.write_all(request).await.is_ok();
            pending().await
        };
        let head = or(write, read_matching_head(&mut link, identity)).await?;
        let framing = BodyFraming::of_answer(&head.headers, head.status, identity.method)
            .map_err(|_| CallError::Broken)?;
        let keeps = written && keeps_connection(&head, framing);
        Ok(Self {
            link,
            decoder: BodyDecoder::new(framing),
            keeps,
            head,
        })
    }

    /// Reads more of the body behind `output`; returns whether the body is whole.
    /// A dropped future loses nothing.
    ///
    /// # Errors
    ///
    /// The body was cut or is broken.
    pub(crate) async fn read_body(&mut self, output: &mut Vec<u8>) -> Result<bool, CallError> {
        self.decode(output)?;
        if self.decoder.is_whole() {
            return Ok(true);
        }
        if !output.is_empty() {
            return Ok(false);
        }
        match self.link.input.fill(&self.link.stream).await {
            Ok(0) => {
                let ended = self.decoder.end_of_connection();
                ended.map_err(|_| CallError::Cut)?;
            }
            Ok(_) => self.decode(output)?,
            Err(_) => return Err(CallError::Cut),
        }
        Ok(self.decoder.is_whole())
    }

    /// Returns the connection if it may carry another request.
    pub(crate) fn into_reusable(self) -> Option<(TargetConnection, AnswerMessage)> {
        let kept = self.keeps && self.decoder.is_whole();
        kept.then_some((self.link, self.head))
    }

    fn decode(&mut self, output: &mut Vec<u8>) -> Result<(), CallError> {
        let decoded = self.decoder.decode(&mut self.link.input, output);
        decoded.map_err(|_| CallError::Broken)
    }
}

/// Reads heads up to the one that answers this call.
///
/// A target may send an answer a second time, or late, where the next one is
/// expected; the id tells. Such an answer is read to its end and dropped. An answer
/// without an id on a connection that had another request before could be that
/// one's, so it can't be trusted.
async fn read_matching_head(
    link: &mut TargetConnection,
    identity: CallIdentity<'_>,
) -> Result<AnswerMessage, CallError> {
    loop {
        let head = read_head(link).await?;
        match head.headers.text(identity.header) {
            Some(id) if id == identity.request => return Ok(head),
            None if !link.reused => return Ok(head),
            None => return Err(CallError::Broken),
            Some(_) => skip_body(link, &head, identity.method).await?,
        }
    }
}

async fn read_head(link: &mut TargetConnection) -> Result<AnswerMessage, CallError> {
    loop {
        match AnswerMessage::take(&mut link.input) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(_) => return Err(CallError::Broken),
        }
        match link.input.fill(&link.stream).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => return Err(CallError::Cut),
        }
    }
}

async fn skip_body(
    link: &mut TargetConnection,
    head: &AnswerMessage,
    method: &str,
) -> Result<(), CallError> {
    let framing = BodyFraming::of_answer(&head.headers, head.status, method)
        .map_err(|_| CallError::Broken)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut dropped = Vec::new();
    loop {
        decoder
            .decode(&mut link.input, &mut dropped)
            .map_err(|_: WireError| CallError::Broken)?;
        dropped.clear();
        if decoder.is_whole() {
            return Ok(());
        }
        match link.input.fill(&link.stream).await {
            Ok(count) if count > 0 => {}
            // An answer without a length takes the connection with it.
            Ok(_) | Err(_) => return Err(CallError::Cut),
        }
    }
}
