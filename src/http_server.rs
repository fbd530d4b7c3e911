//! HTTP server based on `rocket`, with start and shutdown controlled by the program.

use rocket::config::{Ident, LogLevel};
use rocket::data::Limits;
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use rocket::{Build, Rocket, Shutdown};
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time in seconds for responses in flight to finish when the server shuts down.
const SHUTDOWN_GRACE_SECS: u32 = 2;
/// Time in seconds for connections to close after the grace period.
const SHUTDOWN_MERCY_SECS: u32 = 1;

/// Creates a server at `addr` without routes. The server handles no signals and adds no headers.
pub fn base(addr: SocketAddr) -> Rocket<Build> {
    base_with_shutdown(addr, SHUTDOWN_GRACE_SECS, SHUTDOWN_MERCY_SECS)
}

/// Creates a server like `base`, with the given shutdown periods in seconds.
pub fn base_with_shutdown(addr: SocketAddr, grace: u32, mercy: u32) -> Rocket<Build> {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        grace,
        mercy,
        force: false,
        ..Default::default()
    };
    let config = rocket::Config {
        address: addr.ip(),
        port: addr.port(),
        ident: Ident::none(),
        limits: Limits::new(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..rocket::Config::release_default()
    };
    // The default shield would add headers to the upstreams' responses.
    rocket::custom(config).attach(Shield::new())
}

/// Launches a server; returns its address as soon as it is bound, or an error message.
pub async fn launch(
    rocket: Rocket<Build>,
) -> Result<(SocketAddr, Shutdown, JoinHandle<()>), String> {
    let (tx, rx) = oneshot::channel();
    let report_address = AdHoc::on_liftoff("bound address", |rocket| {
        Box::pin(async move {
            let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
            // The receiver is gone if the start was cancelled.
            let _ = tx.send((bound, rocket.shutdown()));
        })
    });
    let rocket = rocket.attach(report_address).ignite().await.map_err(|e| e.to_string())?;
    let (fail_tx, fail_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(e) = rocket.launch().await {
            // Formatting the error marks it as handled; `rocket` panics when an unhandled one is
            // dropped.
            let _ = fail_tx.send(e.to_string());
        }
    });
    match rx.await {
        Ok((bound, shutdown)) => Ok((bound, shutdown, task)),
        Err(_) => Err(fail_rx.await.unwrap_or_default()),
    }
}
