//! The signals that a running host handles.

mod process_signals;

pub use process_signals::ProcessSignal;
pub use process_signals::ProcessSignals;
