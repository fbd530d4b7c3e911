//! The `dev` command: runs a stand-in platform, two upstreams and one entry instance in a single
//! process, and prints example calls.

use crate::admin_api::{self, Status};
use crate::admin_client::AdminClient;
use crate::exit::{CommandError, Exit};
use crate::ids::EntryId;
use crate::operator_commands::{self, CommandTarget, PublishMode, Report};
use crate::protocol::{ListedInstance, Presence, Role};
use crate::section_diff::MissingSections;
use crate::serve::Server;
use crate::settings::{LogFormat, LogLevel, Settings};
use crate::standin_command::Registration;
use crate::standin_platform::{PlatformOptions, PlatformStandin};
use crate::standin_upstream::{UpstreamOptions, UpstreamStandin};
use crate::stop_signal::StopSignal;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Declarations published at the start.
const DECLARATIONS: &str = include_str!("../examples/dev.ini");
/// File name of the declarations in reported mistakes.
const DECLARATIONS_NAME: &str = "examples/dev.ini";
/// Availability zones, each with one upstream.
const ZONES: [&str; 2] = ["dev-a", "dev-b"];
/// Pool that the upstreams belong to.
const POOL: &str = "main";
/// A free port of the loopback interface.
const ANY_LOCAL_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Maximum wait for each startup step.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between checks whether a startup step has completed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running servers.
struct DevFleet {
    server: Server,
    // Stopped on drop, so they are kept as long as the entry instance runs.
    _upstreams: Vec<UpstreamStandin>,
    _platform: PlatformStandin,
}

/// Runs until SIGTERM or SIGINT. A second signal ends the process immediately.
pub async fn run(http_addr: SocketAddr, out: &mut dyn Write) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process_error)?;
    let fleet = start(http_addr).await?;
    let at = fleet.server.http_addr;
    let key = configure(at).await?;
    writeln!(out, "{}", example_calls(at, &key))
        .and_then(|()| out.flush())
        .map_err(process_error)?;
    stop.next().await;
    tokio::select! {
        _ = fleet.server.stop() => Ok(Report { exit: Exit::Done, text: "stopped".into() }),
        _ = stop.next() => Err(process_error("ended at once by a second signal")),
    }
}

async fn start(http_addr: SocketAddr) -> Result<DevFleet, CommandError> {
    let platform = PlatformStandin::start(PlatformOptions::new(ANY_LOCAL_PORT))
        .await
        .map_err(process_error)?;
    let mut upstreams = Vec::new();
    for zone in ZONES {
        let id = format!("upstream-{zone}");
        let options = UpstreamOptions::new(id.as_str(), ANY_LOCAL_PORT);
        let upstream = UpstreamStandin::start(options).await.map_err(process_error)?;
        register(&platform, &upstream.listed(POOL, zone, &id)).await?;
        upstreams.push(upstream);
    }
    let mut settings =
        Settings::new("dev-1".into(), ZONES[0].into(), http_addr, ANY_LOCAL_PORT, platform.addr());
    settings.log_format = LogFormat::Terminal;
    settings.log_level = LogLevel::Warning;
    let id = settings.id.clone();
    let server = Server::start(settings).await.map_err(process_error)?;
    register(&platform, &entry_listed(&id, server.http_addr)).await?;
    Ok(DevFleet { server, _upstreams: upstreams, _platform: platform })
}

async fn register(platform: &PlatformStandin, listed: &ListedInstance) -> Result<(), CommandError> {
    Registration::new(platform.addr(), &listed.id)?.add(listed).await
}

fn entry_listed(id: &EntryId, addr: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: id.clone(),
        role: Role::Entry,
        pool: "".into(),
        zone: ZONES[0].into(),
        rack: id.clone(),
        addr: addr.to_string(),
        presence: Presence::Live,
        slots: 0,
        connections: 0,
    }
}

/// Publishes the declarations, grants a key and returns it.
async fn configure(at: SocketAddr) -> Result<String, CommandError> {
    wait_for(at, "the entry instance is not ready", |status| status.ready).await?;
    let target = CommandTarget { at, wait: START_TIMEOUT, op: None };
    let published = operator_commands::publish(
        &target,
        DECLARATIONS_NAME,
        DECLARATIONS,
        MissingSections::Keep,
        PublishMode::Apply,
    )
    .await?;
    expect_done(&published)?;
    let granted = operator_commands::key_grant(&target, "demo").await?;
    expect_done(&granted)?;
    let key = granted.text.lines().find_map(|line| line.strip_prefix("key: "));
    let key = key
        .ok_or_else(|| process_error("the result of the key grant contains no key"))?
        .to_string();
    let usable = |status: &Status| status.pools.iter().any(|p| p.usable as usize == ZONES.len());
    wait_for(at, "the upstreams are not usable", usable).await?;
    Ok(key)
}

fn expect_done(report: &Report) -> Result<(), CommandError> {
    if report.exit == Exit::Done { Ok(()) } else { Err(process_error(&report.text)) }
}

async fn wait_for(
    at: SocketAddr,
    failure: &str,
    condition: impl Fn(&Status) -> bool,
) -> Result<(), CommandError> {
    let admin = AdminClient::new(at)?;
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let status: Status = admin.read(admin_api::STATUS).await?;
        if condition(&status) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(process_error(format!("{failure} after {} s", START_TIMEOUT.as_secs())));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the example calls as text. Lines that start with two spaces are shell commands.
fn example_calls(at: SocketAddr, key: &str) -> String {
    let exe = std::env::current_exe();
    let exe = exe.map_or("jacinthhook".to_string(), |path| path.display().to_string());
    let key = format!("-H 'jacinthhook-key: {key}'");
    format!(
        "entry instance dev-1 on {at}; two upstreams in zones {zones}\n\
         \n\
         A request on the service that is open to all, and one with a key:\n\
         \x20 curl -s 'http://{at}/s/open/hello'\n\
         \x20 curl -s {key} -d 'pair 7' 'http://{at}/s/loans/reserve'\n\
         \n\
         A job that runs for two seconds, and the jobs of the key's team:\n\
         \x20 curl -s {key} -d '{{\"run_ms\":2000}}' 'http://{at}/v1/jobs?service=loans'\n\
         \x20 curl -s {key} 'http://{at}/v1/jobs'\n\
         \n\
         The fleet, a zone out and back, keys, metrics:\n\
         \x20 {exe} status --at {at}\n\
         \x20 {exe} zone out {out} --at {at}\n\
         \x20 {exe} zone back {out} --at {at}\n\
         \x20 {exe} key list --at {at}\n\
         \x20 curl -s 'http://{at}/metrics'\n\
         \n\
         Stop with Ctrl-C.",
        zones = ZONES.join(" and "),
        out = ZONES[1],
    )
}

fn process_error(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
