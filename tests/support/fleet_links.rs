//! Link modes between the processes of a fleet, in one table shared by all links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use standins::LinkMode;
use standins::LinkServer;

use super::process_sockets::socket_owner;

/// Mode of connections from one name to another; pairs without a rule are open.
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
    /// Returns the mode of a connection from the socket `client` to `to`.
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

/// The link table of a fleet.
#[derive(Clone, Default)]
pub(crate) struct FleetLinks {
    table: Arc<Mutex<LinkTable>>,
}

impl FleetLinks {
    /// Registers the current process of a host.
    pub(crate) fn set_process(&self, process: u32, host: &str) {
        let mut table = self.table.lock().unwrap();
        table.processes.retain(|entry| entry.1 != host);
        table.processes.push((process, host.to_owned()));
    }

    /// Sets the mode of connections that `from` opens to `to`.
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

    /// Applies the table to the existing and new connections of the link that leads to `to`.
    pub(crate) fn apply(&self, link: &LinkServer, to: &str) {
        let table = Arc::clone(&self.table);
        let to = to.to_owned();
        link.set_mode_selector(move |client| table.lock().unwrap().mode(client, &to));
    }
}
