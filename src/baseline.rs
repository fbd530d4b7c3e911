//! Plain schedulers to compare with: first come first served, and a fixed split by share.
//!
//! They know exactly what every instance runs, which favours them over the real scheduler.

use crate::config::Config;
use crate::ids::*;
use crate::protocol::Listed;
use crate::sched::{Need, Placed, Sched, Work, WorkId};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

/// Which plain rule decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Work starts in order of arrival.
    FirstCome,
    /// Each team has a fixed part of the slots; idle parts are lent to nobody.
    FixedSplit,
}

#[derive(Clone, Debug, Default)]
struct PlainPool {
    queue: VecDeque<Work>,
    /// Free resources of each instance that may get new work.
    room: IndexMap<InstanceId, Need>,
    slots: u32,
    /// Slots in use by team.
    used: HashMap<TeamId, f64>,
}

/// A plain scheduler over all pools.
#[derive(Clone, Debug)]
pub struct Plain {
    rule: Rule,
    rng: ChaCha8Rng,
    pools: IndexMap<PoolId, PlainPool>,
    services: HashMap<ServiceId, PoolId>,
    shares: HashMap<TeamId, u32>,
    running: HashMap<WorkId, (Work, InstanceId)>,
    total: HashMap<PoolId, Need>,
}

impl Plain {
    /// An empty scheduler.
    pub fn new(rule: Rule, seed: u64, cfg: &Config) -> Plain {
        Plain {
            rule,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: cfg.pools.keys().map(|pool| (pool.clone(), PlainPool::default())).collect(),
            services: cfg.services.iter().map(|(id, s)| (id.clone(), s.pool.clone())).collect(),
            shares: cfg.teams.iter().map(|(id, team)| (id.clone(), team.share)).collect(),
            running: HashMap::new(),
            total: HashMap::new(),
        }
    }

    fn set_upstreams(&mut self, pool: &PoolId, upstreams: &[Listed], size: &Need) {
        let state = self.pools.entry(pool.clone()).or_default();
        state.slots = upstreams.iter().map(|listed| listed.slots).sum();
        state.room = upstreams
            .iter()
            .map(|listed| (listed.id.clone(), Need { slots: listed.slots, ..*size }))
            .collect();
        for (work, upstream) in self.running.values() {
            if let Some(room) = state.room.get_mut(upstream) {
                *room = room.minus(&work.need);
            }
        }
        let total = upstreams
            .iter()
            .fold(Need::default(), |sum, listed| sum.plus(&Need { slots: listed.slots, ..*size }));
        self.total.insert(pool.clone(), total);
    }

    fn enqueue(&mut self, work: Work) {
        if let Some(pool) = self.services.get(&work.service).and_then(|id| self.pools.get_mut(id)) {
            pool.queue.push_back(work);
        }
    }

    fn next(&mut self) -> Option<Placed> {
        let shares: u32 = self.shares.values().sum();
        for (id, pool) in &mut self.pools {
            let total = self.total.get(id).copied().unwrap_or_default();
            let slots = f64::from(pool.slots);
            let mut skipped = 0;
            let found = pool.queue.iter().position(|work| {
                let part = f64::from(self.shares.get(&work.team).copied().unwrap_or(1));
                let used = pool.used.get(&work.team).copied().unwrap_or(0.0);
                let limit = (slots * part / f64::from(shares)).max(1.0);
                let taken = used + work.need.dominant_slots(&total);
                skipped += 1;
                self.rule == Rule::FirstCome || taken <= limit + 1e-9 || skipped > 5_000
            });
            let Some(at) = found.filter(|_| skipped <= 5_000) else { continue };
            let need = pool.queue[at].need;
            let free: Vec<usize> =
                (0..pool.room.len()).filter(|i| need.fits(&pool.room[*i])).collect();
            if free.is_empty() {
                continue;
            }
            let index = free[self.rng.random_range(0..free.len())];
            let Some(work) = pool.queue.remove(at) else { continue };
            pool.room[index] = pool.room[index].minus(&need);
            *pool.used.entry(work.team.clone()).or_default() += need.dominant_slots(&total);
            let upstream = pool.room.get_index(index).map(|(id, _)| id.clone())?;
            let placed = Placed { id: work.id, upstream: upstream.clone() };
            self.running.insert(work.id, (work, upstream));
            return Some(placed);
        }
        None
    }

