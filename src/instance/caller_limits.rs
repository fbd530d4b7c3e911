//! Limits on what callers and other instances may send and hold.
//!
//! What one request may send is declared by operators (`batch::declarations::RequestLimits`). What all connections
//! together may hold follows from the memory and the descriptors of the machine, and leaves the rest to the owner, the
//! store and the workers. The settings can only lower it.

use crate::batch::declarations::RequestLimits;
use crate::config::SectionReader;
use rustix::process::{Resource, getrlimit};
use snafu::Snafu;
use std::time::Duration;

/// Bytes per unit of the key for memory.
const KIB: usize = 1 << 10;
/// Share of the memory for callers' connections, and the same again for bodies in progress. Three fifths are left for
/// the rest, of which the owner's jobs are the largest part.
const CALLER_MEMORY_FRACTION: usize = 5;
/// Share of the memory for the connections of other instances.
const PEER_MEMORY_FRACTION: usize = 10;
/// Shares of the descriptors. Half and more are left for the store and the workers.
const CALLER_DESCRIPTOR_FRACTION: usize = 4;
const PEER_DESCRIPTOR_FRACTION: usize = 8;
/// Descriptors that are not for sockets, where there are twice as many.
const FILE_DESCRIPTORS: usize = 200;
/// Connections for readiness probes and for metrics; each of them has a few clients.
const STATUS_CONNECTIONS: usize = 32;
/// Maximum number of connections of other instances; each uses a few.
const MAX_PEER_CONNECTIONS: usize = 512;
/// Fewer connections would not serve a listener's ordinary clients.
const MIN_CONNECTIONS: usize = 8;
/// Connections that may wait to be accepted, at each listener. As many as the instances of a large deployment open at once.
const MAX_BACKLOG: usize = 256;
/// Memory of a connection beside its buffers: its task and what the system keeps.
const CONNECTION_BYTES: usize = 4 * KIB;
/// Smallest read buffer that the HTTP library works with.
pub const MIN_READ_BUFFER_BYTES: usize = 8 * KIB;
/// Receive and send buffers of a socket, as asked of the system, which takes up to twice as much.
pub const SOCKET_BUFFER_BYTES: usize = 16 * KIB;
/// Maximum size in bytes of a request of another instance, which names a job or a queue.
pub const MAX_PEER_BODY_BYTES: usize = 16 * KIB;

/// Limits on a request while the part is not in use.
const UNDECLARED_LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 400 * KIB,
    max_body_bytes: 256 * KIB,
    head_timeout: Duration::MAX,
    idle_timeout: Duration::MAX,
};

/// Memory and descriptors that this process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessRoom {
    /// In bytes.
    pub memory: usize,
    pub descriptors: usize,
}

impl ProcessRoom {
    /// Memory where the system does not tell; the smallest machines of the deployments have as much.
    const DEFAULT_MEMORY: usize = 160 << 20;
    /// Descriptors where the system sets no limit.
    const DEFAULT_DESCRIPTORS: usize = 4_096;

    /// Returns what the system allows this process.
    pub fn of_system() -> ProcessRoom {
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let memory = memory.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let memory = memory.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        let descriptors = getrlimit(Resource::Nofile).current;
        ProcessRoom {
            memory: memory.map_or(Self::DEFAULT_MEMORY, |kib| kib * KIB),
            descriptors: descriptors.map_or(Self::DEFAULT_DESCRIPTORS, |count| count as usize),
        }
    }
}

/// Settings of the section `[caller_limits]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Whether the part is in use.
    pub enabled: bool,
    /// Maximum number of callers' connections; `None` if it follows from the machine.
    pub connections: Option<u32>,
    /// Maximum number of other instances' connections; `None` if it follows from the machine.
    pub peer_connections: Option<u32>,
    /// Memory in KiB for bodies in progress; `None` if it follows from the machine.
    pub bodies_kib: Option<u32>,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { enabled: true, connections: None, peer_connections: None, bodies_kib: None }
    }
}

/// A limit of the settings that the machine cannot keep.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("[caller_limits] {key} = {found}: the machine has room for {allowed}"))]
pub struct LimitTooHigh {
    pub key: &'static str,
    pub found: u32,
    pub allowed: usize,
}

