//! HTTP server, body types and execution log shared by the stand-ins.

mod channel_body;
mod execution_log;
mod faulty_body;
mod http_server;
mod replies;

pub(crate) use channel_body::ChannelBody;
pub(crate) use execution_log::ExecutionLog;
pub use execution_log::ExecutionRecord;
pub use execution_log::TargetState;
pub(crate) use execution_log::unix_now;
pub(crate) use faulty_body::BodyEnding;
pub(crate) use faulty_body::FaultyBody;
pub use http_server::CrashMode;
pub(crate) use http_server::HttpServer;
pub(crate) use replies::header_text;
pub(crate) use replies::json_reply;
pub(crate) use replies::status_reply;
