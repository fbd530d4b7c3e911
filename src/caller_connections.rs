//! Closes connections of callers that send nothing for too long.
//!
//! `rocket` 0.5.2 has no time limit for a request's head, and reads the first 512 bytes of a body before it
//! calls a handler, so such a connection would stay open for as long as its caller likes.

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

/// Longest time from the accept to the first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time between two requests. Longer than the idle time of usual clients, so that they close
/// first and send no request into a closing connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two looks. A look costs a few microseconds for each open descriptor.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Tells the caller why the connection ends.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What is known of one connection.
#[derive(Clone, Copy, Debug)]
struct Activity {
    /// Requests begun and not yet answered.
    busy: u32,
    /// Whether it has brought a request.
    used: bool,
    /// Last begin or end of a request, or the first look.
    last: Instant,
}

impl Activity {
    fn new() -> Activity {
        Activity { busy: 0, used: false, last: Instant::now() }
    }

    fn is_timed_out(&self) -> bool {
        let limit = if self.used { IDLE_TIMEOUT } else { FIRST_REQUEST_TIMEOUT };
        self.busy == 0 && self.last.elapsed() >= limit
    }
}

/// The connections of callers, by remote address.
#[derive(Default)]
pub struct CallerConnections {
    states: Mutex<HashMap<SocketAddr, Activity>>,
}

impl CallerConnections {
    /// No connections yet.
    pub fn new() -> CallerConnections {
        CallerConnections::default()
    }

    fn change(&self, remote: SocketAddr, change: impl FnOnce(&mut Activity)) {
        let mut states = self.states.lock();
        let connection = states.entry(remote).or_insert_with(Activity::new);
        change(connection);
        connection.last = Instant::now();
    }

    fn request_started(&self, remote: SocketAddr) {
        self.change(remote, |connection| {
            connection.busy += 1;
            connection.used = true;
        });
    }

    fn request_ended(&self, remote: SocketAddr) {
        self.change(remote, |connection| connection.busy = connection.busy.saturating_sub(1));
    }

    /// Connections to close; forgets those that are no longer open.
    fn timed_out(&self, open: Vec<(SocketAddr, TcpStream)>) -> Vec<(Activity, TcpStream)> {
        let mut states = self.states.lock();
        let open: HashMap<SocketAddr, TcpStream> = open.into_iter().collect();
        states.retain(|remote, connection| connection.busy > 0 || open.contains_key(remote));
        let tracked = open
            .into_iter()
            .map(|(remote, stream)| (*states.entry(remote).or_insert_with(Activity::new), stream));
        tracked.filter(|(connection, _)| connection.is_timed_out()).collect()
    }
}

/// A connection whose answer is still being streamed.
pub struct StreamingGuard {
    entry: Arc<Entry>,
    remote: Option<SocketAddr>,
}

impl StreamingGuard {
    /// Keeps the connection of a request busy beyond its head, until it is dropped.
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

/// Notes the begin and end of each request.
pub struct ActivityFairing;

#[rocket::async_trait]
impl Fairing for ActivityFairing {
    fn info(&self) -> Info {
        Info { name: "activity of callers", kind: Kind::Request | Kind::Response }
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

/// Closes overdue connections for as long as the entry instance runs.
pub async fn run(entry: Arc<Entry>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        // Without /proc nothing can be closed; requests are served all the same.
        let Ok(open) = connection::accepted(entry.http_port) else { continue };
        for (connection, stream) in entry.caller_connections.timed_out(open) {
            close(connection, stream);
        }
    }
}

fn close(connection: Activity, mut stream: TcpStream) {
    if !connection.used {
        // The caller may be gone, and its buffer may be full.
        let _ = stream.write_all(TIMEOUT_RESPONSE);
    }
    let _ = stream.shutdown(Shutdown::Both);
}
