//! Runs an entry instance as a process of its own.

use crate::exit::{Exit, Failure};
use crate::operate::Report;
use crate::serve::{Server, Stopped};
use crate::settings::Settings;
use std::io::Write;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs an entry instance until SIGTERM or SIGINT. The first line names its addresses. A second
/// signal ends the process at once.
pub fn serve(settings: Settings, out: &mut dyn Write) -> Result<Report, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build();
    runtime.map_err(process)?.block_on(run(settings, out))
}

async fn run(settings: Settings, out: &mut dyn Write) -> Result<Report, Failure> {
    let mut signals = Signals::new()?;
    let id = settings.id.clone();
    let server = Server::start(settings).await.map_err(process)?;
    let (http, peer) = (server.http_addr, server.peer_addr);
    writeln!(out, "entry instance {id} on {http}, for peers on {peer}").map_err(process)?;
    out.flush().map_err(process)?;
    signals.next().await;
    let stopped = tokio::select! {
        stopped = server.stop() => stopped,
        () = signals.next() => {
            return Err(Failure::Process { message: "ended at once by a second signal".into() });
        }
    };
    match stopped {
        Stopped::Clean => Ok(Report { exit: Exit::Done, text: "stopped".into() }),
        Stopped::CutOff(left) => {
            let message = format!("the stop timeout came with {left} requests in flight");
            Err(Failure::Process { message })
        }
    }
}

/// SIGTERM and SIGINT.
struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    fn new() -> Result<Signals, Failure> {
        let term = signal(SignalKind::terminate()).map_err(process)?;
        let int = signal(SignalKind::interrupt()).map_err(process)?;
        Ok(Signals { term, int })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

fn process(e: impl std::fmt::Display) -> Failure {
    Failure::Process { message: e.to_string() }
}
