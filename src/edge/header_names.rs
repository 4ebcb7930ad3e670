//! The names of headers, which an adapter gives.

/// The names of the headers that the host reads and sets.
#[derive(Clone, Debug)]
pub(crate) struct HeaderNames {
    /// The id of one attempt of a caller; targets echo it.
    pub(crate) request_id: String,
    /// How many milliseconds the caller, and so a target, has left.
    pub(crate) deadline_ms: String,
    /// The account's name, for the target.
    pub(crate) account: String,
    /// The one target that may run the request.
    pub(crate) target: String,
    /// Stands in the answer of a target that did not run the request.
    pub(crate) not_run: String,
    /// How many requests per second a target takes from all hosts; absent where it has no limit.
    pub(crate) request_limit: String,
    /// Prompt tokens and the most output tokens, with a comma between.
    pub(crate) token_usage: String,
    /// How many output tokens the caller expects; often far off.
    pub(crate) length_hint: String,
    /// The id of the last event that was passed on, when a stream goes on.
    pub(crate) resume_after: String,
    /// What stands before the key in `Authorization`.
    pub(crate) key_scheme: String,
    /// Headers that callers may not set; they are dropped.
    pub(crate) reserved: Vec<String>,
}
