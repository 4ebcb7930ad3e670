//! The `standins` binary, which runs each stand-in as a separate process.

mod command_line;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use command_line::Standins;
use command_line::StandinsCmd;
use standins::CrashMode;
use standins::EngineServer;
use standins::EngineSettings;
use standins::LinkServer;
use standins::LoadPlan;
use standins::LoadRun;
use standins::PlatformServer;
use standins::ServiceServer;
use standins::ServiceSettings;

/// Default listen address: any free port on loopback.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[async_std::main]
async fn main() -> ExitCode {
    let command = Standins::from_env_or_exit().subcommand;
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: StandinsCmd) -> io::Result<()> {
    match command {
        StandinsCmd::Platform(platform) => {
            let server = PlatformServer::bind(platform.listen.unwrap_or(ANY_PORT)).await?;
            serve_until_killed(server.address()).await
        }
        StandinsCmd::Engine(engine) => {
            let address = engine.listen.unwrap_or(ANY_PORT);
            let server = EngineServer::bind(address, engine_settings(&engine)).await?;
            serve_until_killed(server.address()).await
        }
        StandinsCmd::Service(service) => {
            let settings = ServiceSettings {
                delay: Duration::from_millis(service.delay_ms.unwrap_or(0)),
                crash_mode: CrashMode::ExitProcess,
            };
            let address = service.listen.unwrap_or(ANY_PORT);
            let server = ServiceServer::bind(address, settings).await?;
            serve_until_killed(server.address()).await
        }
        StandinsCmd::Link(link) => {
            let address = link.listen.unwrap_or(ANY_PORT);
            let control = link.control.unwrap_or(ANY_PORT);
            let server = LinkServer::bind_controlled(address, link.upstream, control).await?;
            if let Some(control) = server.control_address() {
                eprintln!("control {control}");
            }
            serve_until_killed(server.address()).await
        }
        StandinsCmd::Load(load) => run_load(load).await,
    }
}

/// Runs the load directly against the target of `--direct`, if given, and then against the
/// gateways, if any, and prints a report of each run.
async fn run_load(load: command_line::Load) -> io::Result<()> {
    let json = load.json;
    let direct = load.direct;
    let plan = load_plan(load);
    if plan.gateways.is_empty() && direct.is_none() {
        return Err(io::Error::other("either --gateway or --direct is required"));
    }
    let mut invalid = 0;
    if let Some(target) = direct {
        let direct_plan = LoadPlan {
            gateways: vec![target],
            ..plan.clone()
        };
        invalid += report_load("direct", direct_plan, json).await;
    }
    if !plan.gateways.is_empty() {
        invalid += report_load("gateway", plan, json).await;
    }
    match invalid {
        0 => Ok(()),
        _ => Err(io::Error::other(format!("{invalid} wrong answers"))),
    }
}

/// Runs one load, prints its report and returns the number of invalid answers.
async fn report_load(name: &str, plan: LoadPlan, json: bool) -> u64 {
    let report = LoadRun::spawn(plan).finish().await;
    if json {
        let mut value = report.to_json();
        value["path"] = name.into();
        println!("{value}");
    } else {
        println!("{name}: {report}");
    }
    report.wrong
}

fn load_plan(load: command_line::Load) -> LoadPlan {
    let defaults = LoadPlan::default();
    LoadPlan {
        gateways: load.gateway,
        token: load.token.unwrap_or(defaults.token),
        path: load.path.unwrap_or(defaults.path),
        class: load.class,
        callers: load.callers.unwrap_or(defaults.callers),
        requests: load.requests.unwrap_or(defaults.requests),
        pause: Duration::from_millis(load.pause_ms.unwrap_or(0)),
        stream: load.stream,
        max_tokens: load.max_tokens.unwrap_or(defaults.max_tokens),
        prompt_bytes: load.prompt_bytes.unwrap_or(defaults.prompt_bytes),
        deadline: load.deadline_ms.map(Duration::from_millis),
        max_sends: defaults.max_sends,
        timeout: defaults.timeout,
    }
}

fn engine_settings(engine: &command_line::Engine) -> EngineSettings {
    let defaults = EngineSettings::default();
    EngineSettings {
        tokens_per_second: engine
            .tokens_per_second
            .unwrap_or(defaults.tokens_per_second),
        slots: engine.slots.unwrap_or(defaults.slots),
        prefill_tokens_per_second: engine
            .prefill_tokens_per_second
            .unwrap_or(defaults.prefill_tokens_per_second),
        cache_tokens: engine.cache_tokens.unwrap_or(defaults.cache_tokens),
        report_lag: engine
            .report_lag_ms
            .map_or(defaults.report_lag, Duration::from_millis),
        checks_fences: !engine.ignores_fences,
        crash_mode: CrashMode::ExitProcess,
    }
}

/// Prints the listen address and waits until the process is killed.
async fn serve_until_killed(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout();
    writeln!(output, "listening {address}")?;
    output.flush()?;
    futures_lite::future::pending().await
}