/// What all connections of one listener may hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerBounds {
    pub connections: usize,
    /// Memory for connections; fewer fit if heads may be long.
    pub connection_bytes: usize,
    /// Memory for bodies in progress and for records that are not stored yet.
    pub body_bytes: usize,
}

impl ListenerBounds {
    /// No bound.
    pub const NONE: ListenerBounds = ListenerBounds {
        connections: usize::MAX,
        connection_bytes: usize::MAX,
        body_bytes: usize::MAX,
    };

    /// Returns how many connections may wait to be accepted. Each may hold a receive buffer, as many as 16 MiB in all.
    pub fn backlog(&self) -> u32 {
        self.connections.min(MAX_BACKLOG) as u32
    }

    /// Returns the maximum number of connections with heads of at most `head_bytes`.
    pub fn connections_for(&self, head_bytes: usize) -> usize {
        if *self == ListenerBounds::NONE {
            return usize::MAX;
        }
        let fit = self.connection_bytes / connection_bytes(head_bytes);
        self.connections.min(fit.max(MIN_CONNECTIONS))
    }
}

/// Bounds of all listeners of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessBounds {
    pub callers: ListenerBounds,
    pub peers: ListenerBounds,
    /// For readiness probes and for metrics, each.
    pub status: ListenerBounds,
}

impl CallerLimits {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
        let mut number = |key| {
            let value = reader.get(key)?;
            reader.parse_number(key, value, &(1..=u32::MAX))
        };
        self.connections = number("connections").or(self.connections);
        self.peer_connections = number("peer_connections").or(self.peer_connections);
        self.bodies_kib = number("bodies_kib").or(self.bodies_kib);
    }

    /// Returns the limits on a request, given those that operators declare.
    pub fn request_limits(&self, declared: RequestLimits) -> RequestLimits {
        if self.enabled { declared } else { UNDECLARED_LIMITS }
    }

    /// Returns the bounds on a machine. Fails for settings beyond the machine's memory or descriptors.
    pub fn bounds(&self, room: &ProcessRoom) -> Result<ProcessBounds, LimitTooHigh> {
        let none = ListenerBounds::NONE;
        if !self.enabled {
            return Ok(ProcessBounds { callers: none, peers: none, status: none });
        }
        let sockets = room.descriptors - FILE_DESCRIPTORS.min(room.descriptors / 2);
        check("bodies_kib", self.bodies_kib, room.memory / KIB)?;
        check("connections", self.connections, sockets)?;
        check("peer_connections", self.peer_connections, sockets)?;
        let or = |limit: Option<u32>, derived: usize| limit.map_or(derived, |n| n as usize);
        let caller_bytes = room.memory / CALLER_MEMORY_FRACTION;
        let peer_connections = (sockets / PEER_DESCRIPTOR_FRACTION).min(MAX_PEER_CONNECTIONS);
        Ok(ProcessBounds {
            callers: ListenerBounds {
                connections: or(self.connections, sockets / CALLER_DESCRIPTOR_FRACTION),
                connection_bytes: caller_bytes,
                body_bytes: self.bodies_kib.map_or(caller_bytes, |kib| kib as usize * KIB),
            },
            // Bodies are short here, so that each connection has memory for one.
            peers: ListenerBounds {
                connections: or(self.peer_connections, peer_connections),
                connection_bytes: room.memory / PEER_MEMORY_FRACTION,
                body_bytes: usize::MAX,
            },
            status: ListenerBounds { connections: STATUS_CONNECTIONS, ..none },
        })
    }
}

fn check(key: &'static str, limit: Option<u32>, allowed: usize) -> Result<(), LimitTooHigh> {
    match limit {
        Some(found) if found as usize > allowed => Err(LimitTooHigh { key, found, allowed }),
        _ => Ok(()),
    }
}

/// Returns the memory of a connection: its head as parsed, a buffer of that size for what is read next, and the receive
/// buffer of its socket, which the system may double.
fn connection_bytes(head_bytes: usize) -> usize {
    let buffers = head_bytes.max(MIN_READ_BUFFER_BYTES).saturating_mul(2);
    buffers.saturating_add(CONNECTION_BYTES + 2 * SOCKET_BUFFER_BYTES)
}
