//! One version of all routes, pools and accounts, with its indexes.

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

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds until a configuration is known: the usual bounds of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The parts of a catalog as its source gives them, in any order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogParts {
    /// The version; it only rises.
    pub version: CatalogVersion,
    /// All routes.
    pub routes: Vec<ServiceRoute>,
    /// All pools.
    pub pools: Vec<TargetPool>,
    /// All accounts; none means that no request needs a key.
    pub accounts: Vec<ClientAccount>,
    /// The bounds of callers.
    pub limits: CallerLimits,
}

/// One version of the whole.
#[derive(Clone, Debug)]
pub struct RouteCatalog {
    parts: CatalogParts,
    /// Each key with the place of its account, sorted by key.
    keys: Vec<(String, usize)>,
    /// The parts as peers get them, once one has asked.
    encoded_parts: OnceLock<Bytes>,
}

impl RouteCatalog {
    /// Sorts the parts and builds the indexes.
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

    /// Returns the parts as a package for a peer that asks for them.
    pub(crate) fn encoded_parts(&self) -> &Bytes {
        self.encoded_parts.get_or_init(|| pack_value(&self.parts))
    }

    /// Returns the bounds of callers.
    pub const fn limits(&self) -> CallerLimits {
        self.parts.limits
    }

    /// Tells whether requests need a key unless their route is public.
    pub fn needs_keys(&self) -> bool {
        !self.parts.accounts.is_empty()
    }

    /// Returns a pool.
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

    /// Returns the route of `host` whose prefix is the longest that begins `path`.
    ///
    /// Prefixes end with a slash, so each candidate is the path up to one of its
    /// slashes; the longest is tried first.
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
