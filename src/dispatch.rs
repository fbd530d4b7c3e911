//! Waiting for a turn: hands work to the scheduler and wakes it when it may start.

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

/// How long a waiter outlives its deadline; the scheduler refuses late work first.
const WAIT_SLACK: Duration = Duration::from_millis(250);

/// The permission to start work at an upstream.
#[derive(Clone, Debug)]
pub struct StartPermit {
    pub upstream: ListedInstance,
    /// Time by which the work must end, cut to the lease of the unit.
    pub until: Time,
}

/// How a piece of work is counted against its team's upper limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedBy {
    /// By a unit of this entry instance.
    Unit,
    /// By the fold, with the job's claim.
    ClaimRecord,
}

struct Waiter {
    tx: oneshot::Sender<Result<StartPermit, Refusal>>,
    team: TeamId,
    counted_by: CountedBy,
}

/// The scheduler and those who wait for it.
pub struct Dispatcher {
    pub sched: Scheduler,
    waiters: HashMap<WorkId, Waiter>,
    upstreams: HashMap<InstanceId, ListedInstance>,
    next_id: WorkId,
    /// Work that has its place, by team.
    running: HashMap<TeamId, u32>,
    /// Number of sections and newest version. Each change moves one of the two.
    config_position: (usize, Option<Offset>),
}

impl Dispatcher {
    /// A dispatcher without work.
    pub fn new(seed: u64, zone: ZoneId) -> Dispatcher {
        Dispatcher {
            sched: Scheduler::new(seed, zone),
            waiters: HashMap::new(),
            upstreams: HashMap::new(),
            next_id: 1,
            running: HashMap::new(),
            config_position: (0, None),
        }
    }

    /// Replaces the upstreams of a pool that may get new work.
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, upstreams: &[ListedInstance]) {
        self.upstreams.retain(|_, listed| listed.pool != *pool);
        // The list names the pool that the platform started an instance in; it may have moved since.
        let in_pool =
            |listed: &ListedInstance| ListedInstance { pool: pool.clone(), ..listed.clone() };
        let known = upstreams.iter().map(|listed| (listed.id.clone(), in_pool(listed)));
        self.upstreams.extend(known);
        self.sched.set_upstreams(now, pool, upstreams);
    }

    /// Passes the declarations on to the scheduler when they have changed.
    pub fn set_config_if_changed(&mut self, state: &State) {
        let newest = state.sections.values().map(|section| section.version).max();
        let position = (state.sections.len(), newest);
        if std::mem::replace(&mut self.config_position, position) != position {
            self.sched.set_config(&state.config);
        }
    }

    /// Requests of a team that run here.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }

    /// Upstreams of a pool that may get new work.
    pub fn usable(&self, pool: &PoolId) -> u32 {
        self.upstreams.values().filter(|listed| listed.pool == *pool).count() as u32
    }

    /// Whether any work waits.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Wakes what may start now and refuses what is too late.
    fn start_ready_work(&mut self, now: Time, node: &mut Node) {
        for id in self.sched.expired(now) {
            self.answer(id, Err(Refusal::new(Kind::DeadlineTooSoon)));
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
                Ok(cut) => {
                    until = cut;
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
            return self.answer(placed.id, Err(Refusal::new(Kind::NoUpstream)));
        };
        if let Some(waiter) = self.waiters.get(&placed.id) {
            *self.running.entry(waiter.team.clone()).or_default() += 1;
        }
        self.answer(placed.id, Ok(StartPermit { upstream, until }));
    }

    fn answer(&mut self, id: WorkId, permit: Result<StartPermit, Refusal>) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // `Waiting` leaves the table under the lock before its receiver ends, so this arrives.
            let _ = waiter.tx.send(permit);
        }
    }
}

/// What is asked of the scheduler.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    pub service: ServiceId,
    pub team: TeamId,
    pub class: crate::record::Class,
    /// Time by which the work must have ended.
    pub deadline: Time,
    pub declared: Duration,
    pub counted_by: CountedBy,
}

