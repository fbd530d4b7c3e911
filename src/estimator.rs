//! Run times and sizes learned from finished work, bounded around what was declared.
//!
//! Declarations are far off, and not always by the same factor. Two predictors are kept per kind of
//! work, the declared value times a learned factor and the typical value itself; the one with the
//! smaller spread is used.

use crate::fair::Resources;
use std::collections::HashMap;
use std::time::Duration;

/// Kind of work that is learned together: indexes of team and service.
pub type EstimateKey = (u32, u32);

/// A learned value is at most this many times the declared one, or this part of it.
const MAX_FACTOR: f64 = 64.0;
/// A learned size is at most this many times the declared one, or this part of it. Sizes are bounded
/// more tightly than run times: memory that is lent out twice stops the jobs on the instance.
const MAX_SIZE_FACTOR: f64 = 4.0;
/// Margin over the mean size, in standard deviations.
const SIZE_MARGIN: f64 = 1.0;
/// Finished runs that count as much as the declaration.
const DECLARED_WEIGHT: f64 = 4.0;
/// Finished runs before a learned run time may refuse work; a declaration alone never does.
const MIN_RUNS: u32 = 8;
/// Weight of the newest run once enough are known; about the last 30 runs count.
const NEWEST_WEIGHT: f64 = 1.0 / 30.0;
/// Stands for a declaration of zero.
const DEFAULT_RUN: Duration = Duration::from_secs(1);
/// Shortest run time that is learned, in seconds.
const MIN_SECS: f64 = 0.001;
/// Kinds of work kept; names come from callers' declarations, so the table must not grow freely.
const MAX_KINDS: usize = 65_536;

/// Moving mean and variance of a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    mean: f64,
    var: f64,
}

impl Spread {
    fn add(&mut self, value: f64, weight: f64) {
        let diff = value - self.mean;
        self.mean += weight * diff;
        self.var = (1.0 - weight) * (self.var + weight * diff * diff);
    }
}

/// What is known about one kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    runs: u32,
    factor: Spread,
    plain: Spread,
    /// Mean of run time over the predicted one. The mean of a logarithm and its variance give the
    /// mean of a log-normal time only; for exponential times they were 28% too high.
    scale: f64,
}

/// Used size of one kind of work, in one resource: relative to the declared size, and by itself.
#[derive(Clone, Copy, Debug, Default)]
struct KnownPart {
    factor: Spread,
    plain: Spread,
}

/// Used sizes of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct KnownSize {
    reports: u32,
    processors: KnownPart,
    memory: KnownPart,
}

impl KnownPart {
    fn add(&mut self, declared: u64, used: u64, weight: f64) {
        if declared > 0 {
            let used = bound_size(used as f64, declared);
            self.factor.add((used / declared as f64).ln(), weight);
            self.plain.add(used.ln(), weight);
        }
    }

    fn predict(&self, declared: u64, trust: f64) -> u64 {
        if declared == 0 {
            return 0;
        }
        let base = (declared as f64).ln();
        let (center, var) = if self.factor.var <= self.plain.var {
            (base + self.factor.mean, self.factor.var)
        } else {
            (self.plain.mean, self.plain.var)
        };
        let learned = center + SIZE_MARGIN * var.sqrt();
        bound_size((trust * learned + (1.0 - trust) * base).exp(), declared).round() as u64
    }
}

/// Expected run time of one piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean, for charging and for predicting waits.
    pub typical: Duration,
    /// A run that is this short is plausible; zero until enough runs are known.
    pub short: Duration,
}

/// Learned run times.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    known: HashMap<EstimateKey, Known>,
    sizes: HashMap<EstimateKey, KnownSize>,
}

impl Estimator {
    /// Knows nothing yet.
    pub fn new() -> Estimator {
        Estimator::default()
    }

    /// Expected run time of work of kind `key` that declares `declared`.
    pub fn estimate(&self, key: EstimateKey, declared: Duration) -> Estimate {
        let base = base_secs(declared);
        let Some(known) = self.known.get(&key) else {
            return Estimate { typical: secs(base), short: Duration::ZERO };
        };
        let (center, var) = predict(known, base);
        let trust = f64::from(known.runs) / (f64::from(known.runs) + DECLARED_WEIGHT);
        let blended = trust * center + (1.0 - trust) * base.ln();
        let scale = 1.0 + trust * (known.scale - 1.0);
        let typical = bound(blended.exp() * scale, base);
        let short = if known.runs < MIN_RUNS { 0.0 } else { (center - var.sqrt()).exp() };
        Estimate { typical: secs(typical), short: secs(short.min(typical)) }
    }

    /// Takes in a run that ended well. Failed runs teach nothing: an instance that fails everything
    /// at once would make all work look short.
    pub fn on_run(&mut self, key: EstimateKey, declared: Duration, ran_for: Duration) {
        if self.known.len() >= MAX_KINDS && !self.known.contains_key(&key) {
            return;
        }
        let base = base_secs(declared);
        let ran = bound(ran_for.as_secs_f64().max(MIN_SECS), base);
        let known = self.known.entry(key).or_default();
        let weight = (1.0 / (f64::from(known.runs) + 1.0)).max(NEWEST_WEIGHT);
        if known.runs >= MIN_RUNS {
            let (center, _) = predict(known, base);
            known.scale += weight * (ran / center.exp() - known.scale);
        } else {
            known.scale = 1.0;
        }
        known.factor.add((ran / base).ln(), weight);
        known.plain.add(ran.ln(), weight);
        known.runs = known.runs.saturating_add(1);
    }

    /// Expected size of work that declares `declared`. Slots and accelerators are taken as declared:
    /// they are handed out whole.
    pub fn size(&self, key: EstimateKey, declared: &Resources) -> Resources {
        let Some(known) = self.sizes.get(&key) else { return *declared };
        let trust = f64::from(known.reports) / (f64::from(known.reports) + DECLARED_WEIGHT);
        Resources {
            processors: known.processors.predict(declared.processors, trust),
            memory: known.memory.predict(declared.memory, trust),
            ..*declared
        }
    }

    /// Takes in the size that work was reported to use at its most.
    pub fn on_size(&mut self, key: EstimateKey, declared: &Resources, used: &Resources) {
        if self.sizes.len() >= MAX_KINDS && !self.sizes.contains_key(&key) {
            return;
        }
        let known = self.sizes.entry(key).or_default();
        let weight = (1.0 / (f64::from(known.reports) + 1.0)).max(NEWEST_WEIGHT);
        known.processors.add(declared.processors, used.processors, weight);
        known.memory.add(declared.memory, used.memory, weight);
        known.reports = known.reports.saturating_add(1);
    }

    /// Kinds of work known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Logarithm of the predicted seconds, and its variance.
fn predict(known: &Known, base: f64) -> (f64, f64) {
    if known.factor.var <= known.plain.var {
        (base.ln() + known.factor.mean, known.factor.var)
    } else {
        (known.plain.mean, known.plain.var)
    }
}

fn bound_size(used: f64, declared: u64) -> f64 {
    let declared = declared as f64;
    used.clamp(declared / MAX_SIZE_FACTOR, declared * MAX_SIZE_FACTOR)
}

fn base_secs(declared: Duration) -> f64 {
    let declared = if declared.is_zero() { DEFAULT_RUN } else { declared };
    declared.as_secs_f64().max(MIN_SECS)
}

fn bound(value: f64, base: f64) -> f64 {
    value.clamp(base / MAX_FACTOR, base * MAX_FACTOR)
}

fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
