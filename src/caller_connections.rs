//! Closes caller connections that are idle or slow to send a request.
//!
//! `rocket` 0.5.2 has no timeout for the head of a request, and reads the first 512 bytes of a body
//! before it calls a handler. Without this module, a caller could keep a connection open without
//! limit.

use crate::connection;
use crate::entry::Entry;
use parking_lot::Mutex;
use rocket::fairing::{Fairing, Info, Kind};
use rocket::{Data, Request, Response};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum time from the accept of a connection to its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time between two requests. It exceeds the idle timeout of common clients, so that the
/// client closes the connection and no request is sent on a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two checks. A check costs a few microseconds for each open file descriptor.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Response sent before a connection without a request is closed.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Activity of one connection.
#[derive(Clone, Copy, Debug)]
struct Activity {
    /// Number of requests that have started and whose response is not complete.
    active: u32,
    /// Whether a request has been received on the connection.
    has_request: bool,
    /// Time of the last start or end of a request, or of the first check.
    last_activity: Instant,
}

impl Activity {
    fn new() -> Activity {
        Activity { active: 0, has_request: false, last_activity: Instant::now() }
    }

    fn is_timed_out(&self) -> bool {
        let limit = if self.has_request { IDLE_TIMEOUT } else { FIRST_REQUEST_TIMEOUT };
        self.active == 0 && self.last_activity.elapsed() >= limit
    }
}

/// Activity of caller connections, by remote address.
#[derive(Default)]
pub struct CallerConnections {
    connections: Mutex<HashMap<SocketAddr, Activity>>,
}

impl CallerConnections {
    /// Creates an empty table.
    pub fn new() -> CallerConnections {
        CallerConnections::default()
    }

    fn update(&self, remote: SocketAddr, update: impl FnOnce(&mut Activity)) {
        let mut table = self.connections.lock();
        let connection = table.entry(remote).or_insert_with(Activity::new);
        update(connection);
        connection.last_activity = Instant::now();
    }

    fn request_started(&self, remote: SocketAddr) {
        self.update(remote, |connection| {
            connection.active += 1;
            connection.has_request = true;
        });
    }

    fn request_ended(&self, remote: SocketAddr) {
        self.update(remote, |connection| connection.active = connection.active.saturating_sub(1));
    }

    /// Returns the open connections that have timed out; removes closed connections from the table.
    fn timed_out(&self, open: Vec<(SocketAddr, TcpStream)>) -> Vec<(Activity, TcpStream)> {
        let mut table = self.connections.lock();
        let open: HashMap<SocketAddr, TcpStream> = open.into_iter().collect();
        table.retain(|remote, connection| connection.active > 0 || open.contains_key(remote));
        let activities = open
            .into_iter()
            .map(|(remote, stream)| (*table.entry(remote).or_insert_with(Activity::new), stream));
        activities.filter(|(connection, _)| connection.is_timed_out()).collect()
    }
}

/// Marks a connection as busy while its response is being streamed; ends on drop.
pub struct StreamingGuard {
    entry: Arc<Entry>,
    remote: Option<SocketAddr>,
}

impl StreamingGuard {
    /// Marks the connection as busy beyond the head of the response, until the guard is dropped.
    pub fn new(entry: &Arc<Entry>, remote: Option<SocketAddr>) -> StreamingGuard {
        if let Some(remote) = remote {
            entry.caller_connections.request_started(remote);
        }
        StreamingGuard { entry: entry.clone(), remote }
    }
}

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        if let Some(remote) = self.remote {
            self.entry.caller_connections.request_ended(remote);
        }
    }
}

/// Fairing that records the start and end of each request.
pub struct ActivityFairing;

#[rocket::async_trait]
impl Fairing for ActivityFairing {
    fn info(&self) -> Info {
        Info { name: "caller connection activity", kind: Kind::Request | Kind::Response }
    }

    async fn on_request(&self, req: &mut Request<'_>, _: &mut Data<'_>) {
        if let (Some(entry), Some(remote)) = (Entry::of(req), req.remote()) {
            entry.caller_connections.request_started(remote);
        }
    }

    async fn on_response<'r>(&self, req: &'r Request<'_>, _: &mut Response<'r>) {
        if let (Some(entry), Some(remote)) = (Entry::of(req), req.remote()) {
            entry.caller_connections.request_ended(remote);
        }
    }
}

/// Closes timed-out connections for as long as the entry instance runs.
pub async fn run(entry: Arc<Entry>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        // Without /proc no connection can be closed, but requests are still served.
        let Ok(open) = connection::accepted_sockets(entry.http_port) else { continue };
        for (connection, stream) in entry.caller_connections.timed_out(open) {
            close(connection, stream);
        }
    }
}

fn close(connection: Activity, mut stream: TcpStream) {
    if !connection.has_request {
        // The write may fail if the caller has disconnected or its receive buffer is full.
        let _ = stream.write_all(TIMEOUT_RESPONSE);
    }
    let _ = stream.shutdown(Shutdown::Both);
}
