//! The rules that decide which document is in force, independent of its source.
//!
//! A document is accepted or refused as a whole, and versions only increase. A stale
//! platform, a lagging peer or a process that resumes late can therefore never bring
//! back an older document than the one in force.

use std::sync::Arc;

use super::CompiledCopy;
use super::ConfigEntry;
use super::ConfigRefusal;
use super::ConfigSource;
use super::RosterAdmission;
use crate::ids::FleetVersion;
use crate::peers::ConfigDigest;
use crate::peers::RawDocument;

/// The outcome of offering a document.
#[derive(Clone, Debug)]
pub enum OfferOutcome<V> {
    /// The document has been put in force.
    Accepted(Arc<ConfigEntry<V>>),
    /// The document is already in force.
    InForce,
    /// The document is valid, but its roster can't be checked before peers have
    /// reported more; see [`ConfigTracker::retry_waiting`].
    Waiting,
    /// The document is refused; the previous one stays in force.
    Refused(ConfigRefusal),
}

/// Tracks the document in force and other known documents.
///
/// Versions are integers that only increase; no clock is involved. `V` is the compiled
/// form of a document. [`ConfigSource`] distinguishes sources (the platform, a peer)
/// for the log only; documents from all sources are checked alike.
///
/// ```
/// use std::sync::Arc;
///
/// use cardamomgw::CompiledCopy;
/// use cardamomgw::ConfigTracker;
/// use cardamomgw::ConfigSource;
/// use cardamomgw::OfferOutcome;
/// use cardamomgw::RosterAdmission;
/// use cardamomgw::peers::RawDocument;
///
/// let compile = |version| move |body: &[u8]| {
///     let text = std::str::from_utf8(body).map_err(|fault| vec![fault.to_string()])?;
///     Ok(CompiledCopy { version, digest: [0; 32], view: Arc::new(text.to_owned()) })
/// };
/// let copy = |version, body: &'static str| RawDocument { version, body: body.into() };
/// let mut tracker = ConfigTracker::<String>::new();
///
/// let platform = ConfigSource::Platform;
/// let admit = |_: &String| RosterAdmission::Admitted;
/// let newer = tracker.offer(copy(2, "two"), platform.clone(), compile(2), admit);
/// let stale = tracker.offer(copy(1, "one"), platform, compile(1), admit);
///
/// assert!(matches!(newer, OfferOutcome::Accepted(_)));
/// assert!(matches!(stale, OfferOutcome::Refused(_)), "an older version never comes back");
/// assert_eq!(tracker.version(), 2);
/// ```
#[derive(Debug)]
pub struct ConfigTracker<V> {
    in_force: Option<Arc<ConfigEntry<V>>>,
    waiting: Option<Arc<ConfigEntry<V>>>,
    /// The last document refused for its content. It is offered again with each read,
    /// and checking 1 MiB each time would occupy a core.
    refused_copy: Option<(RawDocument, ConfigRefusal)>,
    last_refusal: Option<ConfigRefusal>,
    refusals: u64,
    conflict: Option<(FleetVersion, ConfigDigest)>,
}

impl<V> ConfigTracker<V> {
    /// Creates a tracker without a document in force.
    pub const fn new() -> Self {
        Self {
            in_force: None,
            waiting: None,
            refused_copy: None,
            last_refusal: None,
            refusals: 0,
            conflict: None,
        }
    }

    /// Returns the document in force.
    pub const fn in_force(&self) -> Option<&Arc<ConfigEntry<V>>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> FleetVersion {
        self.in_force.as_ref().map_or(0, |entry| entry.copy.version)
    }

    /// Returns why the last refused document was refused.
    pub const fn last_refusal(&self) -> Option<&ConfigRefusal> {
        self.last_refusal.as_ref()
    }

    /// Returns the number of offers refused for a reason that operators must see.
    pub const fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Checks a document; the reason of a refusal is the outcome's [`ConfigRefusal`].
    /// `compile` checks the whole document. `admit` checks its roster; it is called
    /// last because it may adopt the roster.
    pub fn offer(
        &mut self,
        copy: RawDocument,
        source: ConfigSource,
        compile: impl FnOnce(&[u8]) -> Result<CompiledCopy<V>, Vec<String>>,
        admit: impl FnOnce(&V) -> RosterAdmission,
    ) -> OfferOutcome<V> {
        if let Some(outcome) = self.decide_by_bytes(&copy) {
            return outcome;
        }
        let compiled = match compile(&copy.body) {
            Ok(compiled) => compiled,
            Err(faults) => {
                let version = copy.version;
                return self.refuse_content(copy, ConfigRefusal::Invalid { version, faults });
            }
        };
        if compiled.version != copy.version {
            let refusal = ConfigRefusal::VersionMismatch {
                declared: copy.version,
                found: compiled.version,
            };
            return self.refuse_content(copy, refusal);
        }
        if copy.version == self.version() {
            return self.check_same_version(copy, &compiled.digest);
        }
        let entry = ConfigEntry {
            copy,
            digest: compiled.digest,
            view: compiled.view,
            source,
        };
        self.admit_entry(Arc::new(entry), admit)
    }

