//! The scheduler of one entry instance: which work starts next, and where.
//!
//! Ties together `queue` (order and bounds), `fair` (shares), `placement` (instances) and `learn`
//! (run times). It has no clock and no I/O; the caller passes the time, reports loads and starts
//! what `next` returns.

use crate::config::{Config, Profile};
use crate::estimator::Estimator;
use crate::fair::{FairShares, PREPAID};
use crate::ids::*;
use crate::kind::{Kind, Refusal};
use crate::placement::PoolInstances;
use crate::protocol::ListedInstance;
use crate::queue::{CLASS_COUNT, QueuePosition, TeamQueue, Waiting, class_index, latest_start};
use crate::record::Class;
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

pub use crate::fair::Resources;

/// Id of a piece of work, given by the caller and unique at this entry instance.
pub type WorkId = u64;

/// A team at its limit, or whose next work fits nowhere, is asked again after this time, or when
/// some of its work ends.
const PARK: Duration = Duration::from_millis(10);
/// Longest time between two charges of work in overtime.
const FLUSH_STEP: Duration = Duration::from_millis(250);
/// Pools charged for overtime in one call of `expired`.
const FLUSHES_A_CALL: usize = 32;
/// Work that enters overtime in one call of `expired`; the rest follows in the next call. In `next`,
/// a millisecond's worth of 76,000 running jobs took a placement to 329 us at p99.
const CHARGES_A_CALL: usize = 1_024;
/// Weight of the newest run in a pool's typical run time.
const RUN_WEIGHT: f64 = 0.05;
/// A pool's typical run time before any work has ended, in seconds.
const FIRST_RUN_SECS: f64 = 0.2;
/// Shortest time after which a refused caller is told to try again.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is told to try again.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// A request or job that wants to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    pub id: WorkId,
    pub service: ServiceId,
    pub team: TeamId,
    pub class: Class,
    /// Time by which it must have ended.
    pub deadline: Time,
    /// Resources that it takes while it runs.
    pub need: Resources,
    /// Declared run time; zero for unknown.
    pub declared: Duration,
}

/// Work and the instance that it starts on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
    pub id: WorkId,
    pub upstream: InstanceId,
}

/// Load of one pool as this entry instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Slots of the instances that may get new work.
    pub slots: u32,
    /// Slots that nobody is known to use.
    pub free: u32,
    /// Slots that work of this entry instance uses.
    pub own: u32,
    /// Work waiting here.
    pub waiting: u32,
    /// Expected slot-seconds of the work waiting here.
    pub waiting_cost: f64,
    /// Expected slot-seconds of all work that was ever offered here, refused work included.
    pub offered_cost: f64,
    /// Typical run time in seconds.
    pub run_secs: f64,
}

/// What the scheduler needs of one service and its profile.
#[derive(Clone, Debug)]
struct ServiceRules {
    pool: u32,
    queue_bound: u32,
    urgent_start: Duration,
    shares: IndexMap<TeamId, u32>,
}

/// What the scheduler needs of one pool.
#[derive(Clone, Debug)]
struct Pool {
    order: Vec<usize>,
    floor_percent: u32,
    fair: FairShares,
    fleet: PoolInstances,
    queues: HashMap<u32, TeamQueue>,
    parked: Vec<(Time, u32)>,
    running: [u32; CLASS_COUNT],
    own_slots: u32,
    flushed: Time,
    waiting: u32,
    waiting_cost: f64,
    offered_cost: f64,
    run_secs: f64,
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    /// `overtime` holds the slots charged as the work runs, once it runs past `charged`.
    Running {
        upstream: Option<InstanceId>,
        started: Time,
        charged: Duration,
        overtime: Option<f64>,
    },
}

