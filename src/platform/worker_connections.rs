//! Connections to workers, each with the incarnation at which it ends.
//!
//! A worker that restarts under its id and address carries out what was meant for its earlier incarnation, and
//! nothing in a request tells the two apart. A connection does: it ends with the process that accepted it. An
//! order that must not reach another incarnation is therefore sent on a connection on which that incarnation
//! has answered before.

pub use crate::batch::orders::is_same;
use crate::platform::http::{CallFailure, Connection, Http, IDLE_TIMEOUT, MAX_IDLE_PER_HOST};
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two removals of idle connections that have expired or closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection to a worker.
#[derive(Debug)]
pub struct WorkerConnection {
    pub connection: Connection,
    /// Incarnation that has answered on it, 0 if it did not name itself; `None` before the first answer.
    pub incarnation: Option<u64>,
}

impl WorkerConnection {
    /// Whether the connection certainly ends at `incarnation`; 0 stands for one that is not known.
    pub fn ends_at(&self, incarnation: u64) -> bool {
        self.incarnation.is_some_and(|known| is_same(known, incarnation))
    }
}

#[derive(Debug)]
struct Idle {
    connection: WorkerConnection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.connection.connection.is_open() && now < self.since + IDLE_TIMEOUT
    }
}

#[derive(Debug)]
struct IdleConnections {
    by_address: IndexMap<Arc<str>, Vec<Idle>>,
    swept_at: Instant,
}

/// Opens connections to workers and keeps idle ones; clones share them.
#[derive(Clone, Debug)]
pub struct WorkerConnections {
    http: Http,
    idle: Arc<Mutex<IdleConnections>>,
}

impl WorkerConnections {
    /// Creates a set without connections.
    pub fn new(http: Http) -> WorkerConnections {
        let idle = IdleConnections { by_address: IndexMap::new(), swept_at: Instant::now() };
        WorkerConnections { http, idle: Arc::new(Mutex::new(idle)) }
    }

    /// Returns an idle connection to `address` that ends at `incarnation`, or one that may.
    pub fn take(&self, address: &str, incarnation: u64) -> Option<WorkerConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.by_address.get_mut(address)?;
        // Of those that end elsewhere, the other end is gone or about to be.
        connections.retain(|idle| {
            let incarnation_of = idle.connection.incarnation;
            idle.is_usable(now) && incarnation_of.is_none_or(|known| is_same(known, incarnation))
        });
        let last = connections.len().checked_sub(1)?;
        let position = connections.iter().rposition(|idle| idle.connection.incarnation.is_some());
        Some(connections.remove(position.unwrap_or(last)).connection)
    }

    /// Opens a connection to `address`, `IP:PORT`. The only error is `CallFailure::NotSent`.
    pub async fn open(&self, address: &str) -> Result<WorkerConnection, CallFailure> {
        let connection = self.http.connect(address).await?;
        Ok(WorkerConnection { connection, incarnation: None })
    }

    /// Keeps a connection whose last call was answered.
    pub fn put(&self, address: &Arc<str>, connection: WorkerConnection) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        if now >= idle.swept_at + SWEEP_INTERVAL {
            idle.swept_at = now;
            idle.by_address.retain(|_, connections| {
                connections.retain(|idle| idle.is_usable(now));
                !connections.is_empty()
            });
        }
        let connections = idle.by_address.entry(address.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_HOST {
            connections.push(Idle { connection, since: now });
        }
    }
}
