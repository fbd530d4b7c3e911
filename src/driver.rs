//! Discrete-event simulation that feeds arrivals, completions and faults to the policy code on a
//! virtual clock.
//!
//! It models only what the policies observe and cause: instances with slots and resources, delayed
//! reports, moves, drains and faults. There is no network and no protocol.

use crate::baseline::{BaselinePolicy, SchedulerUnderTest};
use crate::buffer::{Demand, Sample};
use crate::config::{Config, Pool, Profile, Service, Team, Zone};
use crate::fleet::*;
use crate::ids::*;
use crate::maintenance;
use crate::pool_moves::MovePlanner;
use crate::protocol::{ListedInstance, Presence, Role};
use crate::record::Class;
use crate::sched::{Resources, Work, WorkId};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Interval at which entry instances start work, expire late work and receive reports.
const TICK: Duration = Duration::from_millis(50);
/// Interval of the planners.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the loads that probes report to the entry instances.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Delay until the list of instances shows a failure.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Time from the end of an instance's work until it serves its new pool.
const MOVE_DURATION: Duration = Duration::from_millis(500);
/// Duration of a reboot for maintenance.
pub const REBOOT_TIME: Duration = Duration::from_secs(20);
/// Time after which failing work ends.
const FAILURE_DELAY: Duration = Duration::from_millis(5);
/// Number of consecutive failures after which an instance is ejected, as in `health`.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Time for which a failing instance stays ejected.
const EJECT_DURATION: Duration = Duration::from_secs(20);
/// Maximum number of instances on which a piece of work is tried.
const MAX_ATTEMPTS: u32 = 3;
/// Load above its ramp that a zone tolerates right after its return, as a fraction of its slots.
const RETURN_OVERLOAD_MARGIN: f64 = 0.25;
/// Duration of the outage of a zone that was overloaded after its return.
const RETURN_OVERLOAD_OUTAGE: Duration = Duration::from_secs(15);
/// Load of a queue relative to its mean during a burst and in the low phase after it.
const BURST_FACTOR: f64 = 5.0;
const LOW_FACTOR: f64 = 0.05;
/// Time from the burst of one queue to that of the next, and duration of the low phase after a
/// burst.
const BURST_INTERVAL_SECS: f64 = 12.0;
/// Duration of a burst. With five queues, the rest of the cycle is at half of the mean.
const BURST_SECS: f64 = 8.0;

/// One of the two deployments of section 1.3 of the design, or a resized one.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub name: &'static str,
    pub zones: u32,
    /// Number of entry instances in each zone.
    pub entries_per_zone: u32,
    /// Number of runners of each service.
    pub runners: Vec<u32>,
    pub runner_slots: u32,
    pub guarded_workers: u32,
    /// Resources of a guarded worker.
    pub worker: Resources,
    pub spare: &'static str,
    /// Number of instances in the spare pool. The design does not specify it.
    pub spare_instances: u32,
    /// Name, weight and fraction of the demand of each team.
    pub teams: Vec<(&'static str, u32, f64)>,
    /// Mean load of each service in slots.
    pub means: Vec<f64>,
    pub run: Duration,
}

const GIB: u64 = 1 << 30;

/// Derwent Grip Lending Co-operative.
pub fn derwent() -> Deployment {
    Deployment {
        name: "derwent",
        zones: 3,
        entries_per_zone: 3,
        runners: vec![8, 9, 10, 11, 12],
        runner_slots: 8,
        guarded_workers: 50,
        worker: Resources { slots: 8, processors: 16_000, memory: 32 * GIB, accelerators: 0 },
        spare: "administration",
        spare_instances: 12,
        teams: vec![
            ("counters", 6, 0.30),
            ("huts", 5, 0.25),
            ("members", 4, 0.25),
            ("fitters", 2, 0.10),
            ("returns", 2, 0.06),
            ("audit", 1, 0.04),
        ],
        means: [8, 9, 10, 11, 12].iter().map(|n| f64::from(n * 8) * 0.3).collect(),
        run: Duration::from_millis(300),
    }
}

/// Tsagaan Tolgoi Upholstery Works.
pub fn tsagaan() -> Deployment {
    Deployment {
        name: "tsagaan",
        zones: 4,
        entries_per_zone: 2,
        worker: Resources { slots: 8, processors: 64_000, memory: 128 * GIB, accelerators: 2 },
        spare: "admin-tools",
        teams: vec![
            ("planners", 8, 0.35),
            ("showroom", 5, 0.30),
            ("nesting", 3, 0.15),
            ("stock", 2, 0.10),
            ("orders", 2, 0.06),
            ("hotel", 1, 0.04),
        ],
        run: Duration::from_millis(400),
        ..derwent()
    }
}

/// How the load varies over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// Each queue bursts in turn, then drops to a twentieth of its mean.
    Bursts,
    /// Every pool is constantly offered this multiple of its slots.
    Full(f64),
    /// Every queue constantly has its mean load.
    Steady,
}

/// How the instances to drain are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drains {
    /// By `maintenance::plan`.
    Planned,
    /// At random, with the same budgets.
    Random,
}

/// Settings of a simulation run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub load: Load,
    pub length: Duration,
    /// Times at which the first zone is taken out and returned.
    pub zone_out: Option<(Duration, Duration)>,
    /// Whether all instances are due for maintenance at the start.
    pub rollout: bool,
    /// Whether instances and racks crash, and instances fail all work they start for a time.
    pub faults: bool,
    pub drains: Drains,
    /// Baseline policy to run. `None` runs the real scheduler.
    pub policy: Option<BaselinePolicy>,
    pub moves_enabled: bool,
}

