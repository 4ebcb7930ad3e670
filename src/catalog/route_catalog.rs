//! One version of all routes, pools and accounts, with indexes.

use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::ClientAccount;
use super::ServiceRoute;
use super::TargetPool;
use crate::ids::CatalogVersion;
use crate::peers::pack_value;

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits used until a configuration is known. They are common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Contents of a catalog as read from its source, in any order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogParts {
    /// Version of the catalog, which only increases.
    pub version: CatalogVersion,
    /// All routes.
    pub routes: Vec<ServiceRoute>,
    /// All pools.
    pub pools: Vec<TargetPool>,
    /// All accounts; if there are none, no request needs a key.
    pub accounts: Vec<ClientAccount>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

/// A compiled version of the catalog.
#[derive(Clone, Debug)]
pub struct RouteCatalog {
    parts: CatalogParts,
    /// Each key with the index of its account, sorted by key.
    keys: Vec<(String, usize)>,
    /// Encoded contents for peers, created on the first request.
    encoded_parts: OnceLock<Bytes>,
}

impl RouteCatalog {
    /// Sorts the contents and builds the indexes.
    pub fn compile(mut parts: CatalogParts) -> Self {
        parts
            .routes
            .sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
        parts
            .pools
            .sort_by(|left, right| left.name.cmp(&right.name));
        let mut keys: Vec<(String, usize)> = parts
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        keys.sort();
        Self {
            parts,
            keys,
            encoded_parts: OnceLock::new(),
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> CatalogVersion {
        self.parts.version
    }

    /// Returns the encoded contents for a peer that requests them.
    pub(crate) fn encoded_parts(&self) -> &Bytes {
        self.encoded_parts.get_or_init(|| pack_value(&self.parts))
    }

    /// Returns the limits on the requests and connections of callers.
    pub const fn limits(&self) -> CallerLimits {
        self.parts.limits
    }

    /// Returns the longest time limit of a route; zero if none has one.
    pub(crate) fn longest_timeout(&self) -> Duration {
        let timeouts = self.parts.routes.iter().filter_map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns whether requests need a key unless their route is public.
    pub fn needs_keys(&self) -> bool {
        !self.parts.accounts.is_empty()
    }

    /// Returns the pool of this name.
    pub fn find_pool(&self, name: &str) -> Option<&TargetPool> {
        let pools = &self.parts.pools;
        let index = pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name))
            .ok()?;
        Some(&pools[index])
    }

    /// Returns the account that holds `key`.
    pub fn find_account(&self, key: &str) -> Option<&ClientAccount> {
        let index = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key))
            .ok()?;
        Some(&self.parts.accounts[self.keys[index].1])
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// Prefixes end with a slash, so each candidate is the path up to one of its slashes. The
    /// longest candidate is tried first.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&ServiceRoute> {
        let routes = &self.parts.routes;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let wanted = (host, &path[..=slash]);
            let found = routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&wanted)
            });
            if let Ok(index) = found {
                return Some(&routes[index]);
            }
            end = slash;
        }
        None
    }
}
