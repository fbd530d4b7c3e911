//! SIGTERM and SIGINT as one stream.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that ask the process to stop. From its creation on they no longer end the process by themselves,
/// so it is made before the process tells anybody that it runs.
pub struct StopSignal {
    term: Signal,
    int: Signal,
}

impl StopSignal {
    /// Takes over both signals; needs a runtime.
    pub fn new() -> io::Result<StopSignal> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(StopSignal { term, int })
    }

    /// Waits for the next signal and answers its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.term.recv() => "SIGTERM",
            _ = self.int.recv() => "SIGINT",
        }
    }
}
