//! What a load run sends.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::CallerRequest;
use crate::caller::ExpectedAnswer;

/// What a load run sends, and how often a caller tries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPlan {
    /// The hosts; a caller starts at one of them and goes on to the next.
    pub gateways: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The path; `/v1/generate` gets an engine's body, others a service's.
    pub path: String,
    /// The class, where the path leaves it open.
    pub class: Option<String>,
    /// How many callers call at once.
    pub callers: usize,
    /// How many requests each caller makes, one after the other.
    pub requests: usize,
    /// How long a caller waits before each request; without a pause, many
    /// callers measure saturation and not the path.
    pub pause: Duration,
    /// Whether an engine streams.
    pub stream: bool,
    /// How many tokens an engine makes.
    pub max_tokens: u32,
    /// How long a prompt is, in bytes.
    pub prompt_bytes: usize,
    /// The deadline that each request bears.
    pub deadline: Option<Duration>,
    /// How often a request is sent before its caller gives up.
    pub max_sends: u32,
    /// How long a caller waits for one answer.
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
    /// Returns the request with the id `id`, as its first try.
    pub(crate) fn request(&self, id: &str) -> CallerRequest {
        let mut request = if self.calls_engine() {
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

    /// Returns what the stand-ins answer to [`Self::request`].
    pub(crate) fn expected(&self, id: &str) -> ExpectedAnswer {
        match (self.calls_engine(), self.stream) {
            (true, true) => ExpectedAnswer::Stream(self.max_tokens),
            (true, false) => ExpectedAnswer::Text(self.max_tokens),
            (false, _) => ExpectedAnswer::Echo(self.service_body(id).into_bytes()),
        }
    }

    fn calls_engine(&self) -> bool {
        self.path == "/v1/generate"
    }

    /// Makes a prompt that no other request has from its first byte on.
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
