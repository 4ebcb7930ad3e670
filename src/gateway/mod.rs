//! Request processing in one host: a chain of filters.
//!
//! identify -> classify -> start -> limit -> admit -> claim and connect ->
//! dispatch -> relay. The id is claimed after the request has left the queue: a host that
//! dies has no claims for queued requests, so a resend runs on another host at once.

mod admit_filter;
mod caller_service;
mod claim_filter;
mod classify_filter;
mod host_server;
mod host_state;
mod identify_filter;
mod join_filter;
mod peer_service;
mod relay_filter;
mod request_chain;
mod request_entry;
mod request_meter;
mod request_refusal;
mod stream_relay;

pub(crate) use caller_service::CallerService;
pub(crate) use classify_filter::ClassifiedRequest;
pub use host_server::HostServer;
pub use host_server::serve_host;
pub(crate) use host_state::HostState;
pub(crate) use peer_service::PeerService;
pub(crate) use request_chain::RequestRun;
pub(crate) use request_refusal::RequestRefusal;

#[cfg(test)]
mod tests;
