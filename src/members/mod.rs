//! Which hosts there are: learned from seeds, told on by every host.
//!
//! There is no list of hosts to read. A host calls its seeds, is told of others,
//! calls them, and tells all of them of itself several times a second.

mod host_news;
mod member_table;

pub use host_news::HostNews;
pub use host_news::MemberNote;
pub use host_news::NewsReceipt;
pub use member_table::MemberState;
pub use member_table::MemberTable;