    /// Decides offers for which the version and the bytes suffice.
    fn decide_by_bytes(&mut self, copy: &RawDocument) -> Option<OfferOutcome<V>> {
        if let Some(entry) = &self.in_force {
            if copy.version < entry.copy.version {
                // A stale read is not a fault of the document. It is not reported as a
                // refusal, since each lagging read would otherwise hide the last real
                // one.
                return Some(OfferOutcome::Refused(ConfigRefusal::Older {
                    offered: copy.version,
                    in_force: entry.copy.version,
                }));
            }
            if *copy == entry.copy {
                return Some(OfferOutcome::InForce);
            }
        }
        match &self.refused_copy {
            Some((refused_copy, refusal)) if refused_copy == copy => {
                Some(OfferOutcome::Refused(refusal.clone()))
            }
            _ => None,
        }
    }

    /// Two edits with the same version raced at the platform, or a version was
    /// overwritten. Hosts that accepted different ones would consider themselves in
    /// agreement, so each host keeps the one it has and reports the conflict.
    fn check_same_version(&mut self, copy: RawDocument, digest: &ConfigDigest) -> OfferOutcome<V> {
        let same = self
            .in_force
            .as_ref()
            .is_some_and(|entry| entry.digest == *digest);
        if same {
            return OfferOutcome::InForce;
        }
        let version = copy.version;
        self.refuse_content(copy, ConfigRefusal::Conflict { version })
    }

    fn admit_entry(
        &mut self,
        entry: Arc<ConfigEntry<V>>,
        admit: impl FnOnce(&V) -> RosterAdmission,
    ) -> OfferOutcome<V> {
        match admit(&entry.view) {
            RosterAdmission::Admitted => {
                self.waiting = None;
                self.refused_copy = None;
                self.last_refusal = None;
                self.in_force = Some(Arc::clone(&entry));
                OfferOutcome::Accepted(entry)
            }
            RosterAdmission::Waiting => {
                self.keep_waiting(entry);
                OfferOutcome::Waiting
            }
            RosterAdmission::Refused { reason } => {
                // Not remembered: the result of the roster check may change as peers
                // report more.
                let version = entry.copy.version;
                self.refuse(ConfigRefusal::Roster { version, reason })
            }
        }
    }

    /// Keeps the newest waiting document.
    fn keep_waiting(&mut self, entry: Arc<ConfigEntry<V>>) {
        let newer = self
            .waiting
            .as_ref()
            .is_none_or(|waiting| waiting.copy.version <= entry.copy.version);
        if newer {
            self.waiting = Some(entry);
        }
    }

    /// Offers the waiting document again, after peers have reported something.
    pub fn retry_waiting(
        &mut self,
        admit: impl FnOnce(&V) -> RosterAdmission,
    ) -> Option<OfferOutcome<V>> {
        let entry = self.waiting.take()?;
        if entry.copy.version <= self.version() {
            return None;
        }
        Some(self.admit_entry(entry, admit))
    }

    /// Returns whether a document that a peer has in force should be fetched.
    pub fn wants(&self, version: FleetVersion) -> bool {
        version > self.version() && !self.knows(version)
    }

    /// Returns whether the content of a newer version has been checked here or is
    /// waiting.
    fn knows(&self, version: FleetVersion) -> bool {
        let waits = self
            .waiting
            .as_ref()
            .is_some_and(|entry| entry.copy.version >= version);
        waits || self.has_refused(version)
    }

    /// Returns whether the content of `version` was refused here.
    pub fn has_refused(&self, version: FleetVersion) -> bool {
        self.refused_copy
            .as_ref()
            .is_some_and(|(copy, _)| copy.version == version)
    }

    /// Compares with a peer's document in force; returns whether this reveals a new
    /// conflict, which must be reported once.
    pub fn compare_peer(&mut self, version: FleetVersion, digest: &ConfigDigest) -> bool {
        let conflicts = self
            .in_force
            .as_ref()
            .is_some_and(|entry| entry.copy.version == version && entry.digest != *digest);
        if !conflicts || self.conflict == Some((version, *digest)) {
            return false;
        }
        self.conflict = Some((version, *digest));
        self.refuse(ConfigRefusal::Conflict { version });
        true
    }

    fn refuse_content(&mut self, copy: RawDocument, refusal: ConfigRefusal) -> OfferOutcome<V> {
        self.refused_copy = Some((copy, refusal.clone()));
        self.refuse(refusal)
    }

    fn refuse(&mut self, refusal: ConfigRefusal) -> OfferOutcome<V> {
        self.refusals += 1;
        self.last_refusal = Some(refusal.clone());
        OfferOutcome::Refused(refusal)
    }
}

impl<V> Default for ConfigTracker<V> {
    fn default() -> Self {
        Self::new()
    }
}
