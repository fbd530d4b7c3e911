//! Baseline schedulers that the real scheduler is compared with: first come first served, and a
//! fixed split of the slots by share.
//!
//! They know the exact load of every instance, which gives them an advantage over the real
//! scheduler.

use crate::config::Config;
use crate::ids::*;
use crate::protocol::ListedInstance;
use crate::sched::{Placed, Resources, Scheduler, Work, WorkId};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

/// Policy of a baseline scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselinePolicy {
    /// Work starts in order of arrival.
    FirstComeFirstServed,
    /// Each team has a fixed fraction of the slots. Unused slots are not lent to other teams.
    FixedSplit,
}

/// Queues and instances of one pool.
#[derive(Clone, Debug, Default)]
struct BaselinePool {
    /// Waiting work by team, with its arrival number and latest start.
    queues: IndexMap<TeamId, VecDeque<(u64, Time, Work)>>,
    /// Free resources of each instance that accepts new work.
    room: IndexMap<InstanceId, Resources>,
    slots: u32,
    /// Slots in use by team.
    used: HashMap<TeamId, f64>,
}

/// Baseline scheduler for all pools, shared by all entry instances.
#[derive(Clone, Debug)]
pub struct BaselineScheduler {
    policy: BaselinePolicy,
    rng: ChaCha8Rng,
    pools: IndexMap<PoolId, BaselinePool>,
    services: HashMap<ServiceId, PoolId>,
    shares: HashMap<TeamId, u32>,
    running: HashMap<WorkId, (Work, InstanceId)>,
    total: HashMap<PoolId, Resources>,
    arrivals: u64,
    expired_ids: Vec<WorkId>,
    last_sweep: Time,
}

impl BaselineScheduler {
    /// Creates an empty scheduler.
    pub fn new(policy: BaselinePolicy, seed: u64, cfg: &Config) -> BaselineScheduler {
        BaselineScheduler {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: cfg.pools.keys().map(|pool| (pool.clone(), BaselinePool::default())).collect(),
            services: cfg.services.iter().map(|(id, s)| (id.clone(), s.pool.clone())).collect(),
            shares: cfg.teams.iter().map(|(id, team)| (id.clone(), team.share)).collect(),
            running: HashMap::new(),
            total: HashMap::new(),
            arrivals: 0,
            expired_ids: Vec::new(),
            last_sweep: Time::ZERO,
        }
    }

    fn set_upstreams(&mut self, pool: &PoolId, upstreams: &[ListedInstance], size: &Resources) {
        let state = self.pools.entry(pool.clone()).or_default();
        state.slots = upstreams.iter().map(|listed| listed.slots).sum();
        state.room = upstreams
            .iter()
            .map(|listed| (listed.id.clone(), Resources { slots: listed.slots, ..*size }))
            .collect();
        for (work, upstream) in self.running.values() {
            if let Some(room) = state.room.get_mut(upstream) {
                *room = room.minus(&work.need);
            }
        }
        let total = upstreams.iter().fold(Resources::default(), |sum, listed| {
            sum.plus(&Resources { slots: listed.slots, ..*size })
        });
        self.total.insert(pool.clone(), total);
    }

    fn enqueue(&mut self, work: Work, latest_start: Time) {
        self.arrivals += 1;
        if let Some(pool) = self.services.get(&work.service).and_then(|id| self.pools.get_mut(id)) {
            let queue = pool.queues.entry(work.team.clone()).or_default();
            queue.push_back((self.arrivals, latest_start, work));
        }
    }

    fn next(&mut self, now: Time) -> Option<Placed> {
        for pool_index in 0..self.pools.len() {
            if let Some(placed) = self.next_in_pool(now, pool_index) {
                return Some(placed);
            }
        }
        None
    }

