//! The entries of a fleet view: targets, classes and accounts with parsed selectors.

use crate::selector::LabelSelector;

use super::ClassRule;
use super::ClientAccount;
use super::FleetTarget;
use super::LabelMap;

/// A target with its parsed `accepts` selector.
#[derive(Clone, Debug)]
pub struct CompiledTarget {
    /// The target as declared in the document.
    pub target: FleetTarget,
    /// The declared labels and the reserved ones.
    pub(super) labels: LabelMap,
    pub(super) accepts: LabelSelector,
}

/// A class with its parsed `targets` selector.
#[derive(Clone, Debug)]
pub struct CompiledClass {
    /// The class as declared in the document.
    pub rule: ClassRule,
    pub(super) targets: LabelSelector,
    /// The class's index in the document and in the table of allowed targets.
    pub(super) index: usize,
}

/// A client account with its index in the table of allowed targets.
#[derive(Clone, Debug)]
pub struct CompiledAccount {
    /// The account as declared in the document.
    pub account: ClientAccount,
    pub(super) index: usize,
}