#[derive(Clone, Debug)]
struct Item {
    work: Work,
    pool: u32,
    team: u32,
    service: u32,
    class: usize,
    turn: QueuePosition,
    /// Latest start; differs from that of its turn once it ran and was cut off.
    latest: Time,
    /// Expected size; what is taken of an instance.
    need: Resources,
    cost: f64,
    typical: Duration,
    stage: Stage,
}

/// The scheduler of one entry instance.
#[derive(Clone, Debug)]
pub struct Scheduler {
    zone: ZoneId,
    rng: ChaCha8Rng,
    learn: Estimator,
    services: IndexMap<ServiceId, Option<ServiceRules>>,
    teams: IndexSet<TeamId>,
    team_shares: HashMap<TeamId, u32>,
    waiting: Vec<u32>,
    pools: IndexMap<PoolId, Pool>,
    /// Pool that each instance was last listed in.
    homes: HashMap<InstanceId, usize>,
    cursor: usize,
    items: Vec<Option<Item>>,
    vacant: Vec<u32>,
    ids: HashMap<WorkId, u32>,
    arrivals: u64,
    /// Waiting work by latest start.
    latest: BTreeSet<(Time, u32)>,
    late: Vec<WorkId>,
    /// Running work by the time up to which it has been charged.
    charges: BinaryHeap<Reverse<(Time, WorkId)>>,
}

impl Pool {
    fn new(zone: ZoneId) -> Pool {
        Pool {
            order: (0..CLASS_COUNT).collect(),
            floor_percent: 0,
            fair: FairShares::new(),
            fleet: PoolInstances::new(zone),
            queues: HashMap::new(),
            parked: Vec::new(),
            running: [0; CLASS_COUNT],
            own_slots: 0,
            flushed: Time::ZERO,
            waiting: 0,
            waiting_cost: 0.0,
            offered_cost: 0.0,
            run_secs: FIRST_RUN_SECS,
        }
    }

    /// Slots that this entry instance has or can get now.
    fn slots(&self) -> u32 {
        self.own_slots + self.fleet.free_slots()
    }

    /// Classes from first to last; the later ones come first while they hold less than their floor.
    fn order_now(&self) -> ([usize; CLASS_COUNT], usize) {
        let mut order = [0; CLASS_COUNT];
        let len = self.order.len().min(CLASS_COUNT);
        order[..len].copy_from_slice(&self.order[..len]);
        let later: u32 = order[1.min(len)..len].iter().map(|class| self.running[*class]).sum();
        if later * 100 < self.slots() * self.floor_percent {
            order[..len].rotate_left(1);
        }
        (order, len)
    }

    fn unpark_team(&mut self, team: u32, weight: u32) {
        if let Some(at) = self.parked.iter().position(|(_, parked)| *parked == team) {
            self.parked.remove(at);
            self.make_ready(team, weight);
        }
    }

    fn park(&mut self, now: Time, team: u32) {
        for class in 0..CLASS_COUNT {
            self.fair.clear_ready(team, class);
        }
        self.parked.push((now + PARK, team));
    }

    fn is_parked(&self, team: u32) -> bool {
        self.parked.iter().any(|(_, parked)| *parked == team)
    }

    fn make_ready(&mut self, team: u32, weight: u32) {
        let (slots, run) = (self.slots(), self.run_secs);
        let Some(queue) = self.queues.get(&team) else { return };
        for class in 0..CLASS_COUNT {
            if !queue.is_class_empty(class) {
                self.fair.set_ready(team, class, weight, slots, run);
            }
        }
    }
}

impl Scheduler {
    /// An empty scheduler; `zone` is the availability zone of this entry instance.
    pub fn new(seed: u64, zone: ZoneId) -> Scheduler {
        Scheduler {
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            learn: Estimator::new(),
            services: IndexMap::new(),
            teams: IndexSet::new(),
            team_shares: HashMap::new(),
            waiting: Vec::new(),
            pools: IndexMap::new(),
            homes: HashMap::new(),
            cursor: 0,
            items: Vec::new(),
            vacant: Vec::new(),
            ids: HashMap::new(),
            arrivals: 0,
            latest: BTreeSet::new(),
            late: Vec::new(),
            charges: BinaryHeap::new(),
        }
    }

