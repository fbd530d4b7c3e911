//! Queues work with the scheduler and wakes each waiting task when its work may start.

use crate::entry::Entry;
use crate::ids::*;
use crate::kind::{Kind, Refusal};
use crate::node::Node;
use crate::protocol::ListedInstance;
use crate::sched::{Placed, Resources, Scheduler, Work, WorkId};
use crate::state::State;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a task waits past the deadline of its work, so that the scheduler refuses late work
/// first.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Permission to start work at an upstream.
#[derive(Clone, Debug)]
pub struct StartPermit {
    pub upstream: ListedInstance,
    /// Time by which the work must end: its deadline, or the end of the unit's lease if that is
    /// earlier.
    pub until: Time,
}

/// How work is counted against its team's upper limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedBy {
    /// As a unit that this entry instance holds for the team.
    Unit,
    /// By the job's claim record, when the log is applied.
    ClaimRecord,
}

struct Waiter {
    tx: oneshot::Sender<Result<StartPermit, Refusal>>,
    team: TeamId,
    counted_by: CountedBy,
}

/// The scheduler and the tasks that wait for their work to start.
pub struct Dispatcher {
    pub sched: Scheduler,
    waiters: HashMap<WorkId, Waiter>,
    upstreams: HashMap<InstanceId, ListedInstance>,
    next_id: WorkId,
    /// Number of started requests and jobs, by team.
    running: HashMap<TeamId, u32>,
    /// Number of configuration sections and their newest version; every change alters at least one.
    config_version: (usize, Option<Offset>),
}

impl Dispatcher {
    /// Creates a dispatcher without work.
    pub fn new(seed: u64, zone: ZoneId) -> Dispatcher {
        Dispatcher {
            sched: Scheduler::new(seed, zone),
            waiters: HashMap::new(),
            upstreams: HashMap::new(),
            next_id: 1,
            running: HashMap::new(),
            config_version: (0, None),
        }
    }

    /// Replaces the upstreams of a pool to which new work may be sent.
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, upstreams: &[ListedInstance]) {
        self.upstreams.retain(|_, listed| listed.pool != *pool);
        // The list names the pool in which the platform started an instance; it may have been moved
        // since.
        let in_pool =
            |listed: &ListedInstance| ListedInstance { pool: pool.clone(), ..listed.clone() };
        let known = upstreams.iter().map(|listed| (listed.id.clone(), in_pool(listed)));
        self.upstreams.extend(known);
        self.sched.set_upstreams(now, pool, upstreams);
    }

    /// Passes the configuration to the scheduler if it has changed.
    pub fn set_config_if_changed(&mut self, state: &State) {
        let newest = state.sections.values().map(|section| section.version).max();
        let position = (state.sections.len(), newest);
        if std::mem::replace(&mut self.config_version, position) != position {
            self.sched.set_config(&state.config);
        }
    }

    /// Number of requests and jobs of a team that run through this entry instance.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }

    /// Number of upstreams of a pool to which new work may be sent.
    pub fn usable(&self, pool: &PoolId) -> u32 {
        self.upstreams.values().filter(|listed| listed.pool == *pool).count() as u32
    }

    /// Whether no work is waiting.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Starts all work that may start now and refuses work that cannot meet its deadline.
    fn start_ready_work(&mut self, now: Time, node: &mut Node) {
        for id in self.sched.expired(now) {
            self.resolve(id, Err(Refusal::new(Kind::DeadlineTooSoon)));
        }
        while let Some((placed, until)) = self.next(now, node) {
            self.start(now, node, placed, until);
        }
    }

    fn next(&mut self, now: Time, node: &mut Node) -> Option<(Placed, Time)> {
        let Dispatcher { sched, waiters, .. } = self;
        let mut until = Time::ZERO;
        let mut allow = |work: &Work| match waiters.get(&work.id).map(|w| w.counted_by) {
            Some(CountedBy::Unit) => match node.acquire_unit(now, &work.team, work.deadline) {
                Ok(unit_deadline) => {
                    until = unit_deadline;
                    true
                }
                Err(_) => false,
            },
            Some(CountedBy::ClaimRecord) => {
                until = work.deadline;
                true
            }
            None => false,
        };
        let placed = sched.next(now, &mut allow)?;
        Some((placed, until))
    }

    fn start(&mut self, now: Time, node: &mut Node, placed: Placed, until: Time) {
        let Some(upstream) = self.upstreams.get(&placed.upstream).cloned() else {
            self.sched.finish(now, placed.id, Duration::ZERO, true);
            if let Some(waiter) =
                self.waiters.get(&placed.id).filter(|w| w.counted_by == CountedBy::Unit)
            {
                node.release_unit(now, &waiter.team, until);
            }
            return self.resolve(placed.id, Err(Refusal::new(Kind::NoUpstream)));
        };
        if let Some(waiter) = self.waiters.get(&placed.id) {
            *self.running.entry(waiter.team.clone()).or_default() += 1;
        }
        self.resolve(placed.id, Ok(StartPermit { upstream, until }));
    }

    fn resolve(&mut self, id: WorkId, permit: Result<StartPermit, Refusal>) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // `QueuedWork` removes its waiter under the lock before it drops the receiver, so the
            // send succeeds.
            let _ = waiter.tx.send(permit);
        }
    }
}

