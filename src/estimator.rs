//! Estimates run times and resource usage from finished work, within bounds around the declared
//! values.
//!
//! Declared values are often far off, and not always by the same factor. For each team and service,
//! two predictors are kept: the declared value times a learned factor, and a learned value that
//! ignores the declaration. The one with the smaller variance is used.

use crate::fair::Resources;
use std::collections::HashMap;
use std::time::Duration;

/// Work that shares its statistics: the indexes of the team and the service.
pub type EstimateKey = (u32, u32);

/// Maximum factor by which an estimated run time may differ from the declared one, either way.
const MAX_FACTOR: f64 = 64.0;
/// Maximum factor by which an estimated size may differ from the declared one, either way. The
/// bound is tighter than for run times, because overcommitted memory stops the jobs on the
/// instance.
const MAX_SIZE_FACTOR: f64 = 4.0;
/// Margin added to the mean size, in standard deviations.
const SIZE_MARGIN: f64 = 1.0;
/// Weight of the declared value, in finished runs.
const DECLARED_WEIGHT: f64 = 4.0;
/// Minimum number of finished runs before a shortest plausible run time is given, by which work can
/// be refused. A declaration alone never causes a refusal.
const MIN_RUNS: u32 = 8;
/// Lower bound on the weight of the newest run; limits the average to about the last 30 runs.
const NEWEST_WEIGHT: f64 = 1.0 / 30.0;
/// Run time assumed for work that declares none.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Lower bound on recorded and declared run times, in seconds.
const MIN_RUN_SECS: f64 = 0.001;
/// Maximum number of keys with statistics. Keys come from callers, so the tables must be bounded.
const MAX_KEYS: usize = 65_536;

/// Exponentially weighted mean and variance of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct LogStats {
    mean: f64,
    var: f64,
}

impl LogStats {
    fn add(&mut self, value: f64, weight: f64) {
        let diff = value - self.mean;
        self.mean += weight * diff;
        self.var = (1.0 - weight) * (self.var + weight * diff * diff);
    }
}

/// Run time statistics of one key.
#[derive(Clone, Copy, Debug, Default)]
struct RunStats {
    runs: u32,
    factor: LogStats,
    absolute: LogStats,
    /// Mean ratio of the actual to the predicted run time. The mean and variance of the logarithm
    /// determine the mean only for log-normal run times; for exponential ones the result was 28%
    /// too high.
    scale: f64,
}

/// Usage statistics of one key for one resource: relative to the declared size, and absolute.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceStats {
    factor: LogStats,
    absolute: LogStats,
}

/// Resource usage statistics of one key.
#[derive(Clone, Copy, Debug, Default)]
struct SizeStats {
    reports: u32,
    processors: ResourceStats,
    memory: ResourceStats,
}

impl ResourceStats {
    fn add(&mut self, declared: u64, used: u64, weight: f64) {
        if declared > 0 {
            let used = clamp_size(used as f64, declared);
            self.factor.add((used / declared as f64).ln(), weight);
            self.absolute.add(used.ln(), weight);
        }
    }

    fn predict(&self, declared: u64, confidence: f64) -> u64 {
        if declared == 0 {
            return 0;
        }
        let log_declared = (declared as f64).ln();
        let (center, var) = if self.factor.var <= self.absolute.var {
            (log_declared + self.factor.mean, self.factor.var)
        } else {
            (self.absolute.mean, self.absolute.var)
        };
        let learned = center + SIZE_MARGIN * var.sqrt();
        clamp_size((confidence * learned + (1.0 - confidence) * log_declared).exp(), declared)
            .round() as u64
    }
}

/// Estimated run time of one piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean, used to charge teams and to predict waiting times.
    pub typical: Duration,
    /// Shortest plausible run time; zero until `MIN_RUNS` runs have finished.
    pub min_plausible: Duration,
}

/// Estimates run times and resource usage from the statistics of finished work.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    runs_by_key: HashMap<EstimateKey, RunStats>,
    sizes_by_key: HashMap<EstimateKey, SizeStats>,
}

impl Estimator {
    /// Creates an estimator without statistics.
    pub fn new() -> Estimator {
        Estimator::default()
    }