/// Work in line; it leaves the line when this is dropped.
struct Waiting {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted_by: CountedBy,
    rx: oneshot::Receiver<Result<StartPermit, Refusal>>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let waits = {
            let mut dispatcher = self.entry.dispatcher.lock();
            dispatcher.waiters.remove(&self.id).is_some() && dispatcher.sched.cancel(self.id)
        };
        let permit = self.rx.try_recv();
        if !waits && let Ok(Ok(permit)) = permit {
            if self.counted_by == CountedBy::Unit {
                free_now(&self.entry, &self.team, permit.until);
            }
            release(&self.entry, self.id, &self.team, Duration::ZERO, true);
        }
    }
}

/// A slot of the scheduler and, for requests, a unit of the team; both are given back on drop.
pub struct SlotGuard {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted_by: CountedBy,
    started: Time,
    /// Deadline of the work, by which it has surely ended.
    until: Time,
    /// Whether the work failed; failed runs teach the scheduler nothing about run times.
    pub failed: bool,
    /// Whether the work has surely ended or never started. Otherwise the unit stays taken until the
    /// deadline, since the upper limit counts what may run.
    pub work_ended: bool,
}

impl SlotGuard {
    /// Another upstream for the same work; `None` when none has room.
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
            Some(until) if !self.work_ended => free_later(&self.entry, &self.team, until),
            Some(until) => free_now(&self.entry, &self.team, until),
            None => {}
        }
        let ran_for = self.entry.now().saturating_sub(self.started);
        release(&self.entry, self.id, &self.team, ran_for, self.failed);
    }
}

fn free_now(entry: &Entry, team: &TeamId, until: Time) {
    entry.node.lock().release_unit(entry.now(), team, until);
}

fn free_later(entry: &Arc<Entry>, team: &TeamId, until: Time) {
    let (entry, team) = (entry.clone(), team.clone());
    tokio::spawn(async move {
        tokio::time::sleep_until(entry.instant(until)).await;
        free_now(&entry, &team, until);
        start_ready_work(&entry);
    });
}

/// Waits for a turn; answers the permission to start and the guard that gives it back.
pub async fn acquire_slot(
    entry: &Arc<Entry>,
    work_request: WorkRequest,
) -> Result<(StartPermit, SlotGuard), Refusal> {
    let until = entry.instant(work_request.deadline + WAIT_SLACK);
    let mut waiting = enqueue(entry, work_request)?;
    let permit = match tokio::time::timeout_at(until, &mut waiting.rx).await {
        Ok(Ok(permit)) => permit?,
        Ok(Err(_)) => return Err(Refusal::new(Kind::Internal).with_ran(crate::kind::Ran::NotRun)),
        Err(_) => return Err(Refusal::new(Kind::DeadlineTooSoon)),
    };
    let slot_guard = SlotGuard {
        entry: entry.clone(),
        id: waiting.id,
        team: waiting.team.clone(),
        counted_by: waiting.counted_by,
        started: entry.now(),
        until: permit.until,
        failed: true,
        work_ended: false,
    };
    Ok((permit, slot_guard))
}

fn enqueue(entry: &Arc<Entry>, work_request: WorkRequest) -> Result<Waiting, Refusal> {
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
    Ok(Waiting { entry: entry.clone(), id, team, counted_by, rx })
}

/// Gives a slot back and starts what waited for it.
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

/// Starts what may start now; called when upstreams, limits or time have changed.
pub fn start_ready_work(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    entry.dispatcher.lock().start_ready_work(now, &mut node);
}

/// Brings the scheduler's upstreams up to date with the view, the list and their health.
pub fn refresh_upstreams(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    let pools: Vec<PoolId> = node.state().config.pools.keys().cloned().collect();
    let mut dispatcher = entry.dispatcher.lock();
    for pool in &pools {
        let mut listed = node.upstreams(now, pool);
        listed.retain(|one| entry.clocks.has_clock(&one.id));
        let ids: Vec<InstanceId> = listed.iter().map(|one| one.id.clone()).collect();
        let usable = entry.health.lock().usable(now, &ids);
        listed.retain(|one| usable.contains(&one.id));
        dispatcher.set_upstreams(now, pool, &listed);
    }
    dispatcher.start_ready_work(now, &mut node);
}
