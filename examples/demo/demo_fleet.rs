//! The demo's fleet: stand-ins, hosts and their configuration document.

use std::error::Error;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use async_std::task::JoinHandle;
use cardamomgw::HostServer;
use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::TargetState;
use cardamomgw::fleet::parse_document;
use cardamomgw::settings::HostSettings;
use cardamomgw::settings::LogLevel;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use standins::CallerClient;
use standins::CallerRequest;
use standins::EngineServer;
use standins::EngineSettings;
use standins::ExecutionRecord;
use standins::PlatformServer;
use standins::ServiceServer;
use standins::ServiceSettings;
use standins::new_request_id;

use crate::demo_output::CallRecord;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SCOPE: &str = "demo";
const TOKEN: &str = "a-token-of-the-demo";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Time limit for any wait in the demo.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Clock skew limit; small since all hosts share one clock.
const CLOCK_SKEW_MS: u64 = 50;
/// Concurrent requests per engine, over all hosts.
pub(crate) const ENGINE_SLOTS: u32 = 6;

/// A kind of request that the demo sends.
#[derive(Clone, Copy)]
pub(crate) struct DemoCall {
    pub(crate) label: &'static str,
    pub(crate) class: &'static str,
    pub(crate) tier: u8,
    pub(crate) tokens: u32,
}

/// A non-idempotent booking.
pub(crate) const BOOKING: DemoCall = call("aircraft booking", "booking", 0, 0);
/// A short urgent generation.
pub(crate) const WEATHER: DemoCall = call("weather check", "weather", 0, 8);
/// A generation of normal priority.
pub(crate) const CARGO: DemoCall = call("cargo answer", "cargo", 1, 40);
/// A long generation.
pub(crate) const BRIEFING: DemoCall = call("manifest briefing", "briefing", 2, 120);

/// A generation that takes several seconds.
pub(crate) const LONG_BRIEFING: DemoCall = call("long briefing", "briefing", 2, 1000);

const fn call(label: &'static str, class: &'static str, tier: u8, tokens: u32) -> DemoCall {
    DemoCall {
        label,
        class,
        tier,
        tokens,
    }
}

/// The demo's fleet.
pub(crate) struct DemoFleet {
    pub(crate) platform: PlatformServer,
    pub(crate) engines: Vec<EngineServer>,
    pub(crate) service: ServiceServer,
    pub(crate) hosts: Vec<(String, HostServer)>,
    pub(crate) document: FleetDocument,
}

impl DemoFleet {
    /// Starts the fleet and waits until each host is ready.
    pub(crate) async fn start() -> Result<Self, Box<dyn Error>> {
        let platform = PlatformServer::bind(ANY_PORT).await?;
        let engines = vec![start_engine(400.0).await?, start_engine(200.0).await?];
        let service = ServiceServer::bind(ANY_PORT, ServiceSettings::default()).await?;
        let mut hosts = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            let name = format!("entry-{}", number + 1);
            let settings = host_settings(&name, zone, platform.address());
            hosts.push((name, HostServer::open(&settings).await?));
        }
        let text = initial_document(&hosts, &engines, &service).to_string();
        let document = parse_document(&text).map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        })?;
        let fleet = Self {
            platform,
            engines,
            service,
            hosts,
            document,
        };
        fleet.publish()?;
        fleet.wait_ready().await?;
        // Seats answer only for request ids generated after they started, plus the clock skew.
        task::sleep(Duration::from_millis(2 * CLOCK_SKEW_MS)).await;
        Ok(fleet)
    }

    fn publish(&self) -> io::Result<()> {
        self.platform.publish(SCOPE, &self.document)
    }

    async fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        wait_for("the hosts to be ready", || {
            let reasons = self.hosts.iter().map(|(_, host)| host.unready_reason());
            reasons.flatten().next().is_none()
        })
        .await
    }

    /// Publishes a changed document and returns the time until it is in force on every host.
    pub(crate) async fn edit(
        &mut self,
        edit: impl FnOnce(&mut FleetDocument),
    ) -> Result<Duration, Box<dyn Error>> {
        edit(&mut self.document);
        self.document.version += 1;
        let published = Instant::now();
        self.publish()?;
        let version = Some(self.document.version);
        wait_for("the new document", || {
            self.hosts
                .iter()
                .all(|(_, host)| host.version_in_force() == version)
        })
        .await?;
        Ok(published.elapsed())
    }

    /// Marks an engine as leaving in the document, or as live again.
    pub(crate) async fn set_engine_state(
        &mut self,
        engine: usize,
        state: TargetState,
    ) -> Result<Duration, Box<dyn Error>> {
        self.edit(|document| document.targets[engine].state = state)
            .await
    }

    /// Starts a call through a host.
    pub(crate) fn spawn_call(
        &self,
        host: usize,
        call: DemoCall,
        id: &str,
    ) -> JoinHandle<CallRecord> {
        let (name, server) = &self.hosts[host];
        let (name, address) = (name.clone(), server.caller_address());
        let request = call.request(id);
        let id = id.to_owned();
        task::spawn(async move {
            let began = Instant::now();
            let answer = CallerClient::new(WAIT_LIMIT).call(address, &request).await;
            CallRecord {
                id,
                label: call.label,
                tier: call.tier,
                host: name,
                elapsed: began.elapsed(),
                answer,
            }
        })
    }

    /// Starts a call and returns once a target runs it.
    pub(crate) async fn spawn_running_call(
        &self,
        host: usize,
        call: DemoCall,
        id: &str,
    ) -> Result<JoinHandle<CallRecord>, Box<dyn Error>> {
        let running = self.spawn_call(host, call, id);
        wait_for("the call to run", || self.execution_count(id) > 0).await?;
        Ok(running)
    }

    /// Makes calls concurrently and waits for all of them.
    pub(crate) async fn call_all(&self, calls: &[(usize, DemoCall)]) -> Vec<CallRecord> {
        let started: Vec<JoinHandle<CallRecord>> = calls
            .iter()
            .map(|(host, call)| self.spawn_call(*host, *call, &new_request_id()))
            .collect();
        let mut records = Vec::new();
        for call in started {
            records.push(call.await);
        }
        records
    }

    /// Returns the name of the target that ran a request, or a dash.
    pub(crate) fn executing_target(&self, id: &str) -> String {
        let ran = |records: Vec<ExecutionRecord>| records.iter().any(|record| record.id == id);
        let engine = self.engines.iter().position(|e| ran(e.executions()));
        match engine {
            Some(number) => format!("engine-{}", number + 1),
            None if ran(self.service.executions()) => "service-1".to_owned(),
            None => "-".to_owned(),
        }
    }

    /// Returns all executions that started on any target.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        let mut records = self.service.executions();
        for engine in &self.engines {
            records.extend(engine.executions());
        }
        records
    }

    /// Returns how many times a request ran.
    pub(crate) fn execution_count(&self, id: &str) -> usize {
        let records = self.executions();
        records.iter().filter(|record| record.id == id).count()
    }
}