    fn next_in_pool(&mut self, now: Time, pool_index: usize) -> Option<Placed> {
        let shares: u32 = self.shares.values().sum();
        let total =
            self.total.get(self.pools.get_index(pool_index)?.0).copied().unwrap_or_default();
        let pool = &mut self.pools[pool_index];
        for queue in pool.queues.values_mut() {
            while let Some((_, _, work)) =
                queue.pop_front_if(|(_, latest_start, _)| *latest_start < now)
            {
                self.expired_ids.push(work.id);
            }
        }
        let may_start = |work: &Work| {
            let part = f64::from(self.shares.get(&work.team).copied().unwrap_or(1));
            let limit = (f64::from(pool.slots) * part / f64::from(shares)).max(1.0);
            let used = pool.used.get(&work.team).copied().unwrap_or(0.0);
            self.policy == BaselinePolicy::FirstComeFirstServed
                || used + work.need.dominant_slots(&total) <= limit + 1e-9
        };
        let heads = pool.queues.iter().filter_map(|(team, queue)| Some((queue.front()?, team)));
        let first =
            heads.filter(|((_, _, work), _)| may_start(work)).min_by_key(|(head, _)| head.0);
        let team = first?.1.clone();
        let need = pool.queues.get(&team)?.front()?.2.need;
        let free: Vec<usize> = (0..pool.room.len()).filter(|i| need.fits(&pool.room[*i])).collect();
        if free.is_empty() {
            return None;
        }
        let index = free[self.rng.random_range(0..free.len())];
        let (_, _, work) = pool.queues.get_mut(&team)?.pop_front()?;
        pool.room[index] = pool.room[index].minus(&need);
        *pool.used.entry(team).or_default() += need.dominant_slots(&total);
        let upstream = pool.room.get_index(index).map(|(id, _)| id.clone())?;
        let placed = Placed { id: work.id, upstream: upstream.clone() };
        self.running.insert(work.id, (work, upstream));
        Some(placed)
    }

    /// Removes and returns work whose latest start has passed. Work behind the head of a queue is
    /// checked once per second.
    fn expired(&mut self, now: Time) -> Vec<WorkId> {
        if now >= self.last_sweep + Time::from_secs(1) {
            self.last_sweep = now;
            for queue in self.pools.values_mut().flat_map(|pool| pool.queues.values_mut()) {
                let expired_ids = queue.iter().filter(|(_, latest_start, _)| *latest_start < now);
                self.expired_ids.extend(expired_ids.map(|(_, _, work)| work.id));
                queue.retain(|(_, latest_start, _)| *latest_start >= now);
            }
        }
        std::mem::take(&mut self.expired_ids)
    }

    fn requeue(&mut self, id: WorkId) -> bool {
        let Some((work, upstream)) = self.running.get(&id).cloned() else { return false };
        self.finish(id);
        let Some(pool) = self.services.get(&work.service).and_then(|id| self.pools.get_mut(id))
        else {
            return false;
        };
        if let Some(room) = pool.room.get_mut(&upstream) {
            *room = Resources::default();
        }
        let queue = pool.queues.entry(work.team.clone()).or_default();
        queue.push_front((0, work.deadline, work));
        true
    }

    fn finish(&mut self, id: WorkId) {
        let Some((work, upstream)) = self.running.remove(&id) else { return };
        let Some(pool_id) = self.services.get(&work.service) else { return };
        let total = self.total.get(pool_id).copied().unwrap_or_default();
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        if let Some(room) = pool.room.get_mut(&upstream) {
            *room = room.plus(&work.need);
        }
        if let Some(used) = pool.used.get_mut(&work.team) {
            *used = (*used - work.need.dominant_slots(&total)).max(0.0);
        }
    }

    fn place_elsewhere(&mut self, id: WorkId, exclude: &[InstanceId]) -> Option<Placed> {
        let (work, instance) = self.running.get_mut(&id)?;
        let pool = self.pools.get_mut(self.services.get(&work.service)?)?;
        // Gives the instance no new work until the next instance list. Otherwise a failed instance,
        // which has free resources again immediately, would attract all work.
        if let Some(room) = pool.room.get_mut(instance) {
            *room = Resources::default();
        }
        let fits =
            |(id, room): &(&InstanceId, &Resources)| !exclude.contains(id) && work.need.fits(room);
        let found = pool.room.iter().find(fits).map(|(id, _)| id.clone());
        let upstream = found.unwrap_or_else(|| "".into());
        *instance = upstream.clone();
        let room = pool.room.get_mut(&upstream)?;
        *room = room.minus(&work.need);
        Some(Placed { id, upstream })
    }
}

