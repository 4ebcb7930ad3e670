//! Delta encoding of host digests.
//!
//! A full digest takes some 30 bytes per target and 20 per seat, and goes to each peer
//! each second; most of it doesn't change in between. A delta identifies its base
//! digest by the sender's incarnation and sequence number, so it can't be applied to
//! any other one.

use serde::Deserialize;
use serde::Serialize;

use super::ConfigDigest;
use super::PeerDigest;
use crate::ids::FleetVersion;
use crate::ids::IncarnationId;
use crate::ids::TierRank;
use crate::poison::PoisonEntry;
use crate::policy::HostDigest;
use crate::policy::LentSlots;
use crate::policy::TargetDemand;
use crate::policy::TierWait;
use crate::roster::RosterDigest;

/// The difference between a digest of a host and a later one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DigestDelta {
    /// The sender's incarnation; the same in both digests.
    pub incarnation: IncarnationId,
    /// The sequence number of the base digest.
    pub base: u64,
    /// The new digest's sequence number minus that of the base.
    pub steps: u64,
    /// The document in force, if it changed.
    pub document: Option<DocumentIdentity>,
    /// The host's roster state, if it changed.
    pub roster: Option<RosterDigest>,
    /// The requests suspected of crashing targets, if they changed.
    pub suspects: Option<Vec<PoisonEntry>>,
    /// As in the new digest.
    pub history_gap_ms: u64,
    /// As in the new digest.
    pub generation: u32,
    /// As in the new digest.
    pub engine_level: TierRank,
    /// As in the new digest.
    pub service_level: TierRank,
    /// As in the new digest.
    pub waits: Vec<TierWait>,
    /// The change of the targets' demand.
    pub targets: DemandUpdate,
}

/// Identifies a fleet document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentIdentity {
    /// The document's version.
    pub version: FleetVersion,
    /// The SHA-256 digest of its bytes.
    pub digest: ConfigDigest,
}

/// The change of the targets' demand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DemandUpdate {
    /// The set or order of targets changed, or there are too many to index; holds all of them.
    All(Vec<TargetDemand>),
    /// The targets are the same; holds the changed fields.
    Changed(Vec<DemandChange>),
}

/// The changed fields of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandChange {
    /// The target's index in the digest.
    pub index: u16,
    /// The changed fields with their new values.
    pub fields: Vec<DemandField>,
}

/// The new value of one field of a [`TargetDemand`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DemandField {
    /// See [`TargetDemand::epoch`].
    Epoch(u64),
    /// See [`TargetDemand::held`].
    Held(u32),
    /// See [`TargetDemand::wanted`].
    Wanted(u32),
    /// See [`TargetDemand::running`].
    Running(u32),
    /// See [`TargetDemand::pace_us`].
    Pace(u32),
    /// See [`TargetDemand::best_us`].
    Best(u32),
    /// See [`TargetDemand::lent`].
    Lent(Vec<LentSlots>),
}

impl DigestDelta {
    /// Returns the difference between `base` and `new`, or `None` if a full digest has
    /// to be sent: `new` is not a later digest of the same incarnation, or it no longer
    /// has a roster.
    pub fn between(base: &PeerDigest, new: &PeerDigest) -> Option<Self> {
        let (old, policy) = (base.policy.as_ref()?, new.policy.as_ref()?);
        let follows = old.incarnation == policy.incarnation && old.sequence < policy.sequence;
        let roster_removed = base.roster.is_some() && new.roster.is_none();
        if !follows || roster_removed {
            return None;
        }
        let document = DocumentIdentity::of(new);
        Some(Self {
            incarnation: policy.incarnation,
            base: old.sequence,
            steps: policy.sequence - old.sequence,
            document: (document != DocumentIdentity::of(base)).then_some(document),
            roster: new.roster.clone().filter(|_| new.roster != base.roster),
            suspects: (new.suspects != base.suspects).then(|| new.suspects.clone()),
            history_gap_ms: new.history_gap_ms,
            generation: policy.generation,
            engine_level: policy.engine_level,
            service_level: policy.service_level,
            waits: policy.waits.clone(),
            targets: DemandUpdate::between(&old.targets, &policy.targets),
        })
    }

