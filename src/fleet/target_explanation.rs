//! Whether a target may serve a request, and the reason if not.

use derive_more::Display;
use serde::Serialize;

use crate::ids::TargetName;

/// The first reason that excludes a target from serving a request.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExclusionReason {
    /// The class's `targets` selector has a requirement that the target doesn't meet.
    #[display("the class's targets selector wants `{_0}`")]
    ClassSelector(String),
    /// The target's `accepts` selector has a requirement that the request doesn't meet.
    #[display("the target's accepts selector wants `{_0}`")]
    TargetSelector(String),
    /// The document marks the target as leaving.
    #[display("the target is leaving")]
    TargetLeaving,
}

/// One target and the reason that excludes it, if any.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TargetExplanation {
    /// The target.
    pub target: TargetName,
    /// The first reason that excludes the target; absent if it may serve the request.
    pub excluded: Option<ExclusionReason>,
}
