//! Runs the policies in the simulation and reports their measures next to those of simple baseline
//! policies.
//!
//! All variants of an experiment run with the same seeds. Each row gives the median and the range
//! over the seeds.

use crate::baseline::BaselinePolicy;
use crate::buffer::{self, Requirements};
use crate::chart;
use crate::decision_cost::{self, CostRow};
use crate::driver::{self, Deployment, Drains, Load, Outcome, Scenario};
use indexmap::IndexMap;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Settings of a measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Number of seeds to run for each experiment.
    pub seeds: u64,
    /// First seed.
    pub first_seed: u64,
    /// Number of threads that run seeds in parallel.
    pub threads: usize,
    /// Experiments to run. Empty runs all.
    pub only: Vec<Experiment>,
    /// Output directory for `measure.json` and the plots. `None` writes no files.
    pub out: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options { seeds: 20, first_seed: 1, threads: 3, only: Vec::new(), out: None }
    }
}

/// An experiment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Experiment {
    /// How close teams get to their share while every pool is full.
    Shares,
    /// Number of moves while the queues burst in turn.
    Moves,
    /// Work completed while a zone is taken out and returned.
    Zone,
    /// Duration of a rollout while instances fail.
    Rollout,
    /// Slots that the buffer needs above the mean load.
    Buffer,
    /// Time of single decisions by fleet size.
    DecisionCost,
}

impl Experiment {
    /// All experiments, in the order in which they run.
    pub const ALL: [Experiment; 6] = [
        Experiment::Shares,
        Experiment::Moves,
        Experiment::Zone,
        Experiment::Rollout,
        Experiment::Buffer,
        Experiment::DecisionCost,
    ];

    /// Returns the name used in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Experiment::Shares => "shares",
            Experiment::Moves => "moves",
            Experiment::Zone => "zone",
            Experiment::Rollout => "rollout",
            Experiment::Buffer => "buffer",
            Experiment::DecisionCost => "decision_cost",
        }
    }

    /// Finds an experiment by its name.
    pub fn from_name(name: &str) -> Option<Experiment> {
        Experiment::ALL.into_iter().find(|experiment| experiment.name() == name)
    }
}

/// Error of writing a report.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// The directory or a file cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write { path: PathBuf, source: std::io::Error },
    /// The report cannot be encoded as JSON.
    #[snafu(display("cannot encode the report: {source}"))]
    Encode { source: serde_json::Error },
    /// A plot cannot be drawn.
    #[snafu(display("cannot draw {}: {message}", path.display()))]
    Draw { path: PathBuf, message: String },
}

/// Target of a measure, as a lower or upper limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    AtLeast(f64),
    AtMost(f64),
}

/// A measure of a variant over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub experiment: Experiment,
    pub deployment: &'static str,
    pub variant: &'static str,
    pub measure: &'static str,
    pub target: Option<Target>,
    /// One value for each seed, in seed order.
    pub values: Vec<f64>,
    pub low: f64,
    pub median: f64,
    pub high: f64,
    /// Number of seeds that meet the target.
    pub met: Option<usize>,
}

/// Results of all experiments that ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub rows: Vec<Row>,
    pub costs: Vec<CostRow>,
}

/// Runs the experiments, and writes the report if an output directory is given.
///
/// # Errors
///
/// Fails when the directory, the JSON file or a plot cannot be written.
pub fn run(options: &Options) -> Result<Report, MeasureError> {
    let mut report = Report::default();
    let is_selected = |experiment| options.only.is_empty() || options.only.contains(&experiment);
    for experiment in Experiment::ALL.into_iter().filter(|experiment| is_selected(*experiment)) {
        if experiment == Experiment::DecisionCost {
            report.costs = decision_cost::measure(options.first_seed);
            continue;
        }
        for deployment in [driver::derwent(), driver::tsagaan()] {
            report.rows.extend(run_experiment(experiment, &deployment, options));
        }
    }
    if let Some(dir) = &options.out {
        write(&report, dir)?;
    }
    Ok(report)
}

