//! Who reaches whom: one table that all links of a fleet go by.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use standins::LinkMode;
use standins::LinkServer;

use super::process_sockets::socket_owner;

/// What happens between two names; everything else is open.
struct LinkRule {
    from: String,
    to: String,
    mode: LinkMode,
}

#[derive(Default)]
struct LinkTable {
    processes: Vec<(u32, String)>,
    rules: Vec<LinkRule>,
}

impl LinkTable {
    /// Returns what happens to a connection from `client` to `to`.
    fn mode(&self, client: SocketAddr, to: &str) -> LinkMode {
        let rules: Vec<&LinkRule> = self.rules.iter().filter(|rule| rule.to == to).collect();
        if rules.is_empty() {
            return LinkMode::Open;
        }
        let processes: Vec<u32> = self.processes.iter().map(|entry| entry.0).collect();
        let Some(owner) = socket_owner(client, &processes) else {
            return LinkMode::Open;
        };
        let from = self.processes.iter().find(|entry| entry.0 == owner);
        let rule = rules
            .iter()
            .find(|rule| from.is_some_and(|entry| entry.1 == rule.from));
        rule.map_or(LinkMode::Open, |rule| rule.mode)
    }
}

/// The table that the links of one fleet share.
#[derive(Clone, Default)]
pub(crate) struct FleetLinks {
    table: Arc<Mutex<LinkTable>>,
}

impl FleetLinks {
    /// Says which process bears a host's name now.
    pub(crate) fn set_process(&self, process: u32, host: &str) {
        let mut table = self.table.lock().unwrap();
        table.processes.retain(|entry| entry.1 != host);
        table.processes.push((process, host.to_owned()));
    }

    /// Sets what happens to connections that `from` opens to `to`.
    pub(crate) fn set_rule(&self, from: &str, to: &str, mode: LinkMode) {
        let mut table = self.table.lock().unwrap();
        table
            .rules
            .retain(|rule| rule.from != from || rule.to != to);
        if mode != LinkMode::Open {
            table.rules.push(LinkRule {
                from: from.to_owned(),
                to: to.to_owned(),
                mode,
            });
        }
    }

    /// Makes a link go by the table, its standing connections too.
    pub(crate) fn apply(&self, link: &LinkServer, to: &str) {
        let table = Arc::clone(&self.table);
        let to = to.to_owned();
        link.set_mode_selector(move |client| table.lock().unwrap().mode(client, &to));
    }
}
