//! The status of a host, served at `/status`.

use serde::Serialize;

use crate::clock::boot_now;
use crate::controllers::TargetStatus;
use crate::gateway::HostState;
use crate::ids::AccountName;
use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::RosterNumber;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

/// The status of a host, as served at `/status`.
#[derive(Debug, Serialize)]
pub(crate) struct HostStatus {
    host: HostName,
    incarnation: IncarnationId,
    ready: bool,
    unready_reason: Option<String>,
    leaving: bool,
    configuration: ConfigStatus,
    roster: RosterStatus,
    peers: Vec<HostName>,
    targets: Vec<TargetStatus>,
    waiting: SortedMap<TierRank, u32>,
    running: SortedMap<TierRank, u32>,
    answers_in_flight: usize,
    answers_kept: usize,
}

/// The state of the configuration.
#[derive(Debug, Serialize)]
struct ConfigStatus {
    version: Option<FleetVersion>,
    digest: Option<String>,
    age_ms: Option<u64>,
    accounts: Vec<AccountName>,
    last_refused: Option<String>,
}

/// The state of the roster.
#[derive(Debug, Serialize)]
struct RosterStatus {
    active: Option<RosterNumber>,
    newest: Option<RosterNumber>,
    /// Whether this host's seat may vote on claims.
    voiced: bool,
    remembered_claims: usize,
}

impl HostStatus {
    /// Collects the status of a host.
    pub(crate) fn collect(host: &HostState) -> Self {
        let (waiting, running) = host.work.counts();
        let (answers_in_flight, answers_kept) = host.answers.counts();
        let unready_reason = host.unready_reason();
        Self {
            host: host.host.clone(),
            incarnation: host.incarnation,
            ready: unready_reason.is_none(),
            unready_reason,
            leaving: host.drain.is_leaving(),
            configuration: config_status(host),
            roster: roster_status(host),
            peers: host.mesh.connected_peers(),
            targets: host.targets.statuses(),
            waiting,
            running,
            answers_in_flight,
            answers_kept,
        }
    }
}

fn config_status(host: &HostState) -> ConfigStatus {
    let view = host.view();
    let accounts = view.as_ref().map(|view| {
        view.accounts()
            .iter()
            .map(|account| account.account.name.clone())
            .collect()
    });
    ConfigStatus {
        version: view.as_ref().map(|view| view.document().version),
        digest: view.as_ref().map(|view| to_hex(view.digest())),
        age_ms: host
            .config
            .view_age(boot_now())
            .map(|age| age.as_millis() as u64),
        accounts: accounts.unwrap_or_default(),
        last_refused: host.config.last_refusal(),
    }
}

fn roster_status(host: &HostState) -> RosterStatus {
    let register = host.claims.register();
    let roster = register.roster();
    RosterStatus {
        active: roster.active_tag().map(|tag| tag.number),
        newest: roster.newest().map(|tag| tag.number),
        voiced: roster.voting_range().is_some(),
        remembered_claims: register.remembered(),
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
