//! Profiles of random walks.

use crate::model::WalkProfile;
use crate::model::WalkStart;

/// Restarts and stale reads during roster changes.
const RESTARTS: WalkProfile = WalkProfile {
    seats: 3,
    restart: 30,
    publish: 14,
    read: 60,
    stale: 2,
    ..WalkProfile::MIXED
};

/// Rosters published faster than the hosts adopt them.
const ROSTERS: WalkProfile = WalkProfile {
    publish: 30,
    read: 60,
    restart: 2,
    ..WalkProfile::MIXED
};

/// Rosters that shrink to seats that missed messages of the lossy network.
pub(crate) const SHRINKING: WalkProfile = WalkProfile {
    seats: 5,
    steps: 300,
    deliver: 250,
    lose: 120,
    double: 10,
    publish: 16,
    restart: 1,
    read: 50,
    begin: 90,
    work: 200,
    shrink: 1,
    ..WalkProfile::MIXED
};

/// Rosters published while few hosts read them, so that hosts skip some.
pub(crate) const SKIPPING: WalkProfile = WalkProfile {
    seats: 5,
    steps: 450,
    tick: 90,
    read: 10,
    publish: 8,
    stale: 0,
    shrink: 1,
    restart: 0,
    begin: 100,
    work: 250,
    ..WalkProfile::MIXED
};

/// Seats that took part in a change, restart and read the old document.
pub(crate) const RETURNING: WalkProfile = WalkProfile {
    seats: 3,
    start: WalkStart::OneBehind,
    gossip: 10,
    tick: 90,
    steps: 350,
    read: 16,
    publish: 3,
    stale: 2,
    shrink: 100,
    restart: 5,
    begin: 100,
    work: 250,
    ..WalkProfile::MIXED
};

/// Seats that vote for a smaller roster, restart and do not vote for it again.
pub(crate) const REVOTING: WalkProfile = WalkProfile {
    start: WalkStart::LateVote,
    restart: 1,
    shrink: 1,
    ..RETURNING
};

/// All profiles with their names.
pub(crate) const PROFILES: [(&str, WalkProfile); 7] = [
    ("mixed", WalkProfile::MIXED),
    ("restarts", RESTARTS),
    ("rosters", ROSTERS),
    ("shrinking", SHRINKING),
    ("skipping", SKIPPING),
    ("returning", RETURNING),
    ("revoting", REVOTING),
];
