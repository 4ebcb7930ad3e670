//! Fixtures for tests with real `cardamomgw serve` processes.
//!
//! A [`TestFleet`] runs stand-ins of the platform, engines and services inside the test process,
//! hosts as child processes, and links between all of them. Dropping it stops everything.

#![allow(
    clippy::unwrap_used,
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the fixtures, which fail by panicking"
)]

mod fleet_links;
mod fleet_plan;
mod free_port;
mod host_process;
mod process_sockets;
mod raw_bytes;
mod test_callers;
mod test_fleet;
mod test_targets;
mod wait;

pub(crate) use fleet_plan::FleetPlan;
pub(crate) use fleet_plan::TOKEN;
pub(crate) use free_port::free_address;
pub(crate) use host_process::HostProcess;
pub(crate) use process_sockets::socket_owner;
pub(crate) use raw_bytes::RawAnswer;
pub(crate) use raw_bytes::RawCaller;
pub(crate) use raw_bytes::RawTarget;
pub(crate) use raw_bytes::send_raw;
pub(crate) use test_callers::booking;
pub(crate) use test_callers::booking_body;
pub(crate) use test_callers::call;
pub(crate) use test_callers::call_with_timeout;
pub(crate) use test_callers::generate;
pub(crate) use test_callers::spawn_call;
pub(crate) use test_fleet::TestFleet;
pub(crate) use test_fleet::TestHost;
pub(crate) use wait::WAIT_LIMIT;
pub(crate) use wait::wait_for;
pub(crate) use wait::wait_until;
