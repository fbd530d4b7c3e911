//! Start, configuration check and graceful stop of the instance process.

use crate::event::{Event, Log};
use crate::exit::{CommandError, Exit};
use crate::instance::config::InstanceConfig;
use crate::instance::listener::Server;
use crate::instance::run_settings::RunSettings;
use crate::instance::shared::Shared;
use crate::instance::{http_api, peers, tasks, term, topics};
use crate::metrics::Metrics;
use crate::operator_commands::Report;
use crate::platform::boot_settings;
use crate::platform::http::Http;
use crate::settings::{LogFormat, LogLevel};
use crate::stop_signal::StopSignal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Time until the load balancer stops sending connections: it probes once a second and acts on the
/// second failure.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Runs an instance until SIGTERM or SIGINT.
pub fn run(settings: RunSettings) -> Result<Report, CommandError> {
    let cfg = InstanceConfig { settings, ..boot_settings::load().map_err(process_error)? };
    // A machine has a quarter of a core, so more threads would only compete for it.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(process_error)?.block_on(serve(cfg))
}

async fn serve(cfg: InstanceConfig) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process_error)?;
    let metrics = Arc::new(Metrics::new().map_err(process_error)?);
    let log =
        Log::new(LogFormat::Json, LogLevel::Info, std::io::stdout()).with_metrics(metrics.clone());
    let http = Http::new();
    let shared = Arc::new(Shared::new(cfg, log, metrics, http));
    let limits = &shared.cfg.settings.caller_limits;
    let bounds = limits.bounds(&shared.cfg.room).map_err(process_error)?;
    let peers = peers::start_server(&shared, &bounds).map_err(process_error)?;
    let mut servers = vec![http_api::start_caller_server(&shared, &bounds).map_err(process_error)?];
    let status_addrs = [Some(shared.cfg.readiness_addr), shared.cfg.metrics_addr];
    for addr in status_addrs.into_iter().flatten() {
        let server = http_api::start_status_server(&shared, addr, &bounds);
        servers.push(server.map_err(process_error)?);
    }
    log_listening(&shared);
    let tasks = [
        tokio::spawn(tasks::restart_on_panic(shared.log.clone(), "operators", {
            let shared = shared.clone();
            move || topics::follow_operators(shared.clone())
        })),
        tokio::spawn(tasks::restart_on_panic(shared.log.clone(), "election", {
            let shared = shared.clone();
            move || term::run_election(shared.clone())
        })),
        tokio::spawn(tasks::restart_on_panic(shared.log.clone(), "appends", {
            let shared = shared.clone();
            move || shared.append_queue.clone().run(shared.store.clone())
        })),
        tokio::spawn(check_settings_on_hangup(shared.log.clone())),
    ];
    let signal = stop.next().await;
    shared.log.event(Event::Stopping, &[("signal", signal.into())]);
    shared.stopping.store(true, Ordering::Relaxed);
    shared.heartbeat_needed.notify_one();
    sleep(BALANCER_DRAIN_TIME.min(shared.cfg.stop_timeout / 2)).await;
    servers.iter().for_each(Server::stop);
    for server in servers {
        server.ended().await;
    }
    peers.server.stop();
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    shared.log.event(Event::Stopped, &[]);
    Ok(Report { exit: Exit::Done, text: String::new() })
}

fn log_listening(shared: &Shared) {
    let (http, peers) = (shared.cfg.callers_addr.to_string(), shared.cfg.peers_addr.to_string());
    let fields = [
        ("entry", (&shared.cfg.name).into()),
        ("zone", (&shared.cfg.zone).into()),
        ("http_addr", (&http).into()),
        ("peer_addr", (&peers).into()),
    ];
    shared.log.event(Event::Listening, &fields);
}

/// Reads the settings file at each SIGHUP and logs errors in it, so that they show before a
/// restart. Changed settings take effect at the next start.
async fn check_settings_on_hangup(log: Log) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            let error = e.to_string();
            return log.event(Event::ReloadFailed, &[("error", (&error).into())]);
        }
    };
    while hangups.recv().await.is_some() {
        match boot_settings::load() {
            Ok(_) => log.event(Event::Reloaded, &[("signal", "SIGHUP".into())]),
            Err(e) => {
                let error = e.to_string();
                log.event(Event::ReloadFailed, &[("error", (&error).into())]);
            }
        }
    }
}

fn process_error(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
