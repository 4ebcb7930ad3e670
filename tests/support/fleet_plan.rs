//! Composition of a test fleet and its first configuration document.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomgw::fleet::ClassRule;
use cardamomgw::fleet::ClientAccount;
use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::FleetLimits;
use cardamomgw::fleet::FleetTarget;
use cardamomgw::fleet::RouteRule;
use cardamomgw::fleet::SeatAddress;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::sorted::SortedMap;
use sha2::Digest;
use sha2::Sha256;
use standins::EngineSettings;
use standins::ServiceSettings;

/// Bearer token of the only account.
pub(crate) const TOKEN: &str = "harmattan-token";
/// Availability zones, assigned round robin.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Clock skew limit; small since all processes share one clock.
pub(crate) const CLOCK_SKEW: Duration = Duration::from_millis(50);

/// Deadline of each class. It exceeds the wait limit of the tests, so that an answer that is
/// withheld until the deadline counts as missing.
const CLASS_DEADLINE: Duration = Duration::from_secs(120);

/// Numbers and settings of the parts of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) engine: EngineSettings,
    pub(crate) service: ServiceSettings,
    pub(crate) slots: u32,
    /// Whether hosts reach targets through links. A link accepts connections even if its target is
    /// down, so tests of crashed targets disable them.
    pub(crate) targets_behind_links: bool,
    /// Whether each host records a trace.
    pub(crate) records_traces: bool,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 2,
            services: 1,
            engine: EngineSettings::default(),
            service: ServiceSettings::default(),
            slots: 16,
            records_traces: false,
            targets_behind_links: true,
        }
    }
}

/// Returns the zone of the host or target with this number.
pub(crate) fn zone(number: usize) -> String {
    ZONES[number % ZONES.len()].to_owned()
}

/// Returns the first configuration document of a fleet.
pub(crate) fn first_document(seats: Vec<SeatAddress>, targets: Vec<FleetTarget>) -> FleetDocument {
    FleetDocument {
        version: 1,
        edited_from: None,
        roster: SeatRoster { number: 1, seats },
        former: None,
        former_lost: false,
        targets,
        classes: classes(),
        accounts: vec![account("harmattan", TOKEN)],
        limits: FleetLimits {
            clock_skew_ms: CLOCK_SKEW.as_millis() as u64,
            ..FleetLimits::default()
        },
    }
}

/// Returns a target's entry in a document.
pub(crate) fn target(
    name: String,
    kind: TargetKind,
    address: SocketAddr,
    number: usize,
    slots: u32,
) -> FleetTarget {
    FleetTarget {
        name,
        kind,
        address,
        availability_zone: zone(number),
        labels: SortedMap::new(),
        slots,
        state: TargetState::Live,
        accepts: String::new(),
    }
}

fn account(name: &str, token: &str) -> ClientAccount {
    let digest = Sha256::digest(token.as_bytes());
    ClientAccount {
        name: name.to_owned(),
        token_sha256: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        labels: SortedMap::new(),
        weight: 1,
        requests_per_second: None,
        burst: None,
    }
}

/// A class of non-idempotent bookings, and three classes of generations, one for each tier.
fn classes() -> Vec<ClassRule> {
    let generate = "/v1/generate";
    vec![
        class("slot", "/v1/bookings", "kind=service", 0, false),
        class("verdict", generate, "kind=engine", 0, true),
        class("briefing", generate, "kind=engine", 1, true),
        class("digest", generate, "kind=engine", 2, true),
    ]
}

fn class(name: &str, path: &str, targets: &str, tier: u8, idempotent: bool) -> ClassRule {
    ClassRule {
        name: name.to_owned(),
        labels: SortedMap::new(),
        routes: vec![RouteRule {
            method: "POST".to_owned(),
            path: path.to_owned(),
        }],
        targets: targets.to_owned(),
        tier,
        idempotent,
        deadline_ms: CLASS_DEADLINE.as_millis() as u64,
        expected_prompt_tokens: 0,
        expected_output_tokens: 0,
        max_body_bytes: 1 << 20,
    }
}