    /// Returns the new digest, or `None` if `base` is not the digest that the delta was
    /// computed from.
    pub fn apply(&self, base: &PeerDigest) -> Option<PeerDigest> {
        let old = base.policy.as_ref()?;
        if old.incarnation != self.incarnation || old.sequence != self.base {
            return None;
        }
        let document = self.document.unwrap_or_else(|| DocumentIdentity::of(base));
        let policy = HostDigest {
            incarnation: self.incarnation,
            sequence: self.base.checked_add(self.steps)?,
            generation: self.generation,
            engine_level: self.engine_level,
            service_level: self.service_level,
            waits: self.waits.clone(),
            targets: self.targets.apply(&old.targets)?,
        };
        Some(PeerDigest {
            version: document.version,
            digest: document.digest,
            roster: self.roster.clone().or_else(|| base.roster.clone()),
            policy: Some(policy),
            suspects: self
                .suspects
                .clone()
                .unwrap_or_else(|| base.suspects.clone()),
            history_gap_ms: self.history_gap_ms,
        })
    }
}

impl DocumentIdentity {
    /// Returns the identity of the document that a digest reports.
    pub const fn of(digest: &PeerDigest) -> Self {
        Self {
            version: digest.version,
            digest: digest.digest,
        }
    }
}

impl DemandUpdate {
    fn between(old: &[TargetDemand], new: &[TargetDemand]) -> Self {
        let pairs = old.iter().zip(new);
        let same = old.len() == new.len()
            && new.len() <= usize::from(u16::MAX)
            && pairs.clone().all(|(old, new)| old.target == new.target);
        if !same {
            return Self::All(new.to_vec());
        }
        let changes = pairs.enumerate().filter_map(|(index, (old, new))| {
            let fields = changed_fields(old, new);
            let index = index as u16;
            (!fields.is_empty()).then_some(DemandChange { index, fields })
        });
        Self::Changed(changes.collect())
    }

    fn apply(&self, old: &[TargetDemand]) -> Option<Vec<TargetDemand>> {
        let changes = match self {
            Self::All(targets) => return Some(targets.clone()),
            Self::Changed(changes) => changes,
        };
        let mut targets = old.to_vec();
        for change in changes {
            let target = targets.get_mut(usize::from(change.index))?;
            change.fields.iter().for_each(|field| field.set(target));
        }
        Some(targets)
    }
}

impl DemandField {
    fn set(&self, target: &mut TargetDemand) {
        match self {
            Self::Epoch(epoch) => target.epoch = *epoch,
            Self::Held(held) => target.held = *held,
            Self::Wanted(wanted) => target.wanted = *wanted,
            Self::Running(running) => target.running = *running,
            Self::Pace(pace) => target.pace_us = *pace,
            Self::Best(best) => target.best_us = *best,
            Self::Lent(lent) => target.lent.clone_from(lent),
        }
    }
}

fn changed_fields(old: &TargetDemand, new: &TargetDemand) -> Vec<DemandField> {
    // Destructured without `..`, so that a field added later can't be left out here.
    let TargetDemand {
        target: _,
        epoch,
        held,
        wanted,
        running,
        pace_us,
        best_us,
        lent,
    } = new;
    let fields = [
        (old.epoch != *epoch).then_some(DemandField::Epoch(*epoch)),
        (old.held != *held).then_some(DemandField::Held(*held)),
        (old.wanted != *wanted).then_some(DemandField::Wanted(*wanted)),
        (old.running != *running).then_some(DemandField::Running(*running)),
        (old.pace_us != *pace_us).then_some(DemandField::Pace(*pace_us)),
        (old.best_us != *best_us).then_some(DemandField::Best(*best_us)),
        (old.lent != *lent).then(|| DemandField::Lent(lent.clone())),
    ];
    fields.into_iter().flatten().collect()
}
