//! What callers ask for.

/// A route of the soak's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoakRoute {
    /// May run once.
    Book,
    /// May be asked again.
    Look,
    /// A stream that may run once.
    Talk,
    /// A stream that another target may go on with.
    Tell,
}

impl SoakRoute {
    /// All routes.
    pub(crate) const ALL: [Self; 4] = [Self::Book, Self::Look, Self::Talk, Self::Tell];
    /// The pools.
    pub(crate) const POOLS: [&'static str; 2] = ["desk", "engine"];
    /// The account with an allowance, and how much that is, in requests a second.
    pub(crate) const SPENDER: &'static str = "spender";
    /// See [`SoakRoute::SPENDER`].
    pub(crate) const SPENDER_RATE: f64 = 10.0;

    /// Returns the path of a request.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Book => "/book/x",
            Self::Look => "/look/x",
            Self::Talk => "/talk/x",
            Self::Tell => "/tell/x",
        }
    }

    /// Returns the route of a path.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|route| route.path() == path)
    }

    /// Returns the pool that may run it.
    pub(crate) const fn pool(self) -> &'static str {
        match self {
            Self::Book | Self::Look => Self::POOLS[0],
            Self::Talk | Self::Tell => Self::POOLS[1],
        }
    }

    /// Tells whether it may run more than once.
    pub(crate) const fn is_repeatable(self) -> bool {
        matches!(self, Self::Look | Self::Tell)
    }

    /// Tells whether its answer is a stream.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::Tell)
    }
}
