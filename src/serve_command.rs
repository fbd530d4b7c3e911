//! `serve` command: runs an entry instance as a separate process.

use crate::event::Event;
use crate::exit::{CommandError, Exit};
use crate::ids::EntryId;
use crate::operator_commands::Report;
use crate::serve::{Server, StopOutcome};
use crate::settings::Settings;
use crate::stop_signal::StopSignal;
use std::io::Write;

/// Runs an entry instance until SIGTERM or SIGINT; a second signal ends the process immediately.
/// The first line of the output contains its addresses.
pub fn serve(settings: Settings, out: &mut dyn Write) -> Result<Report, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build();
    runtime.map_err(process_error)?.block_on(run(settings, out))
}

async fn run(settings: Settings, out: &mut dyn Write) -> Result<Report, CommandError> {
    let mut stop = StopSignal::new().map_err(process_error)?;
    let id = settings.id.clone();
    let server = Server::start(settings).await.map_err(process_error)?;
    let log = server.entry.log.clone();
    announce_addresses(&server, &id, out)?;
    let signal = stop.next().await;
    log.event(Event::Stopping, &[("signal", signal.into())]);
    let entry = server.entry.clone();
    let stopped = tokio::select! {
        stopped = server.stop() => stopped,
        _ = stop.next() => {
            let in_flight = *entry.subscribe_in_flight().borrow() as u64;
            log.event(Event::StoppedAtOnce, &[("in_progress", in_flight.into())]);
            return Err(CommandError::Process { message: "ended immediately by a second signal".into() });
        }
    };
    match stopped {
        StopOutcome::Clean => {
            log.event(Event::Stopped, &[]);
            Ok(Report { exit: Exit::Done, text: "stopped".into() })
        }
        StopOutcome::TimedOut(in_flight) => {
            log.event(Event::StopTimeout, &[("in_progress", (in_flight as u64).into())]);
            let message = format!("the stop timeout expired with {in_flight} requests in flight");
            Err(CommandError::Process { message })
        }
    }
}

/// Writes the addresses to the output and to the log.
fn announce_addresses(
    server: &Server,
    id: &EntryId,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let (http, peer) = (server.http_addr, server.peer_addr);
    writeln!(out, "entry instance {id} on {http}, for peers on {peer}").map_err(process_error)?;
    out.flush().map_err(process_error)?;
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

fn process_error(e: impl std::fmt::Display) -> CommandError {
    CommandError::Process { message: e.to_string() }
}
