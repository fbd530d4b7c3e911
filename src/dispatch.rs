//! Waiting for a turn: hands work to the scheduler and wakes it when it may start.

use crate::entry::Entry;
use crate::ids::*;
use crate::kind::{Kind, Refusal};
use crate::node::Node;
use crate::protocol::Listed;
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
pub struct Turn {
    pub upstream: Listed,
    /// Time by which the work must end, cut to the lease of the unit.
    pub until: Time,
}

/// How a piece of work is counted against its team's upper limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counted {
    /// By a unit of this entry instance.
    Unit,
    /// By the fold, with the job's claim.
    Fold,
}

struct Waiter {
    tx: oneshot::Sender<Result<Turn, Refusal>>,
    team: TeamId,
    counted: Counted,
}

/// The scheduler and those who wait for it.
pub struct Dispatcher {
    pub sched: Scheduler,
    waiters: HashMap<WorkId, Waiter>,
    upstreams: HashMap<InstanceId, Listed>,
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
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, upstreams: &[Listed]) {
        self.upstreams.retain(|_, listed| listed.pool != *pool);
        // The list names the pool that the platform started an instance in; it may have moved since.
        let in_pool = |listed: &Listed| Listed { pool: pool.clone(), ..listed.clone() };
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
    fn pump(&mut self, now: Time, node: &mut Node) {
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
        let mut allow = |work: &Work| match waiters.get(&work.id).map(|w| w.counted) {
            Some(Counted::Unit) => match node.acquire_unit(now, &work.team, work.deadline) {
                Ok(cut) => {
                    until = cut;
                    true
                }
                Err(_) => false,
            },
            Some(Counted::Fold) => {
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
                self.waiters.get(&placed.id).filter(|w| w.counted == Counted::Unit)
            {
                node.release_unit(now, &waiter.team, until);
            }
            return self.answer(placed.id, Err(Refusal::new(Kind::NoUpstream)));
        };
        if let Some(waiter) = self.waiters.get(&placed.id) {
            *self.running.entry(waiter.team.clone()).or_default() += 1;
        }
        self.answer(placed.id, Ok(Turn { upstream, until }));
    }

    fn answer(&mut self, id: WorkId, turn: Result<Turn, Refusal>) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // `Waiting` leaves the table under the lock before its receiver ends, so this arrives.
            let _ = waiter.tx.send(turn);
        }
    }
}

/// What is asked of the scheduler.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub service: ServiceId,
    pub team: TeamId,
    pub class: crate::record::Class,
    /// Time by which the work must have ended.
    pub deadline: Time,
    pub declared: Duration,
    pub counted: Counted,
}

/// Work in line; it leaves the line when this is dropped.
struct Waiting {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted: Counted,
    rx: oneshot::Receiver<Result<Turn, Refusal>>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let waits = {
            let mut dispatcher = self.entry.dispatcher.lock();
            dispatcher.waiters.remove(&self.id).is_some() && dispatcher.sched.cancel(self.id)
        };
        let turn = self.rx.try_recv();
        if !waits && let Ok(Ok(turn)) = turn {
            if self.counted == Counted::Unit {
                free_now(&self.entry, &self.team, turn.until);
            }
            release(&self.entry, self.id, &self.team, Duration::ZERO, true);
        }
    }
}

/// A slot of the scheduler and, for requests, a unit of the team; both are given back on drop.
pub struct Place {
    entry: Arc<Entry>,
    id: WorkId,
    team: TeamId,
    counted: Counted,
    started: Time,
    /// Deadline of the work, by which it has surely ended.
    until: Time,
    /// Whether the work failed; failed runs teach the scheduler nothing about run times.
    pub failed: bool,
    /// Whether the work has surely ended or never started. Otherwise the unit stays taken until the
    /// deadline, since the upper limit counts what may run.
    pub over: bool,
}

impl Place {
    /// Another upstream for the same work; `None` when none has room.
    pub fn again(&self, exclude: &[InstanceId]) -> Option<Listed> {
        let now = self.entry.now();
        let mut dispatcher = self.entry.dispatcher.lock();
        let placed = dispatcher.sched.place_elsewhere(now, self.id, exclude)?;
        dispatcher.upstreams.get(&placed.upstream).cloned()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let unit = (self.counted == Counted::Unit).then_some(self.until);
        match unit {
            Some(until) if !self.over => free_later(&self.entry, &self.team, until),
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
        pump(&entry);
    });
}

/// Waits for a turn; answers the permission to start and the guard that gives it back.
pub async fn wait(entry: &Arc<Entry>, wanted: Wanted) -> Result<(Turn, Place), Refusal> {
    let until = entry.instant(wanted.deadline + WAIT_SLACK);
    let mut waiting = enqueue(entry, wanted)?;
    let turn = match tokio::time::timeout_at(until, &mut waiting.rx).await {
        Ok(Ok(turn)) => turn?,
        Ok(Err(_)) => return Err(Refusal::new(Kind::Internal).with_ran(crate::kind::Ran::NotRun)),
        Err(_) => return Err(Refusal::new(Kind::DeadlineTooSoon)),
    };
    let place = Place {
        entry: entry.clone(),
        id: waiting.id,
        team: waiting.team.clone(),
        counted: waiting.counted,
        started: entry.now(),
        until: turn.until,
        failed: true,
        over: false,
    };
    Ok((turn, place))
}

fn enqueue(entry: &Arc<Entry>, wanted: Wanted) -> Result<Waiting, Refusal> {
    let now = entry.now();
    let (tx, rx) = oneshot::channel();
    let mut node = entry.node.lock();
    let mut dispatcher = entry.dispatcher.lock();
    let id = dispatcher.next_id;
    dispatcher.next_id += 1;
    let work = Work {
        id,
        service: wanted.service,
        team: wanted.team.clone(),
        class: wanted.class,
        deadline: wanted.deadline,
        need: Resources::ONE_SLOT,
        declared: wanted.declared,
    };
    dispatcher.sched.enqueue(now, work)?;
    let (team, counted) = (wanted.team, wanted.counted);
    dispatcher.waiters.insert(id, Waiter { tx, team: team.clone(), counted });
    dispatcher.pump(now, &mut node);
    node.set_waiting(&team, dispatcher.sched.waiting(&team));
    drop(dispatcher);
    drop(node);
    Ok(Waiting { entry: entry.clone(), id, team, counted, rx })
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
    dispatcher.pump(now, &mut node);
    node.set_waiting(team, dispatcher.sched.waiting(team));
}

/// Starts what may start now; called when upstreams, limits or time have changed.
pub fn pump(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    entry.dispatcher.lock().pump(now, &mut node);
}

/// Brings the scheduler's upstreams up to date with the view, the list and their health.
pub fn refresh_upstreams(entry: &Entry) {
    let now = entry.now();
    let mut node = entry.node.lock();
    let pools: Vec<PoolId> = node.state().config.pools.keys().cloned().collect();
    let mut dispatcher = entry.dispatcher.lock();
    for pool in &pools {
        let mut listed = node.upstreams(now, pool);
        listed.retain(|one| entry.clocks.knows(&one.id));
        let ids: Vec<InstanceId> = listed.iter().map(|one| one.id.clone()).collect();
        let usable = entry.health.lock().usable(now, &ids);
        listed.retain(|one| usable.contains(&one.id));
        dispatcher.set_upstreams(now, pool, &listed);
    }
    dispatcher.pump(now, &mut node);
}
