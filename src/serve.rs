//! Runs an entry instance: starts its servers and background loops, and stops them gracefully.

use crate::admin_routes;
use crate::answer;
use crate::caller_connections;
use crate::controller_loop;
use crate::entry::{Entry, EntryCell, EntryError, Stage};
use crate::http_server;
use crate::job_runner;
use crate::node::NodeConfig;
use crate::peer;
use crate::probe;
use crate::proxy;
use crate::record::{ExpireLevel, Record};
use crate::settings::Settings;
use crate::sync;
use crate::watcher;
use crate::{health_routes, jobs};
use jsonrpsee::server::ServerHandle;
use rand::RngExt;
use rocket::{Build, Rocket, Shutdown};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time between reporting "not ready" and refusing requests, in which the load balancer stops
/// sending requests.
const READINESS_DELAY: Duration = Duration::from_secs(1);
/// Longest wait for the last `Renew` to be in the log.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a refused request after which callers are assumed to use other instances.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for callers to stop sending requests.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(3);
/// Interval between checks during the stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Error at the start of an entry instance.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The server for peers could not be bound.
    #[snafu(display("peer address {addr}: {source}"))]
    Peer { addr: SocketAddr, source: io::Error },
    /// The server for callers could not be bound or launched.
    #[snafu(display("HTTP address {addr}: {message}"))]
    Http { addr: SocketAddr, message: String },
    /// The state of the entry instance could not be created.
    #[snafu(display("{source}"))]
    CreateEntry { source: EntryError },
}

/// A running entry instance.
pub struct Server {
    /// Address for callers.
    pub http_addr: SocketAddr,
    /// Address for other entry instances.
    pub peer_addr: SocketAddr,
    /// State of the entry instance.
    pub entry: Arc<Entry>,
    http: Shutdown,
    http_task: JoinHandle<()>,
    peers: ServerHandle,
    loops: Vec<JoinHandle<()>>,
}

/// How a graceful stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// All work in flight finished.
    Clean,
    /// The stop timeout expired with this much work in flight.
    TimedOut(usize),
}

impl Server {
    /// Starts an entry instance; returns as soon as it accepts connections.
    pub async fn start(settings: Settings) -> Result<Server, ServeError> {
        let (peer_wanted, http_wanted) = (settings.peer_addr, settings.http_addr);
        let (listener, peer_addr) =
            peer::listen(peer_wanted).await.context(PeerSnafu { addr: peer_wanted })?;
        let entry_cell = Arc::new(EntryCell::new());
        let (http_addr, http, http_task) = launch(http_wanted, entry_cell.clone()).await?;
        let cfg = node_config(&settings, http_addr, peer_addr);
        let entry =
            Arc::new(Entry::new(settings, http_addr.port(), cfg).context(CreateEntrySnafu)?);
        let peers = listener.start(entry.clone());
        let loops = spawn_loops(&entry);
        // Setting the cell cannot fail, since nothing else sets it.
        let _ = entry_cell.set(entry.clone());
        Ok(Server { http_addr, peer_addr, entry, http, http_task, peers, loops })
    }

    /// Stops gracefully: reports not ready, refuses new work, waits up to the configured timeout
    /// for work in flight, and releases its units and jobs.
    pub async fn stop(self) -> StopOutcome {
        let entry = &self.entry;
        let limit = entry.settings.stop_timeout;
        entry.set_stage(Stage::NotReady);
        sleep(READINESS_DELAY.min(limit / 4)).await;
        entry.set_stage(Stage::Refusing);
        let mut in_flight = entry.subscribe_in_flight();
        let ended = timeout(limit, in_flight.wait_for(|n| *n == 0)).await.is_ok();
        let left = *entry.subscribe_in_flight().borrow();
        release_work(entry).await;
        wait_for_quiet(entry).await;
        self.close().await;
        if ended { StopOutcome::Clean } else { StopOutcome::TimedOut(left) }
    }

    /// Stops servers and loops without waiting for work in flight.
    async fn close(self) {
        self.entry.set_stage(Stage::Ended);
        self.http.notify();
        // The runtime has already reported a panic of the server task.
        let _ = self.http_task.await;
        // An error means that the server has already stopped.
        let _ = self.peers.stop();
        self.loops.iter().for_each(JoinHandle::abort);
    }
}

/// Waits until no more requests arrive, since closing a connection with a request in transit would
/// leave its caller without an answer.
async fn wait_for_quiet(entry: &Entry) {
    let quiet = async {
        while entry.time_since_refusal() < QUIET_PERIOD {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    // Callers that keep sending requests do not prevent the stop.
    let _ = timeout(MAX_QUIET_WAIT, quiet).await;
}

/// Releases units and jobs, so that other instances need not wait until the lease expires.
async fn release_work(entry: &Arc<Entry>) {
    entry.node.lock().stop(entry.now());
    entry.append_notify.notify_one();
    let left = async {
        while !entry.node.lock().has_left() {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    if timeout(LEAVE_TIMEOUT, left).await.is_err() {
        return;
    }
    let renewed_at = {
        let node = entry.node.lock();
        node.state().holders.get(&entry.incarnation()).map(|holder| holder.renewed_at)
    };
    let Some(renewed_at) = renewed_at else { return };
    // This instance starts no more work, so its lease can be expired and its jobs adopted at once.
    let expire = Record::Expire {
        holder: entry.id().clone(),
        holder_incarnation: entry.incarnation(),
        renewed_at,
        level: ExpireLevel::Borrowed,
    };
    let ticket = entry.propose(expire);
    entry.wait_for_proposal(ticket, entry.now() + LEAVE_TIMEOUT).await;
}

fn node_config(settings: &Settings, http_addr: SocketAddr, peer_addr: SocketAddr) -> NodeConfig {
    let mut rng = rand::rng();
    NodeConfig {
        id: settings.id.clone(),
        incarnation: rng.random(),
        zone: settings.zone.clone(),
        http_addr: http_addr.to_string(),
        peer_addr: peer_addr.to_string(),
        entry_instances: settings.entry_instances,
        seed: rng.random(),
        mutation: None,
    }
}

fn spawn_loops(entry: &Arc<Entry>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(sync::read_log(entry.clone())),
        tokio::spawn(sync::append_records(entry.clone())),
        tokio::spawn(sync::read_list(entry.clone())),
        tokio::spawn(sync::relay_from_peers(entry.clone())),
        tokio::spawn(sync::spread_holds(entry.clone())),
        tokio::spawn(sync::run_timers(entry.clone())),
        tokio::spawn(probe::run(entry.clone())),
        tokio::spawn(controller_loop::run(entry.clone())),
        tokio::spawn(job_runner::run(entry.clone())),
        tokio::spawn(caller_connections::run(entry.clone())),
        tokio::spawn(watcher::run(entry.clone())),
    ]
}

fn build(addr: SocketAddr, entry_cell: Arc<EntryCell>) -> Rocket<Build> {
    http_server::base(addr)
        .attach(caller_connections::ActivityFairing)
        .manage(entry_cell)
        .register("/", rocket::catchers![answer::catch_unrouted])
        .mount("/", health_routes::routes())
        .mount("/", jobs::routes())
        .mount("/", admin_routes::routes())
        .mount("/", proxy::routes())
}

/// Launches the HTTP server; returns its address as soon as it is bound.
async fn launch(
    addr: SocketAddr,
    entry_cell: Arc<EntryCell>,
) -> Result<(SocketAddr, Shutdown, JoinHandle<()>), ServeError> {
    let launched = http_server::launch(build(addr, entry_cell)).await;
    launched.map_err(|message| ServeError::Http { addr, message })
}
