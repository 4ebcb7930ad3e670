//! One requirement of a selector.

use std::fmt;

use crate::fleet::LabelMap;

/// The condition that a requirement sets for a label's value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LabelCondition {
    /// `key`: the label is present, with any value.
    Exists,
    /// `!key`: the label is absent.
    DoesNotExist,
    /// `key=value` or `key in (a, b)`: the label has one of the sorted values.
    In(Vec<String>),
    /// `key!=value` or `key notin (a, b)`: the label is absent or has another value.
    NotIn(Vec<String>),
}

/// A label's key and the condition for its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectorRequirement {
    /// The label's key.
    pub key: String,
    /// The condition for the value.
    pub condition: LabelCondition,
}

impl SelectorRequirement {
    /// Returns whether `labels` meet the requirement.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        self.matches_value(labels.get(&self.key).map(String::as_str))
    }

    /// Returns whether `value`, the value of the requirement's key if present, meets the
    /// condition.
    pub fn matches_value(&self, value: Option<&str>) -> bool {
        match &self.condition {
            LabelCondition::Exists => value.is_some(),
            LabelCondition::DoesNotExist => value.is_none(),
            LabelCondition::In(values) => value.is_some_and(|value| contains(values, value)),
            LabelCondition::NotIn(values) => value.is_none_or(|value| !contains(values, value)),
        }
    }
}

fn contains(values: &[String], value: &str) -> bool {
    let position = values.binary_search_by(|entry| entry.as_str().cmp(value));
    position.is_ok()
}

impl fmt::Display for SelectorRequirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.condition {
            LabelCondition::Exists => write!(formatter, "{key}"),
            LabelCondition::DoesNotExist => write!(formatter, "!{key}"),
            LabelCondition::In(values) if values.len() == 1 => {
                write!(formatter, "{key}={}", values[0])
            }
            LabelCondition::In(values) => write!(formatter, "{key} in ({})", values.join(", ")),
            LabelCondition::NotIn(values) if values.len() == 1 => {
                write!(formatter, "{key}!={}", values[0])
            }
            LabelCondition::NotIn(values) => {
                write!(formatter, "{key} notin ({})", values.join(", "))
            }
        }
    }
}
