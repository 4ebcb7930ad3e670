//! cardamomgw: a request scheduler for heterogeneous fleets of model engines and plain
//! services.
//!
//! The daemon is [`cli::run`]; [`HostServer`] embeds one of its hosts in another
//! process. The coordination protocols between hosts can be embedded separately. Except
//! for [`peers`], they are pure and use neither network nor clock:
//!
//! - [`claim`]: at most one dispatch per request id, and proof that an id did not run.
//! - [`roster`]: which hosts hold seats, and how one roster succeeds another.
//! - [`ConfigTracker`]: which version of a document is in force; versions only increase.
//! - [`peers`]: the protocol between hosts and the digests that they exchange.
//! - [`capacity`]: what each target handles well, learned from its answers.
//! - [`policy`]: scheduling decisions under load, one object per host.
//! - [`poison`]: which requests crash the targets that run them.
//!
//! The data types that these modules use, and their parsers:
//!
//! - [`fleet`], [`selector`]: the fleet document, validated and compiled.
//! - [`ids`], [`sorted`], [`errors`]: identifiers, collections and the error kinds.
//! - [`json`]: the faults of a document, each with its path.
//! - [`clock`]: the two clocks that provide times to the pure modules.
//! - [`settings`]: one host's settings.
//!
//! For tests, benchmarks and tools of this project, and rarely needed elsewhere:
//!
//! - [`controllers`]: tasks that keep the configuration, the rosters and the lists up to date.
//! - [`documents`]: client for the read-and-watch service of fleet documents.
//! - [`limits`], [`metrics`], [`logs`]: account rates, metrics and log lines.
//! - [`replay`]: replay of recorded traces against the policy in virtual time.
//! - [`cli`]: the command line.

mod answers;
mod backoff;
pub mod capacity;
pub mod catalog;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod controllers;
pub mod dispatch;
pub mod documents;
mod edge;
pub mod errors;
pub mod fleet;
mod gateway;
mod http;
pub mod ids;
pub mod json;
pub mod limits;
pub mod logs;
pub mod members;
pub mod metrics;
mod operators;
pub mod peers;
#[path = "../platform/mod.rs"]
mod platform;
pub mod poison;
pub mod policy;
pub mod quota;
mod recorder;
pub mod replay;
pub mod roster;
pub mod selector;
pub mod settings;
mod signals;
pub mod sorted;
mod stream;
pub mod streams;
pub mod view;
mod wire;

pub use controllers::CompiledCopy;
pub use controllers::ConfigEntry;
pub use controllers::ConfigRefusal;
pub use controllers::ConfigSource;
pub use controllers::ConfigTracker;
pub use controllers::OfferOutcome;
pub use controllers::RosterAdmission;
pub use gateway::HostServer;
pub use gateway::serve_host;
pub use signals::ProcessSignal;
pub use signals::ProcessSignals;
