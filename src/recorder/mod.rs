//! Records the requests of one host as a trace for `replay`.

mod trace_recorder;

pub(crate) use trace_recorder::RecordedRequest;
pub(crate) use trace_recorder::TraceRecorder;
