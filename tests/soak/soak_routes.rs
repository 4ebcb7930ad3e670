//! Routes and pools of the soak's configuration.

/// A route of the soak's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoakRoute {
    /// A plain request that may be executed only once.
    Book,
    /// A plain request that may be retried.
    Look,
    /// A stream that may be executed only once.
    Talk,
    /// A stream that another target may resume.
    Tell,
}

impl SoakRoute {
    /// All routes.
    pub(crate) const ALL: [Self; 4] = [Self::Book, Self::Look, Self::Talk, Self::Tell];
    /// The pools.
    pub(crate) const POOLS: [&'static str; 2] = ["desk", "engine"];
    /// Name of the account with a quota.
    pub(crate) const LIMITED_ACCOUNT: &'static str = "spender";
    /// Quota of [`SoakRoute::LIMITED_ACCOUNT`], in requests per second.
    pub(crate) const LIMITED_RATE: f64 = 10.0;

    /// Returns the path of the route's requests.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Book => "/book/x",
            Self::Look => "/look/x",
            Self::Talk => "/talk/x",
            Self::Tell => "/tell/x",
        }
    }

    /// Returns the route of a path.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|route| route.path() == path)
    }

    /// Returns the pool that executes the route's requests.
    pub(crate) const fn pool(self) -> &'static str {
        match self {
            Self::Book | Self::Look => Self::POOLS[0],
            Self::Talk | Self::Tell => Self::POOLS[1],
        }
    }

    /// Returns whether a request may be executed more than once.
    pub(crate) const fn is_retryable(self) -> bool {
        matches!(self, Self::Look | Self::Tell)
    }

    /// Returns whether the answer is a stream.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::Tell)
    }
}