/// Measurements of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Waits of urgent work until its start, in milliseconds.
    pub urgent_waits: Vec<f64>,
    /// Waits of other service work until its start, in milliseconds.
    pub other_waits: Vec<f64>,
    pub offered: u64,
    pub refused: u64,
    pub completed: u64,
    /// Work that was admitted and started but ended without a result, because the job itself always
    /// fails.
    pub failed_always: u64,
    /// Work that was admitted and then lost for any other reason.
    pub admitted_lost: u64,
    /// Admitted work that was not started in time.
    pub late_unstarted: u64,
    /// Number of starts that an instance refused as not run.
    pub busy_refusals: u64,
    /// Work that completed twice or was refused after it had started.
    pub duplicated: u64,
    pub moves: u32,
    /// Slot-seconds of work offered to each service's pool in each second.
    pub needed_slots_per_sec: Vec<Vec<f64>>,
    /// Usage relative to the due share, for each backlogged team in each full window of 10 s.
    pub share_ratios: Vec<f64>,
    /// The same for the guarded workers, whose jobs run for seconds.
    pub guarded_ratios: Vec<f64>,
    /// Slot-seconds of service work completed in each second.
    pub done_per_sec: Vec<f64>,
    /// Slot-seconds of service work offered in each second.
    pub offered_per_sec: Vec<f64>,
    /// Slots of serving runners in each second.
    pub slots_per_sec: Vec<f64>,
    /// Duration of the rollout of each pool, and the lower bound that its budget allows, in
    /// seconds.
    pub rollouts: Vec<(f64, f64)>,
    /// Number of planned jobs that a drain stopped.
    pub stopped_planned_jobs: u32,
    /// Number of zone outages caused by overload after the zone's return.
    pub return_overloads: u32,
    /// Number of starts in a zone that was out.
    pub starts_in_zone_out: u64,
    pub waits_by_reason: IndexMap<&'static str, u64>,
    pub demand: Demand,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Serving,
    Draining { since: Time },
    Rebooting { since: Time, until: Time },
    Rebooted,
    Moving { since: Time, to: usize, until: Option<Time> },
    Down { since: Time, until: Time },
}

#[derive(Clone, Debug)]
struct Instance {
    id: InstanceId,
    pool: usize,
    home_pool: usize,
    zone: usize,
    rack: RackId,
    slots: u32,
    state: State,
    running: Vec<WorkId>,
    used: Resources,
    /// Fails all work until this time.
    broken_until: Time,
    consecutive_failures: u32,
    ejected_until: Time,
    checkpointed: Option<Time>,
    maintained: bool,
    maintenance_due: Time,
    /// Number of running tasks at each tick, from which probes report with a delay.
    load_history: std::collections::VecDeque<u32>,
}

#[derive(Clone, Debug)]
struct Task {
    work: Work,
    pool: usize,
    team: usize,
    entry: usize,
    arrived: Time,
    latest_start: Time,
    run: Duration,
    actual: Resources,
    always_fails: bool,
    attempts: u32,
    excluded: Vec<InstanceId>,
    instance: Option<usize>,
    /// Incremented with each start and interruption. The end event of an earlier run is recognized
    /// by its lower epoch.
    epoch: u32,
    started: Time,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { stream: usize },
    End { id: WorkId, epoch: u32, failed: bool },
    Tick,
    Plan,
    List,
    Crash,
    BreakInstance,
}

#[derive(Clone, Copy, Debug)]
struct ArrivalStream {
    pool: usize,
    guarded: bool,
}

/// State of a simulation run.
struct Simulation<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    now: Time,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_seq: u64,
    scheduler: SchedulerUnderTest,
    pool_ids: Vec<PoolId>,
    zone_ids: Vec<ZoneId>,
    cfg: Config,
    instances: Vec<Instance>,
    by_id: HashMap<InstanceId, usize>,
    tasks: HashMap<WorkId, Task>,
    next_id: WorkId,
    streams: Vec<ArrivalStream>,
    move_planner: MovePlanner,
    last_offered_cost: Vec<f64>,
    /// Amount of waiting work, by pool and team.
    waiting: Vec<Vec<u32>>,
    window: Window,
    zone_returned_at: Option<Time>,
    overload_outage_until: Time,
    zone_starts: u32,
    out: Outcome,
    rollout_secs: Vec<Option<f64>>,
    budget_instance_secs: Vec<f64>,
    rollout_bound_secs: Vec<Option<f64>>,
    drain_instance_secs: Vec<f64>,
    tick_count: u64,
}

/// Usage in the current window of 10 s, by pool and team.
#[derive(Clone, Debug, Default)]
struct Window {
    used: Vec<Vec<f64>>,
    backlogged: Vec<Vec<bool>>,
    full_ticks: Vec<u32>,
    ticks: u32,
}

/// Number of ticks in a window of 10 s.
const WINDOW_TICKS: u32 = 200;
/// Time at the start that is not sampled, while the pools fill up.
const WARM_UP: Duration = Duration::from_secs(10);

