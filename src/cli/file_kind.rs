//! Detection of a file's kind.

/// Top-level names that occur only in settings files.
const SETTINGS_NAMES: &[&str] = &[
    "caller_address",
    "host",
    "operator_address",
    "peer_address",
    "peer_key",
    "platform_addresses",
    "scope",
];

/// Top-level names that occur only in fleet documents.
const FLEET_NAMES: &[&str] = &[
    "accounts", "classes", "former", "limits", "roster", "targets", "version",
];

/// The kind of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FileKind {
    /// The settings of one host.
    Settings,
    /// A fleet document.
    Fleet,
}

impl FileKind {
    /// Detects the kind of a file by the names that it contains, so that the faults of a
    /// file with broken syntax are reported as well. Returns `None` if both kinds are
    /// equally likely, such as without any known name.
    pub(super) fn detect(text: &str) -> Option<Self> {
        let settings = count_names(text, SETTINGS_NAMES);
        let fleet = count_names(text, FLEET_NAMES);
        match settings.cmp(&fleet) {
            std::cmp::Ordering::Greater => Some(Self::Settings),
            std::cmp::Ordering::Less => Some(Self::Fleet),
            std::cmp::Ordering::Equal => None,
        }
    }
}

fn count_names(text: &str, names: &[&str]) -> usize {
    names
        .iter()
        .filter(|name| text.contains(&format!("\"{name}\"")))
        .count()
}
