//! Stand-in for the platform: an append-only log with long poll and retention, and a lagging list of
//! instances. `docs/platform.md` states the protocol.

use crate::ids::*;
use crate::protocol::{
    InstanceList, ListedInstance, LogEntry, Presence, ReadAnswer, RebootAnswer, RebootRequest,
    RebootState,
};
use crate::record::MAX_ENTRY_LEN;
use crate::standin::{self, Answer, Gate, Running, StandinError, Switches};
use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::State;
use rocket::data::{Data, ToByteUnit};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest wait of a read.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Most entries in one answer to a read.
pub const MAX_READ_ENTRIES: usize = 1_000;
/// Most bytes of entries in one answer to a read; one entry is always sent.
pub const MAX_READ_LEN: usize = 1024 * 1024;
/// Largest registration in bytes.
const MAX_LISTED_LEN: u64 = 16 * 1024;

/// How long a restart of an instance takes.
pub const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where to listen; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Entries kept; older ones are trimmed.
    pub retention: usize,
    /// How late the list shows a change.
    pub list_lag: Duration,
}

impl PlatformOptions {
    /// A large log and a list without lag.
    pub fn new(addr: SocketAddr) -> PlatformOptions {
        PlatformOptions { addr, retention: 1_000_000, list_lag: Duration::ZERO }
    }

    /// Replaces the number of entries kept.
    pub fn with_retention(mut self, entries: usize) -> PlatformOptions {
        self.retention = entries;
        self
    }

    /// Replaces the lag of the list.
    pub fn with_list_lag(mut self, lag: Duration) -> PlatformOptions {
        self.list_lag = lag;
        self
    }
}

/// The log. Invariant: `entries` are consecutive and end at `next - 1`.
#[derive(Debug, Default)]
struct Log {
    next: Offset,
    entries: VecDeque<Bytes>,
}

impl Log {
    fn first(&self) -> Offset {
        self.next - self.entries.len() as Offset
    }

    fn append(&mut self, data: Bytes, retention: usize) -> Offset {
        let offset = self.next;
        self.entries.push_back(data);
        self.next += 1;
        self.trim(retention);
        offset
    }

    fn trim(&mut self, keep: usize) {
        let excess = self.entries.len().saturating_sub(keep);
        self.entries.drain(..excess);
    }

    fn read(&self, from: Offset, max: usize) -> ReadAnswer {
        let first = self.first();
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let mut left = MAX_READ_LEN;
        let mut entries = Vec::new();
        for (i, data) in self.entries.iter().enumerate().skip(skip).take(max) {
            if data.len() > left && !entries.is_empty() {
                break;
            }
            left = left.saturating_sub(data.len());
            entries.push(LogEntry { offset: first + i as Offset, data: data.clone() });
        }
        ReadAnswer { first, next: self.next, entries }
    }
}

/// One change of the list that is not visible yet; `None` removes the instance.
#[derive(Debug)]
struct ListChange {
    made: Instant,
    id: InstanceId,
    listed: Option<ListedInstance>,
}

/// The list: what is registered, and what a reader sees.
#[derive(Debug, Default)]
struct Registry {
    current: IndexMap<InstanceId, ListedInstance>,
    visible: IndexMap<InstanceId, ListedInstance>,
    pending: VecDeque<ListChange>,
}

impl Registry {
    fn change(&mut self, id: InstanceId, listed: Option<ListedInstance>) {
        match &listed {
            Some(listed) => {
                self.current.insert(id.clone(), listed.clone());
            }
            None => {
                self.current.shift_remove(&id);
            }
        }
        self.pending.push_back(ListChange { made: Instant::now(), id, listed });
    }

