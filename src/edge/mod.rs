//! A host that serves routes: callers on one side, pools of targets on the other.
//!
//! A request goes through a chain, one file a step: [`caller_link`] reads it,
//! [`route_filter`] finds its route and account, [`quota_filter`] counts it,
//! [`request_run`] waits for a target, sends and resends, [`answer_relay`] passes
//! the answer on. Controllers keep the state: [`watch_controller`] follows the
//! store, [`gossip_controller`] the other hosts, [`settings_controller`] the settings,
//! [`leave_controller`] the end of the process.

mod answer_relay;
mod answer_writer;
mod caller_link;
mod caller_session;
mod crash_check;
mod deadline_history;
pub(crate) mod edge_host;
mod edge_metrics;
mod edge_refusal;
mod edge_settings;
mod edge_state;
mod event_splitter;
mod fleet_role;
mod gossip_controller;
mod gossip_merge;
mod gossip_service;
mod header_dialect;
mod leave_controller;
mod local_digest;
mod operator_pages;
mod quota_filter;
mod request_run;
mod route_filter;
mod run_report;
mod send_end;
mod settings_controller;
mod target_call;
mod target_links;
mod target_send;
#[cfg(test)]
mod tests;
mod view_fetcher;
mod view_logger;
mod watch_controller;

pub(crate) use edge_host::EdgeDependencies;
pub(crate) use edge_host::EdgeHost;
pub(crate) use edge_host::EdgeSignals;
pub(crate) use edge_settings::EdgeBounds;
pub(crate) use edge_settings::EdgeSettings;
pub(crate) use edge_settings::SettingsLoader;
pub(crate) use header_dialect::HeaderDialect;
