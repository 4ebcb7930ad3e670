//! Load generator that verifies every answer.

mod load_caller;
mod load_plan;
mod load_report;
mod load_run;

pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use load_run::LoadRun;
