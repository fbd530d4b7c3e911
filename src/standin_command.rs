//! `platform` and `upstream` commands: run a stand-in as a separate process until SIGTERM or SIGINT.

use crate::exit::{CommandError, Exit};
use crate::ids::InstanceId;
use crate::operator_commands::Report;
use crate::protocol::ListedInstance;
use crate::standin_platform::{PlatformOptions, PlatformStandin};
use crate::standin_upstream::{UpstreamOptions, UpstreamStandin};
use crate::stop_signal::StopSignal;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the platform stand-in's response to a registration.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of a platform stand-in.
#[derive(Debug)]
pub struct PlatformStandinArgs {
    pub addr: SocketAddr,
    /// Maximum number of log entries that are kept.
    pub retention: usize,
    /// Delay before the instance list shows a change.
    pub list_lag: Duration,
}

/// Arguments of an upstream stand-in.
#[derive(Debug)]
pub struct UpstreamStandinArgs {
    pub id: InstanceId,
    pub addr: SocketAddr,
    pub platform: SocketAddr,
    pub pool: String,
    pub zone: String,
    pub rack: String,
    pub slots: u32,
    pub connections: u32,
}

/// Runs a platform stand-in. The first line of the output contains its address.
pub async fn platform(
    args: PlatformStandinArgs,
    out: &mut dyn Write,
) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process_error)?;
    let options =
        PlatformOptions::new(args.addr).with_retention(args.retention).with_list_lag(args.list_lag);
    let mut standin = PlatformStandin::start(options).await.map_err(process_error)?;
    print_line(out, &format!("platform stand-in on {}", standin.addr()))?;
    tokio::select! {
        _ = stop.next() => {}
        () = standin.wait_until_stopped() => {}
    }
    standin.stop().await;
    Ok(stopped_report())
}

/// Runs an upstream stand-in and registers it with the platform. The first line of the output contains
/// its address.
pub async fn upstream(
    args: UpstreamStandinArgs,
    out: &mut dyn Write,
) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process_error)?;
    let options =
        UpstreamOptions::new(args.id.clone(), args.addr).with_size(args.slots, args.connections);
    let mut standin = UpstreamStandin::start(options).await.map_err(process_error)?;
    let registration = Registration::new(args.platform, &args.id)?;
    registration.add(&standin.listed(&args.pool, &args.zone, &args.rack)).await?;
    print_line(out, &format!("upstream stand-in {} on {}", args.id, standin.addr()))?;
    tokio::select! {
        _ = stop.next() => {}
        () = standin.wait_until_stopped() => {}
    }
    registration.remove().await?;
    standin.stop().await;
    Ok(stopped_report())
}

/// Registration of one instance in the list of a platform stand-in.
pub struct Registration {
    url: String,
    http: reqwest::Client,
}

impl Registration {
    /// Creates a handle for the registration of an id, which does not have to be registered yet.
    pub fn new(platform: SocketAddr, id: &InstanceId) -> Result<Registration, CommandError> {
        let url = format!("http://{platform}/instances/{id}");
        let builder = reqwest::Client::builder().no_proxy().timeout(REGISTER_TIMEOUT);
        Ok(Registration { url, http: builder.build().map_err(process_error)? })
    }

    /// Adds or replaces the registration.
    pub async fn add(&self, listed: &ListedInstance) -> Result<(), CommandError> {
        let response = self.http.put(&self.url).json(listed).send().await.map_err(process_error)?;
        response.error_for_status().map(drop).map_err(process_error)
    }

    /// Removes the registration.
    pub async fn remove(&self) -> Result<(), CommandError> {
        let response = self.http.delete(&self.url).send().await.map_err(process_error)?;
        response.error_for_status().map(drop).map_err(process_error)
    }
}

fn print_line(out: &mut dyn Write, line: &str) -> Result<(), CommandError> {
    writeln!(out, "{line}").and_then(|()| out.flush()).map_err(process_error)
}

fn stopped_report() -> Report {
    Report { exit: Exit::Done, text: "stopped".to_string() }
}

fn process_error(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
