//! The parts of a fleet view: a document's entries with their selectors parsed.

use crate::selector::LabelSelector;

use super::ClassRule;
use super::ClientAccount;
use super::FleetTarget;
use super::LabelMap;

/// A target with its `accepts` selector parsed.
#[derive(Clone, Debug)]
pub struct CompiledTarget {
    /// The target as the document has it.
    pub target: FleetTarget,
    pub(super) labels: LabelMap,
    pub(super) accepts: LabelSelector,
}

/// A class with its `targets` selector parsed.
#[derive(Clone, Debug)]
pub struct CompiledClass {
    /// The class as the document has it.
    pub rule: ClassRule,
    pub(super) targets: LabelSelector,
    /// The class's place in the document and in the table of allowed targets.
    pub(super) index: usize,
}

/// A client account with its place in the table of allowed targets.
#[derive(Clone, Debug)]
pub struct CompiledAccount {
    /// The account as the document has it.
    pub account: ClientAccount,
    pub(super) index: usize,
}
