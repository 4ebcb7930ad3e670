//! A TCP proxy that can cut, delay or silence connections.

mod link_connection;
mod link_server;

pub use link_server::LinkControl;
pub use link_server::LinkMode;
pub use link_server::LinkServer;
