//! Replays a recorded trace against models of the targets, in virtual time.
//!
//! The current policy is the code that the daemon runs. The same trace and seed produce
//! the same output, byte for byte. docs/TRACES.md describes the format.

mod baseline_policy;
mod engine_model;
mod event_queue;
mod fairness;
mod first_policy;
mod load_pattern;
mod offline_bound;
mod prefix_cache;
mod replay_exchange;
mod replay_faults;
mod replay_options;
mod replay_policy;
mod replay_report;
mod replay_run;
mod replay_setup;
mod replay_trace;
mod report_table;
mod service_model;
mod trace_arrival;
mod trace_deployment;
mod trace_generator;
mod trace_header;
mod work_record;

pub use fairness::AccountReport;
pub use fairness::jain_index;
pub use load_pattern::LoadPattern;
pub use offline_bound::offline_bound;
pub use offline_bound::work_cost;
pub use replay_options::ReplayOptions;
pub use replay_options::replay_file;
pub use replay_options::replay_trace;
pub use replay_policy::PolicyKind;
pub use replay_report::GroupReport;
pub use replay_report::PolicyReport;
pub use replay_report::ReplayReport;
pub use replay_report::WasteReport;
pub use replay_trace::ReplayTrace;
pub use replay_trace::TraceError;
pub use report_table::report_table;
pub use trace_arrival::TraceArrival;
pub use trace_deployment::TraceDeployment;
pub use trace_generator::generate_trace;
pub use trace_header::TRACE_FORMAT;
pub use trace_header::TargetPace;
pub use trace_header::TraceAccount;
pub use trace_header::TraceClass;
pub use trace_header::TraceFault;
pub use trace_header::TraceHeader;
pub use trace_header::TraceTarget;
