//! Bucket boundaries of the histograms, in seconds.
//!
//! The latency goals are boundaries (1.2 s to the first token, 78 ms between tokens), so
//! that the share of requests within a goal can be read exactly, without interpolation.

/// Time in the queue, up to the longest deadlines.
pub(super) const QUEUE_TIME: &[f64] = &[
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Time from the request's arrival to its first token.
pub(super) const FIRST_TOKEN_TIME: &[f64] = &[
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0,
];

/// Time between two tokens of a stream.
pub(super) const TOKEN_GAP: &[f64] = &[
    0.005, 0.01, 0.02, 0.04, 0.06, 0.078, 0.1, 0.15, 0.25, 0.5, 1.0, 4.0,
];

/// Time from the request's arrival to the end of its answer.
pub(super) const WHOLE_TIME: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0,
];
