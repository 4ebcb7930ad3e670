//! TCP proxies that can cut, delay or silence connections, or refuse to establish them.

mod link_connection;
mod link_server;
mod path_link;

pub use link_server::LinkControl;
pub use link_server::LinkMode;
pub use link_server::LinkServer;
pub use path_link::PathLink;
pub use path_link::PathMode;
