//! Stand-in for the platform: an append-only log with long polling and retention, and a list of
//! instances that lags behind registrations. `docs/platform.md` specifies the protocol.

use crate::ids::*;
use crate::protocol::{
    InstanceList, ListedInstance, LogEntry, Presence, ReadAnswer, RebootAnswer, RebootRequest,
    RebootState,
};
use crate::record::MAX_ENTRY_LEN;
use crate::standin::{self, Answer, FaultGuard, FaultSwitches, RunningServer, StandinError};
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

/// Maximum wait of a read for new entries.
pub const MAX_READ_WAIT: Duration = Duration::from_secs(30);
/// Maximum number of entries in the answer to a read.
pub const MAX_READ_ENTRIES: usize = 1_000;
/// Maximum total length of the entries in the answer to a read, in bytes. One entry is sent even if
/// it is longer.
pub const MAX_READ_LEN: usize = 1024 * 1024;
/// Maximum length of the body of a registration or reboot request in bytes.
const MAX_REGISTRY_BODY_LEN: u64 = 16 * 1024;

/// Duration of an instance's reboot.
pub const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on. Port 0 picks a free port.
    pub addr: SocketAddr,
    /// Number of log entries kept. Older ones are trimmed.
    pub retention: usize,
    /// Delay until a change is visible in the list.
    pub list_lag: Duration,
}

impl PlatformOptions {
    /// Returns options with a large log and a list without lag.
    pub fn new(addr: SocketAddr) -> PlatformOptions {
        PlatformOptions { addr, retention: 1_000_000, list_lag: Duration::ZERO }
    }

    /// Replaces the number of log entries kept.
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

/// The append-only log. Invariant: the offsets of `entries` are consecutive and end at `next - 1`.
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
        let mut remaining = MAX_READ_LEN;
        let mut entries = Vec::new();
        for (i, data) in self.entries.iter().enumerate().skip(skip).take(max) {
            if data.len() > remaining && !entries.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(data.len());
            entries.push(LogEntry { offset: first + i as Offset, data: data.clone() });
        }
        ReadAnswer { first, next: self.next, entries }
    }
}

/// A change of the list that readers do not see yet. `None` removes the instance.
#[derive(Debug)]
struct PendingChange {
    changed_at: Instant,
    id: InstanceId,
    listed: Option<ListedInstance>,
}

/// The list of instances: what is registered, and what readers see.
#[derive(Debug, Default)]
struct Registry {
    current: IndexMap<InstanceId, ListedInstance>,
    visible: IndexMap<InstanceId, ListedInstance>,
    pending: VecDeque<PendingChange>,
}

impl Registry {
    fn record_change(&mut self, id: InstanceId, listed: Option<ListedInstance>) {
        match &listed {
            Some(listed) => {
                self.current.insert(id.clone(), listed.clone());
            }
            None => {
                self.current.shift_remove(&id);
            }
        }
        self.pending.push_back(PendingChange { changed_at: Instant::now(), id, listed });
    }

