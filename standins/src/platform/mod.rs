//! Stand-in for the configuration platform: versioned documents with long-poll watches, and a
//! host list that may be out of date.

mod platform_server;
mod platform_state;

pub use platform_server::PlatformServer;
pub use platform_state::HostEntry;
pub use platform_state::PlatformMode;