    /// Takes in published declarations. Work that waits keeps its place.
    pub fn set_config(&mut self, cfg: &Config) {
        for rules in self.services.values_mut() {
            *rules = None;
        }
        self.team_shares =
            cfg.teams.iter().map(|(team, declared)| (team.clone(), declared.share)).collect();
        for (id, service) in &cfg.services {
            let Some(profile) = cfg.profiles.get(&service.profile) else { continue };
            let pool = self.pool_index(&service.pool);
            self.set_pool_rules(pool, profile);
            let rules = ServiceRules {
                pool,
                queue_bound: profile.queue_bound,
                urgent_start: profile.urgent_start,
                shares: profile.shares.clone(),
            };
            self.services.insert(id.clone(), Some(rules));
        }
    }

    /// Replaces the instances of a pool that may get new work. An instance belongs to the pool that
    /// was set last.
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, upstreams: &[ListedInstance]) {
        let index = self.pool_index(pool) as usize;
        for listed in upstreams {
            let before = self.homes.insert(listed.id.clone(), index);
            if let Some(before) = before.filter(|before| *before != index) {
                self.pools[before].fleet.close(&listed.id, &mut self.rng);
            }
        }
        self.pools[index].fleet.set(now, upstreams, &mut self.rng);
        if self.homes.len() > 2 * self.members() {
            self.homes.retain(|id, pool| self.pools[*pool].fleet.contains(id));
        }
    }

    /// Sets the resources of an instance besides its slots; unknown ones are not limited.
    pub fn set_sizes(&mut self, pool: &PoolId, upstream: &InstanceId, sizes: Resources) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.fleet.set_sizes(upstream, sizes, &mut self.rng);
        }
    }

    /// Takes in how much an instance runs in all, whoever started it. Reports may lag.
    pub fn on_load(&mut self, now: Time, upstream: &InstanceId, running: u32) {
        if let Some(pool) = self.homes.get(upstream) {
            self.pools[*pool].fleet.on_load(now, upstream, running, &mut self.rng);
        }
    }

    /// Puts work in line.
    ///
    /// # Errors
    ///
    /// Refuses as not run: unknown service, a full queue, no instance for urgent work, or a deadline
    /// that the team's share of the pool cannot meet.
    pub fn enqueue(&mut self, now: Time, work: Work) -> Result<(), Refusal> {
        let (service, rules) = match self.services.get_full(&work.service) {
            Some((service, _, Some(rules))) => (service as u32, rules),
            _ => return Err(Refusal::new(Kind::NotFound)),
        };
        let (pool, bound, urgent_start) = (rules.pool, rules.queue_bound, rules.urgent_start);
        let team = self.team_index(&work.team);
        self.check_bound(&work, team, bound)?;
        let estimate = self.learn.estimate((team, service), work.declared);
        let class = class_index(work.class);
        let latest = latest_start(now, work.class, work.deadline, estimate.short, urgent_start);
        let need = self.learn.size((team, service), &work.need);
        let state = &mut self.pools[pool as usize];
        let cost = need.dominant_slots(state.fleet.total()) * estimate.typical.as_secs_f64();
        state.offered_cost += cost;
        let turn = (latest, self.arrivals);
        let weight = self.weight(service, team);
        self.check_wait(now, pool, team, weight, class, turn)?;
        self.arrivals += 1;
        let typical = estimate.typical;
        let stage = Stage::Waiting;
        let item =
            Item { work, pool, team, service, class, turn, latest, need, cost, typical, stage };
        self.add_waiting(item, turn, weight);
        Ok(())
    }

    /// Takes waiting work out. False when it does not wait here, for example because it runs.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let Some(key) = self.ids.get(&id).copied() else { return false };
        let waits = matches!(&self.items[key as usize], Some(item) if is_waiting(item));
        if waits {
            self.remove_waiting(key);
            self.forget(key);
        }
        waits
    }

    /// Next work to start; `allow` takes a unit of the team and is false at its upper limit.
    ///
    /// `allow` is called only for work that has an instance, and work that it allows is returned.
    pub fn next(&mut self, now: Time, allow: &mut dyn FnMut(&Work) -> bool) -> Option<Placed> {
        self.sweep(now);
        for _ in 0..self.pools.len() {
            self.cursor = (self.cursor + 1) % self.pools.len();
            if let Some(placed) = self.next_in(now, self.cursor, allow) {
                return Some(placed);
            }
        }
        None
    }

    /// Work that cannot start in time any more. It was not run and is forgotten here. To be called
    /// at least every 100 ms: it also charges work that runs longer than expected.
    pub fn expired(&mut self, now: Time) -> Vec<WorkId> {
        self.sweep(now);
        self.charge_due(now);
        self.flush(now);
        std::mem::take(&mut self.late)
    }

    /// Frees the slot of work that ended. `ran_for` is its run time at the upstream.
    pub fn finish(&mut self, now: Time, id: WorkId, ran_for: Duration, failed: bool) {
        let Some(key) = self.ids.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].clone() else { return };
        let Stage::Running { upstream, started, charged, overtime } = &item.stage else { return };
        let weight = self.weight(item.service, item.team);
        let pool = &mut self.pools[item.pool as usize];
        let slots = item.need.dominant_slots(pool.fleet.total());
        let used = now.saturating_sub(*started).as_secs_f64();
        match overtime {
            Some(slots) => pool.fair.end_overtime(now, item.team, *slots),
            None => pool.fair.charge(item.team, weight, slots * (used - charged.as_secs_f64())),
        }
        if let Some(upstream) = upstream {
            pool.fleet.give(upstream, &item.need, &mut self.rng);
        }
        pool.own_slots = pool.own_slots.saturating_sub(item.need.slots);
        pool.running[item.class] = pool.running[item.class].saturating_sub(item.need.slots);
        pool.fair.end(item.team);
        pool.unpark_team(item.team, weight);
        // The pool with the freed slot is looked at first.
        self.cursor = item.pool as usize + self.pools.len() - 1;
        let pool = &mut self.pools[item.pool as usize];
        if !failed {
            pool.run_secs += RUN_WEIGHT * (used - pool.run_secs);
            self.learn.on_run((item.team, item.service), item.work.declared, ran_for);
        }
        self.forget(key);
    }

    /// Takes in the most that running work was reported to use. Its own place stays as it is; later
    /// work of its kind is sized by it.
    pub fn on_usage(&mut self, id: WorkId, used: &Resources) {
        let Some(key) = self.ids.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].as_ref() else { return };
        self.learn.on_size((item.team, item.service), &item.work.need, used);
    }

    /// Another instance for work that did not run where it was placed; that instance counts as full
    /// until its next report. `None` when none has room;
    /// the work then holds no instance until the next call or `finish`.
    pub fn place_elsewhere(
        &mut self,
        now: Time,
        id: WorkId,
        exclude: &[InstanceId],
    ) -> Option<Placed> {
        let key = self.ids.get(&id).copied()?;
        let item = self.items[key as usize].as_mut()?;
        let Stage::Running { upstream, .. } = &mut item.stage else { return None };
        let fleet = &mut self.pools[item.pool as usize].fleet;
        if let Some(upstream) = upstream.take() {
            fleet.give(&upstream, &item.need, &mut self.rng);
            fleet.mark_full(now, &upstream, &mut self.rng);
        }
        let index = fleet.find(now, &item.need, exclude)?;
        let placed = fleet.take(index, &item.need, &mut self.rng);
        *upstream = Some(placed.clone());
        Some(Placed { id, upstream: placed })
    }

    /// Puts work back in line at its old place, for example when every instance tried was busy.
    /// With `ran`, it had started and was cut off: then only its deadline bounds the next start.
    /// False when it cannot start in time any more; it is then forgotten here.
    pub fn requeue(&mut self, now: Time, id: WorkId, ran: bool) -> bool {
        let Some(item) = self.ids.get(&id).and_then(|key| self.items[*key as usize].clone()) else {
            return false;
        };
        if is_waiting(&item) {
            return true;
        }
        self.finish(now, id, Duration::ZERO, true);
        if let (Stage::Running { upstream: Some(upstream), .. }, false) = (&item.stage, ran) {
            self.pools[item.pool as usize].fleet.mark_full(now, upstream, &mut self.rng);
        }
        let latest = if ran { item.work.deadline } else { item.latest };
        if latest < now {
            return false;
        }
        let weight = self.weight(item.service, item.team);
        let turn = item.turn;
        self.add_waiting(Item { stage: Stage::Waiting, latest, ..item }, turn, weight);
        true
    }

    /// Work of a team that waits here.
    pub fn waiting(&self, team: &TeamId) -> u32 {
        self.teams.get_index_of(team).map_or(0, |team| self.waiting[team])
    }

    /// Load of a pool.
    pub fn pool_load(&self, pool: &PoolId) -> PoolLoad {
        let Some(pool) = self.pools.get(pool) else { return PoolLoad::default() };
        PoolLoad {
            slots: pool.fleet.total().slots,
            free: pool.fleet.free_slots(),
            own: pool.own_slots,
            waiting: pool.waiting,
            waiting_cost: pool.waiting_cost,
            offered_cost: pool.offered_cost,
            run_secs: pool.run_secs,
        }
    }

    /// Instances known in all pools.
    fn members(&self) -> usize {
        self.pools.values().map(|pool| pool.fleet.len()).sum()
    }

    fn set_pool_rules(&mut self, pool: u32, profile: &Profile) {
        let pool = &mut self.pools[pool as usize];
        pool.order = profile.class_order.iter().map(|class| class_index(*class)).collect();
        // A class that the profile leaves out still gets its turn, after the others.
        for class in 0..CLASS_COUNT {
            if !pool.order.contains(&class) {
                pool.order.push(class);
            }
        }
        pool.floor_percent = profile.class_floor_percent;
    }

    fn pool_index(&mut self, pool: &PoolId) -> u32 {
        if let Some(index) = self.pools.get_index_of(pool) {
            return index as u32;
        }
        self.pools.insert_full(pool.clone(), Pool::new(self.zone.clone())).0 as u32
    }

    fn team_index(&mut self, team: &TeamId) -> u32 {
        if let Some(index) = self.teams.get_index_of(team) {
            return index as u32;
        }
        self.waiting.push(0);
        self.teams.insert_full(team.clone()).0 as u32
    }

    /// Weight of a team for a service.
    fn weight(&self, service: u32, team: u32) -> u32 {
        let Some(team) = self.teams.get_index(team as usize) else { return 1 };
        let rules = self.services.get_index(service as usize).and_then(|(_, rules)| rules.as_ref());
        let own = rules.and_then(|rules| rules.shares.get(team));
        own.or_else(|| self.team_shares.get(team)).copied().unwrap_or(1).max(1)
    }

    fn check_bound(&self, work: &Work, team: u32, bound: u32) -> Result<(), Refusal> {
        if self.ids.contains_key(&work.id) {
            return Err(Refusal::new(Kind::Internal).with_message("the work id is in use"));
        }
        if self.waiting[team as usize] >= bound {
            return Err(Refusal::new(Kind::QueueFull));
        }
        Ok(())
    }

    /// Refuses work whose latest start comes before its turn at the rate that the team is due.
    fn check_wait(
        &self,
        now: Time,
        pool: u32,
        team: u32,
        weight: u32,
        class: usize,
        turn: QueuePosition,
    ) -> Result<(), Refusal> {
        let pool = &self.pools[pool as usize];
        let allowed = turn.0.saturating_sub(now);
        if turn.0 < now {
            return Err(too_soon(MIN_RETRY));
        }
        if pool.fleet.total().slots == 0 && class == class_index(Class::Urgent) {
            return Err(Refusal::new(Kind::NoUpstream));
        }
        let Some(queue) = pool.queues.get(&team) else { return Ok(()) };
        let rate = pool.fair.portion(team, weight) * f64::from(pool.slots().max(1));
        let enough = rate * allowed.as_secs_f64();
        let ahead = queue.cost_ahead(&pool.order, class, turn, enough);
        if ahead <= enough {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(ahead / rate).unwrap_or(MAX_RETRY);
        Err(too_soon(wait.saturating_sub(allowed)))
    }

    fn add_waiting(&mut self, item: Item, turn: QueuePosition, weight: u32) {
        let (pool, team, class, cost) = (item.pool, item.team, item.class, item.cost);
        let (id, latest) = (item.work.id, item.latest);
        let key = self.store(item);
        self.ids.insert(id, key);
        self.latest.insert((latest, key));
        self.waiting[team as usize] += 1;
        let pool = &mut self.pools[pool as usize];
        pool.waiting += 1;
        pool.waiting_cost += cost;
        pool.queues.entry(team).or_default().push(class, turn, Waiting { key, cost });
        if !pool.is_parked(team) {
            let (slots, run) = (pool.slots(), pool.run_secs);
            pool.fair.set_ready(team, class, weight, slots, run);
        }
    }

    fn store(&mut self, item: Item) -> u32 {
        if let Some(key) = self.vacant.pop() {
            self.items[key as usize] = Some(item);
            return key;
        }
        self.items.push(Some(item));
        (self.items.len() - 1) as u32
    }

    fn forget(&mut self, key: u32) {
        if let Some(item) = self.items[key as usize].take() {
            self.ids.remove(&item.work.id);
            self.vacant.push(key);
        }
    }

    fn remove_waiting(&mut self, key: u32) {
        let Some(item) = &self.items[key as usize] else { return };
        if !is_waiting(item) {
            return;
        }
        let turn = item.turn;
        self.latest.remove(&(item.latest, key));
        self.waiting[item.team as usize] -= 1;
        let pool = &mut self.pools[item.pool as usize];
        pool.waiting -= 1;
        pool.waiting_cost = if pool.waiting == 0 { 0.0 } else { pool.waiting_cost - item.cost };
        let Some(queue) = pool.queues.get_mut(&item.team) else { return };
        queue.remove(item.class, turn);
        if queue.is_class_empty(item.class) {
            pool.fair.clear_ready(item.team, item.class);
        }
    }

    /// Sets work aside that is too late.
    fn sweep(&mut self, now: Time) {
        while let Some((latest, key)) = self.latest.first().copied() {
            if latest >= now {
                break;
            }
            let id = self.items[key as usize].as_ref().map(|item| item.work.id);
            self.remove_waiting(key);
            self.forget(key);
            self.late.extend(id);
        }
    }

    /// Takes note of work that runs past what was charged.
    fn charge_due(&mut self, now: Time) {
        for _ in 0..CHARGES_A_CALL {
            match self.charges.peek().copied() {
                Some(Reverse((due, id))) if due <= now => {
                    self.charges.pop();
                    self.charge_on(now, due, id);
                }
                _ => break,
            }
        }
    }

    /// Work that runs past what was charged for it is charged as it runs.
    fn charge_on(&mut self, now: Time, due: Time, id: WorkId) {
        let Some(key) = self.ids.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].as_mut() else { return };
        let Stage::Running { started, charged, overtime, .. } = &mut item.stage else { return };
        // An entry of an earlier start of the same work charges nothing.
        if *started + *charged != due || overtime.is_some() {
            return;
        }
        let pool = &mut self.pools[item.pool as usize];
        let slots = item.need.dominant_slots(pool.fleet.total());
        *overtime = Some(slots);
        pool.fair.add_overtime(now, item.team, slots, due);
    }

    /// Charges work in overtime, some pools at a time to keep each call short.
    fn flush(&mut self, now: Time) {
        let due = |pool: &Pool| now >= pool.flushed + FLUSH_STEP;
        for pool in self.pools.values_mut().filter(|pool| due(pool)).take(FLUSHES_A_CALL) {
            pool.flushed = now;
            pool.fair.flush_all(now);
        }
    }

    fn next_in(
        &mut self,
        now: Time,
        at: usize,
        allow: &mut dyn FnMut(&Work) -> bool,
    ) -> Option<Placed> {
        let pool = &mut self.pools[at];
        if pool.waiting == 0 {
            return None;
        }
        pool.fleet.relax(now, &mut self.rng);
        if pool.fleet.free_slots() == 0 {
            return None;
        }
        self.unpark(now, at);
        loop {
            let pool = &mut self.pools[at];
            let (order, len) = pool.order_now();
            let (team, class) = pool.fair.pick(&order[..len], pool.slots())?;
            let (_, waiting) = pool.queues.get(&team)?.head(class)?;
            let item = self.items[waiting.key as usize].as_ref()?;
            let Some(index) = pool.fleet.find(now, &item.need, &[]) else {
                if item.need == Resources::ONE_SLOT {
                    return None;
                }
                pool.park(now, team);
                continue;
            };
            if !allow(&item.work) {
                pool.park(now, team);
                continue;
            }
            return self.start(now, waiting.key, index);
        }
    }

    fn unpark(&mut self, now: Time, at: usize) {
        let due: Vec<u32> = {
            let parked = &mut self.pools[at].parked;
            let count = parked.partition_point(|(until, _)| *until <= now);
            parked.drain(..count).map(|(_, team)| team).collect()
        };
        for team in due {
            let weight = self.pool_weight(at, team);
            self.pools[at].make_ready(team, weight);
        }
    }

    /// Weight of a team by the service of its first waiting work.
    fn pool_weight(&self, at: usize, team: u32) -> u32 {
        let queue = self.pools[at].queues.get(&team);
        let head = queue.and_then(|queue| (0..CLASS_COUNT).find_map(|class| queue.head(class)));
        let item = head.and_then(|(_, waiting)| self.items[waiting.key as usize].as_ref());
        item.map_or(1, |item| self.weight(item.service, team))
    }

    fn start(&mut self, now: Time, key: u32, index: usize) -> Option<Placed> {
        self.remove_waiting(key);
        let item = self.items[key as usize].as_ref()?;
        let weight = self.weight(item.service, item.team);
        let item = self.items[key as usize].as_mut()?;
        let pool = &mut self.pools[item.pool as usize];
        let need = item.need;
        let upstream = pool.fleet.take(index, &need, &mut self.rng);
        let charged = item.typical.min(PREPAID);
        let slots = need.dominant_slots(pool.fleet.total());
        pool.fair.start(item.team, weight, slots * charged.as_secs_f64());
        pool.own_slots += need.slots;
        pool.running[item.class] += need.slots;
        item.stage = Stage::Running {
            upstream: Some(upstream.clone()),
            started: now,
            charged,
            overtime: None,
        };
        self.charges.push(Reverse((now + charged, item.work.id)));
        Some(Placed { id: item.work.id, upstream })
    }
}

fn is_waiting(item: &Item) -> bool {
    matches!(item.stage, Stage::Waiting)
}

fn too_soon(retry: Duration) -> Refusal {
    Refusal::new(Kind::DeadlineTooSoon).with_retry_after(retry.clamp(MIN_RETRY, MAX_RETRY))
}
