//! Measures the time and memory of single decisions at several fleet sizes.

use crate::buffer::{self, Demand, Requirements, Sample};
use crate::config::{Config, Pool, Profile, Service, Team, Zone};
use crate::fleet::*;
use crate::ids::*;
use crate::maintenance;
use crate::pool_moves::MovePlanner;
use crate::protocol::{ListedInstance, Presence, Role};
use crate::record::Class;
use crate::sched::{Resources, Scheduler, Work, WorkId};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Fleet size that the design targets.
pub const DESIGN_SIZE: Size = Size { workers: 9_500, pools: 66, teams: 230, queued: 100_000 };
/// Divisors of the design size that give the measured sizes.
const SIZE_DIVISORS: [u32; 4] = [8, 4, 2, 1];
/// Number of decisions of each kind that are timed at each size.
const TIMED_DECISIONS: u64 = 40_000;
/// Number of planner passes that are timed at each size.
const TIMED_PASSES: usize = 15;
/// Name of the row with the memory use of the scheduler.
const MEMORY_ROW: &str = "memory of the scheduler";
const ZONES: u32 = 7;
const SLOTS: u32 = 8;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    pub workers: u32,
    pub pools: u32,
    pub teams: u32,
    pub queued: u32,
}

/// Time of one kind of decision, or the memory use, at all measured sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CostRow {
    pub decision: &'static str,
    /// Unit of the mean and p99 in `points`.
    pub unit: &'static str,
    /// Maximum p99 at the design size, in microseconds.
    pub target_us: Option<f64>,
    /// Number of workers, mean and p99, from the smallest size to the design size.
    pub points: Vec<(u32, f64, f64)>,
    /// Exponent of the growth of the mean with the size: 0 is constant, 1 is linear.
    pub exponent: f64,
}

/// Measures all decisions at all sizes.
pub fn measure(seed: u64) -> Vec<CostRow> {
    let mut rows: IndexMap<&'static str, Vec<(u32, f64, f64)>> = IndexMap::new();
    for divisor in SIZE_DIVISORS {
        let size = Size {
            workers: DESIGN_SIZE.workers / divisor,
            pools: DESIGN_SIZE.pools / divisor,
            teams: DESIGN_SIZE.teams / divisor,
            queued: DESIGN_SIZE.queued / divisor,
        };
        let mut add = |decision, mean, p99| {
            rows.entry(decision).or_default().push((size.workers, mean, p99));
        };
        time_scheduler(&size, seed, &mut add);
        time_planners(&size, seed, &mut add);
    }
    rows.into_iter().map(|(decision, points)| cost_row(decision, points)).collect()
}

fn cost_row(decision: &'static str, points: Vec<(u32, f64, f64)>) -> CostRow {
    let target_us = match decision {
        "admission" | "placement" => Some(20.0),
        "maintenance pass" => Some(50_000.0),
        _ => None,
    };
    let exponent = slope(&points);
    let unit = if decision == MEMORY_ROW { "MB" } else { "us" };
    CostRow { decision, unit, target_us, points, exponent }
}

/// Returns the least-squares slope of the logarithm of the mean over that of the size.
fn slope(points: &[(u32, f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> =
        points.iter().map(|(size, mean, _)| (f64::from(*size).ln(), mean.max(1e-6).ln())).collect();
    let n = logs.len() as f64;
    let (mx, my) = (
        logs.iter().map(|(x, _)| x).sum::<f64>() / n,
        logs.iter().map(|(_, y)| y).sum::<f64>() / n,
    );
    let covariance: f64 = logs.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let variance: f64 = logs.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    covariance / variance
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[CostRow]) -> String {
    let mut text = String::from("| decision | unit |");
    for (workers, _, _) in rows.first().map(|row| row.points.as_slice()).unwrap_or_default() {
        text.push_str(&format!(" {workers} workers, mean / p99 |"));
    }
    text.push_str(" exponent | target |\n| --- | --- |");
    text.push_str(&" --- |".repeat(rows.first().map_or(0, |row| row.points.len()) + 2));
    text.push('\n');
    for row in rows {
        text.push_str(&format!("| {} | {} |", row.decision, row.unit));
        for (_, mean, p99) in &row.points {
            text.push_str(&format!(" {mean:.2} / {p99:.2} |"));
        }
        let target = row.target_us.map_or(String::new(), |us| format!("p99 <= {us}"));
        text.push_str(&format!(" {:.2} | {target} |\n", row.exponent));
    }
    text
}

/// A histogram of durations in nanoseconds.
struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    fn new() -> Option<DurationHistogram> {
        Histogram::new_with_bounds(1, 60_000_000_000, 3).ok().map(DurationHistogram)
    }

    fn time<T>(&mut self, f: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let value = f();
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.0.saturating_record(nanos.max(1));
        value
    }

    fn report(&self, decision: &'static str, add: &mut dyn FnMut(&'static str, f64, f64)) {
        add(decision, self.0.mean() / 1e3, self.0.value_at_quantile(0.99) as f64 / 1e3);
    }
}

