//! The scheduler of one entry instance: decides which work starts next and on which instance.
//!
//! It combines `queue` (order and bounds), `fair` (shares of the teams), `placement` (instances)
//! and `estimator` (run times). It has no clock and does no I/O: the caller passes the time in,
//! reports the load of instances and starts the work that `next` returns.

use crate::config::{Config, Profile};
use crate::estimator::Estimator;
use crate::fair::{FairShares, MAX_UPFRONT_CHARGE};
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

/// Id of a piece of work, chosen by the caller and unique within this entry instance.
pub type WorkId = u64;

/// Time for which a team is skipped after it reached its limit or its next work fitted no instance.
/// The team is considered again earlier when some of its work ends.
const PARK_DURATION: Duration = Duration::from_millis(10);
/// Interval at which the teams of a pool are charged for work that runs past its upfront charge.
const OVERTIME_CHARGE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of pools whose overtime is charged in one call of `expired`.
const MAX_POOLS_CHARGED_PER_CALL: usize = 32;
/// Maximum number of pieces of work that enter overtime in one call of `expired`; the rest follow
/// in the next call. `next` does not do this: with 76,000 running jobs, those that entered overtime
/// within one millisecond raised the time of a placement to 329 us at p99.
const MAX_OVERTIME_STARTS_PER_CALL: usize = 1_024;
/// Weight of the newest run in the moving average of a pool's run time.
const NEWEST_RUN_WEIGHT: f64 = 0.05;
/// Run time assumed for a pool until its first work has ended, in seconds.
const INITIAL_RUN_SECS: f64 = 0.2;
/// Shortest retry delay reported to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry delay reported to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A request or job to be scheduled.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    pub id: WorkId,
    pub service: ServiceId,
    pub team: TeamId,
    pub class: Class,
    /// Time by which the work must have ended.
    pub deadline: Time,
    /// Resources that the work uses while it runs.
    pub need: Resources,
    /// Declared run time; zero when unknown.
    pub declared: Duration,
}

/// Work and the instance it was placed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
    pub id: WorkId,
    pub upstream: InstanceId,
}

/// Load of one pool as seen by this entry instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Slots of the instances that accept new work.
    pub slots: u32,
    /// Slots not known to be in use.
    pub free: u32,
    /// Slots used by work of this entry instance.
    pub own: u32,
    /// Number of pieces of work waiting at this entry instance.
    pub waiting: u32,
    /// Expected slot-seconds of the work waiting at this entry instance.
    pub waiting_cost: f64,
    /// Expected slot-seconds of all work offered to this entry instance since its start. Includes
    /// work refused for its deadline, but not work refused by a full queue.
    pub offered_cost: f64,
    /// Moving average of the run time, in seconds.
    pub run_secs: f64,
}

/// Scheduling settings of one service, taken from the service and its profile.
#[derive(Clone, Debug)]
struct ServiceRules {
    pool: u32,
    queue_bound: u32,
    urgent_start: Duration,
    shares: IndexMap<TeamId, u32>,
}

/// Queues, shares and instances of one pool.
#[derive(Clone, Debug)]
struct PoolState {
    class_order: Vec<usize>,
    floor_percent: u32,
    fair: FairShares,
    instances: PoolInstances,
    queues: HashMap<u32, TeamQueue>,
    /// Skipped teams and the times until which they are skipped, in order of time.
    parked: Vec<(Time, u32)>,
    /// Slots in use by class.
    running_slots: [u32; CLASS_COUNT],
    own_slots: u32,
    overtime_charged_at: Time,
    waiting: u32,
    waiting_cost: f64,
    offered_cost: f64,
    run_secs: f64,
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    /// Running on `upstream`, or on none after `place_elsewhere` found no instance. `charged` is
    /// the run time charged at the start. Once the work runs longer, `overtime_slots` is the number
    /// of slots that are charged continuously.
    Running {
        upstream: Option<InstanceId>,
        started: Time,
        charged: Duration,
        overtime_slots: Option<f64>,
    },
}

