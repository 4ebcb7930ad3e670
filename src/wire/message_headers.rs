//! The header lines of a message, with the values as raw bytes.

use crate::http::HOP_BY_HOP_FIELDS;

/// The header lines of a message, in the order received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct MessageHeaders {
    lines: Vec<(String, Vec<u8>)>,
}

impl MessageHeaders {
    /// Copies the header lines from the parser.
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let lines = parsed
            .iter()
            .map(|line| (line.name.to_owned(), line.value.to_vec()))
            .collect();
        Self { lines }
    }

    /// Creates headers from their lines.
    pub(crate) const fn from_lines(lines: Vec<(String, Vec<u8>)>) -> Self {
        Self { lines }
    }

    /// Returns the lines, in the order received.
    pub(crate) fn lines(&self) -> &[(String, Vec<u8>)] {
        &self.lines
    }

    /// Returns all values of `name`, which is matched case-insensitively.
    pub(crate) fn all<'n>(&self, name: &'n str) -> impl Iterator<Item = &[u8]> + use<'_, 'n> {
        self.lines
            .iter()
            .filter(move |(line_name, _)| line_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns the first value of `name` as text; `None` if absent or not UTF-8.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        let found = self
            .lines
            .iter()
            .find(|(line_name, _)| line_name.eq_ignore_ascii_case(name));
        Some(std::str::from_utf8(&found?.1).ok()?.trim())
    }

    /// Returns the first value of `name` as an unsigned integer.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns whether there is a line with `name`.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Returns whether the comma-separated values of `name` include `token`, which is
    /// matched case-insensitively.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a line.
    pub(crate) fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.lines.push((name.to_owned(), value.as_ref().to_vec()));
    }

    /// Keeps the lines whose name `keep` accepts.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.lines.retain(|(name, _)| keep(name));
    }

    /// Removes the lines that concern a single connection (RFC 9110 section 7.6.1),
    /// including those listed in `Connection`. The framing lines are among them; they are
    /// written again when the message is sent.
    pub(crate) fn remove_hop_by_hop(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|option| option.trim().to_ascii_lowercase())
            .collect();
        self.retain(|name| {
            // `Host` is kept: a target may select a virtual host by it.
            let lower_name = name.to_ascii_lowercase();
            (lower_name == "host" || !HOP_BY_HOP_FIELDS.contains(&lower_name.as_str()))
                && !listed
                    .iter()
                    .any(|option| name.eq_ignore_ascii_case(option))
        });
    }

    /// Appends all lines to `output`.
    pub(crate) fn write_to(&self, output: &mut Vec<u8>) {
        for (name, value) in &self.lines {
            output.extend_from_slice(name.as_bytes());
            output.extend_from_slice(b": ");
            output.extend_from_slice(value);
            output.extend_from_slice(b"\r\n");
        }
    }
}
