//! Header names, which are defined by the platform adapter.

/// Names of the headers that the host reads and sets.
#[derive(Clone, Debug)]
pub(crate) struct HeaderNames {
    /// Id of one attempt of a caller; targets echo it.
    pub(crate) request_id: String,
    /// Remaining time of the caller or target, in milliseconds.
    pub(crate) deadline_ms: String,
    /// The account's name, sent to the target.
    pub(crate) account: String,
    /// The only target that may run the request.
    pub(crate) target: String,
    /// Present in the response of a target that did not run the request.
    pub(crate) not_run: String,
    /// Requests per second that a target accepts from all hosts; absent where it has no
    /// limit.
    pub(crate) request_limit: String,
    /// Rejections in a second, of all hosts together, after which a target of the responding one's
    /// pool crashes; absent where they bear any number.
    pub(crate) brittle: String,
    /// States in any response of a target whether it is leaving.
    pub(crate) leaving: String,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub(crate) token_usage: String,
    /// The parts of the prompt, as comma-separated `ID:TOKENS` entries; requests share all but the
    /// last.
    pub(crate) prompt_parts: String,
    /// Output tokens that the caller expects; often inaccurate.
    pub(crate) length_hint: String,
    /// Id of the last forwarded event, when a stream is resumed.
    pub(crate) resume_after: String,
    /// Id of the caller's attempt that brought the first event of a resumed stream.
    pub(crate) resumed_request: String,
    /// The scheme that precedes the key in `Authorization`.
    pub(crate) key_scheme: String,
    /// Headers that callers may not set; they are removed.
    pub(crate) reserved: Vec<String>,
}
