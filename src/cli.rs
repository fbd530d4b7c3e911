//! Command line interface. `docs/cli.md` describes the commands and exit codes for operators.

use crate::dev;
use crate::exit::{CommandError, Exit};
use crate::ids::InstanceId;
use crate::instance::process;
use crate::instance::run_settings::{self, RunSettings};
use crate::load_command::{self, LoadArgs};
use crate::measure_command::{self, MeasureArgs};
use crate::operator_commands::{self, CommandTarget, PublishMode, Report, StatusFormat};
use crate::section_diff::MissingSections;
use crate::serve_command;
use crate::settings::{self, CheckedFile};
use crate::standin_command::{self, PlatformStandinArgs, UpstreamStandinArgs};
use argh::FromArgs;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Default of `--wait-ms` in milliseconds. Normally, a change is in force everywhere within this time.
const DEFAULT_WAIT_MS: u64 = 4_000;

/// Default of `dev --http-addr`.
const DEFAULT_DEV_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7801);

/// Fleet capacity and maintenance manager.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
    Publish(PublishArgs),
    Key(KeyArgs),
    Instance(InstanceArgs),
    Zone(ZoneArgs),
    Status(StatusArgs),
    Dev(DevArgs),
    Serve(ServeArgs),
    Run(RunArgs),
    Load(LoadArgs),
    Measure(MeasureArgs),
    Platform(PlatformArgs),
    Upstream(UpstreamArgs),
}

/// Run a platform stand-in, two upstream stand-ins and an entry instance in one process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
struct DevArgs {
    /// address for callers and operators (IP:PORT); port 0 selects a free port (127.0.0.1:7801)
    #[argh(option, default = "DEFAULT_DEV_ADDR")]
    http_addr: SocketAddr,
}

/// Run an entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// settings file of the entry instance
    #[argh(positional)]
    file: String,
}

/// Run an instance on the users' platform, which supplies its settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// settings file of the instance's parts (defaults)
    #[argh(option)]
    settings: Option<String>,
}

/// Check a settings or declarations file and report all mistakes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// settings file of an entry instance, or declarations file
    #[argh(positional)]
    file: String,
}

/// Publish the changes in a declarations file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
struct PublishArgs {
    /// declarations file
    #[argh(positional)]
    file: String,
    /// show the changes without publishing them
    #[argh(switch)]
    dry_run: bool,
    /// remove published sections that are missing in the file
    #[argh(switch)]
    remove_missing: bool,
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// maximum wait in milliseconds until the change is in force everywhere (4000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// op id of an earlier command to retry
    #[argh(option)]
    op: Option<String>,
}

/// Grant, withdraw or list keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
struct KeyArgs {
    #[argh(subcommand)]
    command: KeyCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum KeyCommand {
    Grant(KeyGrantArgs),
    Withdraw(KeyWithdrawArgs),
    List(KeyListArgs),
}

/// Grant a new key to a team and print it. It cannot be shown again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
struct KeyGrantArgs {
    /// team that the key authenticates
    #[argh(positional)]
    team: String,
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// maximum wait in milliseconds until the change is in force everywhere (4000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
}

/// Withdraw a key permanently.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct KeyWithdrawArgs {
    /// key id, which is the part of the key before the dot
    #[argh(positional)]
    key: String,
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// maximum wait in milliseconds until the change is in force everywhere (4000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// op id of an earlier command to retry
    #[argh(option)]
    op: Option<String>,
}

/// List keys without their secrets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct KeyListArgs {
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
}

/// Take an upstream instance out of service or put it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
struct InstanceArgs {
    #[argh(subcommand)]
    command: OutOrBackCommand,
}