    /// Estimates the run time of work that declares `declared`.
    pub fn estimate(&self, key: EstimateKey, declared: Duration) -> Estimate {
        let declared_secs = effective_declared_secs(declared);
        let Some(stats) = self.runs_by_key.get(&key) else {
            return Estimate { typical: secs(declared_secs), min_plausible: Duration::ZERO };
        };
        let (center, var) = predict(stats, declared_secs);
        let confidence = f64::from(stats.runs) / (f64::from(stats.runs) + DECLARED_WEIGHT);
        let blended = confidence * center + (1.0 - confidence) * declared_secs.ln();
        let scale = 1.0 + confidence * (stats.scale - 1.0);
        let typical = clamp_to_declared(blended.exp() * scale, declared_secs);
        let min_plausible = if stats.runs < MIN_RUNS { 0.0 } else { (center - var.sqrt()).exp() };
        Estimate { typical: secs(typical), min_plausible: secs(min_plausible.min(typical)) }
    }

    /// Records the run time of work that succeeded. Failed work must not be recorded: an instance
    /// that fails all work immediately would make run times appear short.
    pub fn on_run(&mut self, key: EstimateKey, declared: Duration, ran_for: Duration) {
        if self.runs_by_key.len() >= MAX_KEYS && !self.runs_by_key.contains_key(&key) {
            return;
        }
        let declared_secs = effective_declared_secs(declared);
        let ran = clamp_to_declared(ran_for.as_secs_f64().max(MIN_RUN_SECS), declared_secs);
        let stats = self.runs_by_key.entry(key).or_default();
        let weight = (1.0 / (f64::from(stats.runs) + 1.0)).max(NEWEST_WEIGHT);
        if stats.runs >= MIN_RUNS {
            let (center, _) = predict(stats, declared_secs);
            stats.scale += weight * (ran / center.exp() - stats.scale);
        } else {
            stats.scale = 1.0;
        }
        stats.factor.add((ran / declared_secs).ln(), weight);
        stats.absolute.add(ran.ln(), weight);
        stats.runs = stats.runs.saturating_add(1);
    }

    /// Estimates the resources used by work that declares `declared`. Slots and accelerators are
    /// allocated as whole units, so their declared numbers are used.
    pub fn size(&self, key: EstimateKey, declared: &Resources) -> Resources {
        let Some(stats) = self.sizes_by_key.get(&key) else { return *declared };
        let confidence = f64::from(stats.reports) / (f64::from(stats.reports) + DECLARED_WEIGHT);
        Resources {
            processors: stats.processors.predict(declared.processors, confidence),
            memory: stats.memory.predict(declared.memory, confidence),
            ..*declared
        }
    }

    /// Records the reported peak resource usage of work.
    pub fn on_size(&mut self, key: EstimateKey, declared: &Resources, used: &Resources) {
        if self.sizes_by_key.len() >= MAX_KEYS && !self.sizes_by_key.contains_key(&key) {
            return;
        }
        let stats = self.sizes_by_key.entry(key).or_default();
        let weight = (1.0 / (f64::from(stats.reports) + 1.0)).max(NEWEST_WEIGHT);
        stats.processors.add(declared.processors, used.processors, weight);
        stats.memory.add(declared.memory, used.memory, weight);
        stats.reports = stats.reports.saturating_add(1);
    }

    /// Number of keys with run time statistics.
    pub fn len(&self) -> usize {
        self.runs_by_key.len()
    }

    /// Whether there are no run time statistics.
    pub fn is_empty(&self) -> bool {
        self.runs_by_key.is_empty()
    }
}

/// Returns the logarithm of the predicted run time in seconds, and its variance.
fn predict(stats: &RunStats, declared_secs: f64) -> (f64, f64) {
    if stats.factor.var <= stats.absolute.var {
        (declared_secs.ln() + stats.factor.mean, stats.factor.var)
    } else {
        (stats.absolute.mean, stats.absolute.var)
    }
}

fn clamp_size(used: f64, declared: u64) -> f64 {
    let declared = declared as f64;
    used.clamp(declared / MAX_SIZE_FACTOR, declared * MAX_SIZE_FACTOR)
}

fn effective_declared_secs(declared: Duration) -> f64 {
    let declared = if declared.is_zero() { DEFAULT_RUN_TIME } else { declared };
    declared.as_secs_f64().max(MIN_RUN_SECS)
}

fn clamp_to_declared(value: f64, declared_secs: f64) -> f64 {
    value.clamp(declared_secs / MAX_FACTOR, declared_secs * MAX_FACTOR)
}

fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
