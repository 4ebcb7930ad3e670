//! Stand-ins (test doubles) for the systems around cardamomgw: platform, engine, service and
//! network link.
//!
//! Each is bound to an address and runs until its handle is dropped. Tests use the handle to
//! inject faults and to read recorded executions.

mod caller;
mod engine;
mod http;
mod link;
mod load;
mod platform;
mod service;

pub use caller::AnswerFault;
pub use caller::CallerAnswer;
pub use caller::CallerClient;
pub use caller::CallerConnection;
pub use caller::CallerError;
pub use caller::CallerRequest;
pub use caller::ExpectedAnswer;
pub use caller::check_answer;
pub use caller::new_request_id;
pub use engine::EngineControl;
pub use engine::EngineFaults;
pub use engine::EngineOrder;
pub use engine::EngineServer;
pub use engine::EngineSettings;
pub use engine::token_text;
pub use http::CrashMode;
pub use http::ExecutionRecord;
pub use http::TargetState;
pub use link::LinkControl;
pub use link::LinkMode;
pub use link::LinkServer;
pub use link::PathLink;
pub use link::PathMode;
pub use load::LoadPlan;
pub use load::LoadReport;
pub use load::LoadRun;
pub use platform::HostEntry;
pub use platform::PlatformMode;
pub use platform::PlatformServer;
pub use service::ServiceFaults;
pub use service::ServiceServer;
pub use service::ServiceSettings;
