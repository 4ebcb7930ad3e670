//! Identifiers: type aliases for names, and the request id with its time.

mod request_id;

pub use request_id::RequestId;
pub use request_id::RequestIdError;

/// The name of an entry host, unique in the fleet.
pub type HostName = String;
/// The name of a target: a model engine or a plain service.
pub type TargetName = String;
/// The name of a client account.
pub type AccountName = String;
/// The name of a request class.
pub type ClassName = String;
/// The name of an availability zone.
pub type ZoneName = String;
/// The version of a fleet document; it only rises.
pub type FleetVersion = u64;
/// The number of a roster; it only rises.
pub type RosterNumber = u64;
/// One life of a process: random at its start, so two lives never share it.
pub type IncarnationId = u64;
/// Which try of a request; starts at 1 and rises only after `not-run`.
pub type AttemptNumber = u32;
/// The urgency of work: 0 is the highest tier.
pub type TierRank = u8;
/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;
/// A count of tokens.
pub type TokenCount = u32;
/// The name of a pool of targets that serve the same work.
pub type PoolName = String;
/// The version of a route catalog; it only rises.
pub type CatalogVersion = u64;
/// A revision of the store that the configuration is read from; it only rises.
pub type StoreRevision = u64;