fn time_scheduler(size: &Size, seed: u64, add: &mut dyn FnMut(&'static str, f64, f64)) {
    let [
        Some(mut admission),
        Some(mut placement),
        Some(mut finish),
        Some(mut cancel),
        Some(mut expiry),
        Some(mut placement_full),
    ] = std::array::from_fn(|_| DurationHistogram::new())
    else {
        return;
    };
    let rss_before = resident_bytes();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sched = build_scheduler(size);
    let mut running: Vec<WorkId> = Vec::new();
    let mut id = 0;
    let mut now = Time::ZERO;
    // Fill all slots, then the queues.
    while id < u64::from(size.workers * SLOTS + size.queued) {
        id += 1;
        drop(sched.enqueue(now, work(id, size, &mut rng, now)));
        if running.len() < (size.workers * SLOTS) as usize
            && let Some(placed) = sched.next(now, &mut |_| true)
        {
            running.push(placed.id);
        }
    }
    while let Some(placed) = sched.next(now, &mut |_| true) {
        running.push(placed.id);
    }
    let grown_mb = resident_bytes().saturating_sub(rss_before) as f64 / 1e6;
    add(MEMORY_ROW, grown_mb, grown_mb);
    for _ in 0..TIMED_DECISIONS {
        now += Duration::from_micros(20);
        id += 1;
        let work = work(id, size, &mut rng, now);
        drop(admission.time(|| sched.enqueue(now, work)));
        let at = rng.random_range(0..running.len());
        let finished = running.swap_remove(at);
        finish.time(|| sched.finish(now, finished, Duration::from_millis(100), false));
        if let Some(placed) = placement.time(|| sched.next(now, &mut |_| true)) {
            running.push(placed.id);
        }
        if id.is_multiple_of(10)
            && let Some(placed) = placement_full.time(|| sched.next(now, &mut |_| true))
        {
            running.push(placed.id);
        }
        if id.is_multiple_of(500) {
            expiry.time(|| drop(sched.expired(now)));
        }
        if id.is_multiple_of(10) {
            let victim = id - rng.random_range(0..u64::from(size.queued));
            cancel.time(|| sched.cancel(victim));
        }
    }
    admission.report("admission", add);
    placement.report("placement", add);
    placement_full.report("placement, all full", add);
    finish.report("end of work", add);
    cancel.report("cancellation", add);
    expiry.report("timer call each 10 ms", add);
}

fn build_scheduler(size: &Size) -> Scheduler {
    let mut sched = Scheduler::new(1, zone(0));
    sched.set_config(&config(size));
    let mut pools: IndexMap<PoolId, Vec<ListedInstance>> = IndexMap::new();
    for n in 0..size.workers {
        let pool = pool(n % size.pools);
        pools.entry(pool.clone()).or_default().push(listed(n, pool));
    }
    for (pool, list) in &pools {
        sched.set_upstreams(Time::ZERO, pool, list);
    }
    sched
}

fn zone(n: u32) -> ZoneId {
    format!("zone-{n}").into()
}

fn pool(n: u32) -> PoolId {
    format!("pool-{n}").into()
}

fn listed(n: u32, pool: PoolId) -> ListedInstance {
    ListedInstance {
        id: format!("worker-{n}").into(),
        role: Role::Upstream,
        pool,
        zone: zone(n % ZONES),
        rack: format!("rack-{}", n / 4).into(),
        addr: String::new(),
        presence: Presence::Live,
        slots: SLOTS,
        connections: 64,
    }
}

fn work(id: WorkId, size: &Size, rng: &mut ChaCha8Rng, now: Time) -> Work {
    let class = match rng.random_range(0..10) {
        0 => Class::Urgent,
        1..=5 => Class::Planned,
        _ => Class::Overnight,
    };
    Work {
        id,
        service: format!("service-{}", rng.random_range(0..size.pools)).into(),
        team: format!("team-{}", rng.random_range(0..size.teams)).into(),
        class,
        deadline: now + Duration::from_secs(rng.random_range(3_600..36_000)),
        need: Resources::ONE_SLOT,
        declared: Duration::from_millis(rng.random_range(10..1_000)),
    }
}

fn config(size: &Size) -> Config {
    let mut cfg = Config::default();
    cfg.zones.extend((0..ZONES).map(|n| (zone(n), Zone { region: "region-1".into() })));
    cfg.teams.extend(
        (0..size.teams)
            .map(|n| (format!("team-{n}").into(), Team { share: n % 9 + 1, limit: 100_000 })),
    );
    cfg.profiles.insert("standard".into(), profile());
    for n in 0..size.pools {
        cfg.pools.insert(pool(n), Pool { spare: n == 0, min_instances: 1 });
        let (profile, pool) = ("standard".into(), pool(n));
        let service = Service { profile, pool, open_to: None, class: Class::Planned };
        cfg.services.insert(format!("service-{n}").into(), service);
    }
    cfg
}

fn profile() -> Profile {
    Profile {
        shares: IndexMap::new(),
        limits: IndexMap::new(),
        class_order: vec![Class::Urgent, Class::Planned, Class::Overnight],
        class_floor_percent: 10,
        queue_bound: 1_000_000,
        max_deadline: Duration::from_secs(86_400),
        urgent_start: Duration::from_secs(86_400),
        unavailable_percent: 5,
        unavailable_per_rack: 1,
        drain_timeout: Duration::from_secs(60),
        maintenance_interval: Duration::from_secs(1_814_400),
        reserve_percent: 20,
        stale_limit: None,
        buffer_percent: 50,
    }
}

fn time_planners(size: &Size, seed: u64, add: &mut dyn FnMut(&'static str, f64, f64)) {
    let (Some(mut maintenance_pass), Some(mut move_pass), Some(mut buffer_plan)) =
        (DurationHistogram::new(), DurationHistogram::new(), DurationHistogram::new())
    else {
        return;
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let view = view(size, &mut rng);
    let demand = demand(size, &mut rng);
    let requirements = Requirements {
        zones: ZONES,
        instance_slots: SLOTS,
        lend_delay: Duration::from_secs(3),
        max_urgent_wait: Duration::from_millis(1_400),
        urgent_percent: 50,
        max_other_wait: Duration::from_secs(10),
        max_percent: 1_000,
    };
    for pass in 0..TIMED_PASSES {
        let now = Duration::from_secs(pass as u64);
        std::hint::black_box(maintenance_pass.time(|| maintenance::plan(now, &view)));
        let mut pools = MovePlanner::new();
        pools.plan(Time::ZERO, &view, &IndexMap::new());
        let later = Duration::from_secs(5);
        std::hint::black_box(move_pass.time(|| pools.plan(later, &view, &IndexMap::new())));
        if pass < 3 {
            std::hint::black_box(
                buffer_plan.time(|| buffer::smallest_buffer(&demand, &requirements)),
            );
        }
    }
    maintenance_pass.report("maintenance pass", add);
    move_pass.report("move pass", add);
    buffer_plan.report("buffer plan", add);
}

fn view(size: &Size, rng: &mut ChaCha8Rng) -> FleetView {
    let pool_view = |n: u32| PoolView {
        spare: n == 0,
        min_instances: 1,
        unavailable_percent: 5,
        unavailable_per_rack: 1,
        drain_timeout: Duration::from_secs(60),
        maintenance_interval: Duration::from_secs(1_814_400),
        // One tenth of the pools need more slots than they have.
        required_slots: size.workers / size.pools * SLOTS * if n % 10 == 1 { 11 } else { 8 } / 10,
    };
    let instances = (0..size.workers).map(|n| InstanceView {
        id: format!("worker-{n}").into(),
        pool: pool(n % size.pools),
        home_pool: pool(n % size.pools),
        zone: zone(n % ZONES),
        rack: format!("rack-{}", n / 4).into(),
        status: match rng.random_range(0..50) {
            0 => Status::Down { since: Time::ZERO },
            1 => Status::Rebooting { since: Time::ZERO },
            _ => Status::Serving,
        },
        slots: SLOTS,
        running: rng.random_range(0..SLOTS),
        planned_jobs: rng.random_range(0..3),
        checkpointed: None,
        maintenance_due: Duration::from_secs(rng.random_range(0..1_814_400)),
    });
    FleetView {
        instances: instances.collect(),
        pools: (0..size.pools).map(|n| (pool(n), pool_view(n))).collect(),
        zones: Vec::new(),
    }
}

fn demand(size: &Size, rng: &mut ChaCha8Rng) -> Demand {
    let mut demand = Demand::new();
    for second in 0..300 {
        for n in 0..size.pools {
            let is_bursting = (second / 10) % size.pools == n;
            let offered = rng.random_range(200.0..300.0) * if is_bursting { 5.0 } else { 1.0 };
            demand.observe(&pool(n), Sample { offered, used: offered as u32, waiting: 0.0 });
        }
    }
    demand
}

/// Returns the resident memory of this process in bytes, or zero if the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}
