//! cardamomgw: a request scheduler for fleets of unlike model engines and plain services.
//!
//! The daemon is [`cli::run`]; [`HostServer`] is one host of it inside another
//! process. Beside it stand the parts by which hosts act together, for others to
//! embed. They are pure, without network or clock, but for [`peers`]:
//!
//! - [`claim`]: at most one dispatch an id, and the proof that an id did not run.
//! - [`roster`]: which hosts hold seats, and how one list of seats follows another.
//! - [`ConfigTracker`]: which version of a document is in force; versions only rise.
//! - [`peers`]: the protocol between hosts, and the digests that they exchange.
//! - [`policy`]: the decisions under load, one object a host.
//! - [`suspects`]: which requests crash the targets that run them.
//!
//! What these parts are told about, and what reads it:
//!
//! - [`fleet`], [`selector`]: the fleet document, checked and compiled.
//! - [`ids`], [`sorted`], [`errors`]: names, collections and the one list of errors.
//! - [`json`]: the faults of a document, each with its path.
//! - [`clock`]: the two clocks whose values the pure parts are given.
//! - [`settings`]: one host's settings.
//!
//! For tests, benches and tools of this project; others will rarely need them:
//!
//! - [`controllers`]: what keeps the ledger, the rosters and the lists up to date.
//! - [`documents`]: the client of the read-and-watch service of fleet documents.
//! - [`limits`], [`metrics`], [`logs`]: rates of accounts, numbers and log lines.
//! - [`replay`]: recorded traces played against the policy in virtual time.
//! - [`cli`]: the command line.

mod answers;
mod backoff;
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
pub mod sorted;
mod stream;
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