    /// The list as it was `lag` ago, but for an instance that has been registered again since it was
    /// removed: the list never shows a live instance as gone.
    fn read(&mut self, lag: Duration) -> InstanceList {
        while self.pending.front().is_some_and(|c| c.made.elapsed() >= lag) {
            let Some(change) = self.pending.pop_front() else { break };
            match change.listed {
                Some(listed) => {
                    self.visible.insert(change.id, listed);
                }
                None if !self.current.contains_key(&change.id) => {
                    self.visible.shift_remove(&change.id);
                }
                None => (),
            }
        }
        InstanceList { instances: self.visible.values().cloned().collect() }
    }
}

/// The last restart of an instance.
#[derive(Debug)]
struct Reboot {
    op: String,
    started: Instant,
    done: bool,
}

/// Restarts by instance.
#[derive(Debug, Default)]
struct Reboots {
    last: IndexMap<InstanceId, Reboot>,
}

impl Reboots {
    /// Starts the restart named by `op`, or tells how far it is; `None` for an unknown instance.
    fn ask(&mut self, registry: &mut Registry, id: &str, op: String) -> Option<RebootState> {
        self.finish(registry);
        let listed = registry.current.get(id)?.clone();
        let known = self.last.get(id).filter(|reboot| reboot.op == op);
        if let Some(reboot) = known {
            return Some(if reboot.done { RebootState::Done } else { RebootState::Rebooting });
        }
        let id = listed.id.clone();
        let departing = ListedInstance { presence: Presence::Departing, ..listed };
        registry.change(id.clone(), Some(departing));
        self.last.insert(id, Reboot { op, started: Instant::now(), done: false });
        Some(RebootState::Rebooting)
    }

    /// Shows instances as live whose restart is over.
    fn finish(&mut self, registry: &mut Registry) {
        let over = |reboot: &Reboot| !reboot.done && reboot.started.elapsed() >= REBOOT_TIME;
        for (id, reboot) in self.last.iter_mut().filter(|(_, reboot)| over(reboot)) {
            reboot.done = true;
            if let Some(listed) = registry.current.get(id).cloned() {
                let live = ListedInstance { presence: Presence::Live, ..listed };
                registry.change(id.clone(), Some(live));
            }
        }
    }
}

/// State of one platform stand-in.
struct Store {
    log: Mutex<Log>,
    /// Locked before `registry`.
    reboots: Mutex<Reboots>,
    registry: Mutex<Registry>,
    retention: usize,
    list_lag: Mutex<Duration>,
    /// Tells waiting reads the next offset.
    next: watch::Sender<Offset>,
}

/// A running platform stand-in.
pub struct PlatformStandin {
    running: Running,
    store: Arc<Store>,
    /// Its fault switches, as `PUT /faults` sets them.
    pub switches: Arc<Switches>,
}

impl PlatformStandin {
    /// Starts a stand-in and returns once it is bound.
    pub async fn start(options: PlatformOptions) -> Result<PlatformStandin, StandinError> {
        let switches = Arc::new(Switches::default());
        let store = Arc::new(Store {
            log: Mutex::default(),
            reboots: Mutex::default(),
            registry: Mutex::default(),
            retention: options.retention,
            list_lag: Mutex::new(options.list_lag),
            next: watch::Sender::new(0),
        });
        let rocket = standin::build(options.addr, switches.clone())
            .manage(store.clone())
            .mount("/", rocket::routes![append, read, list, register, remove, reboot]);
        let running = standin::launch(options.addr, rocket).await?;
        Ok(PlatformStandin { running, store, switches })
    }

    /// The address it is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr()
    }

    /// Offset that the next append will get.
    pub fn next_offset(&self) -> Offset {
        self.store.log.lock().next
    }

    /// Drops all but the newest `keep` entries, as retention does over time.
    pub fn trim(&self, keep: usize) {
        self.store.log.lock().trim(keep);
    }

    /// Replaces the lag of the list.
    pub fn set_list_lag(&self, lag: Duration) {
        *self.store.list_lag.lock() = lag;
    }

    /// Ends it as a crash would.
    pub async fn stop(self) {
        self.running.stop().await;
    }

    /// Returns when it has ended.
    pub async fn ended(&mut self) {
        self.running.ended().await;
    }
}

