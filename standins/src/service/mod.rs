//! Stand-in for a plain service, which echoes each call and records every execution.

mod service_server;
mod service_settings;

pub use service_server::ServiceServer;
pub use service_settings::ServiceFaults;
pub use service_settings::ServiceSettings;
