//! End-to-end demo in one process: three hosts in front of stand-ins, and the outcome of
//! requests while the fleet changes and parts of it fail.
//!
//! Run with `cargo run --example demo`. It uses only the loopback interface and exits by itself.

mod demo_fleet;
mod demo_output;
mod scenes;

use std::error::Error;
use std::process::ExitCode;

use demo_fleet::DemoFleet;

/// Result of a scene.
type SceneResult = Result<(), Box<dyn Error>>;

#[async_std::main]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo() -> SceneResult {
    println!("cardamomgw: three entry hosts in front of two engines and a service,");
    println!("all in this process, on the loopback interface. The targets are stand-ins.");
    let mut fleet = DemoFleet::start().await?;
    scenes::show_fleet(&fleet);
    scenes::one_of_each_tier(&fleet).await?;
    scenes::resend_elsewhere(&fleet).await?;
    scenes::urgent_among_long(&fleet).await?;
    scenes::configuration_change(&mut fleet).await?;
    scenes::engine_leaves(&mut fleet).await?;
    scenes::engine_crashes(&fleet).await?;
    scenes::host_stops(&mut fleet).await?;
    scenes::print_totals(&fleet)
}