/// Runs one scenario on a deployment.
pub fn run(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(deployment, scenario, seed);
    simulation.schedule_initial_events();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > scenario.length {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.into_outcome()
}

/// Returns the load of a queue relative to its mean at a time.
pub fn burst_factor(at: Duration, queue: usize, queues: usize) -> f64 {
    let cycle = BURST_INTERVAL_SECS * queues as f64;
    let phase = (at.as_secs_f64() - queue as f64 * BURST_INTERVAL_SECS).rem_euclid(cycle);
    if phase < BURST_SECS {
        BURST_FACTOR
    } else if phase < BURST_SECS + BURST_INTERVAL_SECS {
        LOW_FACTOR
    } else {
        // The rest of the cycle brings the mean to 1.
        (cycle - BURST_SECS * BURST_FACTOR - BURST_INTERVAL_SECS * LOW_FACTOR)
            / (cycle - BURST_SECS - BURST_INTERVAL_SECS)
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the number of instances of the smallest pool. Budgets are rounded down, so this
/// determines the percentage that allows one unavailable instance in each pool.
fn smallest_pool(deployment: &Deployment) -> u32 {
    let runners = deployment.runners.iter().copied();
    let others = [deployment.guarded_workers, deployment.spare_instances];
    runners.chain(others).min().unwrap_or(1).max(1)
}

fn profile(deployment: &Deployment) -> Profile {
    let tsagaan = deployment.name == "tsagaan";
    Profile {
        shares: IndexMap::new(),
        limits: IndexMap::new(),
        class_order: vec![Class::Urgent, Class::Planned, Class::Overnight],
        class_floor_percent: if tsagaan { 40 } else { 10 },
        queue_bound: 2_000,
        max_deadline: Duration::from_secs(600),
        urgent_start: Duration::from_millis(1_400),
        unavailable_percent: 100_u32.div_ceil(smallest_pool(deployment)),
        unavailable_per_rack: 1,
        drain_timeout: Duration::from_secs(10),
        maintenance_interval: Duration::from_secs(1_814_400),
        reserve_percent: 20,
        stale_limit: None,
        buffer_percent: 400,
    }
}

fn config(deployment: &Deployment) -> Config {
    let mut cfg = Config::default();
    for zone in 0..deployment.zones {
        cfg.zones.insert(format!("zone-{zone}").into(), Zone { region: "region-1".into() });
    }
    for (name, share, _) in &deployment.teams {
        cfg.teams.insert((*name).into(), Team { share: *share, limit: 100_000 });
    }
    cfg.profiles.insert("standard".into(), profile(deployment));
    let service_pools = (0..deployment.runners.len()).map(|i| format!("service-{i}"));
    for name in service_pools.chain(["guarded".to_string()]) {
        cfg.pools.insert(name.as_str().into(), Pool { spare: false, min_instances: 1 });
        let (profile, pool) = ("standard".into(), name.as_str().into());
        let service = Service { profile, pool, open_to: None, class: Class::Urgent };
        cfg.services.insert(name.as_str().into(), service);
    }
    cfg.pools.insert(deployment.spare.into(), Pool { spare: true, min_instances: 0 });
    cfg
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
        let cfg = config(deployment);
        let pool_ids: Vec<PoolId> = cfg.pools.keys().cloned().collect();
        let zone_ids: Vec<ZoneId> = cfg.zones.keys().cloned().collect();
        let entries: Vec<ZoneId> =
            (0..deployment.entries_per_zone).flat_map(|_| zone_ids.iter().cloned()).collect();
        let scheduler = match scenario.policy {
            None => SchedulerUnderTest::real(seed, &entries, &cfg),
            Some(policy) => SchedulerUnderTest::baseline(policy, seed, &cfg),
        };
        let (pools, teams) = (pool_ids.len(), deployment.teams.len());
        let services = deployment.runners.len();
        let stream = |pool| ArrivalStream { pool, guarded: pool == services };
        let mut simulation = Simulation {
            deployment,
            scenario,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_seq: 0,
            scheduler,
            pool_ids,
            zone_ids,
            cfg,
            instances: Vec::new(),
            by_id: HashMap::new(),
            tasks: HashMap::new(),
            next_id: 1,
            streams: (0..=services).map(stream).collect(),
            move_planner: MovePlanner::new(),
            last_offered_cost: vec![0.0; pools],
            waiting: vec![vec![0; teams]; pools],
            window: Window::new(pools, teams),
            zone_returned_at: None,
            overload_outage_until: Time::ZERO,
            zone_starts: 0,
            out: Outcome { needed_slots_per_sec: vec![Vec::new(); services], ..Outcome::default() },
            rollout_secs: vec![None; pools],
            budget_instance_secs: vec![0.0; pools],
            rollout_bound_secs: vec![None; pools],
            drain_instance_secs: vec![0.0; pools],
            tick_count: 0,
        };
        simulation.add_instances();
        simulation
    }

    fn add_instances(&mut self) {
        let runners = self.deployment.runners.clone();
        for (pool, count) in runners.iter().enumerate() {
            self.add_pool(pool, *count, self.deployment.runner_slots);
        }
        let guarded = runners.len();
        self.add_pool(guarded, self.deployment.guarded_workers, self.deployment.worker.slots);
        self.add_pool(guarded + 1, self.deployment.spare_instances, self.deployment.runner_slots);
    }

    fn add_pool(&mut self, pool: usize, count: u32, slots: u32) {
        for n in 0..count {
            let zone = (n % self.deployment.zones) as usize;
            let id: InstanceId = format!("{}-{n}", self.pool_ids[pool]).into();
            self.by_id.insert(id.clone(), self.instances.len());
            let maintenance_due =
                if self.scenario.rollout { Time::ZERO } else { Duration::from_secs(9_000_000) };
            self.instances.push(Instance {
                id,
                pool,
                home_pool: pool,
                zone,
                rack: format!("{}-{zone}-{}", self.pool_ids[pool], n / self.deployment.zones / 4)
                    .into(),
                slots,
                state: State::Serving,
                running: Vec::new(),
                used: Resources::default(),
                broken_until: Time::ZERO,
                consecutive_failures: 0,
                ejected_until: Time::ZERO,
                checkpointed: None,
                maintained: false,
                maintenance_due,
                load_history: std::collections::VecDeque::new(),
            });
        }
    }

    fn schedule_initial_events(&mut self) {
        self.push(Time::ZERO, Event::List);
        for stream in 0..self.streams.len() {
            self.push(Time::ZERO, Event::Arrive { stream });
        }
        self.push(TICK, Event::Tick);
        self.push(PLAN_INTERVAL, Event::Plan);
        if self.scenario.faults {
            self.push(Duration::from_secs(20), Event::Crash);
            self.push(Duration::from_secs(35), Event::BreakInstance);
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((at, self.event_seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { stream } => self.arrive(stream),
            Event::End { id, epoch, failed } => self.end_task(id, epoch, failed),
            Event::Tick => self.on_tick(),
            Event::Plan => self.on_plan(),
            Event::List => self.publish_instance_list(),
            Event::Crash => self.crash(),
            Event::BreakInstance => self.break_instance(),
        }
    }

    // Arrivals

    fn arrive(&mut self, stream: usize) {
        let ArrivalStream { pool, guarded } = self.streams[stream];
        let mean_run = if guarded { 6.0 } else { self.deployment.run.as_secs_f64() };
        let slots = if guarded { self.guarded_load() } else { self.service_load(pool) };
        let gap = exponential(&mut self.rng, mean_run / slots.max(1e-3));
        // Draw a new gap at least once a second, so that a rate near zero does not skip the next
        // burst.
        let gap = gap.min(1.0);
        let redraw = gap >= 1.0;
        self.push(self.now + Duration::from_secs_f64(gap), Event::Arrive { stream });
        if !redraw {
            self.enqueue_task(pool, guarded, mean_run);
        }
    }

    fn service_load(&self, pool: usize) -> f64 {
        let own = f64::from(self.deployment.runners[pool] * self.deployment.runner_slots);
        match self.scenario.load {
            Load::Full(times) => own * times,
            Load::Steady => self.deployment.means[pool],
            Load::Bursts => {
                let queues = self.deployment.runners.len();
                self.deployment.means[pool] * burst_factor(self.now, pool, queues)
            }
        }
    }

    /// Returns the load of the guarded workers in jobs. Each job takes a quarter of a worker.
    fn guarded_load(&self) -> f64 {
        let jobs = f64::from(self.deployment.guarded_workers * 4);
        match self.scenario.load {
            Load::Full(times) => jobs * times,
            Load::Steady | Load::Bursts => jobs * 0.6,
        }
    }

    fn enqueue_task(&mut self, pool: usize, guarded: bool, mean_run: f64) {
        let team = self.pick_team();
        let entry = self.pick_entry();
        let class = self.pick_class(guarded);
        let run = Duration::from_secs_f64(exponential(&mut self.rng, mean_run).clamp(0.005, 60.0));
        let allowed = match class {
            Class::Urgent => Duration::from_secs(10),
            Class::Planned => Duration::from_secs(120),
            Class::Overnight => Duration::from_secs(600),
        };
        let actual = if guarded { self.quarter_worker() } else { Resources::ONE_SLOT };
        let work = Work {
            id: self.next_id,
            service: self.pool_ids[pool].clone(),
            team: self.deployment.teams[team].0.into(),
            class,
            deadline: self.now + allowed,
            need: self.declared_size(&actual),
            declared: self.declared_run(mean_run),
        };
        self.next_id += 1;
        let latest_start = match class {
            Class::Urgent => self.now + Duration::from_millis(1_400),
            Class::Planned | Class::Overnight => work.deadline,
        };
        let always_fails = self.rng.random_range(0..1_000) < 2;
        self.out.offered += 1;
        let slot = self.now.as_secs() as usize;
        if !guarded {
            add_at(&mut self.out.offered_per_sec, slot, run.as_secs_f64());
            add_at(&mut self.out.needed_slots_per_sec[pool], slot, run.as_secs_f64());
        }
        let task = Task {
            work: work.clone(),
            pool,
            team,
            entry,
            arrived: self.now,
            latest_start,
            run,
            actual,
            always_fails,
            attempts: 0,
            excluded: Vec::new(),
            instance: None,
            epoch: 0,
            started: Time::ZERO,
        };
        if self.scheduler.enqueue(self.now, entry, work, task.latest_start) {
            self.waiting[pool][team] += 1;
            self.tasks.insert(task.work.id, task);
            self.start_work(entry);
        } else {
            self.out.refused += 1;
        }
    }

    fn pick_team(&mut self) -> usize {
        let mut at: f64 = self.rng.random();
        for (team, (_, _, part)) in self.deployment.teams.iter().enumerate() {
            at -= part;
            if at < 0.0 {
                return team;
            }
        }
        0
    }

    /// Picks an entry instance like a load balancer, which sends no request to a zone that is out.
    fn pick_entry(&mut self) -> usize {
        let zones = self.zone_ids.len();
        let entries = zones * self.deployment.entries_per_zone as usize;
        loop {
            let entry = self.rng.random_range(0..entries);
            if !(self.zone_is_out() && entry % zones == 0) {
                return entry;
            }
        }
    }

    fn pick_class(&mut self, guarded: bool) -> Class {
        let at: f64 = self.rng.random();
        let (urgent, planned) = if guarded { (0.0, 0.7) } else { (0.5, 0.85) };
        if at < urgent {
            Class::Urgent
        } else if at < planned {
            Class::Planned
        } else {
            Class::Overnight
        }
    }

    /// Returns the resources of a quarter of a worker.
    fn quarter_worker(&self) -> Resources {
        let worker = self.deployment.worker;
        Resources {
            slots: 1,
            processors: worker.processors / 4,
            memory: worker.memory / 4,
            accelerators: 0,
        }
    }

    /// Returns declared resources, which are wrong by up to a factor of 2 in either direction.
    fn declared_size(&mut self, actual: &Resources) -> Resources {
        if actual.processors == 0 {
            return *actual;
        }
        let error_factor = 2f64.powf(self.rng.random_range(-1.0..1.0));
        let scale = |value: u64| (value as f64 * error_factor) as u64;
        Resources { processors: scale(actual.processors), memory: scale(actual.memory), ..*actual }
    }

    /// Returns a declared run time, which is wrong by up to a factor of 8 in either direction.
    fn declared_run(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(mean * 8f64.powf(self.rng.random_range(-1.0..1.0)))
    }

    // Starts and ends

    fn start_work(&mut self, entry: usize) {
        while let Some(placed) = self.scheduler.next(self.now, entry) {
            let Some(task) = self.tasks.get(&placed.id) else {
                self.out.duplicated += 1;
                continue;
            };
            self.waiting[task.pool][task.team] -= 1;
            self.try_start(placed.id, &placed.upstream);
        }
    }

    /// Starts the work on the instance, or on another one if it refuses.
    fn try_start(&mut self, id: WorkId, upstream: &InstanceId) {
        let mut upstream = upstream.clone();
        loop {
            let Some(at) = self.by_id.get(&upstream).copied() else {
                return self.fail_unplaced(id);
            };
            if self.can_accept(at) {
                return self.start_on(id, at);
            }
            self.out.busy_refusals += 1;
            let Some(task) = self.tasks.get_mut(&id) else { return };
            task.excluded.push(upstream.clone());
            let (entry, attempts, excluded) =
                (task.entry, task.excluded.len(), task.excluded.clone());
            let again = if attempts < MAX_ATTEMPTS as usize {
                self.scheduler.place_elsewhere(self.now, entry, id, &excluded)
            } else {
                None
            };
            let Some(placed) = again else { return self.requeue(id) };
            upstream = placed.upstream;
        }
    }

    fn can_accept(&self, at: usize) -> bool {
        let instance = &self.instances[at];
        let out = self.zone_is_out() && instance.zone == 0;
        instance.state == State::Serving && !out && (instance.running.len() as u32) < instance.slots
    }

    /// Records the wait of work until its first start.
    fn record_start_wait(&mut self, id: WorkId) {
        let Some(task) = self.tasks.get(&id).filter(|task| task.epoch == 0) else { return };
        let wait = (self.now - task.arrived).as_secs_f64() * 1_000.0;
        let guarded = task.pool == self.deployment.runners.len();
        match task.work.class {
            Class::Urgent => self.out.urgent_waits.push(wait),
            Class::Planned | Class::Overnight if !guarded => self.out.other_waits.push(wait),
            Class::Planned | Class::Overnight => {}
        }
    }

    fn start_on(&mut self, id: WorkId, at: usize) {
        self.record_start_wait(id);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let instance = &mut self.instances[at];
        task.instance = Some(at);
        task.epoch += 1;
        task.started = self.now;
        instance.running.push(id);
        instance.used = instance.used.plus(&task.actual);
        let size = &self.deployment.worker;
        // Overcommitted processors slow down all work. The model charges this to the newest work
        // only.
        let slowdown = if instance.used.processors > size.processors {
            instance.used.processors as f64 / size.processors as f64
        } else {
            1.0
        };
        let failed = task.always_fails || instance.broken_until > self.now;
        let run = if failed { FAILURE_DELAY } else { task.run.mul_f64(slowdown) };
        let event = Event::End { id, epoch: task.epoch, failed };
        if instance.zone == 0 {
            self.zone_starts += 1;
            self.out.starts_in_zone_out += u64::from(
                self.scenario
                    .zone_out
                    .is_some_and(|(out, back)| self.now > out + LIST_LAG && self.now < back),
            );
        }
        self.push(self.now + run, event);
    }

    /// Returns work to the queue that was not run because no instance accepted it.
    fn requeue(&mut self, id: WorkId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.excluded.clear();
        task.instance = None;
        let (entry, pool, team, ran) = (task.entry, task.pool, task.team, task.epoch > 0);
        if self.scheduler.requeue(self.now, entry, id, ran) {
            self.waiting[pool][team] += 1;
        } else {
            self.record_missed_start(id);
        }
    }

    /// Records work that cannot start in time. It counts as lost if an earlier start was
    /// interrupted.
    fn record_missed_start(&mut self, id: WorkId) -> Option<Task> {
        let task = self.tasks.remove(&id)?;
        if task.epoch > 0 {
            self.out.admitted_lost += 1;
        } else {
            self.out.late_unstarted += 1;
        }
        Some(task)
    }

    fn fail_unplaced(&mut self, id: WorkId) {
        let Some(task) = self.tasks.remove(&id) else { return };
        self.scheduler.finish(self.now, task.entry, id, Duration::ZERO, true);
        self.out.admitted_lost += 1;
    }

    fn end_task(&mut self, id: WorkId, epoch: u32, failed: bool) {
        let Some(task) = self.tasks.get(&id) else { return };
        if task.epoch != epoch {
            return;
        }
        let Some(at) = task.instance else { return };
        let (entry, ran, pool) = (task.entry, self.now - task.started, task.pool);
        let now = self.now;
        let instance = self.release(id, at);
        if failed {
            instance.consecutive_failures += 1;
            if instance.consecutive_failures == EJECT_AFTER_FAILURES {
                instance.ejected_until = now + EJECT_DURATION;
                instance.consecutive_failures = 0;
                self.push(now, Event::List);
                self.push(now + EJECT_DURATION, Event::List);
            }
            return self.retry(id, at);
        }
        instance.consecutive_failures = 0;
        let load = instance.running.len() as u32;
        let upstream = instance.id.clone();
        let task = self.tasks.remove(&id);
        if let (SchedulerUnderTest::Real(scheds), Some(task)) = (&mut self.scheduler, task) {
            scheds[entry].on_usage(id, &task.actual);
        }
        self.scheduler.finish(self.now, entry, id, ran, false);
        if let SchedulerUnderTest::Real(scheds) = &mut self.scheduler {
            scheds[entry].on_load(self.now, &upstream, load);
        }
        self.out.completed += 1;
        if pool < self.deployment.runners.len() {
            add_at(&mut self.out.done_per_sec, self.now.as_secs() as usize, ran.as_secs_f64());
        }
        self.start_work(entry);
    }

    fn release(&mut self, id: WorkId, at: usize) -> &mut Instance {
        let actual = self.tasks.get(&id).map_or(Resources::default(), |task| task.actual);
        let instance = &mut self.instances[at];
        instance.running.retain(|running| *running != id);
        instance.used = instance.used.minus(&actual);
        instance
    }

    /// Retries failed work on another instance. All simulated work is idempotent.
    fn retry(&mut self, id: WorkId, at: usize) {
        let upstream = self.instances[at].id.clone();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.attempts += 1;
        task.instance = None;
        task.excluded.push(upstream);
        let (entry, attempts, always_fails, excluded) =
            (task.entry, task.attempts, task.always_fails, task.excluded.clone());
        if attempts < MAX_ATTEMPTS {
            return match self.scheduler.place_elsewhere(self.now, entry, id, &excluded) {
                Some(placed) => self.try_start(id, &placed.upstream),
                None => self.requeue(id),
            };
        }
        if always_fails {
            self.out.failed_always += 1;
        } else {
            self.out.admitted_lost += 1;
        }
        self.tasks.remove(&id);
        self.scheduler.finish(self.now, entry, id, Duration::ZERO, true);
        self.start_work(entry);
    }

    /// Interrupts the work of an instance that was stopped or failed, and retries it elsewhere.
    /// With `checkpointed_work`, it continues from the work done so far.
    fn interrupt_work(&mut self, at: usize, checkpointed_work: bool) {
        for id in self.instances[at].running.clone() {
            if let Some(task) = self.tasks.get_mut(&id) {
                let done = self.now - task.started;
                if checkpointed_work {
                    task.run = task.run.saturating_sub(done).max(FAILURE_DELAY);
                }
                task.attempts = 0;
                task.epoch += 1;
            }
            self.release(id, at);
            self.retry(id, at);
        }
    }

    // Ticks

    fn on_tick(&mut self) {
        self.tick_count += 1;
        self.push(self.now + TICK, Event::Tick);
        self.publish_probe_loads();
        if self.advance_instances() {
            self.publish_instance_list();
        }
        for id in self.scheduler.expired(self.now) {
            if let Some(task) = self.record_missed_start(id) {
                self.out.duplicated += u64::from(task.instance.is_some());
                self.waiting[task.pool][task.team] -= 1;
            }
        }
        let entries = self.zone_ids.len() * self.deployment.entries_per_zone as usize;
        for entry in 0..entries {
            self.start_work(entry);
        }
        self.check_return_overload();
        self.sample();
    }

    /// Reports the loads of `REPORT_LAG` ago to the schedulers.
    fn publish_probe_loads(&mut self) {
        let lag = (REPORT_LAG.as_millis() / TICK.as_millis()) as usize;
        let probe = self.tick_count.is_multiple_of(10);
        for instance in &mut self.instances {
            instance.load_history.push_back(instance.running.len() as u32);
            if instance.load_history.len() > lag {
                instance.load_history.pop_front();
            }
            if let (true, SchedulerUnderTest::Real(scheds)) = (probe, &mut self.scheduler) {
                let load = instance.load_history.front().copied().unwrap_or(0);
                scheds.iter_mut().for_each(|s| s.on_load(self.now, &instance.id, load));
            }
        }
    }

    /// Fails a zone again if it is overloaded right after its return.
    fn check_return_overload(&mut self) {
        let Some(back) = self.zone_returned_at else { return };
        let running: usize =
            self.instances.iter().filter(|m| m.zone == 0).map(|m| m.running.len()).sum();
        let slots: u32 = self.instances.iter().filter(|m| m.zone == 0).map(|m| m.slots).sum();
        let age = self.now.saturating_sub(back);
        let part = maintenance::zone_return_fraction(age) + RETURN_OVERLOAD_MARGIN;
        if age < maintenance::ZONE_RETURN_RAMP && running as f64 > f64::from(slots) * part {
            self.out.return_overloads += 1;
            self.overload_outage_until = self.now + RETURN_OVERLOAD_OUTAGE;
            self.zone_returned_at = None;
            for at in 0..self.instances.len() {
                if self.instances[at].zone == 0 {
                    self.interrupt_work(at, false);
                }
            }
            self.push(self.now, Event::List);
            self.push(self.overload_outage_until, Event::List);
        }
    }

    fn sample(&mut self) {
        if self.now < WARM_UP {
            return;
        }
        let total = self.totals();
        for task in
            self.instances.iter().flat_map(|m| &m.running).filter_map(|id| self.tasks.get(id))
        {
            let slots = task.actual.dominant_slots(&total[task.pool]);
            self.window.used[task.pool][task.team] += slots * TICK.as_secs_f64();
        }
        for pool in 0..self.pool_ids.len() {
            let free = self.instances.iter().any(|m| {
                let worker = &self.deployment.worker;
                let fits = m.home_pool != self.deployment.runners.len()
                    || m.used.processors + worker.processors / 4 <= worker.processors;
                m.pool == pool
                    && m.state == State::Serving
                    && (m.running.len() as u32) < m.slots
                    && fits
            });
            self.window.full_ticks[pool] += u32::from(!free);
            for team in 0..self.deployment.teams.len() {
                self.window.backlogged[pool][team] &= self.waiting[pool][team] > 0;
            }
        }
        self.window.ticks += 1;
        if self.window.ticks == WINDOW_TICKS {
            self.close_window();
        }
    }

    fn totals(&self) -> Vec<Resources> {
        let mut totals = vec![Resources::default(); self.pool_ids.len()];
        for instance in self.instances.iter().filter(|m| m.state == State::Serving) {
            let size = self.size_of(instance.home_pool);
            totals[instance.pool] =
                totals[instance.pool].plus(&Resources { slots: instance.slots, ..size });
        }
        totals
    }

    fn size_of(&self, home_pool: usize) -> Resources {
        if home_pool == self.deployment.runners.len() {
            self.deployment.worker
        } else {
            Resources::ONE_SLOT
        }
    }

    fn close_window(&mut self) {
        let (pools, teams) = (self.pool_ids.len(), self.deployment.teams.len());
        let window = std::mem::replace(&mut self.window, Window::new(pools, teams));
        for pool in 0..pools {
            if window.full_ticks[pool] * 100 < WINDOW_TICKS * 90 {
                continue;
            }
            let backlogged: Vec<usize> =
                (0..teams).filter(|t| window.backlogged[pool][*t]).collect();
            let used: f64 = backlogged.iter().map(|team| window.used[pool][*team]).sum();
            let weight: u32 = backlogged.iter().map(|team| self.deployment.teams[*team].1).sum();
            if backlogged.len() < 2 {
                continue;
            }
            for team in backlogged {
                let share = f64::from(self.deployment.teams[team].1) / f64::from(weight);
                let ratio = window.used[pool][team] / (used * share);
                if pool == self.deployment.runners.len() {
                    self.out.guarded_ratios.push(ratio);
                } else {
                    self.out.share_ratios.push(ratio);
                }
            }
        }
    }

    // Planning

    fn zone_is_out(&self) -> bool {
        let planned =
            self.scenario.zone_out.is_some_and(|(out, back)| self.now >= out && self.now < back);
        planned || self.now < self.overload_outage_until
    }

    fn on_plan(&mut self) {
        self.push(self.now + PLAN_INTERVAL, Event::Plan);
        if let Some((_, back)) = self.scenario.zone_out
            && self.now >= back
            && self.now < back + PLAN_INTERVAL
        {
            self.zone_returned_at = Some(self.now);
        }
        // Record demand and slots once a second.
        let whole_second = self.now.subsec_millis() == 0;
        if whole_second {
            self.observe();
        }
        let view = self.view();
        self.add_budget();
        let mut plan = match self.scenario.drains {
            Drains::Planned => maintenance::plan(self.now, &view),
            Drains::Random => self.random_drains(&view),
        };
        if self.scenario.moves_enabled {
            let moves = self.move_planner.plan(self.now, &view, &self.incoming());
            plan.decisions.extend(moves.decisions);
            plan.waits.extend(moves.waits);
        }
        for wait in &plan.waits {
            *self.out.waits_by_reason.entry(reason_name(wait.reason)).or_default() += 1;
        }
        for decision in plan.decisions {
            self.apply_action(&decision.action);
        }
        self.publish_instance_list();
        let slots =
            self.instances.iter().filter(|m| self.is_runner(m)).map(|m| m.slots).sum::<u32>();
        if whole_second {
            self.out.slots_per_sec.push(f64::from(slots));
        }
    }

    fn is_runner(&self, instance: &Instance) -> bool {
        let out = self.zone_is_out() && instance.zone == 0;
        let guarded = instance.home_pool == self.deployment.runners.len();
        instance.state == State::Serving && !guarded && !out
    }

    fn observe(&mut self) {
        let SchedulerUnderTest::Real(scheds) = &self.scheduler else {
            return self.observe_baseline();
        };
        for (index, pool) in self.pool_ids.iter().enumerate() {
            let mut sample = Sample::default();
            let mut offered = 0.0;
            for load in scheds.iter().map(|sched| sched.pool_load(pool)) {
                sample.used += load.own;
                sample.waiting += load.waiting_cost;
                offered += load.offered_cost;
            }
            sample.offered = offered - self.last_offered_cost[index];
            self.last_offered_cost[index] = offered;
            if index < self.deployment.runners.len() {
                self.out.demand.observe(pool, sample);
            }
        }
    }

    /// Takes the demand from the simulation, because the baseline policies do not record it.
    fn observe_baseline(&mut self) {
        let run = self.deployment.run.as_secs_f64();
        let second = self.now.as_secs().saturating_sub(1) as usize;
        for index in 0..self.deployment.runners.len() {
            let in_pool = self.instances.iter().filter(|instance| instance.pool == index);
            let sample = Sample {
                offered: self.out.needed_slots_per_sec[index].get(second).copied().unwrap_or(0.0),
                used: in_pool.map(|instance| instance.running.len() as u32).sum(),
                waiting: f64::from(self.waiting[index].iter().sum::<u32>()) * run,
            };
            self.out.demand.observe(&self.pool_ids[index], sample);
        }
    }

    /// Completes reboots, outages and moves whose time has passed. Returns true if an instance
    /// serves again.
    fn advance_instances(&mut self) -> bool {
        let mut serving = false;
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            match instance.state {
                State::Rebooting { until, .. } if self.now >= until => {
                    instance.state = State::Rebooted;
                }
                State::Down { until, .. } if self.now >= until => {
                    instance.state = State::Serving;
                    serving = true;
                }
                State::Moving { since, to, until: None } if instance.running.is_empty() => {
                    let until = Some(self.now + MOVE_DURATION);
                    instance.state = State::Moving { since, to, until };
                }
                State::Moving { to, until: Some(until), .. } if self.now >= until => {
                    instance.pool = to;
                    instance.state = State::Serving;
                    serving = true;
                }
                _ => {}
            }
        }
        serving
    }

    fn incoming(&self) -> IndexMap<InstanceId, PoolId> {
        let target = |instance: &Instance| match instance.state {
            State::Moving { to, .. } => Some((instance.id.clone(), self.pool_ids[to].clone())),
            _ => None,
        };
        self.instances.iter().filter_map(target).collect()
    }

    fn view(&self) -> FleetView {
        let rules = &self.cfg.profiles["standard"];
        let pools = self.cfg.pools.iter().map(|(id, pool)| {
            let required_slots = self.out.demand.need(id);
            let view = PoolView {
                spare: pool.spare,
                min_instances: pool.min_instances,
                unavailable_percent: rules.unavailable_percent,
                unavailable_per_rack: rules.unavailable_per_rack,
                drain_timeout: rules.drain_timeout,
                maintenance_interval: rules.maintenance_interval,
                required_slots,
            };
            (id.clone(), view)
        });
        FleetView {
            instances: self.instances.iter().map(|instance| self.instance_view(instance)).collect(),
            pools: pools.collect(),
            zones: vec![ZoneView { id: self.zone_ids[0].clone(), state: self.zone_state() }],
        }
    }

    fn zone_state(&self) -> ZoneState {
        match self.scenario.zone_out {
            Some((out, _)) if self.zone_is_out() => {
                ZoneState::Out { stop_by: out + Duration::from_secs(8) }
            }
            Some((_, back)) if self.now >= back => ZoneState::Back { since: back },
            _ => ZoneState::In,
        }
    }

    fn instance_view(&self, instance: &Instance) -> InstanceView {
        let status = match instance.state {
            State::Serving => Status::Serving,
            State::Draining { since } => {
                Status::Draining { reason: crate::record::DrainReason::Maintenance, since }
            }
            State::Rebooting { since, .. } => Status::Rebooting { since },
            State::Rebooted => Status::Rebooted,
            State::Moving { since, .. } => Status::Moving { since },
            State::Down { since, .. } => Status::Down { since },
        };
        let planned = instance
            .running
            .iter()
            .filter(|id| self.tasks.get(*id).is_some_and(|t| t.work.class == Class::Planned))
            .count() as u32;
        InstanceView {
            id: instance.id.clone(),
            pool: self.pool_ids[instance.pool].clone(),
            home_pool: self.pool_ids[instance.home_pool].clone(),
            zone: self.zone_ids[instance.zone].clone(),
            rack: instance.rack.clone(),
            status,
            slots: instance.slots,
            running: instance.running.len() as u32,
            planned_jobs: if instance.home_pool == self.deployment.runners.len() {
                planned
            } else {
                0
            },
            checkpointed: instance.checkpointed,
            maintenance_due: instance.maintenance_due,
        }
    }

    /// Picks drains at random with the same budgets. Drains in progress continue as planned.
    fn random_drains(&mut self, view: &FleetView) -> Plan {
        let mut plan = maintenance::plan(self.now, view);
        let count = |plan: &Plan, pool: &PoolId| {
            let in_pool =
                |id: &InstanceId| view.instances.iter().any(|i| i.id == *id && i.pool == *pool);
            let starts = plan.decisions.iter().filter(
                |d| matches!(&d.action, Action::DrainStart { instance, .. } if in_pool(instance)),
            );
            starts.count()
        };
        let counts: Vec<(PoolId, usize)> =
            view.pools.keys().map(|pool| (pool.clone(), count(&plan, pool))).collect();
        plan.decisions.retain(|d| !matches!(d.action, Action::DrainStart { .. }));
        for (pool, starts) in counts {
            let mut due: Vec<&InstanceView> = view
                .instances
                .iter()
                .filter(|i| {
                    i.pool == pool && i.status == Status::Serving && i.maintenance_due <= self.now
                })
                .collect();
            due.shuffle(&mut self.rng);
            for instance in due.into_iter().take(starts) {
                let reason = crate::record::DrainReason::Maintenance;
                let action = Action::DrainStart { instance: instance.id.clone(), reason };
                plan.decisions.push(Decision { action, reason: ActionReason::Due });
            }
        }
        plan
    }

    fn apply_action(&mut self, action: &Action) {
        let (Action::DrainStart { instance, .. }
        | Action::Checkpoint { instance }
        | Action::Stop { instance }
        | Action::Reboot { instance }
        | Action::DrainEnd { instance, .. }
        | Action::MoveStart { instance, .. }) = action;
        let Some(at) = self.by_id.get(instance).copied() else { return };
        match action {
            Action::DrainStart { .. } => {
                self.instances[at].state = State::Draining { since: self.now };
                self.record_drain(at);
            }
            Action::Checkpoint { .. } => self.instances[at].checkpointed = Some(self.now),
            Action::Stop { .. } => self.stop(at),
            Action::Reboot { .. } => {
                let until = self.now + REBOOT_TIME;
                self.instances[at].state = State::Rebooting { since: self.now, until };
            }
            Action::DrainEnd { done, .. } => self.end_drain(at, *done),
            Action::MoveStart { to, .. } => {
                let to = self.pool_ids.iter().position(|pool| pool == to).unwrap_or(0);
                self.out.moves += 1;
                self.instances[at].state = State::Moving { since: self.now, to, until: None };
            }
        }
    }

    fn stop(&mut self, at: usize) {
        let drained = matches!(self.instances[at].state, State::Draining { .. });
        if drained {
            let view = self.instance_view(&self.instances[at]);
            self.out.stopped_planned_jobs += view.planned_jobs;
        }
        self.interrupt_work(at, true);
        self.instances[at].checkpointed = None;
    }

    /// Records the minimum time that the drain and reboot of an instance take: its work ends by
    /// itself, or is stopped when the drain times out.
    fn record_drain(&mut self, at: usize) {
        let rules = &self.cfg.profiles["standard"];
        let limit = rules.drain_timeout + maintenance::CHECKPOINT_TIMEOUT;
        let left = |id: &WorkId| {
            let task = self.tasks.get(id)?;
            Some((task.started + task.run).saturating_sub(self.now))
        };
        let longest = self.instances[at].running.iter().filter_map(left).max().unwrap_or_default();
        let min_duration = longest.min(limit) + REBOOT_TIME;
        self.drain_instance_secs[self.instances[at].home_pool] += min_duration.as_secs_f64();
    }

    fn end_drain(&mut self, at: usize, done: bool) {
        let instance = &mut self.instances[at];
        instance.state = State::Serving;
        instance.checkpointed = None;
        if done {
            instance.maintained = true;
            instance.maintenance_due = self.now + Duration::from_secs(1_814_400);
        }
        let pool = instance.home_pool;
        let all = self.instances.iter().filter(|m| m.home_pool == pool).all(|m| m.maintained);
        if all && self.rollout_secs[pool].is_none() {
            self.rollout_secs[pool] = Some(self.now.as_secs_f64());
        }
    }

    /// Adds the instance-seconds that the budget leaves after unplanned outages.
    fn add_budget(&mut self) {
        if !self.scenario.rollout {
            return;
        }
        for pool in 0..self.pool_ids.len() {
            if self.rollout_secs[pool].is_some() {
                continue;
            }
            let of_pool = self.instances.iter().filter(|m| m.pool == pool);
            let size = of_pool.clone().count() as u32;
            let down = of_pool.filter(|m| matches!(m.state, State::Down { .. })).count() as u32;
            let percent = self.cfg.profiles["standard"].unavailable_percent;
            let left = max_unavailable(size, percent).saturating_sub(down);
            self.budget_instance_secs[pool] += f64::from(left) * PLAN_INTERVAL.as_secs_f64();
        }
    }

    // Lists and faults

    /// Sends the instances that may get new work to the schedulers, as the platform's list shows
    /// them.
    fn publish_instance_list(&mut self) {
        for pool in 0..self.pool_ids.len() {
            let members = self.instances.iter().filter(|m| m.pool == pool);
            let size =
                members.clone().next().map_or(Resources::ONE_SLOT, |m| self.size_of(m.home_pool));
            let list: Vec<ListedInstance> =
                members.filter(|m| self.may_get_work(m)).map(|m| self.list_entry(m)).collect();
            let unlimited = pool != self.deployment.runners.len();
            let size = if unlimited {
                Resources { processors: u64::MAX, memory: u64::MAX, accelerators: u32::MAX, ..size }
            } else {
                size
            };
            let id = self.pool_ids[pool].clone();
            self.scheduler.set_upstreams(self.now, &id, &list, &size);
        }
    }

    fn may_get_work(&self, instance: &Instance) -> bool {
        let out = self.zone_is_out() && instance.zone == 0;
        let state = match instance.state {
            State::Serving => true,
            // The list still shows a failed instance for a while.
            State::Down { since, .. } => self.now < since + LIST_LAG,
            _ => false,
        };
        state && !out && instance.ejected_until <= self.now
    }

    fn list_entry(&self, instance: &Instance) -> ListedInstance {
        ListedInstance {
            id: instance.id.clone(),
            role: Role::Upstream,
            pool: self.pool_ids[instance.pool].clone(),
            zone: self.zone_ids[instance.zone].clone(),
            rack: instance.rack.clone(),
            addr: String::new(),
            presence: Presence::Live,
            slots: instance.slots,
            connections: 64,
        }
    }

    /// Fails a random instance, or its whole rack, for 10 to 30 s.
    fn crash(&mut self) {
        let at = self.rng.random_range(0..self.instances.len());
        let whole_rack = self.rng.random_range(0..3) == 0;
        let rack = self.instances[at].rack.clone();
        let until = self.now + Duration::from_secs(self.rng.random_range(10..30));
        for victim in 0..self.instances.len() {
            let instance = &self.instances[victim];
            let hit = victim == at || (whole_rack && instance.rack == rack);
            if hit && instance.state == State::Serving {
                self.instances[victim].state = State::Down { since: self.now, until };
                self.interrupt_work(victim, false);
            }
        }
        let gap = self.rng.random_range(15.0..45.0);
        self.push(self.now + Duration::from_secs_f64(gap), Event::Crash);
    }

    /// Makes a random instance fail all work that it starts for 30 s.
    fn break_instance(&mut self) {
        let at = self.rng.random_range(0..self.instances.len());
        self.instances[at].broken_until = self.now + Duration::from_secs(30);
        self.push(self.now + Duration::from_secs(40), Event::BreakInstance);
    }

    fn into_outcome(mut self) -> Outcome {
        for pool in 0..self.pool_ids.len() {
            let Some(done) = self.rollout_secs[pool] else {
                if self.scenario.rollout {
                    self.out.rollouts.push((f64::INFINITY, 1.0));
                }
                continue;
            };
            // Time in which the budget allows all drains, at the mean rate that it allowed so far.
            let rate = self.budget_instance_secs[pool] / done;
            self.rollout_bound_secs[pool] = Some(self.drain_instance_secs[pool] / rate.max(1e-9));
            self.out.rollouts.push((done, self.rollout_bound_secs[pool].unwrap_or(done)));
        }
        self.out
    }
}

impl Window {
    fn new(pools: usize, teams: usize) -> Window {
        Window {
            used: vec![vec![0.0; teams]; pools],
            backlogged: vec![vec![true; teams]; pools],
            full_ticks: vec![0; pools],
            ticks: 0,
        }
    }
}

fn add_at(values: &mut Vec<f64>, at: usize, value: f64) {
    if values.len() <= at {
        values.resize(at + 1, 0.0);
    }
    values[at] += value;
}

fn reason_name(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::BudgetUsed { .. } => "budget_used",
        WaitReason::PoolTooSmall { .. } => "pool_too_small",
        WaitReason::RackBudgetUsed => "rack_budget_used",
        WaitReason::ZoneAway => "zone_away",
        WaitReason::LoadNeedsAll => "load_needs_all",
        WaitReason::NothingToLend { .. } => "nothing_to_lend",
        WaitReason::ShortTooBriefly => "short_too_briefly",
    }
}
