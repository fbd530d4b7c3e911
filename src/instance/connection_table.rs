//! Which connections of a listener stay, and which one is cut off when there is too little room.
//!
//! The load that this answers: many clients that send heads without end, stop in the middle of their bodies, or do not
//! read their answers, and stay open. All of them wait for something; an ordinary caller beside them does not. So the
//! connection that has waited longest without progress goes first, and a request that arrived whole never goes. No I/O.

use crate::batch::declarations::RequestLimits;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Number of a connection of one listener.
pub type ConnectionId = u64;

/// Bytes of a request that count as progress where there is too little room; a client that sends a byte at a time
/// makes none.
const PROGRESS_BYTES: usize = 1 << 10;
/// Shortest pause after which a request counts as waiting. Clients of the platform are a few milliseconds away, so one
/// that sends has shorter pauses.
pub const MIN_STALL: Duration = Duration::from_millis(100);
/// Time for which a response may wait for its client to read. Clients wait for responses, so an ordinary one reads at
/// once; this is the longest time that a machine may be frozen.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time beyond the idle time in force, so that a client that also closes after that time closes first.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Bytes that a chunked body may take on the wire for each byte of its maximum size. A chunk of one byte takes 6.
const MAX_FRAMING_FACTOR: usize = 8;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No byte of a request has come.
    Idle,
    Head,
    Body,
    /// A whole request is being served.
    Serving,
    /// A response is being sent.
    Answering,
}

/// Why a connection is cut off, or a request refused for its size.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CutReason {
    /// The head did not arrive in time.
    HeadSlow,
    HeadLong,
    /// The body did not arrive in time.
    BodySlow,
    BodyLong,
    /// No request came.
    Idle,
    /// The client does not read its response.
    Unread,
    /// Another connection needed the place.
    Connections,
    /// Another body needed the memory.
    Memory,
    /// The process stops.
    Stopping,
}

impl CutReason {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CutReason::HeadSlow => "head_slow",
            CutReason::HeadLong => "head_long",
            CutReason::BodySlow => "body_slow",
            CutReason::BodyLong => "body_long",
            CutReason::Idle => "idle",
            CutReason::Unread => "unread",
            CutReason::Connections => "connections",
            CutReason::Memory => "memory",
            CutReason::Stopping => "stopping",
        }
    }
}

/// Result of a request for memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Take {
    Taken,
    /// These connections are cut off; memory becomes free when they are gone.
    Wait(Vec<ConnectionId>),
    /// Enough memory becomes free if other clients pause from now on.
    Soon,
    /// Nothing that other clients do frees enough.
    Refused,
}

/// Result of a request for the place of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// This connection is cut off for it.
    Cut(ConnectionId),
    /// A place becomes free if another client pauses from now on.
    Soon,
    /// All connections are being served.
    Refused,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// When a byte was last read or written.
    heard_at: Instant,
    /// When it last made progress; see `PROGRESS_BYTES`.
    progress_at: Instant,
    /// Bytes read since then.
    read_since_progress: usize,
    /// Bytes of the body read, with its framing.
    body_bytes_read: usize,
    /// Bytes of memory that its body holds.
    held: usize,
    /// Whether a request of it has been answered.
    answered: bool,
    /// Whether bytes came while an earlier request was served; they belong to the next head.
    read_ahead: bool,
    /// Once set, it stays so, and the phase no longer changes.
    cut: Option<CutReason>,
}

impl Connection {
    fn new(now: Instant) -> Connection {
        Connection {
            phase: Phase::Idle,
            since: now,
            heard_at: now,
            progress_at: now,
            read_since_progress: 0,
            body_bytes_read: 0,
            held: 0,
            answered: false,
            read_ahead: false,
            cut: None,
        }
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        if self.cut.is_some() {
            return;
        }
        self.phase = phase;
        self.since = now;
        self.progress_at = now;
        self.read_since_progress = 0;
    }

