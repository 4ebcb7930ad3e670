//! State of the platform stand-in.

use serde::Deserialize;
use serde::Serialize;

use crate::http::TargetState;

/// Failure mode of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformMode {
    /// Serves the latest published documents.
    #[default]
    Ok,
    /// Closes each connection without an answer.
    Down,
    /// Serves the documents that were current when the mode was set.
    Stale,
    /// Answers every other read with 503.
    Flapping,
}

/// An entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Name of an entry host or a target.
    pub name: String,
    /// Whether it accepts new work or is leaving.
    pub state: TargetState,
}

/// The host list with the time at which it was compiled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HostList {
    pub(crate) taken_ms: u64,
    pub(crate) hosts: Vec<HostEntry>,
}

/// The current document of a scope.
#[derive(Clone, Debug)]
pub(crate) struct StoredDocument {
    pub(crate) scope: String,
    pub(crate) version: u64,
    pub(crate) body: String,
}

/// Everything that read requests return.
#[derive(Clone, Debug)]
pub(crate) struct PlatformContent {
    documents: Vec<StoredDocument>,
    pub(crate) hosts: HostList,
}

impl PlatformContent {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            documents: Vec::new(),
            hosts: HostList {
                taken_ms: now_ms,
                hosts: Vec::new(),
            },
        }
    }

    /// Returns the document of a scope.
    pub(crate) fn document(&self, scope: &str) -> Option<&StoredDocument> {
        let index = self.position(scope).ok()?;
        Some(&self.documents[index])
    }

    /// Inserts a document, replacing the previous one of its scope.
    pub(crate) fn replace(&mut self, document: StoredDocument) {
        match self.position(&document.scope) {
            Ok(index) => self.documents[index] = document,
            Err(index) => self.documents.insert(index, document),
        }
    }

    fn position(&self, scope: &str) -> Result<usize, usize> {
        self.documents
            .binary_search_by(|document| document.scope.as_str().cmp(scope))
    }
}

/// The content and the failure mode; in stale mode, reads return `stale_copy`.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) mode: PlatformMode,
    pub(crate) content: PlatformContent,
    pub(crate) stale_copy: Option<PlatformContent>,
    pub(crate) calls: u64,
}

impl PlatformState {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            mode: PlatformMode::Ok,
            content: PlatformContent::new(now_ms),
            stale_copy: None,
            calls: 0,
        }
    }

    /// Sets the mode; entering `Stale` takes a copy of the content for readers.
    pub(crate) fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
        match mode {
            PlatformMode::Stale if self.stale_copy.is_none() => {
                self.stale_copy = Some(self.content.clone());
            }
            PlatformMode::Stale => {}
            _ => self.stale_copy = None,
        }
    }

    /// Returns the content that reads return in the current mode.
    pub(crate) fn visible(&self) -> &PlatformContent {
        self.stale_copy.as_ref().unwrap_or(&self.content)
    }
}
