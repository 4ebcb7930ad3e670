//! Reserved labels, which the gateway adds to the operator-defined ones for selectors.

use crate::selector::LabelSelector;
use crate::selector::SelectorRequirement;

use super::ClassRule;
use super::ClientAccount;
use super::FleetTarget;
use super::LabelMap;
use super::TargetKind;

/// The reserved label keys of targets; operator-defined labels must not use them.
pub(crate) const RESERVED_TARGET_KEYS: &[&str] = &["availability_zone", "kind", "name"];

/// The reserved label keys of requests; operator-defined labels must not use them.
pub(crate) const RESERVED_REQUEST_KEYS: &[&str] = &["account", "class", "tier"];

/// Returns the labels that a class's `targets` selector is evaluated against.
pub(crate) fn target_labels(target: &FleetTarget) -> LabelMap {
    let kind = match target.kind {
        TargetKind::Engine => "engine",
        TargetKind::Service => "service",
    };
    let mut labels = target.labels.clone();
    labels.insert(
        String::from("availability_zone"),
        target.availability_zone.clone(),
    );
    labels.insert(String::from("kind"), String::from(kind));
    labels.insert(String::from("name"), target.name.clone());
    labels
}

/// The labels that a target's `accepts` selector is evaluated against. They are
/// borrowed, since a value is created for each class and account of a document.
#[derive(Debug)]
pub(crate) struct RequestLabels<'a> {
    class: &'a ClassRule,
    account: &'a ClientAccount,
    tier: String,
}

impl<'a> RequestLabels<'a> {
    pub(crate) fn new(class: &'a ClassRule, account: &'a ClientAccount) -> Self {
        Self {
            class,
            account,
            tier: class.tier.to_string(),
        }
    }

    /// Returns the first requirement that the request doesn't meet.
    pub(crate) fn first_mismatch<'s>(
        &self,
        selector: &'s LabelSelector,
    ) -> Option<&'s SelectorRequirement> {
        selector.first_mismatch_by(|key| self.value(key))
    }

    /// Returns whether the request meets every requirement.
    pub(crate) fn matches(&self, selector: &LabelSelector) -> bool {
        self.first_mismatch(selector).is_none()
    }

    /// The order of the two look-ups doesn't matter: validation rejects a selector
    /// over a key that both the class and the account have.
    fn value(&self, key: &str) -> Option<&str> {
        match key {
            "account" => Some(&self.account.name),
            "class" => Some(&self.class.name),
            "tier" => Some(&self.tier),
            _ => {
                let class_label = self.class.labels.get(key);
                let value = class_label.or_else(|| self.account.labels.get(key));
                value.map(String::as_str)
            }
        }
    }
}
