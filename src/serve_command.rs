//! Runs an entry instance as a process of its own.

use crate::event::Event;
use crate::exit::{CommandError, Exit};
use crate::ids::EntryId;
use crate::operator_commands::Report;
use crate::serve::{Server, StopOutcome};
use crate::settings::Settings;
use crate::stop_signal::StopSignal;
use std::io::Write;

/// Runs an entry instance until SIGTERM or SIGINT. The first line names its addresses. A second
/// signal ends the process at once.
pub fn serve(settings: Settings, out: &mut dyn Write) -> Result<Report, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build();
    runtime.map_err(process)?.block_on(run(settings, out))
}

async fn run(settings: Settings, out: &mut dyn Write) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process)?;
    let id = settings.id.clone();
    let server = Server::start(settings).await.map_err(process)?;
    let log = server.entry.log.clone();
    announce(&server, &id, out)?;
    let signal = stop.next().await;
    log.event(Event::Stopping, &[("signal", signal.into())]);
    let entry = server.entry.clone();
    let stopped = tokio::select! {
        stopped = server.stop() => stopped,
        _ = stop.next() => {
            let left = *entry.subscribe_in_flight().borrow() as u64;
            log.event(Event::StoppedAtOnce, &[("in_progress", left.into())]);
            return Err(CommandError::Process { message: "ended at once by a second signal".into() });
        }
    };
    match stopped {
        StopOutcome::Clean => {
            log.event(Event::Stopped, &[]);
            Ok(Report { exit: Exit::Done, text: "stopped".into() })
        }
        StopOutcome::TimedOut(left) => {
            log.event(Event::StopTimeout, &[("in_progress", (left as u64).into())]);
            let message = format!("the stop timeout came with {left} requests in flight");
            Err(CommandError::Process { message })
        }
    }
}

/// Names the addresses on standard output and in the log.
fn announce(server: &Server, id: &EntryId, out: &mut dyn Write) -> Result<(), CommandError> {
    let (http, peer) = (server.http_addr, server.peer_addr);
    writeln!(out, "entry instance {id} on {http}, for peers on {peer}").map_err(process)?;
    out.flush().map_err(process)?;
    let (entry, http, peer) = (&server.entry, http.to_string(), peer.to_string());
    let fields = [
        ("entry", id.into()),
        ("zone", entry.zone().into()),
        ("incarnation", entry.incarnation().into()),
        ("http_addr", (&http).into()),
        ("peer_addr", (&peer).into()),
    ];
    entry.log.event(Event::Listening, &fields);
    Ok(())
}

fn process(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
