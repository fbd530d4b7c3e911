//! An HTTP server on `rocket` whose start and end the caller controls.

use rocket::config::{Ident, LogLevel};
use rocket::data::Limits;
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use rocket::{Build, Rocket, Shutdown};
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time for answers that are being written when the server closes, in seconds.
const CLOSE_GRACE_SECS: u32 = 2;
/// Time for connections to end after that, in seconds.
const CLOSE_MERCY_SECS: u32 = 1;

/// A server at `addr` without routes. It leaves signals to the process and adds no headers.
pub fn base(addr: SocketAddr) -> Rocket<Build> {
    base_with_shutdown(addr, CLOSE_GRACE_SECS, CLOSE_MERCY_SECS)
}

/// As `base`, with other times in seconds for answers and then for connections when it closes.
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
    // The default shield would add headers to the upstreams' answers.
    rocket::custom(config).attach(Shield::new())
}

/// Launches a server; answers its address when it is bound. The error is a message.
pub async fn launch(
    rocket: Rocket<Build>,
) -> Result<(SocketAddr, Shutdown, JoinHandle<()>), String> {
    let (tx, rx) = oneshot::channel();
    let report = AdHoc::on_liftoff("bound address", |rocket| {
        Box::pin(async move {
            let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
            // Nobody waits when the start was given up.
            let _ = tx.send((bound, rocket.shutdown()));
        })
    });
    let rocket = rocket.attach(report).ignite().await.map_err(|e| e.to_string())?;
    let (fail_tx, fail_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(e) = rocket.launch().await {
            // Reading the error marks it as handled; an unread one panics when dropped.
            let _ = fail_tx.send(e.to_string());
        }
    });
    match rx.await {
        Ok((bound, shutdown)) => Ok((bound, shutdown, task)),
        Err(_) => Err(fail_rx.await.unwrap_or_default()),
    }
}
