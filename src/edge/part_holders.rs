//! Finds the targets that hold a part of a prompt.
//!
//! The last part of a prompt belongs to its request, so a target that holds it has run the request.
//! This shows which software version began a stream that no host remembers.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::ids::SoftwareVersion;
use crate::logs::DecisionLine;
use crate::poison::canonical_part;
use crate::view::TargetIncarnation;

/// Time limit of a search.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(250);

/// What a search among the targets of a pool found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct HolderSearch {
    /// Versions of the targets that hold the part, sorted.
    pub(crate) versions: Vec<SoftwareVersion>,
    /// Number of targets of the pool.
    pub(crate) targets: usize,
    /// Number of targets that listed their parts.
    pub(crate) answered: usize,
}

impl EdgeState {
    /// Finds the versions of the targets of a pool that hold a part, by lists that are made after
    /// this call. Draining targets are asked too.
    pub(crate) async fn find_holders(self: &Arc<Self>, pool: &str, part: &str) -> HolderSearch {
        let started = boot_now();
        count(&self.metrics.holder_searches);
        let targets: Vec<(TargetIncarnation, SoftwareVersion)> = self
            .view
            .targets()
            .into_iter()
            .filter(|target| target.pool == pool)
            .map(|target| (target.incarnation(), target.software_version))
            .collect();
        let found = match canonical_part(part) {
            Some(part) => self.search_targets(&targets, &part).await,
            None => HolderSearch {
                targets: targets.len(),
                ..HolderSearch::default()
            },
        };
        self.log.write(&DecisionLine::HoldersSearched {
            pool: pool.to_owned(),
            part: part.to_owned(),
            versions: found.versions.clone(),
            targets: found.targets,
            answered: found.answered,
            elapsed_ms: boot_now().saturating_sub(started).as_millis() as u64,
        });
        found
    }

    /// Collects the answers of the targets until all have answered or the time is up.
    async fn search_targets(
        self: &Arc<Self>,
        targets: &[(TargetIncarnation, SoftwareVersion)],
        part: &str,
    ) -> HolderSearch {
        let mut found = HolderSearch {
            targets: targets.len(),
            ..HolderSearch::default()
        };
        let incarnations: Vec<TargetIncarnation> =
            targets.iter().map(|(target, _)| target.clone()).collect();
        let answers = self.request_lists(&incarnations, part);
        let collected = async {
            while let Ok((position, answer)) = answers.recv().await {
                found.answered += usize::from(answer.is_some());
                if answer == Some(true) {
                    found.versions.push(targets[position].1.clone());
                }
            }
        };
        timeout(SEARCH_TIMEOUT, collected).await.ok();
        found.versions.sort();
        found.versions.dedup();
        found
    }
}
