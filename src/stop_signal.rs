//! SIGTERM and SIGINT as one source of stop requests.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of the signals that ask the process to stop. Once it exists, these signals no longer
/// terminate the process directly. Create it before the process announces that it runs, so that no
/// signal sent afterwards terminates it.
pub struct StopSignal {
    term: Signal,
    int: Signal,
}

impl StopSignal {
    /// Installs handlers for both signals. Must be called within a Tokio runtime.
    pub fn new() -> io::Result<StopSignal> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(StopSignal { term, int })
    }

    /// Waits for the next signal and returns its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.term.recv() => "SIGTERM",
            _ = self.int.recv() => "SIGINT",
        }
    }
}