/// Take an availability zone out of service or put it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
struct ZoneArgs {
    #[argh(subcommand)]
    command: OutOrBackCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum OutOrBackCommand {
    Out(OutArgs),
    Back(BackArgs),
}

/// Take out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
struct OutArgs {
    /// name of the instance or availability zone
    #[argh(positional)]
    name: String,
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// maximum wait in milliseconds until the change is in force everywhere (4000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// op id of an earlier command to retry
    #[argh(option)]
    op: Option<String>,
}

/// Put back into service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "back")]
struct BackArgs {
    /// name of the instance or availability zone
    #[argh(positional)]
    name: String,
    /// log offset of the command to undo; by default, the one in force at the entry instance
    #[argh(option)]
    undoes: Option<u64>,
    /// address of any entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// maximum wait in milliseconds until the change is in force everywhere (4000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// op id of an earlier command to retry
    #[argh(option)]
    op: Option<String>,
}

/// Show the state of the fleet as seen by one entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// address of the entry instance (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// print the status as JSON
    #[argh(switch)]
    json: bool,
}

/// Run a platform stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on (IP:PORT); port 0 selects a free port
    #[argh(option)]
    addr: SocketAddr,
    /// maximum number of log entries that are kept (1000000)
    #[argh(option, default = "1_000_000")]
    retention: usize,
    /// delay in milliseconds before the instance list shows a change (0)
    #[argh(option, default = "0")]
    list_lag_ms: u64,
}

/// Run an upstream stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamArgs {
    /// name of the instance
    #[argh(option)]
    id: String,
    /// address to listen on (IP:PORT); port 0 selects a free port
    #[argh(option)]
    addr: SocketAddr,
    /// address of the platform stand-in to register with (IP:PORT)
    #[argh(option)]
    platform: SocketAddr,
    /// initial pool of the instance
    #[argh(option)]
    pool: String,
    /// availability zone of the instance
    #[argh(option)]
    zone: String,
    /// rack of the instance
    #[argh(option)]
    rack: String,
    /// maximum number of concurrent tasks and requests (8)
    #[argh(option, default = "8")]
    slots: u32,
    /// maximum number of concurrent connections (64)
    #[argh(option, default = "64")]
    connections: u32,
}

/// Runs one command and returns its exit code. `args` starts with the program name. Results are written
/// to `out`, errors to `err`.
pub fn run(args: &[&str], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let command_args = args.get(1..).unwrap_or(&[]);
    let args = match Args::from_args(&["jacinthhook"], command_args) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            return print(out, &early_exit.output, Exit::Done);
        }
        Err(early_exit) => return print(err, &early_exit.output, Exit::Usage),
    };
    match execute(args.command, out) {
        Ok(report) => print(out, &report.text, report.exit),
        Err(failure) => print(err, &failure.to_string(), failure.exit()),
    }
}

fn print(writer: &mut dyn Write, text: &str, exit: Exit) -> Exit {
    let text = text.trim_end();
    let written = if text.is_empty() { Ok(()) } else { writeln!(writer, "{text}") };
    match written.and_then(|()| writer.flush()) {
        Ok(()) => exit,
        // The output cannot be written. The exit code of a failed command is kept, because it is more
        // useful.
        Err(_) if exit == Exit::Done => Exit::Local,
        Err(_) => exit,
    }
}

fn execute(command: Command, out: &mut dyn Write) -> Result<Report, CommandError> {
    match command {
        Command::Check(args) => check(&args.file),
        Command::Publish(args) => block_on(publish(args)),
        Command::Key(args) => block_on(key(args.command)),
        Command::Instance(args) => block_on(instance(args.command)),
        Command::Zone(args) => block_on(zone(args.command)),
        Command::Status(args) => block_on(status(args)),
        Command::Dev(args) => block_on(dev::run(args.http_addr, out)),
        Command::Serve(args) => serve(&args.file, out),
        Command::Run(args) => process::run(run_settings(args.settings.as_deref())?),
        Command::Load(args) => block_on(load_command::run(args)),
        Command::Measure(args) => measure_command::run(args),
        Command::Platform(args) => block_on(standin_command::platform(args.into(), out)),
        Command::Upstream(args) => block_on(standin_command::upstream(args.into(), out)),
    }
}

fn block_on(
    work: impl Future<Output = Result<Report, CommandError>>,
) -> Result<Report, CommandError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| CommandError::Process { message: e.to_string() })?;
    runtime.block_on(work)
}

fn read(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read { file: file.to_string(), source })
}