fn write(report: &Report, dir: &Path) -> Result<(), MeasureError> {
    std::fs::create_dir_all(dir).context(WriteSnafu { path: dir })?;
    let path = dir.join("measure.json");
    let text = serde_json::to_string_pretty(report).context(EncodeSnafu)?;
    std::fs::write(&path, text).context(WriteSnafu { path })?;
    chart::draw(report, dir)
}

impl Report {
    /// Formats the report as Markdown tables.
    pub fn table(&self) -> String {
        let mut text = String::new();
        if !self.rows.is_empty() {
            text.push_str("| experiment | deployment | variant | measure | median | low | high | target | met |\n");
            text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        }
        for row in &self.rows {
            text.push_str(&row.table_row());
        }
        if !self.costs.is_empty() {
            text.push('\n');
            text.push_str(&decision_cost::table(&self.costs));
        }
        text
    }
}

impl Row {
    fn table_row(&self) -> String {
        let target = match self.target {
            None => String::new(),
            Some(Target::AtLeast(value)) => format!(">= {value}"),
            Some(Target::AtMost(value)) => format!("<= {value}"),
        };
        let met = self.met.map_or(String::new(), |met| format!("{met}/{}", self.values.len()));
        format!(
            "| {} | {} | {} | {} | {:.3} | {:.3} | {:.3} | {target} | {met} |\n",
            self.experiment.name(),
            self.deployment,
            self.variant,
            self.measure,
            self.median,
            self.low,
            self.high,
        )
    }
}

/// Results of one seed, as a map from variant and measure to value and target.
type Values = IndexMap<(&'static str, &'static str), (f64, Option<Target>)>;

fn run_experiment(experiment: Experiment, deployment: &Deployment, options: &Options) -> Vec<Row> {
    let results = run_seeds(options, &|seed| match experiment {
        Experiment::Shares => measure_shares(deployment, seed),
        Experiment::Moves => measure_moves(deployment, seed),
        Experiment::Zone => measure_zone(deployment, seed),
        Experiment::Rollout => measure_rollout(deployment, seed),
        Experiment::Buffer => measure_buffer(deployment, seed),
        Experiment::DecisionCost => Values::new(),
    });
    let Some(first) = results.first() else { return Vec::new() };
    first
        .iter()
        .map(|(key, (_, target))| {
            let values: Vec<f64> =
                results.iter().filter_map(|values| values.get(key)).map(|(v, _)| *v).collect();
            row(experiment, deployment.name, *key, *target, values)
        })
        .collect()
}

fn row(
    experiment: Experiment,
    deployment: &'static str,
    (variant, measure): (&'static str, &'static str),
    target: Option<Target>,
    values: Vec<f64>,
) -> Row {
    let mut sorted = values.clone();
    sorted.sort_by(f64::total_cmp);
    let value_at = |fraction: f64| sorted[((sorted.len() - 1) as f64 * fraction) as usize];
    let meets_target = |value: &&f64| match target {
        Some(Target::AtLeast(minimum)) => **value >= minimum,
        Some(Target::AtMost(maximum)) => **value <= maximum,
        None => true,
    };
    let met = target.map(|_| values.iter().filter(meets_target).count());
    let (low, median, high) = (value_at(0.0), value_at(0.5), value_at(1.0));
    Row { experiment, deployment, variant, measure, target, values, low, median, high, met }
}

fn run_seeds(options: &Options, run_seed: &(dyn Fn(u64) -> Values + Sync)) -> Vec<Values> {
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= options.seeds {
                        break;
                    }
                    let values = run_seed(options.first_seed + index);
                    results.lock().unwrap_or_else(|e| e.into_inner()).push((index, values));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, values)| values).collect()
}

