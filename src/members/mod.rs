//! Which hosts there are: learned from seeds, told on by every host.
//!
//! There is no list of hosts to read. A host calls its seeds, learns of others and
//! gossips with them. In a large fleet [`GroupLayout`] says with whom: members of a group
//! report to its leader, leaders exchange sums. [`GossipSchedule`] says when.

mod gossip_message;
mod gossip_schedule;
mod group_layout;
mod member_table;

pub use gossip_message::GossipMessage;
pub use gossip_message::HeartbeatAge;
pub use gossip_message::HostHash;
pub use gossip_message::MemberRecord;
pub use gossip_message::hash_host;
pub use gossip_schedule::CallInitiator;
pub use gossip_schedule::DuePeer;
pub use gossip_schedule::GossipPeer;
pub use gossip_schedule::GossipSchedule;
pub use gossip_schedule::LoadVersion;
pub use group_layout::GroupLayout;
pub use group_layout::GroupShare;
pub use group_layout::LayoutHost;
pub use group_layout::is_grouped;
pub use member_table::MemberState;
pub use member_table::MemberTable;