/// Work to be queued with the scheduler.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    pub service: ServiceId,
    pub team: TeamId,
    pub class: crate::record::Class,
    /// Time by which the work must have ended.
    pub deadline: Time,
    /// Declared run time; zero if none was declared.
    pub declared: Duration,
    pub counted_by: CountedBy,
}

/// Work in the queue; dropping it removes the work from the queue.
struct QueuedWork {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted_by: CountedBy,
    rx: oneshot::Receiver<Result<StartPermit, Refusal>>,
}

impl Drop for QueuedWork {
    fn drop(&mut self) {
        let removed_from_queue = {
            let mut dispatcher = self.entry.dispatcher.lock();
            dispatcher.waiters.remove(&self.id).is_some() && dispatcher.sched.cancel(self.id)
        };
        let permit = self.rx.try_recv();
        if !removed_from_queue && let Ok(Ok(permit)) = permit {
            if self.counted_by == CountedBy::Unit {
                release_unit_now(&self.entry, &self.team, permit.until);
            }
            release(&self.entry, self.id, &self.team, Duration::ZERO, true);
        }
    }
}

/// Holds a scheduler slot and, for requests, a unit of the team; releases both on drop.
pub struct SlotGuard {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted_by: CountedBy,
    started: Time,
    /// Time by which the work is certain to have ended.
    until: Time,
    /// Whether the work failed. The scheduler does not estimate run times from failed work.
    pub failed: bool,
    /// Whether the work is known to have ended or never to have started. Otherwise the unit stays
    /// in use until the deadline, because the upper limit counts all work that may still be
    /// running.
    pub work_ended: bool,
}

impl SlotGuard {
    /// Moves the work to another upstream; `None` if no other upstream has a free slot.
    pub fn reassign(&self, exclude: &[InstanceId]) -> Option<ListedInstance> {
        let now = self.entry.now();
        let mut dispatcher = self.entry.dispatcher.lock();
        let placed = dispatcher.sched.place_elsewhere(now, self.id, exclude)?;
        dispatcher.upstreams.get(&placed.upstream).cloned()
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let unit = (self.counted_by == CountedBy::Unit).then_some(self.until);
        match unit {
            Some(until) if !self.work_ended => release_unit_later(&self.entry, &self.team, until),
            Some(until) => release_unit_now(&self.entry, &self.team, until),
            None => {}
        }
        let ran_for = self.entry.now().saturating_sub(self.started);
        release(&self.entry, self.id, &self.team, ran_for, self.failed);
    }
}

fn release_unit_now(entry: &Entry, team: &TeamId, until: Time) {
    entry.node.lock().release_unit(entry.now(), team, until);
}

