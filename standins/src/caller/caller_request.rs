//! Requests to a gateway host.

use std::net::SocketAddr;

use serde_json::json;
use uuid::Uuid;

/// Generates a request id (UUIDv7) with the current time.
pub fn new_request_id() -> String {
    Uuid::now_v7().hyphenated().to_string()
}

/// A request, independent of the host that it is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, without `Host` and `Content-Length`.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Creates a request without headers or body.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a generation request to a model engine.
    pub fn generate(prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = json!({"prompt": prompt, "max_tokens": max_tokens, "stream": stream});
        Self::new("POST", "/v1/generate").with_body(body.to_string())
    }

    /// Adds a header, replacing an existing one of the same name.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.set_header(name, value);
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the bearer token.
    pub fn with_token(self, token: &str) -> Self {
        self.with_header("Authorization", format!("Bearer {token}"))
    }

    /// Sets the `Request-Id` header.
    pub fn with_id(self, id: &str) -> Self {
        self.with_header("Request-Id", id)
    }

    /// Sets the `Request-Class` header.
    pub fn with_class(self, class: &str) -> Self {
        self.with_header("Request-Class", class)
    }

    /// Adds a header, replacing an existing one of the same name.
    pub fn set_header(&mut self, name: &str, value: impl ToString) {
        self.headers
            .retain(|(known, _)| !known.eq_ignore_ascii_case(name));
        self.headers.push((name.to_owned(), value.to_string()));
    }

    /// Serialises the request for `host` as HTTP/1.1.
    pub fn to_bytes(&self, host: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
