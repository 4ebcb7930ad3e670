//! `status`: prints the status of a running daemon.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task::block_on;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde_json::Value;

use super::cli_error::CliError;
use super::command_flags::Status;
use super::command_output::CommandOutcome;
use super::status_table::status_table;

/// The timeout of a status request; a daemon that takes longer is considered hung.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of a status: the program that answers may not be a daemon.
const MAX_STATUS_BYTES: u64 = 16 << 20;

/// Prints the status of a running daemon.
pub(super) fn print_status(
    flags: &Status,
    output: &mut dyn Write,
) -> Result<CommandOutcome, CliError> {
    let text = block_on(timeout(STATUS_TIMEOUT, fetch_status(flags.address)))
        .map_err(|_| status_error("the daemon did not answer in time"))??;
    let status: Value = serde_json::from_str(&text).map_err(status_error)?;
    if flags.json {
        writeln!(output, "{}", text.trim_end())?;
    } else {
        output.write_all(status_table(&status).as_bytes())?;
    }
    Ok(CommandOutcome::Success)
}

async fn fetch_status(address: SocketAddr) -> Result<String, CliError> {
    let url = Url::parse(&format!("http://{address}/status")).map_err(status_error)?;
    let stream = TcpStream::connect(address).await.map_err(status_error)?;
    let request = Request::new(Method::Get, url);
    let response = async_h1::connect(stream, request)
        .await
        .map_err(status_error)?;
    if !response.status().is_success() {
        let message = format!("{address} answered {}", response.status());
        return Err(CliError::Status(message));
    }
    let mut text = String::new();
    response
        .take(MAX_STATUS_BYTES)
        .read_to_string(&mut text)
        .await
        .map_err(status_error)?;
    Ok(text)
}

fn status_error(error: impl ToString) -> CliError {
    CliError::Status(error.to_string())
}
