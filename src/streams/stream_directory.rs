//! The streams that this host and the peers that report to it began.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::StreamKey;
use super::VersionStreams;
use super::version_history::VersionHistory;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::sorted::SortedMap;

/// How long a stream is remembered: longer than any caller asks for the rest of one.
pub(super) const RETENTION: Duration = Duration::from_secs(40);
/// Time of the streams in one generation, which are forgotten together.
const GENERATION_TIME: Duration = Duration::from_secs(4);
/// Limit on the streams of a generation. A host with more forgets the oldest generation early.
const MAX_GENERATION: usize = 16_384;
const MAX_GENERATIONS: usize = 32;

/// A software version of a pool.
#[derive(Debug, Eq, PartialEq)]
struct PoolVersion {
    pool: PoolName,
    version: SoftwareVersion,
}

/// Where a stream began.
#[derive(Clone, Debug)]
struct StreamOrigin {
    began_at: Arc<PoolVersion>,
    /// When this host recorded it, and whether it began the stream itself.
    recorded_at: Duration,
    is_own: bool,
}

/// Streams that were recorded within a few seconds.
#[derive(Debug)]
struct StreamGeneration {
    started_at: Duration,
    origins: SortedMap<StreamKey, StreamOrigin>,
}

/// The software versions of all pools, and which of them began each recent stream.
#[derive(Debug, Default)]
pub struct StreamDirectory {
    history: VersionHistory,
    /// Oldest first.
    generations: VecDeque<StreamGeneration>,
}

impl StreamDirectory {
    /// Replaces the software versions of the registered targets.
    pub fn update_versions(
        &mut self,
        registered: impl Iterator<Item = (PoolName, SoftwareVersion)>,
        now: Duration,
    ) {
        self.history.update(registered, now);
    }

    /// Records that a target of this version makes the first event of a stream of this host.
    pub fn record(&mut self, stream: StreamKey, pool: &str, version: &str, now: Duration) {
        let began_at = Arc::new(PoolVersion {
            pool: pool.to_owned(),
            version: version.to_owned(),
        });
        self.insert(
            stream,
            StreamOrigin {
                began_at,
                recorded_at: now,
                is_own: true,
            },
        );
    }

    /// Merges the streams that a peer reports.
    pub fn merge(&mut self, reported: Vec<VersionStreams>, now: Duration) {
        for VersionStreams {
            pool,
            version,
            streams,
        } in reported
        {
            let began_at = Arc::new(PoolVersion { pool, version });
            for stream in streams {
                if self.find(stream, now).is_none() {
                    let origin = StreamOrigin {
                        began_at: Arc::clone(&began_at),
                        recorded_at: now,
                        is_own: false,
                    };
                    self.insert(stream, origin);
                }
            }
        }
    }

    /// Returns the version that began a stream of the pool, if this host remembers it.
    pub fn version_of(&self, stream: StreamKey, pool: &str, now: Duration) -> Option<&str> {
        let origin = self.find(stream, now);
        let origin = origin.filter(|origin| origin.began_at.pool == pool);
        origin.map(|origin| origin.began_at.version.as_str())
    }

    /// Returns the versions that the pool has or had within `period`, sorted.
    pub fn versions(&self, pool: &str, period: Duration, now: Duration) -> Vec<SoftwareVersion> {
        self.history.versions(pool, period, now)
    }

    /// Returns the streams of this host for a peer that got a report at `since`; all of them if
    /// `None`. Streams of pools with one version are left out.
    pub fn own_streams(&self, since: Option<Duration>, now: Duration) -> Vec<VersionStreams> {
        let mut reports: Vec<VersionStreams> = Vec::new();
        let mixed = self.history.mixed_pools(now);
        if mixed.is_empty() {
            return reports;
        }
        let generations = self.generations.iter().filter(|generation| {
            now.saturating_sub(generation.started_at) < RETENTION + GENERATION_TIME
        });
        for (stream, origin) in generations.flat_map(|generation| generation.origins.iter()) {
            let PoolVersion { pool, version } = &*origin.began_at;
            let Ok(index) = mixed.binary_search_by(|(name, _)| name.cmp(pool)) else {
                continue;
            };
            let mixed_since = mixed[index].1;
            let is_due = since.is_none_or(|since| origin.recorded_at.max(mixed_since) >= since);
            if !origin.is_own || !is_due {
                continue;
            }
            let held = reports
                .iter_mut()
                .find(|held| held.pool == *pool && held.version == *version);
            match held {
                Some(held) => held.streams.push(*stream),
                None => reports.push(VersionStreams {
                    pool: pool.clone(),
                    version: version.clone(),
                    streams: vec![*stream],
                }),
            }
        }
        reports
    }

    fn find(&self, stream: StreamKey, now: Duration) -> Option<&StreamOrigin> {
        let generations = self.generations.iter().rev();
        let mut found = generations.filter_map(|generation| generation.origins.get(&stream));
        found.find(|origin| now.saturating_sub(origin.recorded_at) < RETENTION)
    }

    fn insert(&mut self, stream: StreamKey, origin: StreamOrigin) {
        let now = origin.recorded_at;
        let is_over = |generation: &StreamGeneration| {
            now.saturating_sub(generation.started_at) >= RETENTION + GENERATION_TIME
        };
        while self.generations.front().is_some_and(is_over) {
            self.generations.pop_front();
        }
        let is_open = |generation: &StreamGeneration| {
            now.saturating_sub(generation.started_at) < GENERATION_TIME
                && generation.origins.len() < MAX_GENERATION
        };
        if !self.generations.back().is_some_and(is_open) {
            self.generations.push_back(StreamGeneration {
                started_at: now,
                origins: SortedMap::new(),
            });
            if self.generations.len() > MAX_GENERATIONS {
                self.generations.pop_front();
            }
        }
        if let Some(generation) = self.generations.back_mut() {
            generation.origins.insert(stream, origin);
        }
    }
}