    fn expired(&mut self, now: Time, latest: &dyn Fn(&Work) -> Time) -> Vec<WorkId> {
        let mut late = Vec::new();
        for pool in self.pools.values_mut() {
            pool.queue.retain(|work| {
                let keep = latest(work) >= now;
                if !keep {
                    late.push(work.id);
                }
                keep
            });
        }
        late
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

    fn place_again(&mut self, id: WorkId, exclude: &[InstanceId]) -> Option<Placed> {
        let (work, old) = self.running.get_mut(&id)?;
        let pool = self.pools.get_mut(self.services.get(&work.service)?)?;
        if let Some(room) = pool.room.get_mut(old) {
            *room = room.plus(&work.need);
        }
        let fits =
            |(id, room): &(&InstanceId, &Need)| !exclude.contains(id) && work.need.fits(room);
        let found = pool.room.iter().find(fits).map(|(id, _)| id.clone());
        let upstream = found.unwrap_or_else(|| "".into());
        *old = upstream.clone();
        let room = pool.room.get_mut(&upstream)?;
        *room = room.minus(&work.need);
        Some(Placed { id, upstream })
    }
}

/// The scheduler of a run: one real one for each entry instance, or one plain one for all.
#[derive(Clone, Debug)]
pub enum Chooser {
    Real(Vec<Sched>),
    Plain(Box<Plain>),
}

impl Chooser {
    /// Real schedulers, one for each given zone.
    pub fn real(seed: u64, zones: &[ZoneId], cfg: &Config) -> Chooser {
        let one = |(at, zone): (usize, &ZoneId)| {
            let mut sched = Sched::new(seed + at as u64, zone.clone());
            sched.set_config(cfg);
            sched
        };
        Chooser::Real(zones.iter().enumerate().map(one).collect())
    }

    /// A plain scheduler.
    pub fn plain(rule: Rule, seed: u64, cfg: &Config) -> Chooser {
        Chooser::Plain(Box::new(Plain::new(rule, seed, cfg)))
    }

    /// Sets the instances of a pool at every entry instance.
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, list: &[Listed], size: &Need) {
        match self {
            Chooser::Real(scheds) => {
                for sched in scheds {
                    sched.set_upstreams(now, pool, list);
                    for listed in list {
                        sched.set_sizes(pool, &listed.id, *size);
                    }
                }
            }
            Chooser::Plain(plain) => plain.set_upstreams(pool, list, size),
        }
    }

    /// Puts work in line at an entry instance. False when it is refused.
    pub fn enqueue(&mut self, now: Time, entry: usize, work: Work) -> bool {
        match self {
            Chooser::Real(scheds) => scheds[entry].enqueue(now, work).is_ok(),
            Chooser::Plain(plain) => {
                plain.enqueue(work);
                true
            }
        }
    }

    /// Next work of an entry instance.
    pub fn next(&mut self, now: Time, entry: usize) -> Option<Placed> {
        match self {
            Chooser::Real(scheds) => scheds[entry].next(now, &mut |_| true),
            Chooser::Plain(plain) => plain.next(),
        }
    }

    /// Work that cannot start in time any more; `latest` is the latest start for plain rules.
    pub fn expired(&mut self, now: Time, latest: &dyn Fn(&Work) -> Time) -> Vec<WorkId> {
        match self {
            Chooser::Real(scheds) => scheds.iter_mut().flat_map(|s| s.expired(now)).collect(),
            Chooser::Plain(plain) => plain.expired(now, latest),
        }
    }

    /// Ends work.
    pub fn finish(&mut self, now: Time, entry: usize, id: WorkId, ran: Time, failed: bool) {
        match self {
            Chooser::Real(scheds) => scheds[entry].finish(now, id, ran, failed),
            Chooser::Plain(plain) => plain.finish(id),
        }
    }

    /// Another instance for work.
    pub fn place_again(
        &mut self,
        now: Time,
        entry: usize,
        id: WorkId,
        exclude: &[InstanceId],
    ) -> Option<Placed> {
        match self {
            Chooser::Real(scheds) => scheds[entry].place_again(now, id, exclude),
            Chooser::Plain(plain) => plain.place_again(id, exclude),
        }
    }
}
