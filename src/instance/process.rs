//! An instance as a process: start, reload, graceful stop.

use crate::event::{Event, Log};
use crate::exit::{CommandError, Exit};
use crate::http_server;
use crate::instance::config::InstanceConfig;
use crate::instance::shared::Shared;
use crate::instance::{follow, front, peers, term};
use crate::metrics::Metrics;
use crate::operate::Report;
use crate::platform::boot;
use crate::platform::http::Http;
use crate::settings::{LogFormat, LogLevel};
use crate::stop_signal::StopSignal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Time in which the load balancer turns away: it asks once a second and acts on the second miss.
const TURN_AWAY: Duration = Duration::from_millis(2_500);

/// Runs an instance until SIGTERM or SIGINT.
pub fn run() -> Result<Report, CommandError> {
    let cfg = boot::load().map_err(process)?;
    // A machine has a quarter of a core; more threads would only take turns.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(process)?.block_on(serve(cfg))
}

async fn serve(cfg: InstanceConfig) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process)?;
    let metrics = Arc::new(Metrics::new().map_err(process)?);
    let log =
        Log::new(LogFormat::Json, LogLevel::Info, std::io::stdout()).with_metrics(metrics.clone());
    let http = Http::new().map_err(process)?;
    let shared = Arc::new(Shared::new(cfg, log, metrics, http));
    let peers = peers::listen(shared.clone()).await.map_err(process)?;
    let mut servers = Vec::new();
    servers.push(http_server::launch(front::callers(&shared)).await.map_err(process)?);
    let side = [Some(shared.cfg.readiness), shared.cfg.metrics];
    for addr in side.into_iter().flatten() {
        servers.push(http_server::launch(front::side(&shared, addr)).await.map_err(process)?);
    }
    announce(&shared);
    let loops = [
        tokio::spawn(follow::operators(shared.clone())),
        tokio::spawn(term::succession(shared.clone())),
        tokio::spawn(shared.intake.clone().run(shared.store.clone())),
        tokio::spawn(reload(shared.log.clone())),
    ];
    let signal = stop.next().await;
    shared.log.event(Event::Stopping, &[("signal", signal.into())]);
    shared.stopping.store(true, Ordering::Relaxed);
    sleep(TURN_AWAY.min(shared.cfg.stop_within / 2)).await;
    for (_, shutdown, _) in &servers {
        shutdown.clone().notify();
    }
    for (_, _, task) in servers {
        // A panic in the server has been reported by the runtime.
        let _ = task.await;
    }
    // Stopping twice is no failure.
    let _ = peers.stop();
    loops.iter().for_each(tokio::task::JoinHandle::abort);
    shared.log.event(Event::Stopped, &[]);
    Ok(Report { exit: Exit::Done, text: String::new() })
}

fn announce(shared: &Shared) {
    let (http, peers) = (shared.cfg.callers.to_string(), shared.cfg.peers.to_string());
    let fields = [
        ("entry", (&shared.cfg.name).into()),
        ("zone", (&shared.cfg.zone).into()),
        ("http_addr", (&http).into()),
        ("peer_addr", (&peers).into()),
    ];
    shared.log.event(Event::Listening, &fields);
}

/// Reads the settings file again at each SIGHUP, so that a mistake in it shows before a restart.
/// What it holds takes effect at the next start.
async fn reload(log: Log) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(e) => {
            let error = e.to_string();
            return log.event(Event::ReloadFailed, &[("error", (&error).into())]);
        }
    };
    while hup.recv().await.is_some() {
        match boot::load() {
            Ok(_) => log.event(Event::Reloaded, &[("signal", "SIGHUP".into())]),
            Err(e) => {
                let error = e.to_string();
                log.event(Event::ReloadFailed, &[("error", (&error).into())]);
            }
        }
    }
}

fn process(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
