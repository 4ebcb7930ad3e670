//! Where a request enters this host, from a caller or from a peer.

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

/// Enters a request whose body is known, and opens a reader of its answer.
///
/// The run goes on in a task of its own: a caller that goes away neither cuts a
/// non-idempotent call nor takes the answer from its own resend.
///
/// # Errors
///
/// `BadRequestId` when another account uses the id.
pub(crate) fn enter_request(
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
        AnswerLookup::Joined(slot) => Ok(AnswerReader::open(slot)),
        AnswerLookup::Owned(slot) => {
            // The reader stands before the run begins: a run without a reader
            // takes its caller for gone.
            let reader = AnswerReader::open(slot.clone());
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
                slot,
            };
            task::spawn(run.run());
            Ok(reader)
        }
    }
}
