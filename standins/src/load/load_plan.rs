//! Configuration of a load run.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::CallerRequest;
use crate::caller::ExpectedAnswer;

/// Configuration of a load run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPlan {
    /// Caller addresses of the hosts; after a failure a caller moves on to the next one.
    pub gateways: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The path; `/v1/generate` gets a generation request as body, any other path a service call.
    pub path: String,
    /// The request class, if the path does not determine it.
    pub class: Option<String>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of requests that each caller sends sequentially.
    pub requests: usize,
    /// Pause of a caller before each request. Without it, many concurrent callers measure
    /// saturation instead of the latency of the request path.
    pub pause: Duration,
    /// Whether to request streamed answers from engines.
    pub stream: bool,
    /// Number of tokens that an engine generates.
    pub max_tokens: u32,
    /// Prompt length in bytes.
    pub prompt_bytes: usize,
    /// The deadline header of each request.
    pub deadline: Option<Duration>,
    /// Number of sends after which a caller gives up on a request.
    pub max_sends: u32,
    /// Time limit for one answer.
    pub timeout: Duration,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            gateways: Vec::new(),
            token: String::new(),
            path: "/v1/generate".to_owned(),
            class: None,
            callers: 1,
            requests: 1,
            pause: Duration::ZERO,
            stream: false,
            max_tokens: 16,
            prompt_bytes: 64,
            deadline: None,
            max_sends: 10,
            timeout: Duration::from_secs(60),
        }
    }
}

impl LoadPlan {
    /// Builds the request with the id `id`.
    pub(crate) fn request(&self, id: &str) -> CallerRequest {
        let mut request = if self.targets_engine() {
            let prompt = self.prompt(id);
            CallerRequest::generate(&prompt, self.max_tokens, self.stream)
        } else {
            CallerRequest::new("POST", &self.path).with_body(self.service_body(id))
        };
        request.path.clone_from(&self.path);
        request = request.with_token(&self.token).with_id(id);
        if let Some(class) = &self.class {
            request = request.with_class(class);
        }
        if let Some(deadline) = self.deadline {
            request = request.with_header("Request-Deadline-Ms", deadline.as_millis());
        }
        request
    }

    /// Returns the answer that a stand-in gives to [`Self::request`].
    pub(crate) fn expected(&self, id: &str) -> ExpectedAnswer {
        match (self.targets_engine(), self.stream) {
            (true, true) => ExpectedAnswer::Stream(self.max_tokens),
            (true, false) => ExpectedAnswer::Text(self.max_tokens),
            (false, _) => ExpectedAnswer::Echo(self.service_body(id).into_bytes()),
        }
    }

    fn targets_engine(&self) -> bool {
        self.path == "/v1/generate"
    }

    /// Builds a prompt that starts with the request id, so that no two requests share a prefix
    /// in the engine's cache.
    fn prompt(&self, id: &str) -> String {
        let mut prompt = id.to_owned();
        while prompt.len() < self.prompt_bytes {
            prompt.push_str(" and so on");
        }
        prompt.truncate(self.prompt_bytes);
        prompt
    }

    fn service_body(&self, id: &str) -> String {
        format!("{{\"call\":\"{id}\"}}")
    }
}
