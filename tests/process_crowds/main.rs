//! Crowds of callers that stop short of the end of their requests, send too much, or send nothing:
//! hosts stay within the memory and the descriptors of their machine, and serve others.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    dead_code,
    unused_imports,
    reason = "fixtures fail by panics and are shared with other tests"
)]

mod caller_crowd;
mod edge_crowds;
mod edge_machine;
mod process_usage;
mod serve_crowds;

#[path = "../../platform/standin/mod.rs"]
mod platform_standin;
#[path = "../soak/raw_link.rs"]
mod raw_link;
#[path = "../soak/soak_host.rs"]
mod soak_host;
#[path = "../support/mod.rs"]
mod support;

use async_std::sync::Mutex;
use async_std::sync::MutexGuard;

static RUNNING_TEST: Mutex<()> = Mutex::new(());

/// Lets one test run at a time: each fills a host's memory.
async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().await
}
