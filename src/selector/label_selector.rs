//! A parsed selector.

use std::fmt;
use std::str::FromStr;

use crate::fleet::LabelMap;

use super::SelectorError;
use super::SelectorRequirement;
use super::selector_parser::parse_requirements;

/// Requirements on labels, all of which must be met. An empty selector matches everything.
///
/// The syntax is that of Kubernetes: `model=polar, generation in (g3, g4), tier!=2, !canary, spare`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LabelSelector {
    requirements: Vec<SelectorRequirement>,
}

impl LabelSelector {
    /// Returns whether `labels` meet every requirement.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        self.first_mismatch(labels).is_none()
    }

    /// Returns the first requirement that `labels` don't meet.
    pub fn first_mismatch(&self, labels: &LabelMap) -> Option<&SelectorRequirement> {
        self.requirements
            .iter()
            .find(|requirement| !requirement.matches(labels))
    }

    /// Returns the first requirement that isn't met by the values that `value_of`
    /// returns for the keys. For labels that are not stored in one map.
    pub fn first_mismatch_by<'a>(
        &self,
        value_of: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<&SelectorRequirement> {
        self.requirements
            .iter()
            .find(|requirement| !requirement.matches_value(value_of(&requirement.key)))
    }

    /// Returns the requirements in the order in which they were written.
    pub fn requirements(&self) -> &[SelectorRequirement] {
        &self.requirements
    }
}

impl FromStr for LabelSelector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let requirements = parse_requirements(text)?;
        Ok(Self { requirements })
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                formatter.write_str(", ")?;
            }
            requirement.fmt(formatter)?;
        }
        Ok(())
    }
}