#[derive(Clone, Debug)]
struct TrackedWork {
    work: Work,
    pool: u32,
    team: u32,
    service: u32,
    class: usize,
    position: QueuePosition,
    /// Latest start. Differs from the one in `position` once the work was interrupted and requeued.
    latest_start: Time,
    /// Estimated resources; reserved on the instance while the work runs.
    need: Resources,
    /// Expected slot-seconds.
    cost: f64,
    /// Expected run time.
    typical: Duration,
    stage: Stage,
}

/// The scheduler of one entry instance.
#[derive(Clone, Debug)]
pub struct Scheduler {
    zone: ZoneId,
    rng: ChaCha8Rng,
    estimator: Estimator,
    services: IndexMap<ServiceId, Option<ServiceRules>>,
    teams: IndexSet<TeamId>,
    team_shares: HashMap<TeamId, u32>,
    /// Number of pieces of waiting work by team.
    waiting: Vec<u32>,
    pools: IndexMap<PoolId, PoolState>,
    /// Index of the pool that each instance was last listed in.
    instance_pools: HashMap<InstanceId, usize>,
    /// Index of the pool that `next` tried last.
    cursor: usize,
    /// Waiting and running work; the index is the key of the work.
    items: Vec<Option<TrackedWork>>,
    /// Unused indexes of `items`.
    free_keys: Vec<u32>,
    keys_by_id: HashMap<WorkId, u32>,
    arrivals: u64,
    /// Keys of waiting work, ordered by latest start.
    by_latest_start: BTreeSet<(Time, u32)>,
    /// Expired work that `expired` has not returned yet.
    expired_ids: Vec<WorkId>,
    /// Running work, ordered by the end of its upfront charge.
    charge_ends: BinaryHeap<Reverse<(Time, WorkId)>>,
}

impl PoolState {
    fn new(zone: ZoneId) -> PoolState {
        PoolState {
            class_order: (0..CLASS_COUNT).collect(),
            floor_percent: 0,
            fair: FairShares::new(),
            instances: PoolInstances::new(zone),
            queues: HashMap::new(),
            parked: Vec::new(),
            running_slots: [0; CLASS_COUNT],
            own_slots: 0,
            overtime_charged_at: Time::ZERO,
            waiting: 0,
            waiting_cost: 0.0,
            offered_cost: 0.0,
            run_secs: INITIAL_RUN_SECS,
        }
    }

    /// Slots that this entry instance uses or that are free.
    fn usable_slots(&self) -> u32 {
        self.own_slots + self.instances.free_slots()
    }

    /// Classes from highest to lowest precedence, and their number. While the classes after the
    /// first use less than the floor of the pool's slots, the first class moves to the end.
    fn current_class_order(&self) -> ([usize; CLASS_COUNT], usize) {
        let mut order = [0; CLASS_COUNT];
        let len = self.class_order.len().min(CLASS_COUNT);
        order[..len].copy_from_slice(&self.class_order[..len]);
        let later: u32 =
            order[1.min(len)..len].iter().map(|class| self.running_slots[*class]).sum();
        if later * 100 < self.usable_slots() * self.floor_percent {
            order[..len].rotate_left(1);
        }
        (order, len)
    }

    fn unpark_team(&mut self, team: u32, weight: u32) {
        if let Some(index) = self.parked.iter().position(|(_, parked)| *parked == team) {
            self.parked.remove(index);
            self.mark_ready(team, weight);
        }
    }

    fn park(&mut self, now: Time, team: u32) {
        for class in 0..CLASS_COUNT {
            self.fair.clear_ready(team, class);
        }
        self.parked.push((now + PARK_DURATION, team));
    }

    fn is_parked(&self, team: u32) -> bool {
        self.parked.iter().any(|(_, parked)| *parked == team)
    }

    fn mark_ready(&mut self, team: u32, weight: u32) {
        let (slots, run) = (self.usable_slots(), self.run_secs);
        let Some(queue) = self.queues.get(&team) else { return };
        for class in 0..CLASS_COUNT {
            if !queue.is_class_empty(class) {
                self.fair.set_ready(team, class, weight, slots, run);
            }
        }
    }
}