fn base_scenario(load: Load, secs: u64) -> Scenario {
    Scenario {
        load,
        length: Duration::from_secs(secs),
        zone_out: None,
        rollout: false,
        faults: false,
        drains: Drains::Planned,
        policy: None,
        moves_enabled: true,
    }
}

const POLICIES: [(&str, Option<BaselinePolicy>); 3] = [
    ("jacinthhook", None),
    ("first_come", Some(BaselinePolicy::FirstComeFirstServed)),
    ("fixed_split", Some(BaselinePolicy::FixedSplit)),
];

/// Returns the target for this project's own variant. The baselines have no targets.
fn target_for(variant: &str, target: Target) -> Option<Target> {
    (variant == "jacinthhook").then_some(target)
}

fn measure_shares(deployment: &Deployment, seed: u64) -> Values {
    let mut values = Values::new();
    for (variant, policy) in POLICIES {
        let scenario =
            Scenario { policy, moves_enabled: false, ..base_scenario(Load::Full(2.5), 60) };
        let out = driver::run(deployment, &scenario, seed);
        let target = target_for(variant, Target::AtLeast(0.95));
        add_share_ratios(variant, &out.share_ratios, SERVICE_RATIOS, target, &mut values);
        add_share_ratios(variant, &out.guarded_ratios, GUARDED_RATIOS, target, &mut values);
        values.insert((variant, "slots in use, percent"), (used_slots_percent(&out), None));
    }
    values
}

