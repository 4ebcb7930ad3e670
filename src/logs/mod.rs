//! Logging: one JSON object per line.
//!
//! [`StateLog`] writes state changes to standard error; [`DecisionLog`] writes decisions to
//! standard output through a bounded queue, so that writing never blocks.

mod decision_line;
mod decision_log;
mod line_queue;
mod request_timeline;
mod state_change;
mod state_log;

pub use decision_line::DecisionLine;
pub use decision_line::OriginSource;
pub use decision_log::DecisionLog;
pub use line_queue::LineQueue;
pub use request_timeline::RequestTimeline;
pub use state_change::StateChange;
pub use state_log::LogError;
pub use state_log::StateLog;
