//! Starts requests from callers and peers.

use std::sync::Arc;

use async_std::task;
use bytes::Bytes;

use crate::answers::AnswerLookup;
use crate::answers::AnswerReader;
use crate::errors::ErrorKind;
use crate::limits::BytePermit;
use crate::poison::fingerprint_request;

use super::ClassifiedRequest;
use super::HostState;
use super::RequestRun;
use super::request_meter::RequestMeter;

/// Starts a request whose body was read, or joins a running one with the same id, and
/// opens a reader of its answer.
///
/// The request runs in its own task: a caller that disconnects neither aborts a
/// non-idempotent call nor loses the answer for its own resend.
///
/// # Errors
///
/// `BadRequestId` when another account uses the id.
pub(crate) fn start_request(
    host: &Arc<HostState>,
    request: ClassifiedRequest,
    body: Bytes,
    permit: BytePermit,
) -> Result<AnswerReader, ErrorKind> {
    let entry = host
        .answers
        .get_or_insert(request.id, &request.account, request.attempt);
    match entry {
        AnswerLookup::OtherAccount => Err(ErrorKind::BadRequestId),
        AnswerLookup::Joined(buffer) => Ok(AnswerReader::open(buffer)),
        AnswerLookup::Owned(buffer) => {
            // The reader is opened before the run starts: a run without a reader treats
            // its caller as gone.
            let reader = AnswerReader::open(buffer.clone());
            let series = host
                .metrics
                .series(request.tier, &request.class, &request.account);
            let fingerprint = fingerprint_request(&request.account, &request.class, &body);
            let run = RequestRun {
                host: host.clone(),
                meter: RequestMeter::begin(series, request.deadline),
                request,
                fingerprint,
                body,
                _permit: permit,
                buffer,
            };
            task::spawn(run.run());
            Ok(reader)
        }
    }
}
