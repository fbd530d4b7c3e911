//! What an instance must know before it starts.

use crate::batch::declarations::Bounds;
use crate::ids::{EntryId, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceConfig {
    pub name: EntryId,
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer asks whether new connections are welcome.
    pub readiness: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Where metrics are served, if there is a port for them.
    pub metrics: Option<SocketAddr>,
    /// The metadata store, `IP:PORT`.
    pub store: String,
    /// The service that owns the machines.
    pub machines: Option<String>,
    /// Time between the request to stop and the end by force.
    pub stop_within: Duration,
    pub bounds: Bounds,
}
