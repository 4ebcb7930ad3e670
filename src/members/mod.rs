//! Fleet membership by gossip.
//!
//! There is no central list of hosts. A host calls its seed nodes, learns about other hosts
//! and gossips with them. In a large fleet, [`GroupLayout`] determines the peers: members of
//! a group report to its leader, and leaders exchange totals. [`GossipSchedule`] determines
//! when to call them.

mod gossip_message;
mod gossip_schedule;
mod group_layout;
mod heartbeat_digest;
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
pub use heartbeat_digest::HeartbeatDigest;
pub(crate) use member_table::MAX_CHANGED_RECORDS;
pub use member_table::MemberState;
pub use member_table::MemberTable;