impl Scheduler {
    /// Creates an empty scheduler; `zone` is the availability zone of this entry instance.
    pub fn new(seed: u64, zone: ZoneId) -> Scheduler {
        Scheduler {
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            estimator: Estimator::new(),
            services: IndexMap::new(),
            teams: IndexSet::new(),
            team_shares: HashMap::new(),
            waiting: Vec::new(),
            pools: IndexMap::new(),
            instance_pools: HashMap::new(),
            cursor: 0,
            items: Vec::new(),
            free_keys: Vec::new(),
            keys_by_id: HashMap::new(),
            arrivals: 0,
            by_latest_start: BTreeSet::new(),
            expired_ids: Vec::new(),
            charge_ends: BinaryHeap::new(),
        }
    }

    /// Applies a published configuration. Waiting work keeps its position.
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

    /// Replaces the instances of a pool that accept new work. An instance listed in several pools
    /// belongs to the pool that was set last.
    pub fn set_upstreams(&mut self, now: Time, pool: &PoolId, upstreams: &[ListedInstance]) {
        let index = self.pool_index(pool) as usize;
        for listed in upstreams {
            let before = self.instance_pools.insert(listed.id.clone(), index);
            if let Some(before) = before.filter(|before| *before != index) {
                self.pools[before].instances.close(&listed.id, &mut self.rng);
            }
        }
        self.pools[index].instances.set_listed(now, upstreams, &mut self.rng);
        if self.instance_pools.len() > 2 * self.instance_count() {
            self.instance_pools.retain(|id, pool| self.pools[*pool].instances.contains(id));
        }
    }