    /// Whether its client has to act next, and it is not cut off yet.
    fn is_clients_turn(&self) -> bool {
        self.cut.is_none() && self.phase != Phase::Serving
    }

    /// Whether it waits for its client.
    fn is_waiting(&self, now: Instant) -> bool {
        self.is_clients_turn() && now.saturating_duration_since(self.progress_at) >= MIN_STALL
    }

    /// Whether it waits between two requests, as connections of ordinary clients do.
    fn is_kept_alive(&self) -> bool {
        self.phase == Phase::Idle && self.answered
    }

    fn overdue(&self, limits: &RequestLimits, now: Instant) -> Option<CutReason> {
        let (from, limit, reason) = match self.phase {
            Phase::Idle => {
                (self.since, limits.idle_timeout.saturating_add(IDLE_MARGIN), CutReason::Idle)
            }
            Phase::Head => (self.since, limits.head_timeout, CutReason::HeadSlow),
            Phase::Body => (self.heard_at, limits.idle_timeout, CutReason::BodySlow),
            Phase::Answering => (self.heard_at, UNREAD_TIMEOUT, CutReason::Unread),
            Phase::Serving => return None,
        };
        (now.saturating_duration_since(from) > limit).then_some(reason)
    }
}

/// Connections of one listener, and the memory that their requests hold.
#[derive(Debug)]
pub struct ConnectionTable {
    max_body_bytes: usize,
    connections: IndexMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Bytes held by bodies in progress and by records that are not stored yet. Exceeds the maximum only while a record
    /// is longer than the body of which it was made.
    held: usize,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(max_body_bytes: usize) -> ConnectionTable {
        ConnectionTable { max_body_bytes, connections: IndexMap::new(), next_id: 0, held: 0 }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes held by bodies in progress and by records that are not stored yet.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        self.next_id += 1;
        self.connections.insert(self.next_id, Connection::new(now));
        self.next_id
    }

    /// Cuts off the connection whose place a new one takes: the one that has waited longest for its client, and one that
    /// waits between two requests only if no other does.
    pub fn cut_for_place(&mut self, now: Instant) -> Place {
        let waiting = self.connections.iter().filter(|(_, c)| c.is_waiting(now));
        let first = waiting.min_by_key(|(_, c)| (c.is_kept_alive(), c.progress_at));
        if let Some(id) = first.map(|(id, _)| *id) {
            self.cut(id, CutReason::Connections);
            return Place::Cut(id);
        }
        match self.connections.values().any(Connection::is_clients_turn) {
            true => Place::Soon,
            false => Place::Refused,
        }
    }

    /// Records that bytes were read from a connection. Returns whether it was cut off for it.
    pub fn read(&mut self, id: ConnectionId, bytes: usize, max_body: usize, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.heard_at = now;
        match connection.phase {
            Phase::Idle => connection.enter(Phase::Head, now),
            Phase::Serving | Phase::Answering => connection.read_ahead = true,
            Phase::Head => {}
            Phase::Body => {
                connection.body_bytes_read += bytes;
                connection.read_since_progress += bytes;
                if connection.read_since_progress >= PROGRESS_BYTES {
                    connection.read_since_progress = 0;
                    connection.progress_at = now;
                }
                if connection.body_bytes_read > max_body.saturating_mul(MAX_FRAMING_FACTOR) {
                    return self.cut(id, CutReason::BodyLong);
                }
            }
        }
        false
    }

