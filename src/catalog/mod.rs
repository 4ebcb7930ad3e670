//! Configured routes, target pools and client accounts.
//!
//! A [`RouteCatalog`] is one validated and compiled version of the configuration. It is
//! immutable; a new version replaces it as a whole.

mod client_account;
mod route_catalog;
mod service_route;
mod target_pool;

pub use client_account::ClientAccount;
pub use client_account::TokenRate;
pub use route_catalog::CallerLimits;
pub use route_catalog::CatalogParts;
pub use route_catalog::RouteCatalog;
pub use service_route::CallKind;
pub use service_route::PoolShare;
pub use service_route::ServiceRoute;
pub use target_pool::ColdLimit;
pub use target_pool::TargetPool;