fn release_unit_later(entry: &Arc<Entry>, team: &TeamId, until: Time) {
    let (entry, team) = (entry.clone(), team.clone());
    tokio::spawn(async move {
        tokio::time::sleep_until(entry.instant(until)).await;
        release_unit_now(&entry, &team, until);
        start_ready_work(&entry);
    });
}

/// Waits until the work may start. Returns the permission and the guard that holds its slot.
pub async fn acquire_slot(
    entry: &Arc<Entry>,
    work_request: WorkRequest,
) -> Result<(StartPermit, SlotGuard), Refusal> {
    let until = entry.instant(work_request.deadline + DEADLINE_GRACE);
    let mut queued = enqueue(entry, work_request)?;
    let permit = match tokio::time::timeout_at(until, &mut queued.rx).await {
        Ok(Ok(permit)) => permit?,
        Ok(Err(_)) => return Err(Refusal::new(Kind::Internal).with_ran(crate::kind::Ran::NotRun)),
        Err(_) => return Err(Refusal::new(Kind::DeadlineTooSoon)),
    };
    let slot_guard = SlotGuard {
        entry: entry.clone(),
        id: queued.id,
        team: queued.team.clone(),
        counted_by: queued.counted_by,
        started: entry.now(),
        until: permit.until,
        failed: true,
        work_ended: false,
    };
    Ok((permit, slot_guard))
}

fn enqueue(entry: &Arc<Entry>, work_request: WorkRequest) -> Result<QueuedWork, Refusal> {
    let now = entry.now();
    let (tx, rx) = oneshot::channel();
    let mut node = entry.node.lock();
    let mut dispatcher = entry.dispatcher.lock();
    let id = dispatcher.next_id;
    dispatcher.next_id += 1;
    let work = Work {
        id,
        service: work_request.service,
        team: work_request.team.clone(),
        class: work_request.class,
        deadline: work_request.deadline,
        need: Resources::ONE_SLOT,
        declared: work_request.declared,
    };
    dispatcher.sched.enqueue(now, work)?;
    let (team, counted_by) = (work_request.team, work_request.counted_by);
    dispatcher.waiters.insert(id, Waiter { tx, team: team.clone(), counted_by });
    dispatcher.start_ready_work(now, &mut node);
    node.set_waiting(&team, dispatcher.sched.waiting(&team));
    drop(dispatcher);
    drop(node);
    Ok(QueuedWork { entry: entry.clone(), id, team, counted_by, rx })
}

/// Releases a slot and starts work that waited for it.
fn release(entry: &Entry, id: WorkId, team: &TeamId, ran_for: Duration, failed: bool) {
    let now = entry.now();
    let mut node = entry.node.lock();
    let mut dispatcher = entry.dispatcher.lock();
    dispatcher.sched.finish(now, id, ran_for, failed);
    if let Some(running) = dispatcher.running.get_mut(team) {
        *running = running.saturating_sub(1);
    }
    dispatcher.start_ready_work(now, &mut node);
    node.set_waiting(team, dispatcher.sched.waiting(team));
}

/// Starts all work that may start now. Called when upstreams, limits or the time have changed.
pub fn start_ready_work(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    entry.dispatcher.lock().start_ready_work(now, &mut node);
}

/// Updates the scheduler's upstreams from the view, the platform's instance list and their health.
pub fn refresh_upstreams(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    let pools: Vec<PoolId> = node.state().config.pools.keys().cloned().collect();
    let mut dispatcher = entry.dispatcher.lock();
    for pool in &pools {
        let mut listed = node.upstreams(now, pool);
        listed.retain(|instance| entry.clocks.has_clock(&instance.id));
        let ids: Vec<InstanceId> = listed.iter().map(|instance| instance.id.clone()).collect();
        let usable = entry.health.lock().usable(now, &ids);
        listed.retain(|instance| usable.contains(&instance.id));
        dispatcher.set_upstreams(now, pool, &listed);
    }
    dispatcher.start_ready_work(now, &mut node);
}
