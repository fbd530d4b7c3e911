//! Runs a stand-in as a process of its own until SIGTERM or SIGINT.

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

/// Time for the platform stand-in to answer a registration.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// A platform stand-in to run.
#[derive(Debug)]
pub struct PlatformStandinArgs {
    pub addr: SocketAddr,
    /// Log entries kept.
    pub retention: usize,
    /// How late the list shows a change.
    pub list_lag: Duration,
}

/// An upstream stand-in to run, and where to register it.
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

/// Runs a platform stand-in; the first line names its address.
pub async fn platform(
    run: PlatformStandinArgs,
    out: &mut dyn Write,
) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process)?;
    let options =
        PlatformOptions::new(run.addr).with_retention(run.retention).with_list_lag(run.list_lag);
    let mut standin = PlatformStandin::start(options).await.map_err(process)?;
    announce(out, &format!("platform stand-in on {}", standin.addr()))?;
    tokio::select! {
        _ = stop.next() => {}
        () = standin.wait_until_stopped() => {}
    }
    standin.stop().await;
    Ok(stopped())
}

/// Runs an upstream stand-in and registers it; the first line names its address.
pub async fn upstream(
    run: UpstreamStandinArgs,
    out: &mut dyn Write,
) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process)?;
    let options =
        UpstreamOptions::new(run.id.clone(), run.addr).with_size(run.slots, run.connections);
    let mut standin = UpstreamStandin::start(options).await.map_err(process)?;
    let list = Registration::new(run.platform, &run.id)?;
    list.add(&standin.listed(&run.pool, &run.zone, &run.rack)).await?;
    announce(out, &format!("upstream stand-in {} on {}", run.id, standin.addr()))?;
    tokio::select! {
        _ = stop.next() => {}
        () = standin.wait_until_stopped() => {}
    }
    list.remove().await?;
    standin.stop().await;
    Ok(stopped())
}

/// Entry of one instance in the list of a platform stand-in.
pub struct Registration {
    url: String,
    http: reqwest::Client,
}

impl Registration {
    /// The entry that an id has or will have.
    pub fn new(platform: SocketAddr, id: &InstanceId) -> Result<Registration, CommandError> {
        let url = format!("http://{platform}/instances/{id}");
        let builder = reqwest::Client::builder().no_proxy().timeout(REGISTER_TIMEOUT);
        Ok(Registration { url, http: builder.build().map_err(process)? })
    }

    /// Adds or replaces it.
    pub async fn add(&self, listed: &ListedInstance) -> Result<(), CommandError> {
        let answer = self.http.put(&self.url).json(listed).send().await.map_err(process)?;
        answer.error_for_status().map(drop).map_err(process)
    }

    /// Removes it.
    pub async fn remove(&self) -> Result<(), CommandError> {
        let answer = self.http.delete(&self.url).send().await.map_err(process)?;
        answer.error_for_status().map(drop).map_err(process)
    }
}

fn announce(out: &mut dyn Write, text: &str) -> Result<(), CommandError> {
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(process)
}

fn stopped() -> Report {
    Report { exit: Exit::Done, text: "stopped".to_string() }
}

fn process(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
