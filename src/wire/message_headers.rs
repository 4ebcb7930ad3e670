//! The header lines of a message, values as the bytes that were sent.

use crate::http::HOP_BY_HOP_FIELDS;

/// The header lines of a message, in the order in which they were sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct MessageHeaders {
    lines: Vec<(String, Vec<u8>)>,
}

impl MessageHeaders {
    /// Takes over what the parser read.
    pub(crate) fn of_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let lines = parsed
            .iter()
            .map(|line| (line.name.to_owned(), line.value.to_vec()))
            .collect();
        Self { lines }
    }

    /// Returns all values of `name`, whatever its case.
    pub(crate) fn all<'n>(&self, name: &'n str) -> impl Iterator<Item = &[u8]> + use<'_, 'n> {
        self.lines
            .iter()
            .filter(move |(held, _)| held.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns the first value of `name` as text; `None` also when it is no text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        let found = self
            .lines
            .iter()
            .find(|(held, _)| held.eq_ignore_ascii_case(name));
        Some(std::str::from_utf8(&found?.1).ok()?.trim())
    }

    /// Returns the first value of `name` as a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Tells whether `name` is there.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Tells whether one of the comma-separated words of `name` is `word`.
    pub(crate) fn has_token(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(word))
    }

    /// Adds a line.
    pub(crate) fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.lines.push((name.to_owned(), value.as_ref().to_vec()));
    }

    /// Keeps the lines whose name `keep` takes.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.lines.retain(|(name, _)| keep(name));
    }

    /// Drops what concerns only one connection (RFC 9110 section 7.6.1), also
    /// what the `Connection` line names; the framing is written anew.
    pub(crate) fn remove_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|word| word.trim().to_ascii_lowercase())
            .collect();
        self.retain(|name| {
            // The target picks its site by the host.
            let hop = name.to_ascii_lowercase();
            (hop == "host" || !HOP_BY_HOP_FIELDS.contains(&hop.as_str()))
                && !named.iter().any(|word| name.eq_ignore_ascii_case(word))
        });
    }

    /// Writes all lines behind `output`.
    pub(crate) fn write_to(&self, output: &mut Vec<u8>) {
        for (name, value) in &self.lines {
            output.extend_from_slice(name.as_bytes());
            output.extend_from_slice(b": ");
            output.extend_from_slice(value);
            output.extend_from_slice(b"\r\n");
        }
    }
}