#[rocket::post("/log", data = "<data>")]
async fn append(gate: Gate, data: Data<'_>, store: &State<Arc<Store>>) -> Answer {
    let limit = (MAX_ENTRY_LEN as u64).bytes();
    let body = match data.open(limit).into_bytes().await {
        Ok(body) if body.is_complete() => Bytes::from(body.into_inner()),
        Ok(_) => return gate.leave(Answer::new(413)).await,
        Err(_) => return gate.leave(Answer::new(400)).await,
    };
    if gate.failing {
        return gate.leave(Answer::new(500)).await;
    }
    let offset = {
        let mut log = store.log.lock();
        let offset = log.append(body, store.retention);
        store.next.send_replace(log.next);
        offset
    };
    gate.leave(Answer::json(200, &serde_json::json!({ "offset": offset }))).await
}

#[rocket::get("/log?<from>&<max>&<wait_ms>")]
async fn read(
    gate: Gate,
    from: Offset,
    max: Option<usize>,
    wait_ms: Option<u64>,
    store: &State<Arc<Store>>,
) -> Answer {
    if gate.failing {
        return gate.leave(Answer::new(500)).await;
    }
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let mut next = store.next.subscribe();
    // A wait that ends without an append answers with no entries.
    let _ = tokio::time::timeout(wait, next.wait_for(|next| *next > from)).await;
    let max = max.unwrap_or(MAX_READ_ENTRIES).clamp(1, MAX_READ_ENTRIES);
    let answer = store.log.lock().read(from, max);
    gate.leave(Answer::json(200, &answer)).await
}

#[rocket::get("/instances")]
async fn list(gate: Gate, store: &State<Arc<Store>>) -> Answer {
    if gate.failing {
        return gate.leave(Answer::new(500)).await;
    }
    let lag = *store.list_lag.lock();
    let list = {
        let mut reboots = store.reboots.lock();
        let mut registry = store.registry.lock();
        reboots.finish(&mut registry);
        registry.read(lag)
    };
    gate.leave(Answer::json(200, &list)).await
}

#[rocket::put("/instances/<id>", data = "<data>")]
async fn register(gate: Gate, id: &str, data: Data<'_>, store: &State<Arc<Store>>) -> Answer {
    let listed = match data.open(MAX_LISTED_LEN.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => serde_json::from_slice::<ListedInstance>(&body).ok(),
        _ => None,
    };
    match listed.filter(|listed| &*listed.id == id) {
        Some(_) if gate.failing => gate.leave(Answer::new(500)).await,
        Some(listed) => {
            store.registry.lock().change(id.into(), Some(listed));
            gate.leave(Answer::new(204)).await
        }
        None => gate.leave(Answer::new(400)).await,
    }
}

#[rocket::delete("/instances/<id>")]
async fn remove(gate: Gate, id: &str, store: &State<Arc<Store>>) -> Answer {
    if gate.failing {
        return gate.leave(Answer::new(500)).await;
    }
    store.registry.lock().change(id.into(), None);
    gate.leave(Answer::new(204)).await
}

#[rocket::post("/instances/<id>/reboot", data = "<data>")]
async fn reboot(gate: Gate, id: &str, data: Data<'_>, store: &State<Arc<Store>>) -> Answer {
    let request = match data.open(MAX_LISTED_LEN.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => serde_json::from_slice::<RebootRequest>(&body).ok(),
        _ => None,
    };
    let Some(request) = request else { return gate.leave(Answer::new(400)).await };
    if gate.failing {
        return gate.leave(Answer::new(500)).await;
    }
    let state = {
        let mut reboots = store.reboots.lock();
        let mut registry = store.registry.lock();
        reboots.ask(&mut registry, id, request.op)
    };
    match state {
        Some(state) => gate.leave(Answer::json(200, &RebootAnswer { state })).await,
        None => gate.leave(Answer::new(404)).await,
    }
}
