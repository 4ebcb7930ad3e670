//! Log lines: one JSON object a line.
//!
//! [`StateLog`] writes changes of state on stderr; [`DecisionLog`] writes each
//! decision on standard output, bounded and never waited for.

mod decision_line;
mod decision_log;
mod line_queue;
mod request_timeline;
mod state_change;
mod state_log;

pub use decision_line::DecisionLine;
pub use decision_log::DecisionLog;
pub use line_queue::LineQueue;
pub use request_timeline::RequestTimeline;
pub use state_change::StateChange;
pub use state_log::LogError;
pub use state_log::StateLog;
