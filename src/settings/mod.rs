//! The settings file of a host.

mod host_settings;
mod settings_checks;
mod settings_parser;

pub use host_settings::DEFAULT_SETTINGS;
pub use host_settings::HostSettings;
pub use host_settings::LogLevel;
pub use settings_checks::settings_warnings;
pub use settings_parser::parse_settings;
pub use settings_parser::read_settings;