    /// Returns the list as it was `lag` ago. An instance that was removed and registered again
    /// stays in it, because the list never omits a live instance.
    fn visible_list(&mut self, lag: Duration) -> InstanceList {
        while self.pending.front().is_some_and(|c| c.changed_at.elapsed() >= lag) {
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

/// The last reboot of an instance.
#[derive(Debug)]
struct Reboot {
    op: String,
    started: Instant,
    done: bool,
}

/// The last reboot of each instance.
#[derive(Debug, Default)]
struct RebootTracker {
    last: IndexMap<InstanceId, Reboot>,
}

impl RebootTracker {
    /// Starts the reboot identified by `op`, or returns its progress if it was started before.
    /// Returns `None` for an unknown instance.
    fn request_reboot(
        &mut self,
        registry: &mut Registry,
        id: &str,
        op: String,
    ) -> Option<RebootState> {
        self.finish_due(registry);
        let listed = registry.current.get(id)?.clone();
        let same_op = self.last.get(id).filter(|reboot| reboot.op == op);
        if let Some(reboot) = same_op {
            return Some(if reboot.done { RebootState::Done } else { RebootState::Rebooting });
        }
        let id = listed.id.clone();
        let departing = ListedInstance { presence: Presence::Departing, ..listed };
        registry.record_change(id.clone(), Some(departing));
        self.last.insert(id, Reboot { op, started: Instant::now(), done: false });
        Some(RebootState::Rebooting)
    }

    /// Completes the reboots whose time has passed, and lists their instances as live again.
    fn finish_due(&mut self, registry: &mut Registry) {
        let is_due = |reboot: &Reboot| !reboot.done && reboot.started.elapsed() >= REBOOT_TIME;
        for (id, reboot) in self.last.iter_mut().filter(|(_, reboot)| is_due(reboot)) {
            reboot.done = true;
            if let Some(listed) = registry.current.get(id).cloned() {
                let live = ListedInstance { presence: Presence::Live, ..listed };
                registry.record_change(id.clone(), Some(live));
            }
        }
    }
}

/// State of a platform stand-in.
struct Store {
    log: Mutex<Log>,
    /// Must be locked before `registry`.
    reboots: Mutex<RebootTracker>,
    registry: Mutex<Registry>,
    retention: usize,
    list_lag: Mutex<Duration>,
    /// Publishes the next offset to waiting reads.
    next: watch::Sender<Offset>,
}

/// A running platform stand-in.
pub struct PlatformStandin {
    server: RunningServer,
    store: Arc<Store>,
    /// Fault switches, also set by `PUT /faults`.
    pub switches: Arc<FaultSwitches>,
}

impl PlatformStandin {
    /// Starts a stand-in and returns once it is bound to its port.
    pub async fn start(options: PlatformOptions) -> Result<PlatformStandin, StandinError> {
        let switches = Arc::new(FaultSwitches::default());
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
        let server = standin::launch(options.addr, rocket).await?;
        Ok(PlatformStandin { server, store, switches })
    }

    /// Returns the address that it is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the offset that the next append will get.
    pub fn next_offset(&self) -> Offset {
        self.store.log.lock().next
    }

    /// Drops all but the newest `keep` entries, like retention over time.
    pub fn trim(&self, keep: usize) {
        self.store.log.lock().trim(keep);
    }

    /// Replaces the lag of the list.
    pub fn set_list_lag(&self, lag: Duration) {
        *self.store.list_lag.lock() = lag;
    }

    /// Stops it as a crash would.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Waits until it has stopped.
    pub async fn wait_until_stopped(&mut self) {
        self.server.wait_until_stopped().await;
    }
}

#[rocket::post("/log", data = "<data>")]
async fn append(guard: FaultGuard, data: Data<'_>, store: &State<Arc<Store>>) -> Answer {
    let limit = (MAX_ENTRY_LEN as u64).bytes();
    let body = match data.open(limit).into_bytes().await {
        Ok(body) if body.is_complete() => Bytes::from(body.into_inner()),
        Ok(_) => return guard.apply_after(Answer::new(413)).await,
        Err(_) => return guard.apply_after(Answer::new(400)).await,
    };
    if guard.failing {
        return guard.apply_after(Answer::new(500)).await;
    }
    let offset = {
        let mut log = store.log.lock();
        let offset = log.append(body, store.retention);
        store.next.send_replace(log.next);
        offset
    };
    guard.apply_after(Answer::json(200, &serde_json::json!({ "offset": offset }))).await
}

#[rocket::get("/log?<from>&<max>&<wait_ms>")]
async fn read(
    guard: FaultGuard,
    from: Offset,
    max: Option<usize>,
    wait_ms: Option<u64>,
    store: &State<Arc<Store>>,
) -> Answer {
    if guard.failing {
        return guard.apply_after(Answer::new(500)).await;
    }
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_READ_WAIT);
    let mut next = store.next.subscribe();
    // On a timeout, the answer has no entries.
    let _ = tokio::time::timeout(wait, next.wait_for(|next| *next > from)).await;
    let max = max.unwrap_or(MAX_READ_ENTRIES).clamp(1, MAX_READ_ENTRIES);
    let answer = store.log.lock().read(from, max);
    guard.apply_after(Answer::json(200, &answer)).await
}

#[rocket::get("/instances")]
async fn list(guard: FaultGuard, store: &State<Arc<Store>>) -> Answer {
    if guard.failing {
        return guard.apply_after(Answer::new(500)).await;
    }
    let lag = *store.list_lag.lock();
    let list = {
        let mut reboots = store.reboots.lock();
        let mut registry = store.registry.lock();
        reboots.finish_due(&mut registry);
        registry.visible_list(lag)
    };
    guard.apply_after(Answer::json(200, &list)).await
}

#[rocket::put("/instances/<id>", data = "<data>")]
async fn register(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    store: &State<Arc<Store>>,
) -> Answer {
    let listed = match data.open(MAX_REGISTRY_BODY_LEN.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => serde_json::from_slice::<ListedInstance>(&body).ok(),
        _ => None,
    };
    match listed.filter(|listed| &*listed.id == id) {
        Some(_) if guard.failing => guard.apply_after(Answer::new(500)).await,
        Some(listed) => {
            store.registry.lock().record_change(id.into(), Some(listed));
            guard.apply_after(Answer::new(204)).await
        }
        None => guard.apply_after(Answer::new(400)).await,
    }
}

#[rocket::delete("/instances/<id>")]
async fn remove(guard: FaultGuard, id: &str, store: &State<Arc<Store>>) -> Answer {
    if guard.failing {
        return guard.apply_after(Answer::new(500)).await;
    }
    store.registry.lock().record_change(id.into(), None);
    guard.apply_after(Answer::new(204)).await
}

#[rocket::post("/instances/<id>/reboot", data = "<data>")]
async fn reboot(guard: FaultGuard, id: &str, data: Data<'_>, store: &State<Arc<Store>>) -> Answer {
    let request = match data.open(MAX_REGISTRY_BODY_LEN.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => serde_json::from_slice::<RebootRequest>(&body).ok(),
        _ => None,
    };
    let Some(request) = request else { return guard.apply_after(Answer::new(400)).await };
    if guard.failing {
        return guard.apply_after(Answer::new(500)).await;
    }
    let state = {
        let mut reboots = store.reboots.lock();
        let mut registry = store.registry.lock();
        reboots.request_reboot(&mut registry, id, request.op)
    };
    match state {
        Some(state) => guard.apply_after(Answer::json(200, &RebootAnswer { state })).await,
        None => guard.apply_after(Answer::new(404)).await,
    }
}
