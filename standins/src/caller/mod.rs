//! A small HTTP/1.1 client that verifies the framing and content of every answer.

mod answer_check;
mod caller_answer;
mod caller_client;
mod caller_connection;
mod caller_request;

pub use answer_check::AnswerFault;
pub use answer_check::ExpectedAnswer;
pub use answer_check::check_answer;
pub use caller_answer::CallerAnswer;
pub use caller_answer::CallerError;
pub use caller_client::CallerClient;
pub use caller_connection::CallerConnection;
pub use caller_request::CallerRequest;
pub use caller_request::new_request_id;