fn check(file: &str) -> Result<Report, CommandError> {
    let checked = settings::check(file, &read(file)?);
    let text = match checked.map_err(|mistakes| CommandError::Mistakes { mistakes })? {
        CheckedFile::Settings(settings) => {
            format!("settings of entry instance {} in zone {}", settings.id, settings.zone)
        }
        CheckedFile::RunSettings(_) => "settings of run".to_string(),
        CheckedFile::Declarations(cfg) => format!(
            "declarations: {} zones, {} teams, {} pools, {} profiles, {} services",
            cfg.zones.len(),
            cfg.teams.len(),
            cfg.pools.len(),
            cfg.profiles.len(),
            cfg.services.len(),
        ),
    };
    Ok(Report { exit: Exit::Done, text: format!("{file}: {text}; no mistakes") })
}

fn serve(file: &str, out: &mut dyn Write) -> Result<Report, CommandError> {
    let settings = settings::read_settings(file, &read(file)?);
    serve_command::serve(settings.map_err(|mistakes| CommandError::Mistakes { mistakes })?, out)
}

/// Reads the settings of `run`; the defaults hold without a file.
fn run_settings(file: Option<&str>) -> Result<RunSettings, CommandError> {
    let Some(file) = file else { return Ok(RunSettings::default()) };
    run_settings::read(file, &read(file)?).map_err(|mistakes| CommandError::Mistakes { mistakes })
}

fn target(at: SocketAddr, wait_ms: u64, op: Option<String>) -> CommandTarget {
    CommandTarget { at, wait: Duration::from_millis(wait_ms), op }
}

async fn publish(args: PublishArgs) -> Result<Report, CommandError> {
    let text = read(&args.file)?;
    let missing = if args.remove_missing { MissingSections::Remove } else { MissingSections::Keep };
    let run = if args.dry_run { PublishMode::DryRun } else { PublishMode::Apply };
    let target = target(args.at, args.wait_ms, args.op);
    operator_commands::publish(&target, &args.file, &text, missing, run).await
}

async fn key(command: KeyCommand) -> Result<Report, CommandError> {
    match command {
        KeyCommand::Grant(args) => {
            operator_commands::key_grant(&target(args.at, args.wait_ms, None), &args.team).await
        }
        KeyCommand::Withdraw(args) => {
            operator_commands::key_withdraw(&target(args.at, args.wait_ms, args.op), &args.key)
                .await
        }
        KeyCommand::List(args) => operator_commands::key_list(args.at).await,
    }
}

async fn instance(command: OutOrBackCommand) -> Result<Report, CommandError> {
    match command {
        OutOrBackCommand::Out(args) => {
            operator_commands::instance_out(&target(args.at, args.wait_ms, args.op), &args.name)
                .await
        }
        OutOrBackCommand::Back(args) => {
            let target = target(args.at, args.wait_ms, args.op);
            operator_commands::instance_back(&target, &args.name, args.undoes).await
        }
    }
}

async fn zone(command: OutOrBackCommand) -> Result<Report, CommandError> {
    match command {
        OutOrBackCommand::Out(args) => {
            operator_commands::zone_out(&target(args.at, args.wait_ms, args.op), &args.name).await
        }
        OutOrBackCommand::Back(args) => {
            let target = target(args.at, args.wait_ms, args.op);
            operator_commands::zone_back(&target, &args.name, args.undoes).await
        }
    }
}

async fn status(args: StatusArgs) -> Result<Report, CommandError> {
    let format = if args.json { StatusFormat::Json } else { StatusFormat::Text };
    operator_commands::status(args.at, format).await
}

impl From<PlatformArgs> for PlatformStandinArgs {
    fn from(args: PlatformArgs) -> PlatformStandinArgs {
        PlatformStandinArgs {
            addr: args.addr,
            retention: args.retention,
            list_lag: Duration::from_millis(args.list_lag_ms),
        }
    }
}

impl From<UpstreamArgs> for UpstreamStandinArgs {
    fn from(args: UpstreamArgs) -> UpstreamStandinArgs {
        UpstreamStandinArgs {
            id: InstanceId::from(args.id),
            addr: args.addr,
            platform: args.platform,
            pool: args.pool,
            zone: args.zone,
            rack: args.rack,
            slots: args.slots,
            connections: args.connections,
        }
    }
}