    /// Records that bytes of a response were written.
    pub fn written(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.heard_at = now;
            connection.progress_at = now;
        }
    }

    /// Records that everything written so far was taken by the system. A response ends with it.
    pub fn flushed(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == Phase::Answering {
            connection.answered = true;
            let next = if connection.read_ahead { Phase::Head } else { Phase::Idle };
            connection.enter(next, now);
        }
    }

    /// Records that a head was complete.
    pub fn head_complete(&mut self, id: ConnectionId, has_body: bool, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.read_ahead = false;
            connection.body_bytes_read = 0;
            connection.heard_at = now;
            connection.enter(if has_body { Phase::Body } else { Phase::Serving }, now);
        }
    }

    /// Records that a body was complete. Returns whether the request may be served: it is not if the connection was cut
    /// off meanwhile.
    pub fn body_complete(&mut self, id: ConnectionId, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.phase == Phase::Body {
            connection.enter(Phase::Serving, now);
        }
        connection.cut.is_none()
    }

    /// Records that a response is ready.
    pub fn answer_ready(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.heard_at = now;
            connection.enter(Phase::Answering, now);
        }
    }

    /// Whether a connection was cut off.
    pub fn is_cut(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_none_or(|connection| connection.cut.is_some())
    }

    /// Takes memory for bytes of a body that have arrived. If there is too little, the bodies that have waited longest
    /// without progress go, if enough of them wait.
    pub fn take(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> Take {
        let missing = self.held.saturating_add(bytes).saturating_sub(self.max_body_bytes);
        if missing == 0 {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.held += bytes;
                self.held += bytes;
            }
            return Take::Taken;
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            // It waits for memory and not for its client.
            connection.progress_at = now;
        }
        let others = self.connections.iter().filter(|(other, _)| **other != id);
        let bodies = others.filter(|(_, c)| c.phase == Phase::Body && c.held > 0);
        let (mut freed, mut freed_soon) = (0, 0);
        let mut waiting = Vec::new();
        for (other, connection) in bodies {
            if connection.cut.is_some() {
                freed += connection.held;
            } else if connection.is_waiting(now) {
                waiting.push((connection.progress_at, *other, connection.held));
            } else {
                freed_soon += connection.held;
            }
        }
        waiting.sort_unstable();
        let mut cut = Vec::new();
        for (_, other, held) in waiting {
            if freed >= missing {
                break;
            }
            freed += held;
            cut.push(other);
        }
        if freed >= missing {
            for other in &cut {
                self.cut(*other, CutReason::Memory);
            }
            return Take::Wait(cut);
        }
        if freed + freed_soon >= missing { Take::Soon } else { Take::Refused }
    }

    /// Gives memory back.
    pub fn give_back(&mut self, id: ConnectionId, bytes: usize) {
        self.held -= bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held -= bytes;
        }
    }

    /// Replaces the memory that a body took by that of its record, which no longer belongs to the connection.
    pub fn body_became_record(&mut self, id: ConnectionId, bytes: usize, record_bytes: usize) {
        self.give_back(id, bytes);
        self.held += record_bytes;
    }

    /// Gives the memory of a record back.
    pub fn record_done(&mut self, bytes: usize) {
        self.held -= bytes;
    }

    /// Cuts off all connections whose time is over, and returns them.
    pub fn cut_overdue(&mut self, limits: &RequestLimits, now: Instant) -> Vec<ConnectionId> {
        let mut cut = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.cut.is_none()
                && let Some(reason) = connection.overdue(limits, now)
            {
                connection.cut = Some(reason);
                cut.push(*id);
            }
        }
        cut
    }

    /// Cuts off all connections, and returns them.
    pub fn cut_all(&mut self) -> Vec<ConnectionId> {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        ids.into_iter().filter(|id| self.cut(*id, CutReason::Stopping)).collect()
    }

    /// Removes a connection. Returns why and in which phase it was cut off, if it was.
    pub fn close(&mut self, id: ConnectionId) -> Option<(CutReason, Phase)> {
        let connection = self.connections.swap_remove(&id)?;
        connection.cut.map(|reason| (reason, connection.phase))
    }

    fn cut(&mut self, id: ConnectionId, reason: CutReason) -> bool {
        match self.connections.get_mut(&id) {
            Some(connection) if connection.cut.is_none() => {
                connection.cut = Some(reason);
                true
            }
            _ => false,
        }
    }
}