/// Scheduler used in a run: one real scheduler per entry instance, or one baseline scheduler for
/// all.
#[derive(Clone, Debug)]
pub enum SchedulerUnderTest {
    Real(Vec<Scheduler>),
    Baseline(Box<BaselineScheduler>),
}

impl SchedulerUnderTest {
    /// Creates one real scheduler for the entry instance in each of the given zones.
    pub fn real(seed: u64, zones: &[ZoneId], cfg: &Config) -> SchedulerUnderTest {
        let create = |(index, zone): (usize, &ZoneId)| {
            let mut sched = Scheduler::new(seed + index as u64, zone.clone());
            sched.set_config(cfg);
            sched
        };
        SchedulerUnderTest::Real(zones.iter().enumerate().map(create).collect())
    }

    /// Creates a baseline scheduler.
    pub fn baseline(policy: BaselinePolicy, seed: u64, cfg: &Config) -> SchedulerUnderTest {
        SchedulerUnderTest::Baseline(Box::new(BaselineScheduler::new(policy, seed, cfg)))
    }

    /// Sets the instances of a pool at every entry instance.
    pub fn set_upstreams(
        &mut self,
        now: Time,
        pool: &PoolId,
        list: &[ListedInstance],
        size: &Resources,
    ) {
        match self {
            SchedulerUnderTest::Real(scheds) => {
                for sched in scheds {
                    sched.set_upstreams(now, pool, list);
                    for listed in list {
                        sched.set_resources(pool, &listed.id, *size);
                    }
                }
            }
            SchedulerUnderTest::Baseline(baseline) => baseline.set_upstreams(pool, list, size),
        }
    }

    /// Adds work to the queue of an entry instance. Returns false if it is refused.
    ///
    /// `latest_start` applies only to the baseline schedulers; the real one calculates its own.
    pub fn enqueue(&mut self, now: Time, entry: usize, work: Work, latest_start: Time) -> bool {
        match self {
            SchedulerUnderTest::Real(scheds) => scheds[entry].enqueue(now, work).is_ok(),
            SchedulerUnderTest::Baseline(baseline) => {
                baseline.enqueue(work, latest_start);
                true
            }
        }
    }

    /// Returns the next work to start at an entry instance.
    pub fn next(&mut self, now: Time, entry: usize) -> Option<Placed> {
        match self {
            SchedulerUnderTest::Real(scheds) => scheds[entry].next(now, &mut |_| true),
            SchedulerUnderTest::Baseline(baseline) => baseline.next(now),
        }
    }

    /// Removes and returns work whose latest start has passed.
    pub fn expired(&mut self, now: Time) -> Vec<WorkId> {
        match self {
            SchedulerUnderTest::Real(scheds) => {
                scheds.iter_mut().flat_map(|s| s.expired(now)).collect()
            }
            SchedulerUnderTest::Baseline(baseline) => baseline.expired(now),
        }
    }

    /// Releases the resources of work that ended.
    pub fn finish(&mut self, now: Time, entry: usize, id: WorkId, ran: Time, failed: bool) {
        match self {
            SchedulerUnderTest::Real(scheds) => scheds[entry].finish(now, id, ran, failed),
            SchedulerUnderTest::Baseline(baseline) => baseline.finish(id),
        }
    }

    /// Returns work to its queue. Returns false if the work is given up.
    pub fn requeue(&mut self, now: Time, entry: usize, id: WorkId, ran: bool) -> bool {
        match self {
            SchedulerUnderTest::Real(scheds) => scheds[entry].requeue(now, id, ran),
            // A baseline scheduler knows the load of all instances, so only failed ones refuse its
            // work.
            SchedulerUnderTest::Baseline(baseline) => baseline.requeue(id),
        }
    }

    /// Places work on another instance.
    pub fn place_elsewhere(
        &mut self,
        now: Time,
        entry: usize,
        id: WorkId,
        exclude: &[InstanceId],
    ) -> Option<Placed> {
        match self {
            SchedulerUnderTest::Real(scheds) => scheds[entry].place_elsewhere(now, id, exclude),
            SchedulerUnderTest::Baseline(baseline) => baseline.place_elsewhere(id, exclude),
        }
    }
}
