//! What changed from one digest of a host to a later one.
//!
//! A whole digest takes some 30 bytes a target and 20 a seat, to each peer each
//! second; most of it stands still. A delta names the digest that it starts from by
//! the sender's life and sequence, so it can't be laid over any other one.

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

/// What changed from one digest of a host to a later one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DigestDelta {
    /// The life of the sender, in both digests.
    pub incarnation: IncarnationId,
    /// The sequence of the digest that this one starts from.
    pub base: u64,
    /// How far the sequence of the new digest is from the base.
    pub steps: u64,
    /// The new document in force, where it changed.
    pub document: Option<DocumentIdentity>,
    /// What the host knows of rosters now, where it changed.
    pub roster: Option<RosterDigest>,
    /// Requests that targets were lost to, where they changed.
    pub suspects: Option<Vec<PoisonEntry>>,
    /// As in the new digest.
    pub generation: u32,
    /// As in the new digest.
    pub engine_level: TierRank,
    /// As in the new digest.
    pub service_level: TierRank,
    /// As in the new digest.
    pub waits: Vec<TierWait>,
    /// What changed of the targets.
    pub targets: DemandUpdate,
}

/// Which document is in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentIdentity {
    /// The document's version.
    pub version: FleetVersion,
    /// The digest of its bytes.
    pub digest: ConfigDigest,
}

/// What changed of the targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DemandUpdate {
    /// The targets are others now.
    All(Vec<TargetDemand>),
    /// The same targets, with these fields changed.
    Changed(Vec<DemandChange>),
}

/// The changed fields of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandChange {
    /// The target's place in the digest.
    pub place: u16,
    /// The fields, as they are now.
    pub fields: Vec<DemandField>,
}

/// One field of a [`TargetDemand`], as it is now.
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
    /// Returns what changed from `base` to `new`; nothing where the two do not
    /// follow each other in one life, so that only a whole digest will do.
    pub fn between(base: &PeerDigest, new: &PeerDigest) -> Option<Self> {
        let (old, policy) = (base.policy.as_ref()?, new.policy.as_ref()?);
        let follows = old.incarnation == policy.incarnation && old.sequence < policy.sequence;
        let roster_went = base.roster.is_some() && new.roster.is_none();
        if !follows || roster_went {
            return None;
        }
        let mark = DocumentIdentity::of(new);
        Some(Self {
            incarnation: policy.incarnation,
            base: old.sequence,
            steps: policy.sequence - old.sequence,
            document: (mark != DocumentIdentity::of(base)).then_some(mark),
            roster: new.roster.clone().filter(|_| new.roster != base.roster),
            suspects: (new.suspects != base.suspects).then(|| new.suspects.clone()),
            generation: policy.generation,
            engine_level: policy.engine_level,
            service_level: policy.service_level,
            waits: policy.waits.clone(),
            targets: DemandUpdate::between(&old.targets, &policy.targets),
        })
    }

    /// Returns the new digest; nothing where `base` is not the one that the delta
    /// starts from.
    pub fn apply(&self, base: &PeerDigest) -> Option<PeerDigest> {
        let old = base.policy.as_ref()?;
        if old.incarnation != self.incarnation || old.sequence != self.base {
            return None;
        }
        let mark = self.document.unwrap_or_else(|| DocumentIdentity::of(base));
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
            version: mark.version,
            digest: mark.digest,
            roster: self.roster.clone().or_else(|| base.roster.clone()),
            policy: Some(policy),
            suspects: self
                .suspects
                .clone()
                .unwrap_or_else(|| base.suspects.clone()),
        })
    }
}

impl DocumentIdentity {
    /// Returns the document that a digest tells of.
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
        let changes = pairs.enumerate().filter_map(|(place, (old, new))| {
            let fields = changed_fields(old, new);
            let place = place as u16;
            (!fields.is_empty()).then_some(DemandChange { place, fields })
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
            let target = targets.get_mut(usize::from(change.place))?;
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
    // Named one by one: a field that is added later must not be forgotten here.
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