impl DemoCall {
    fn request(self, id: &str) -> CallerRequest {
        let request = match self.tokens {
            0 => {
                CallerRequest::new("POST", "/v1/bookings").with_body(format!("{{\"id\":\"{id}\"}}"))
            }
            tokens => CallerRequest::generate(&format!("{} {id}", self.label), tokens, true),
        };
        request.with_token(TOKEN).with_id(id).with_class(self.class)
    }
}

/// Polls until a condition is true.
async fn wait_for(label: &str, condition: impl Fn() -> bool) -> Result<(), Box<dyn Error>> {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > WAIT_LIMIT {
            return Err(format!("timed out waiting for {label}").into());
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn start_engine(tokens_per_second: f64) -> io::Result<EngineServer> {
    let settings = EngineSettings {
        tokens_per_second,
        slots: ENGINE_SLOTS,
        ..EngineSettings::default()
    };
    EngineServer::bind(ANY_PORT, settings).await
}

fn host_settings(name: &str, zone: &str, platform: SocketAddr) -> HostSettings {
    HostSettings {
        host: name.to_owned(),
        availability_zone: zone.to_owned(),
        first_start: true,
        caller_address: ANY_PORT,
        peer_address: ANY_PORT,
        operator_address: ANY_PORT,
        platform_addresses: vec![platform],
        scope: SCOPE.to_owned(),
        peer_addresses: Vec::new(),
        peer_key: "the key of the demo".to_owned(),
        log_level: LogLevel::Error,
        memory_mb: 128,
        trace_file: None,
    }
}

fn initial_document(
    hosts: &[(String, HostServer)],
    engines: &[EngineServer],
    service: &ServiceServer,
) -> Value {
    let seats: Vec<Value> = hosts
        .iter()
        .zip(ZONES)
        .map(|((name, host), zone)| {
            json!({"host": name, "address": host.peer_address(), "availability_zone": zone})
        })
        .collect();
    let hash = Sha256::digest(TOKEN.as_bytes());
    let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    json!({
        "version": 1,
        "roster": {"number": 1, "seats": seats},
        "targets": [
            target("engine-1", "engine", engines[0].address(), "zone-a", "g2"),
            target("engine-2", "engine", engines[1].address(), "zone-b", "g1"),
            target("service-1", "service", service.address(), "zone-c", "none"),
        ],
        "classes": [
            class(BOOKING, "/v1/bookings", "kind=service", false),
            class(WEATHER, "/v1/generate", "kind=engine", true),
            class(CARGO, "/v1/generate", "kind=engine", true),
            class(BRIEFING, "/v1/generate", "kind=engine", true),
        ],
        "accounts": [{"name": "dispatch", "token_sha256": hash}],
        "limits": {"clock_skew_ms": CLOCK_SKEW_MS},
    })
}

fn target(name: &str, kind: &str, address: SocketAddr, zone: &str, generation: &str) -> Value {
    json!({
        "name": name,
        "kind": kind,
        "address": address,
        "availability_zone": zone,
        "labels": {"generation": generation},
        "slots": ENGINE_SLOTS,
    })
}

fn class(call: DemoCall, path: &str, targets: &str, idempotent: bool) -> Value {
    json!({
        "name": call.class,
        "routes": [{"method": "POST", "path": path}],
        "targets": targets,
        "tier": call.tier,
        "idempotent": idempotent,
        "deadline_ms": 20_000,
        "expected_output_tokens": call.tokens,
    })
}
