//! `dev`: one process with a stand-in platform, two upstreams and one entry instance, and the calls to try.

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

/// What is published at the start.
const DECLARATIONS: &str = include_str!("../examples/dev.ini");
/// Its name in mistakes.
const DECLARATIONS_FILE: &str = "examples/dev.ini";
/// Availability zones, each with one upstream.
const ZONES: [&str; 2] = ["dev-a", "dev-b"];
/// Pool of the upstreams.
const POOL: &str = "main";
/// Any free port of this machine.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for each step of the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at whether a step has been taken.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// The parts that run.
struct Fleet {
    server: Server,
    // Kept for as long as the entry instance runs.
    _upstreams: Vec<UpstreamStandin>,
    _platform: PlatformStandin,
}

/// Runs until SIGTERM or SIGINT; a second signal ends the process at once.
pub async fn run(http_addr: SocketAddr, out: &mut dyn Write) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process)?;
    let fleet = start(http_addr).await?;
    let at = fleet.server.http_addr;
    let key = configure(at).await?;
    writeln!(out, "{}", calls(at, &key)).and_then(|()| out.flush()).map_err(process)?;
    stop.next().await;
    tokio::select! {
        _ = fleet.server.stop() => Ok(Report { exit: Exit::Done, text: "stopped".into() }),
        _ = stop.next() => Err(process("ended at once by a second signal")),
    }
}

async fn start(http_addr: SocketAddr) -> Result<Fleet, CommandError> {
    let platform = PlatformStandin::start(PlatformOptions::new(ANY)).await.map_err(process)?;
    let mut upstreams = Vec::new();
    for zone in ZONES {
        let id = format!("upstream-{zone}");
        let options = UpstreamOptions::new(id.as_str(), ANY);
        let upstream = UpstreamStandin::start(options).await.map_err(process)?;
        register(&platform, &upstream.listed(POOL, zone, &id)).await?;
        upstreams.push(upstream);
    }
    let mut settings =
        Settings::new("dev-1".into(), ZONES[0].into(), http_addr, ANY, platform.addr());
    settings.log_format = LogFormat::Terminal;
    settings.log_level = LogLevel::Warning;
    let id = settings.id.clone();
    let server = Server::start(settings).await.map_err(process)?;
    register(&platform, &entry_listed(&id, server.http_addr)).await?;
    Ok(Fleet { server, _upstreams: upstreams, _platform: platform })
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

/// Publishes the declarations and grants a key, which is returned.
async fn configure(at: SocketAddr) -> Result<String, CommandError> {
    wait_for(at, "the entry instance is not ready", |status| status.ready).await?;
    let target = CommandTarget { at, wait: START_TIMEOUT, op: None };
    let published = operator_commands::publish(
        &target,
        DECLARATIONS_FILE,
        DECLARATIONS,
        MissingSections::Keep,
        PublishMode::Apply,
    )
    .await?;
    done(&published)?;
    let granted = operator_commands::key_grant(&target, "demo").await?;
    done(&granted)?;
    let key = granted.text.lines().find_map(|line| line.strip_prefix("key: "));
    let key = key.ok_or_else(|| process("the grant shows no key"))?.to_string();
    let usable = |status: &Status| status.pools.iter().any(|p| p.usable as usize == ZONES.len());
    wait_for(at, "the upstreams are not usable", usable).await?;
    Ok(key)
}

fn done(report: &Report) -> Result<(), CommandError> {
    if report.exit == Exit::Done { Ok(()) } else { Err(process(&report.text)) }
}

async fn wait_for(
    at: SocketAddr,
    otherwise: &str,
    holds: impl Fn(&Status) -> bool,
) -> Result<(), CommandError> {
    let admin = AdminClient::new(at)?;
    let until = Instant::now() + START_TIMEOUT;
    loop {
        let status: Status = admin.read(admin_api::STATUS).await?;
        if holds(&status) {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(process(format!("{otherwise} after {} s", START_TIMEOUT.as_secs())));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// The calls to try, as text. Lines with two spaces in front are commands for a shell.
fn calls(at: SocketAddr, key: &str) -> String {
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

fn process(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