    /// Sets the resources of an instance other than its slots. Unknown resources are unlimited.
    pub fn set_resources(&mut self, pool: &PoolId, upstream: &InstanceId, resources: Resources) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.instances.set_resources(upstream, resources, &mut self.rng);
        }
    }

    /// Updates the amount of work running on an instance, started by any entry instance. Reports
    /// may lag behind.
    pub fn on_load(&mut self, now: Time, upstream: &InstanceId, running: u32) {
        if let Some(pool) = self.instance_pools.get(upstream) {
            self.pools[*pool].instances.on_load(now, upstream, running, &mut self.rng);
        }
    }

    /// Adds work to the queue of its team.
    ///
    /// # Errors
    ///
    /// Refuses the work, which has then not run, if the service is unknown, the queue is full, the
    /// pool has no instance for urgent work, or the team's share of the pool cannot meet the
    /// deadline.
    pub fn enqueue(&mut self, now: Time, work: Work) -> Result<(), Refusal> {
        let (service, rules) = match self.services.get_full(&work.service) {
            Some((service, _, Some(rules))) => (service as u32, rules),
            _ => return Err(Refusal::new(Kind::NotFound)),
        };
        let (pool, bound, urgent_start) = (rules.pool, rules.queue_bound, rules.urgent_start);
        let team = self.team_index(&work.team);
        self.check_bound(&work, team, bound)?;
        let estimate = self.estimator.estimate((team, service), work.declared);
        let class = class_index(work.class);
        let latest_start =
            latest_start(now, work.class, work.deadline, estimate.min_plausible, urgent_start);
        let need = self.estimator.size((team, service), &work.need);
        let state = &mut self.pools[pool as usize];
        let cost = need.dominant_slots(state.instances.total()) * estimate.typical.as_secs_f64();
        state.offered_cost += cost;
        let position = (latest_start, self.arrivals);
        let weight = self.weight(service, team);
        self.check_expected_wait(now, pool, team, weight, class, position)?;
        self.arrivals += 1;
        let typical = estimate.typical;
        let stage = Stage::Waiting;
        let item = TrackedWork {
            work,
            pool,
            team,
            service,
            class,
            position,
            latest_start,
            need,
            cost,
            typical,
            stage,
        };
        self.add_waiting(item, position, weight);
        Ok(())
    }

    /// Removes waiting work. Returns false if it is not waiting, for example because it runs.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let Some(key) = self.keys_by_id.get(&id).copied() else { return false };
        let waits = matches!(&self.items[key as usize], Some(item) if is_waiting(item));
        if waits {
            self.remove_waiting(key);
            self.remove_item(key);
        }
        waits
    }

    /// Returns the next work to start and its instance.
    ///
    /// `allow` reserves a unit of the team's limit and returns false when the limit is reached. It
    /// is called only for work that fits an instance; work that it allows is always returned.
    pub fn next(&mut self, now: Time, allow: &mut dyn FnMut(&Work) -> bool) -> Option<Placed> {
        self.expire_waiting(now);
        for _ in 0..self.pools.len() {
            self.cursor = (self.cursor + 1) % self.pools.len();
            if let Some(placed) = self.next_in_pool(now, self.cursor, allow) {
                return Some(placed);
            }
        }
        None
    }

    /// Removes and returns the waiting work whose latest start has passed. It has not run. Must be
    /// called at least every 100 ms, because it also charges for work that runs longer than
    /// expected.
    pub fn expired(&mut self, now: Time) -> Vec<WorkId> {
        self.expire_waiting(now);
        self.start_overtime_charges(now);
        self.charge_overtime(now);
        std::mem::take(&mut self.expired_ids)
    }

    /// Releases the resources of work that ended. `ran_for` is its run time at the upstream.
    pub fn finish(&mut self, now: Time, id: WorkId, ran_for: Duration, failed: bool) {
        let Some(key) = self.keys_by_id.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].clone() else { return };
        let Stage::Running { upstream, started, charged, overtime_slots } = &item.stage else {
            return;
        };
        let weight = self.weight(item.service, item.team);
        let pool = &mut self.pools[item.pool as usize];
        let slots = item.need.dominant_slots(pool.instances.total());
        let used = now.saturating_sub(*started).as_secs_f64();
        match overtime_slots {
            Some(slots) => pool.fair.end_overtime(now, item.team, *slots),
            None => pool.fair.charge(item.team, weight, slots * (used - charged.as_secs_f64())),
        }
        if let Some(upstream) = upstream {
            pool.instances.release(upstream, &item.need, &mut self.rng);
        }
        pool.own_slots = pool.own_slots.saturating_sub(item.need.slots);
        pool.running_slots[item.class] =
            pool.running_slots[item.class].saturating_sub(item.need.slots);
        pool.fair.end(item.team);
        pool.unpark_team(item.team, weight);
        // The next call of `next` starts with the pool whose slot became free.
        self.cursor = item.pool as usize + self.pools.len() - 1;
        let pool = &mut self.pools[item.pool as usize];
        if !failed {
            pool.run_secs += NEWEST_RUN_WEIGHT * (used - pool.run_secs);
            self.estimator.on_run((item.team, item.service), item.work.declared, ran_for);
        }
        self.remove_item(key);
    }

    /// Records the peak resource usage reported for running work. The reservation of that work does
    /// not change; the estimate for later work of the same team and service does.
    pub fn on_usage(&mut self, id: WorkId, used: &Resources) {
        let Some(key) = self.keys_by_id.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].as_ref() else { return };
        self.estimator.on_size((item.team, item.service), &item.work.need, used);
    }

    /// Places work that was refused by its instance on another one. The refusing instance counts as
    /// full until its next load report. Returns `None` if no instance has room; the work then holds
    /// no instance until the next call or `finish`.
    pub fn place_elsewhere(
        &mut self,
        now: Time,
        id: WorkId,
        exclude: &[InstanceId],
    ) -> Option<Placed> {
        let key = self.keys_by_id.get(&id).copied()?;
        let item = self.items[key as usize].as_mut()?;
        let Stage::Running { upstream, .. } = &mut item.stage else { return None };
        let instances = &mut self.pools[item.pool as usize].instances;
        if let Some(upstream) = upstream.take() {
            instances.release(&upstream, &item.need, &mut self.rng);
            instances.mark_full(now, &upstream, &mut self.rng);
        }
        let index = instances.find(now, &item.need, exclude)?;
        let placed = instances.reserve(index, &item.need, &mut self.rng);
        *upstream = Some(placed.clone());
        Some(Placed { id, upstream: placed })
    }

    /// Returns running work to its queue at its old position, for example when every instance tried
    /// was busy. `ran` means that the work had started and was interrupted; its next start is then
    /// bounded only by its deadline. Returns false, and drops the work, if it is too late to start.
    pub fn requeue(&mut self, now: Time, id: WorkId, ran: bool) -> bool {
        let Some(item) = self.keys_by_id.get(&id).and_then(|key| self.items[*key as usize].clone())
        else {
            return false;
        };
        if is_waiting(&item) {
            return true;
        }
        self.finish(now, id, Duration::ZERO, true);
        if let (Stage::Running { upstream: Some(upstream), .. }, false) = (&item.stage, ran) {
            self.pools[item.pool as usize].instances.mark_full(now, upstream, &mut self.rng);
        }
        let latest_start = if ran { item.work.deadline } else { item.latest_start };
        if latest_start < now {
            return false;
        }
        let weight = self.weight(item.service, item.team);
        let position = item.position;
        self.add_waiting(
            TrackedWork { stage: Stage::Waiting, latest_start, ..item },
            position,
            weight,
        );
        true
    }

    /// Number of pieces of work of a team that are waiting.
    pub fn waiting(&self, team: &TeamId) -> u32 {
        self.teams.get_index_of(team).map_or(0, |team| self.waiting[team])
    }

    /// Returns the load of a pool.
    pub fn pool_load(&self, pool: &PoolId) -> PoolLoad {
        let Some(pool) = self.pools.get(pool) else { return PoolLoad::default() };
        PoolLoad {
            slots: pool.instances.total().slots,
            free: pool.instances.free_slots(),
            own: pool.own_slots,
            waiting: pool.waiting,
            waiting_cost: pool.waiting_cost,
            offered_cost: pool.offered_cost,
            run_secs: pool.run_secs,
        }
    }

    /// Number of instances in all pools.
    fn instance_count(&self) -> usize {
        self.pools.values().map(|pool| pool.instances.len()).sum()
    }

    fn set_pool_rules(&mut self, pool: u32, profile: &Profile) {
        let pool = &mut self.pools[pool as usize];
        pool.class_order = profile.class_order.iter().map(|class| class_index(*class)).collect();
        // A class that the profile does not list comes after the listed ones.
        for class in 0..CLASS_COUNT {
            if !pool.class_order.contains(&class) {
                pool.class_order.push(class);
            }
        }
        pool.floor_percent = profile.class_floor_percent;
    }

    fn pool_index(&mut self, pool: &PoolId) -> u32 {
        if let Some(index) = self.pools.get_index_of(pool) {
            return index as u32;
        }
        self.pools.insert_full(pool.clone(), PoolState::new(self.zone.clone())).0 as u32
    }

    fn team_index(&mut self, team: &TeamId) -> u32 {
        if let Some(index) = self.teams.get_index_of(team) {
            return index as u32;
        }
        self.waiting.push(0);
        self.teams.insert_full(team.clone()).0 as u32
    }

    /// Returns the weight of a team for a service: the share in the profile, else that of the team.
    fn weight(&self, service: u32, team: u32) -> u32 {
        let Some(team) = self.teams.get_index(team as usize) else { return 1 };
        let rules = self.services.get_index(service as usize).and_then(|(_, rules)| rules.as_ref());
        let own = rules.and_then(|rules| rules.shares.get(team));
        own.or_else(|| self.team_shares.get(team)).copied().unwrap_or(1).max(1)
    }

    fn check_bound(&self, work: &Work, team: u32, bound: u32) -> Result<(), Refusal> {
        if self.keys_by_id.contains_key(&work.id) {
            return Err(Refusal::new(Kind::Internal).with_message("the work id is in use"));
        }
        if self.waiting[team as usize] >= bound {
            return Err(Refusal::new(Kind::QueueFull));
        }
        Ok(())
    }

    /// Refuses work that would wait past its latest start, given the work queued ahead of it and
    /// the team's share of the pool.
    fn check_expected_wait(
        &self,
        now: Time,
        pool: u32,
        team: u32,
        weight: u32,
        class: usize,
        position: QueuePosition,
    ) -> Result<(), Refusal> {
        let pool = &self.pools[pool as usize];
        let allowed = position.0.saturating_sub(now);
        if position.0 < now {
            return Err(deadline_refusal(MIN_RETRY_AFTER));
        }
        if pool.instances.total().slots == 0 && class == class_index(Class::Urgent) {
            return Err(Refusal::new(Kind::NoUpstream));
        }
        let Some(queue) = pool.queues.get(&team) else { return Ok(()) };
        let rate = pool.fair.share_fraction(team, weight) * f64::from(pool.usable_slots().max(1));
        let enough = rate * allowed.as_secs_f64();
        let ahead = queue.cost_ahead(&pool.class_order, class, position, enough);
        if ahead <= enough {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(ahead / rate).unwrap_or(MAX_RETRY_AFTER);
        Err(deadline_refusal(wait.saturating_sub(allowed)))
    }

    fn add_waiting(&mut self, item: TrackedWork, position: QueuePosition, weight: u32) {
        let (pool, team, class, cost) = (item.pool, item.team, item.class, item.cost);
        let (id, latest_start) = (item.work.id, item.latest_start);
        let key = self.insert_item(item);
        self.keys_by_id.insert(id, key);
        self.by_latest_start.insert((latest_start, key));
        self.waiting[team as usize] += 1;
        let pool = &mut self.pools[pool as usize];
        pool.waiting += 1;
        pool.waiting_cost += cost;
        pool.queues.entry(team).or_default().push(class, position, Waiting { key, cost });
        if !pool.is_parked(team) {
            let (slots, run) = (pool.usable_slots(), pool.run_secs);
            pool.fair.set_ready(team, class, weight, slots, run);
        }
    }

    fn insert_item(&mut self, item: TrackedWork) -> u32 {
        if let Some(key) = self.free_keys.pop() {
            self.items[key as usize] = Some(item);
            return key;
        }
        self.items.push(Some(item));
        (self.items.len() - 1) as u32
    }

    fn remove_item(&mut self, key: u32) {
        if let Some(item) = self.items[key as usize].take() {
            self.keys_by_id.remove(&item.work.id);
            self.free_keys.push(key);
        }
    }

    fn remove_waiting(&mut self, key: u32) {
        let Some(item) = &self.items[key as usize] else { return };
        if !is_waiting(item) {
            return;
        }
        let position = item.position;
        self.by_latest_start.remove(&(item.latest_start, key));
        self.waiting[item.team as usize] -= 1;
        let pool = &mut self.pools[item.pool as usize];
        pool.waiting -= 1;
        pool.waiting_cost = if pool.waiting == 0 { 0.0 } else { pool.waiting_cost - item.cost };
        let Some(queue) = pool.queues.get_mut(&item.team) else { return };
        queue.remove(item.class, position);
        if queue.is_class_empty(item.class) {
            pool.fair.clear_ready(item.team, item.class);
        }
    }

    /// Removes waiting work whose latest start has passed; `expired` returns its ids.
    fn expire_waiting(&mut self, now: Time) {
        while let Some((latest_start, key)) = self.by_latest_start.first().copied() {
            if latest_start >= now {
                break;
            }
            let id = self.items[key as usize].as_ref().map(|item| item.work.id);
            self.remove_waiting(key);
            self.remove_item(key);
            self.expired_ids.extend(id);
        }
    }

    /// Starts the continuous charge for all work that has used up its upfront charge.
    fn start_overtime_charges(&mut self, now: Time) {
        for _ in 0..MAX_OVERTIME_STARTS_PER_CALL {
            match self.charge_ends.peek().copied() {
                Some(Reverse((charge_end, id))) if charge_end <= now => {
                    self.charge_ends.pop();
                    self.start_overtime(now, charge_end, id);
                }
                _ => break,
            }
        }
    }

    /// Starts the continuous charge for work whose upfront charge ended at `charge_end`.
    fn start_overtime(&mut self, now: Time, charge_end: Time, id: WorkId) {
        let Some(key) = self.keys_by_id.get(&id).copied() else { return };
        let Some(item) = self.items[key as usize].as_mut() else { return };
        let Stage::Running { started, charged, overtime_slots, .. } = &mut item.stage else {
            return;
        };
        // Ignores the heap entry of an earlier start of the same work.
        if *started + *charged != charge_end || overtime_slots.is_some() {
            return;
        }
        let pool = &mut self.pools[item.pool as usize];
        let slots = item.need.dominant_slots(pool.instances.total());
        *overtime_slots = Some(slots);
        pool.fair.add_overtime(now, item.team, slots, charge_end);
    }

    /// Charges teams for work in overtime, a few pools at a time to keep each call short.
    fn charge_overtime(&mut self, now: Time) {
        let due = |pool: &PoolState| now >= pool.overtime_charged_at + OVERTIME_CHARGE_INTERVAL;
        for pool in
            self.pools.values_mut().filter(|pool| due(pool)).take(MAX_POOLS_CHARGED_PER_CALL)
        {
            pool.overtime_charged_at = now;
            pool.fair.charge_all_overtime(now);
        }
    }

    fn next_in_pool(
        &mut self,
        now: Time,
        pool_index: usize,
        allow: &mut dyn FnMut(&Work) -> bool,
    ) -> Option<Placed> {
        let pool = &mut self.pools[pool_index];
        if pool.waiting == 0 {
            return None;
        }
        pool.instances.decay_stale_reports(now, &mut self.rng);
        if pool.instances.free_slots() == 0 {
            return None;
        }
        self.unpark_due_teams(now, pool_index);
        loop {
            let pool = &mut self.pools[pool_index];
            let (order, len) = pool.current_class_order();
            let (team, class) = pool.fair.pick(&order[..len], pool.usable_slots())?;
            let (_, waiting) = pool.queues.get(&team)?.head(class)?;
            let item = self.items[waiting.key as usize].as_ref()?;
            let Some(index) = pool.instances.find(now, &item.need, &[]) else {
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

    fn unpark_due_teams(&mut self, now: Time, pool_index: usize) {
        let due: Vec<u32> = {
            let parked = &mut self.pools[pool_index].parked;
            let count = parked.partition_point(|(until, _)| *until <= now);
            parked.drain(..count).map(|(_, team)| team).collect()
        };
        for team in due {
            let weight = self.head_weight(pool_index, team);
            self.pools[pool_index].mark_ready(team, weight);
        }
    }

    /// Returns the weight of a team for the service of its first waiting work.
    fn head_weight(&self, pool_index: usize, team: u32) -> u32 {
        let queue = self.pools[pool_index].queues.get(&team);
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
        let upstream = pool.instances.reserve(index, &need, &mut self.rng);
        let charged = item.typical.min(MAX_UPFRONT_CHARGE);
        let slots = need.dominant_slots(pool.instances.total());
        pool.fair.start(item.team, weight, slots * charged.as_secs_f64());
        pool.own_slots += need.slots;
        pool.running_slots[item.class] += need.slots;
        item.stage = Stage::Running {
            upstream: Some(upstream.clone()),
            started: now,
            charged,
            overtime_slots: None,
        };
        self.charge_ends.push(Reverse((now + charged, item.work.id)));
        Some(Placed { id: item.work.id, upstream })
    }
}

fn is_waiting(item: &TrackedWork) -> bool {
    matches!(item.stage, Stage::Waiting)
}

fn deadline_refusal(retry: Duration) -> Refusal {
    Refusal::new(Kind::DeadlineTooSoon)
        .with_retry_after(retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
