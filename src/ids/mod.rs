//! Identifiers: type aliases for names and versions, and the request id.

mod request_id;
mod store_revision;

pub use request_id::RequestId;
pub use request_id::RequestIdError;
pub use store_revision::StoreEra;
pub use store_revision::StoreRevision;

/// The name of an entry host, unique in the fleet.
pub type HostName = String;
/// The name of a target: a model engine or a plain service.
pub type TargetName = String;

/// The version of a target's software, as it states it. Versions have no order.
pub type SoftwareVersion = String;
/// The name of a client account.
pub type AccountName = String;
/// The name of a request class.
pub type ClassName = String;
/// The name of an availability zone.
pub type ZoneName = String;
/// The version of a fleet document; never decreases.
pub type FleetVersion = u64;
/// The number of a roster; never decreases.
pub type RosterNumber = u64;
/// Identifies one run of a process: random at its start, so that two runs differ.
pub type IncarnationId = u64;
/// The number of an attempt at a request; starts at 1 and increases only after `not-run`.
pub type AttemptNumber = u32;
/// The priority tier of work; 0 is the most urgent.
pub type TierRank = u8;
/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;
/// A count of tokens.
pub type TokenCount = u32;
/// The name of a pool of interchangeable targets.
pub type PoolName = String;
/// The version of a route catalog; never decreases.
pub type CatalogVersion = u64;
