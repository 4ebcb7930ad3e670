//! What operators configure of routes: where a request goes, for whom, how fast.
//!
//! A [`RouteCatalog`] is one version of the whole, checked and compiled; it is
//! replaced whole and never changed in place.

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
