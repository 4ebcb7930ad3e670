//! Reads which parts of prompts a target keeps.

use std::time::Duration;

use async_std::future::timeout;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use super::target_call::CallIdentity;
use super::target_call::TargetCall;
use crate::poison::canonical_part;
use crate::view::TargetIncarnation;
use crate::wire::MessageHeaders;
use crate::wire::RequestMessage;

/// Time limit of a call. Targets answer within a few milliseconds; a search takes 250 ms at most.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit on the size of a response, in bytes: some ten thousand parts.
const MAX_LIST_BYTES: usize = 1 << 20;

/// How targets report the parts that they keep, which is defined by the platform adapter.
#[derive(Clone, Debug)]
pub(crate) struct PartListFormat {
    /// Path of the call.
    pub(crate) path: String,
    /// Reads the body of a response; `None` if it is malformed.
    pub(crate) parse: fn(&[u8]) -> Option<PartList>,
}

/// The parts that a target keeps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PartList {
    /// Start time of the target in milliseconds of its own clock, if it states one.
    pub(crate) started_at_ms: Option<u64>,
    /// Ids of the parts.
    pub(crate) parts: Vec<String>,
}

impl EdgeState {
    /// Returns the ids of the parts that a target keeps, sorted; `None` if it does not answer, or
    /// another incarnation does.
    pub(super) async fn list_parts(&self, target: &TargetIncarnation) -> Option<Vec<String>> {
        count(&self.metrics.part_lists);
        let body = timeout(LIST_TIMEOUT, self.call_for_parts(target));
        let body = body.await.ok().flatten()?;
        let list = (self.part_list.parse)(&body)?;
        let is_same = list
            .started_at_ms
            .is_none_or(|at| target.started_at_ms == 0 || at == target.started_at_ms);
        if !is_same {
            return None;
        }
        let ids = list.parts.iter();
        let mut parts: Vec<String> = ids.filter_map(|id| canonical_part(id)).collect();
        parts.sort_unstable();
        Some(parts)
    }

    /// Returns the body of a target's response. The connection is used once: a response to another
    /// call would be an older list, and there is no id to tell them apart.
    async fn call_for_parts(&self, target: &TargetIncarnation) -> Option<Vec<u8>> {
        count(&self.metrics.connects);
        let connection = TargetConnection::open(target.address).await.ok()?;
        let mut headers = MessageHeaders::default();
        headers.push("Host", target.address.to_string());
        headers.push(&self.header_names.target, &target.name);
        headers.push("Connection", "close");
        let message = RequestMessage {
            method: "GET".into(),
            target: self.part_list.path.clone(),
            is_http10: false,
            headers,
        };
        let mut bytes = Vec::new();
        message.write_to(0, &mut bytes);
        let identity = CallIdentity {
            header: &self.header_names.request_id,
            request: "",
            method: "GET",
        };
        let mut call = TargetCall::send(connection, &bytes, &[], identity)
            .await
            .ok()?;
        if call.head.status != 200 {
            return None;
        }
        let mut body = Vec::new();
        let mut chunk = Vec::new();
        loop {
            let is_complete = call.read_body(&mut chunk).await.ok()?;
            body.append(&mut chunk);
            if body.len() > MAX_LIST_BYTES {
                return None;
            }
            if is_complete {
                return Some(body);
            }
        }
    }
}
