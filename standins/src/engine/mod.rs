//! Stand-in for a model engine with continuous batching, a prompt-prefix cache and resumable
//! streams.

mod batch_state;
mod engine_handler;
mod engine_server;
mod engine_settings;
mod engine_shared;
mod generation;
mod load_history;
mod prefix_cache;
mod stream_table;
mod token_stream;

pub use engine_server::EngineServer;
pub use engine_settings::EngineControl;
pub use engine_settings::EngineFaults;
pub use engine_settings::EngineOrder;
pub use engine_settings::EngineSettings;
pub use token_stream::token_text;