/// Names of three measures: the worst ratio, the percentage of windows below 95%, and the number of
/// windows.
type RatioNames = [&'static str; 3];

const SERVICE_RATIOS: RatioNames = [
    "services: worst part of due share",
    "services: windows below 95%, percent",
    "services: windows counted",
];
const GUARDED_RATIOS: RatioNames = [
    "guarded: worst part of due share",
    "guarded: windows below 95%, percent",
    "guarded: windows counted",
];

/// Adds the measures of the ratios between received and due share. Only windows in which a pool was
/// full count, so a policy that leaves slots idle has few.
fn add_share_ratios(
    variant: &'static str,
    ratios: &[f64],
    names: RatioNames,
    target: Option<Target>,
    values: &mut Values,
) {
    let worst = ratios.iter().copied().reduce(f64::min).unwrap_or(f64::NAN);
    let below = ratios.iter().filter(|ratio| **ratio < 0.95).count() as f64;
    let percent = 100.0 * below / ratios.len().max(1) as f64;
    values.insert((variant, names[0]), (worst, target));
    values.insert((variant, names[1]), (percent, None));
    values.insert((variant, names[2]), (ratios.len() as f64, None));
}

/// Returns the percentage of the runners' slots that were in use, without the first 10 s.
fn used_slots_percent(out: &Outcome) -> f64 {
    let done: f64 = out.done_per_sec.iter().skip(10).sum();
    let slots: f64 = out.slots_per_sec.iter().skip(10).sum();
    100.0 * done / slots.max(1.0)
}

fn measure_moves(deployment: &Deployment, seed: u64) -> Values {
    let mut values = Values::new();
    let out = driver::run(deployment, &base_scenario(Load::Bursts, 360), seed);
    let minimum = minimum_moves(deployment, &out);
    let target = target_for("jacinthhook", Target::AtMost(1.5));
    let ratio = f64::from(out.moves) / f64::from(minimum.max(1));
    values.insert(("jacinthhook", "moves over least"), (ratio, target));
    values.insert(("jacinthhook", "moves"), (f64::from(out.moves), None));
    values.insert(("jacinthhook", "least moves"), (f64::from(minimum), None));
    add_waits("jacinthhook", &out, &mut values);
    let fixed = Scenario { moves_enabled: false, ..base_scenario(Load::Bursts, 360) };
    add_waits("no_lending", &driver::run(deployment, &fixed, seed), &mut values);
    let split =
        Scenario { policy: Some(BaselinePolicy::FixedSplit), ..base_scenario(Load::Bursts, 360) };
    add_waits("fixed_split", &driver::run(deployment, &split, seed), &mut values);
    let first = Scenario {
        policy: Some(BaselinePolicy::FirstComeFirstServed),
        ..base_scenario(Load::Bursts, 360)
    };
    add_waits("first_come", &driver::run(deployment, &first, seed), &mut values);
    values
}

fn add_waits(variant: &'static str, out: &Outcome, values: &mut Values) {
    let not_run = 100.0 * (out.refused + out.late_unstarted) as f64 / out.offered.max(1) as f64;
    values.insert((variant, "urgent start p99, ms"), (quantile(&out.urgent_waits, 0.99), None));
    values.insert((variant, "other start p99, ms"), (quantile(&out.other_waits, 0.99), None));
    values.insert((variant, "refused as not run, percent"), (not_run, None));
}

fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len().saturating_sub(1) as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Returns the minimum number of moves with which the load could be served if it were known in
/// advance. An instance moves only when a pool is short: a free one if there is one, otherwise one
/// from the pool that needs it back last.
fn minimum_moves(deployment: &Deployment, out: &Outcome) -> u32 {
    let needs = instance_needs(deployment, out);
    let mut held: Vec<u32> = deployment.runners.clone();
    let mut free = deployment.spare_instances;
    let mut moves = 0;
    let length = needs.iter().map(Vec::len).min().unwrap_or(0);
    for t in 0..length {
        for pool in 0..held.len() {
            while held[pool] < needs[pool][t] {
                if free > 0 {
                    free -= 1;
                } else if let Some(donor) = latest_needed_donor(&needs, &held, deployment, t) {
                    held[donor] -= 1;
                } else {
                    break;
                }
                held[pool] += 1;
                moves += 1;
            }
        }
    }
    moves
}

/// Returns the pool that can give up a borrowed instance and will need its last one again the
/// latest.
fn latest_needed_donor(
    needs: &[Vec<u32>],
    held: &[u32],
    deployment: &Deployment,
    t: usize,
) -> Option<usize> {
    let can_give =
        |pool: &usize| held[*pool] > deployment.runners[*pool] && held[*pool] > needs[*pool][t];
    let next_need = |pool: &usize| {
        needs[*pool][t..].iter().position(|need| *need >= held[*pool]).unwrap_or(usize::MAX)
    };
    (0..held.len()).filter(can_give).max_by_key(next_need)
}

/// Returns the instances that each pool needs in each second for its offered load. The load is
/// averaged over 5 s, because arrivals vary from second to second and a queue smooths them.
fn instance_needs(deployment: &Deployment, out: &Outcome) -> Vec<Vec<u32>> {
    let average = |needs: &Vec<f64>| {
        let mean = |t: usize| {
            let nearby = &needs[t.saturating_sub(2)..(t + 3).min(needs.len())];
            nearby.iter().sum::<f64>() / nearby.len() as f64
        };
        let instances = |t| (mean(t) / f64::from(deployment.runner_slots)).ceil() as u32;
        (0..needs.len()).map(instances).collect()
    };
    out.needed_slots_per_sec.iter().map(average).collect()
}

/// Times in seconds at which the zone is taken out and returned.
const ZONE_OUT_SECS: (u64, u64) = (40, 100);

fn measure_zone(deployment: &Deployment, seed: u64) -> Values {
    let mut values = Values::new();
    for (variant, policy) in POLICIES {
        let times = (Duration::from_secs(ZONE_OUT_SECS.0), Duration::from_secs(ZONE_OUT_SECS.1));
        let scenario = Scenario {
            zone_out: Some(times),
            faults: true,
            policy,
            ..base_scenario(Load::Bursts, 150)
        };
        let out = driver::run(deployment, &scenario, seed);
        let target = |target| target_for(variant, target);
        values.insert(
            (variant, "work done over best of the rest"),
            (zone_work_ratio(&out), target(Target::AtLeast(0.95))),
        );
        let p99 = quantile(&out.urgent_waits, 0.99);
        values.insert((variant, "urgent start p99, ms"), (p99, target(Target::AtMost(1_400.0))));
        let admitted_lost = out.admitted_lost as f64;
        values.insert((variant, "admitted and lost"), (admitted_lost, target(Target::AtMost(0.0))));
        let duplicated = out.duplicated as f64;
        values.insert((variant, "run twice"), (duplicated, target(Target::AtMost(0.0))));
        let starts_in_zone_out = out.starts_in_zone_out as f64;
        values.insert(
            (variant, "starts in the zone out"),
            (starts_in_zone_out, target(Target::AtMost(0.0))),
        );
        values.insert((variant, "outages by a rush"), (f64::from(out.return_overloads), None));
        let not_run = 100.0 * (out.refused + out.late_unstarted) as f64 / out.offered as f64;
        values.insert((variant, "refused as not run, percent"), (not_run, None));
    }
    values
}

/// Returns the work done from the time the zone is taken out until 20 s after its return, relative
/// to what the serving slots could have done of the offered work if each slot were always in the
/// right pool and no work expired.
fn zone_work_ratio(out: &Outcome) -> f64 {
    let (from, to) = (ZONE_OUT_SECS.0 as usize, ZONE_OUT_SECS.1 as usize + 20);
    let mut backlog: f64 = 0.0;
    let mut best = 0.0;
    for t in from..to {
        let offered = out.offered_per_sec.get(t).copied().unwrap_or(0.0);
        let slots = out.slots_per_sec.get(t).copied().unwrap_or(0.0);
        let done = (backlog + offered).min(slots);
        backlog = backlog + offered - done;
        best += done;
    }
    let done: f64 = (from..to).filter_map(|t| out.done_per_sec.get(t)).sum();
    done / best
}

fn measure_rollout(deployment: &Deployment, seed: u64) -> Values {
    let mut values = Values::new();
    for (variant, drains) in [("jacinthhook", Drains::Planned), ("random_drains", Drains::Random)] {
        let scenario =
            Scenario { rollout: true, faults: true, drains, ..base_scenario(Load::Steady, 1_200) };
        let out = driver::run(deployment, &scenario, seed);
        let ratios: Vec<f64> = out.rollouts.iter().map(|(took, bound)| took / bound).collect();
        let worst = ratios.iter().copied().fold(0.0, f64::max);
        let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        let target = target_for(variant, Target::AtMost(1.25));
        values.insert((variant, "worst pool, time over bound"), (worst, target));
        values.insert((variant, "mean of pools, time over bound"), (mean, None));
        let longest = out.rollouts.iter().map(|(took, _)| *took).fold(0.0, f64::max);
        values.insert((variant, "longest pool, s"), (longest, None));
        let stopped = f64::from(out.stopped_planned_jobs);
        values.insert((variant, "planned jobs stopped after a checkpoint"), (stopped, None));
        values.insert((variant, "urgent start p99, ms"), (quantile(&out.urgent_waits, 0.99), None));
    }
    values
}

/// Factor up to which a longer wait counts as equal. Both p99 are close to the start limit, where a
/// few ms can require many slots.
const WAIT_TOLERANCE: f64 = 1.02;
/// Step between the tried headrooms, in percent of the mean load.
const HEADROOM_STEP_PERCENT: u32 = 10;
const MAX_HEADROOM_PERCENT: u32 = 900;

fn measure_buffer(deployment: &Deployment, seed: u64) -> Values {
    let mut values = Values::new();
    let scenario = buffer_scenario(true);
    let demand = driver::run(deployment, &base_scenario(Load::Bursts, 180), seed + 10_000).demand;
    let requirements = Requirements {
        zones: deployment.zones,
        instance_slots: deployment.runner_slots,
        lend_delay: Duration::from_secs(3),
        max_urgent_wait: Duration::from_millis(1_400),
        urgent_percent: 50,
        max_other_wait: Duration::from_secs(10),
        max_percent: 1_000,
    };
    let Some(plan) = buffer::smallest_buffer(&demand, &requirements) else { return values };
    let slots = deployment.runner_slots;
    let runners = plan.own.values().map(|own| own / slots).collect();
    let spare_instances = plan.shared / slots;
    let reference =
        Deployment { runners, spare_instances, guarded_workers: 4, ..deployment.clone() };
    let out = driver::run(&reference, &scenario, seed);
    let mean: f64 = deployment.means.iter().sum();
    let cost = held(&reference) - mean;
    let (fixed, percent, fixed_out) = smallest_headroom(deployment, seed, &out);
    let fixed_cost = held(&fixed) - mean;
    let saved = 100.0 * (1.0 - cost / fixed_cost);
    let target = target_for("jacinthhook", Target::AtLeast(25.0));
    values.insert(("jacinthhook", "cheaper than fixed headroom, percent"), (saved, target));
    values.insert(("jacinthhook", "slots above the mean load"), (cost, None));
    values.insert(("jacinthhook", "shared slots"), (f64::from(plan.shared), None));
    add_waits("jacinthhook", &out, &mut values);
    values.insert(("fixed_headroom", "slots above the mean load"), (fixed_cost, None));
    values.insert(("fixed_headroom", "headroom, percent"), (f64::from(percent), None));
    add_waits("fixed_headroom", &fixed_out, &mut values);
    values
}

fn buffer_scenario(moves_enabled: bool) -> Scenario {
    let zone_out = Some((Duration::from_secs(60), Duration::from_secs(120)));
    Scenario { zone_out, moves_enabled, ..base_scenario(Load::Bursts, 150) }
}

/// Returns the number of slots of all runners and spare instances.
fn held(deployment: &Deployment) -> f64 {
    let instances = deployment.runners.iter().sum::<u32>() + deployment.spare_instances;
    f64::from(instances * deployment.runner_slots)
}

/// Finds the smallest headroom, equal for all pools, with which the p99 wait of urgent work is not
/// longer than in `reference` and no more work is refused.
fn smallest_headroom(
    deployment: &Deployment,
    seed: u64,
    reference: &Outcome,
) -> (Deployment, u32, Outcome) {
    let (mut low, mut high) = (0, MAX_HEADROOM_PERCENT / HEADROOM_STEP_PERCENT);
    let mut best = headroom_run(deployment, high * HEADROOM_STEP_PERCENT, seed);
    while low < high {
        let middle = (low + high) / 2;
        let tried = headroom_run(deployment, middle * HEADROOM_STEP_PERCENT, seed);
        if meets_reference(&tried.1, reference) {
            high = middle;
            best = tried;
        } else {
            low = middle + 1;
        }
    }
    (best.0, high * HEADROOM_STEP_PERCENT, best.1)
}

fn headroom_run(deployment: &Deployment, percent: u32, seed: u64) -> (Deployment, Outcome) {
    let times = 1.0 + f64::from(percent) / 100.0;
    let instances = |mean: &f64| (mean * times / f64::from(deployment.runner_slots)).ceil() as u32;
    let runners = deployment.means.iter().map(instances).collect();
    let fixed =
        Deployment { runners, spare_instances: 0, guarded_workers: 4, ..deployment.clone() };
    let out = driver::run(&fixed, &buffer_scenario(false), seed);
    (fixed, out)
}

fn meets_reference(tried: &Outcome, reference: &Outcome) -> bool {
    let p99 = |out: &Outcome| quantile(&out.urgent_waits, 0.99);
    let waits = p99(tried) <= WAIT_TOLERANCE * p99(reference);
    let not_run = |out: &Outcome| out.refused + out.late_unstarted;
    waits && not_run(tried) <= not_run(reference)
}
