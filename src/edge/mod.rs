//! A reverse proxy host that routes callers' requests to pools of targets.
//!
//! Each step of a request has its own file: [`caller_connection`] reads it,
//! [`route_filter`] finds its route and account, [`quota_filter`] charges it to the
//! account, [`request_execution`] waits for a target, sends and retries the request,
//! and [`response_relay`] forwards the response. Controllers maintain the state:
//! [`watch_controller`] follows the store, [`gossip_controller`] the other hosts,
//! [`settings_controller`] the settings file, and [`shutdown_controller`] performs the
//! graceful shutdown.

mod caller_connection;
mod caller_limits;
mod caller_session;
mod connection_pool;
mod crash_check;
pub(crate) mod edge_host;
mod edge_metrics;
mod edge_refusal;
mod edge_settings;
mod edge_state;
mod event_splitter;
mod fleet_role;
mod forward_service;
mod forward_table;
mod gossip_builder;
mod gossip_controller;
mod gossip_merge;
mod gossip_service;
mod header_names;
mod load_control;
mod operator_endpoints;
mod part_holders;
mod part_list;
mod part_list_schedule;
mod path_exchange;
mod path_monitor;
mod quota_filter;
mod request_execution;
mod request_forwarding;
mod request_reporting;
mod response_relay;
mod response_sink;
mod response_source;
mod response_writer;
mod route_filter;
mod send_outcome;
mod settings_controller;
mod shutdown_controller;
mod slot_report_exchange;
mod stream_origin;
mod suspect_filter;
mod target_call;
mod target_notices;
mod target_send;
#[cfg(test)]
mod tests;
mod view_fetcher;
mod view_logger;
mod view_refresh;
mod watch_controller;

pub(crate) use edge_host::EdgeDependencies;
pub(crate) use edge_host::EdgeHost;
pub(crate) use edge_settings::EdgeBounds;
pub(crate) use edge_settings::EdgeSettings;
pub(crate) use edge_settings::RuntimeSettings;
pub(crate) use edge_settings::SettingsLoader;
pub(crate) use edge_settings::StartupSettings;
pub(crate) use header_names::HeaderNames;
pub(crate) use load_control::LoadControl;
pub(crate) use part_list::PartList;
pub(crate) use part_list::PartListFormat;
