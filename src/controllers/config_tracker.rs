//! Which document is in force: the rules, apart from all sources.
//!
//! A document is taken whole or not at all, and versions only rise. So a stale
//! platform, a peer that is behind and a process that wakes up late can offer
//! what they like: nothing older than what is in force ever comes back.

use std::sync::Arc;

use super::CompiledCopy;
use super::ConfigEntry;
use super::ConfigRefusal;
use super::ConfigSource;
use super::RosterAdmission;
use crate::ids::FleetVersion;
use crate::peers::ConfigDigest;
use crate::peers::RawDocument;

/// What became of a document that was offered.
#[derive(Clone, Debug)]
pub enum OfferOutcome<V> {
    /// The document is in force from now on.
    Accepted(Arc<ConfigEntry<V>>),
    /// The document is the one in force.
    InForce,
    /// The document is sound, but its roster can't be judged before peers told
    /// more; see [`ConfigTracker::retry_waiting`].
    Waiting,
    /// The document is refused and the one before stays.
    Refused(ConfigRefusal),
}

/// The document in force, and what is known of others.
///
/// Versions are whole numbers that only rise; there is no clock in it. `V` is what a
/// document compiles to. Sources (a platform, a peer, a file) are told apart by
/// [`ConfigSource`] for the log only: all of them are judged alike.
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
/// let mut ledger = ConfigTracker::<String>::new();
///
/// let platform = ConfigSource::Platform;
/// let admit = |_: &String| RosterAdmission::Admitted;
/// let newer = ledger.offer(copy(2, "two"), platform.clone(), compile(2), admit);
/// let stale = ledger.offer(copy(1, "one"), platform, compile(1), admit);
///
/// assert!(matches!(newer, OfferOutcome::Accepted(_)));
/// assert!(matches!(stale, OfferOutcome::Refused(_)), "an older version never comes back");
/// assert_eq!(ledger.version(), 2);
/// ```
#[derive(Debug)]
pub struct ConfigTracker<V> {
    in_force: Option<Arc<ConfigEntry<V>>>,
    waiting: Option<Arc<ConfigEntry<V>>>,
    /// The last document that was refused for its content: it is offered again
    /// with each read, and judging a mebibyte each time would cost a core.
    judged: Option<(RawDocument, ConfigRefusal)>,
    last_refusal: Option<ConfigRefusal>,
    refusals: u64,
    conflict: Option<(FleetVersion, ConfigDigest)>,
}

impl<V> ConfigTracker<V> {
    /// Makes a ledger with nothing in force.
    pub const fn new() -> Self {
        Self {
            in_force: None,
            waiting: None,
            judged: None,
            last_refusal: None,
            refusals: 0,
            conflict: None,
        }
    }

    /// Returns the document in force.
    pub const fn in_force(&self) -> Option<&Arc<ConfigEntry<V>>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force; 0 when there is none.
    pub fn version(&self) -> FleetVersion {
        self.in_force.as_ref().map_or(0, |entry| entry.copy.version)
    }

    /// Returns why the last refused document was refused.
    pub const fn last_refusal(&self) -> Option<&ConfigRefusal> {
        self.last_refusal.as_ref()
    }

    /// Returns how many offers were refused for a reason that operators must see.
    pub const fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Judges a document; what is wrong with it is the outcome's [`ConfigRefusal`].
    /// `compile` checks it whole; `admit` judges its roster
    /// and is asked last, since it may take the roster up.
    pub fn offer(
        &mut self,
        copy: RawDocument,
        source: ConfigSource,
        compile: impl FnOnce(&[u8]) -> Result<CompiledCopy<V>, Vec<String>>,
        admit: impl FnOnce(&V) -> RosterAdmission,
    ) -> OfferOutcome<V> {
        if let Some(outcome) = self.judge_unread(&copy) {
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
            return self.judge_same_version(copy, &compiled.digest);
        }
        let entry = ConfigEntry {
            copy,
            digest: compiled.digest,
            view: compiled.view,
            source,
        };
        self.admit_entry(Arc::new(entry), admit)
    }

    /// Judges what can be judged by the version and the bytes alone.
    fn judge_unread(&mut self, copy: &RawDocument) -> Option<OfferOutcome<V>> {
        if let Some(entry) = &self.in_force {
            if copy.version < entry.copy.version {
                // A stale read is no fault of a document: operators see it in no
                // refusal, or each lagging read would hide the last real one.
                return Some(OfferOutcome::Refused(ConfigRefusal::Older {
                    offered: copy.version,
                    in_force: entry.copy.version,
                }));
            }
            if *copy == entry.copy {
                return Some(OfferOutcome::InForce);
            }
        }
        match &self.judged {
            Some((judged, refusal)) if judged == copy => {
                Some(OfferOutcome::Refused(refusal.clone()))
            }
            _ => None,
        }
    }

    /// Two edits of one version raced at the platform, or somebody rewrote a
    /// version. Hosts that took one and hosts that took the other would each
    /// think that they agree; so whoever has one keeps it and raises the alarm.
    fn judge_same_version(&mut self, copy: RawDocument, digest: &ConfigDigest) -> OfferOutcome<V> {
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
                self.judged = None;
                self.last_refusal = None;
                self.in_force = Some(Arc::clone(&entry));
                OfferOutcome::Accepted(entry)
            }
            RosterAdmission::Waiting => {
                self.keep_waiting(entry);
                OfferOutcome::Waiting
            }
            RosterAdmission::Refused { reason } => {
                // Not remembered as judged: what the roster rules say may change
                // as peers tell more.
                let version = entry.copy.version;
                self.refuse(ConfigRefusal::Roster { version, reason })
            }
        }
    }

    /// Keeps the newest document that waits.
    fn keep_waiting(&mut self, entry: Arc<ConfigEntry<V>>) {
        let newer = self
            .waiting
            .as_ref()
            .is_none_or(|waiting| waiting.copy.version <= entry.copy.version);
        if newer {
            self.waiting = Some(entry);
        }
    }

    /// Asks again for the document that waits, after peers told something.
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

    /// Tells whether a document that a peer has in force should be fetched.
    pub fn wants(&self, version: FleetVersion) -> bool {
        version > self.version() && !self.knows(version)
    }

    /// Tells whether the content of a newer version was judged here, or waits.
    fn knows(&self, version: FleetVersion) -> bool {
        let waits = self
            .waiting
            .as_ref()
            .is_some_and(|entry| entry.copy.version >= version);
        waits || self.has_refused(version)
    }

    /// Tells whether the content of `version` was refused here.
    pub fn has_refused(&self, version: FleetVersion) -> bool {
        self.judged
            .as_ref()
            .is_some_and(|(copy, _)| copy.version == version)
    }

    /// Compares with what a peer has in force; returns whether this is news of
    /// a conflict, which must raise the alarm once.
    pub fn note_peer(&mut self, version: FleetVersion, digest: &ConfigDigest) -> bool {
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
        self.judged = Some((copy, refusal.clone()));
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
