//! How many slots to hold above the mean load: the least that carries the bursts and the loss of
//! one availability zone.
//!
//! Demand is recorded per pool. A plan is found by replaying the record as a fluid: each pool has
//! its own slots, and a shared buffer lends to those that are short, after the time that a move
//! takes. Bursts come in turn, so one shared buffer serves all pools; a headroom in each pool would
//! hold the same slots once a pool.

use crate::ids::*;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of one sample of demand.
pub const SAMPLE: Duration = Duration::from_secs(1);
/// Samples kept for a pool: 15 minutes.
pub const MAX_SAMPLES: usize = 900;
/// Samples over which the present need is averaged; single seconds scatter.
const NEED_SAMPLES: usize = 3;
/// A load that is this many times the average is a burst, not scatter, and counts at once.
const JUMP: f64 = 1.3;
/// Waiting work calls for moves as if it were worked off within this time, in seconds. Most of it
/// may wait; within 1 s it called for 1.7 times the least moves.
const NEED_DRAIN_SECS: f64 = 60.0;
/// Waiting work is to be worked off within this time, in seconds.
const DRAIN_SECS: f64 = 1.0;
/// Parts of a pool's peak, in percent, that its own slots may cover. Quantiles of the load left out
/// everything between the quiet level and the peak, because bursts have two levels.
const OWN_PARTS: [u32; 15] = [10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110, 120, 130, 140, 150];
/// Part of the samples in which a pool may exceed its allowed wait.
const ALLOWED_MISSES: f64 = 0.01;

/// Demand of one pool in one sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Slot-seconds of work that arrived, per second.
    pub offered: f64,
    /// Slots in use.
    pub used: u32,
    /// Expected slot-seconds of waiting work.
    pub waiting: f64,
}

/// Recorded demand of all pools.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pools: IndexMap<PoolId, VecDeque<Sample>>,
}

impl Demand {
    /// No record yet.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Takes in one sample of each pool; call it every `SAMPLE`.
    pub fn observe(&mut self, pool: &PoolId, sample: Sample) {
        let samples = self.pools.entry(pool.clone()).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Slots that a pool needs now: its offered load, refused work included, and a part of what
    /// waits. The slots in use are no measure of it: they cannot exceed what the pool has.
    pub fn need(&self, pool: &PoolId) -> u32 {
        let Some(samples) = self.pools.get(pool) else { return 0 };
        let recent = samples.iter().rev().take(NEED_SAMPLES);
        let offered: f64 = recent.clone().map(|sample| sample.offered).sum();
        let newest = samples.back().copied().unwrap_or_default();
        let average = offered / recent.len().max(1) as f64;
        let load = if newest.offered > JUMP * average { jumped(samples) } else { average };
        (load + newest.waiting / NEED_DRAIN_SECS).ceil() as u32
    }

    /// Mean offered load of a pool in slots.
    pub fn mean(&self, pool: &PoolId) -> f64 {
        let Some(samples) = self.pools.get(pool) else { return 0.0 };
        let sum: f64 = samples.iter().map(|sample| sample.offered).sum();
        sum / samples.len().max(1) as f64
    }

    /// Samples that every pool has.
    fn len(&self) -> usize {
        self.pools.values().map(VecDeque::len).min().unwrap_or(0)
    }

    /// The newest offered loads, one list a pool, of equal length.
    fn offered(&self) -> Vec<Vec<f64>> {
        let len = self.len();
        let newest = |samples: &VecDeque<Sample>| {
            samples.iter().skip(samples.len() - len).map(|sample| sample.offered).collect()
        };
        self.pools.values().map(newest).collect()
    }
}

/// Load after a jump: the newest sample, evened out with the one before when that had the burst too.
fn jumped(samples: &VecDeque<Sample>) -> f64 {
    let mut newest = samples.iter().rev().map(|sample| sample.offered);
    let (last, before) = (newest.next().unwrap_or(0.0), newest.next().unwrap_or(0.0));
    if before * JUMP > last { (last + before) / 2.0 } else { last }
}

/// What a buffer has to carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Availability zones over which instances are spread evenly.
    pub zones: u32,
    /// Slots of one instance; whole instances are held.
    pub instance_slots: u32,
    /// Time from a pool being short to a lent instance serving in it.
    pub lend_delay: Duration,
    /// Longest wait of urgent work that counts as carried.
    pub wait: Duration,
    /// Part of the load that is urgent; it starts first.
    pub urgent_percent: u32,
    /// Longest wait of other work that counts as carried.
    pub other_wait: Duration,
    /// Most slots above the mean load, in percent of it; from the profiles' `buffer_percent`.
    pub max_percent: u32,
}

/// Which requirement sets the size of the buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BindingConstraint {
    /// The bursts.
    Bursts,
    /// The loss of one zone.
    ZoneLoss,
    /// The profiles' upper limit; less is carried than wanted.
    Limit,
}

/// Slots to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Buffer {
    /// Own slots of each pool.
    pub own: IndexMap<PoolId, u32>,
    /// Slots of the shared buffer.
    pub shared: u32,
    /// Mean load in slots.
    pub mean: f64,
    /// Slots held above the mean load: what the buffer costs all the time.
    pub cost: f64,
    pub binding: BindingConstraint,
}

/// The least buffer for the recorded demand; `None` while there is no record.
pub fn smallest_buffer(demand: &Demand, terms: &Requirements) -> Option<Buffer> {
    let offered = demand.offered();
    if demand.len() == 0 {
        return None;
    }
    // With one zone gone, this part of all slots is left.
    let zones = f64::from(terms.zones.max(1));
    let left = if terms.zones < 2 { 1.0 } else { (zones - 1.0) / zones };
    let (bursts, _, _) = least_total(&offered, 1.0, terms)?;
    let (total, own, shared) = least_total(&offered, left, terms)?;
    let mean: f64 = demand.pools.keys().map(|pool| demand.mean(pool)).sum();
    let limit = (mean * (1.0 + f64::from(terms.max_percent) / 100.0)) as u32;
    let own_total = total - shared;
    let binding = if total > limit {
        BindingConstraint::Limit
    } else if total > bursts {
        BindingConstraint::ZoneLoss
    } else {
        BindingConstraint::Bursts
    };
    let shared = total.min(limit.max(own_total)) - own_total;
    let cost = f64::from(own_total + shared) - mean;
    let own = demand.pools.keys().cloned().zip(own).collect();
    Some(Buffer { own, shared, mean, cost, binding })
}

/// The least slots that carry the record when a part `left` of them is in service: all slots, own
/// slots of each pool, shared slots.
fn least_total(
    offered: &[Vec<f64>],
    left: f64,
    terms: &Requirements,
) -> Option<(u32, Vec<u32>, u32)> {
    let peaks: Vec<f64> = offered.iter().map(|pool| quantile_of(pool, 100)).collect();
    let candidates = OWN_PARTS.iter().filter_map(|part| {
        let part = f64::from(*part) / 100.0;
        let own: Vec<u32> = peaks.iter().map(|peak| whole(peak * part, terms)).collect();
        let shared = least_shared(offered, &own, left, terms)?;
        Some((own.iter().sum::<u32>() + shared, own, shared))
    });
    candidates.min_by_key(|(total, _, _)| *total)
}

/// The least shared buffer that carries the record; `None` when none does.
fn least_shared(offered: &[Vec<f64>], own: &[u32], left: f64, terms: &Requirements) -> Option<u32> {
    let step = terms.instance_slots.max(1);
    let most: f64 = offered.iter().map(|pool| quantile_of(pool, 100)).sum();
    let own: Vec<f64> = own.iter().map(|own| f64::from(*own) * left).collect();
    let serving =
        |shared: u32| (f64::from(shared) * left / f64::from(step)).floor() * f64::from(step);
    let (mut low, mut high) = (0, (most / left / f64::from(step)).ceil() as u32 + 1);
    if !carries(offered, &own, serving(high * step), terms) {
        return None;
    }
    while low < high {
        let middle = (low + high) / 2;
        if carries(offered, &own, serving(middle * step), terms) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    Some(low * step)
}

/// Waiting slot-seconds of one pool in the replay.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    urgent: f64,
    other: f64,
}

impl Backlog {
    /// One sample: urgent work is served first. False when a wait exceeds what is allowed; the work
    /// beyond it is refused and does not burden later samples.
    fn step(&mut self, offered: f64, slots: f64, terms: &Requirements) -> bool {
        let urgent = offered * f64::from(terms.urgent_percent) / 100.0;
        self.urgent += urgent;
        self.other += offered - urgent;
        let first = self.urgent.min(slots);
        self.urgent -= first;
        self.other = f64::max(self.other - (slots - first), 0.0);
        let most_urgent = terms.wait.as_secs_f64() * slots;
        let most_other = terms.other_wait.as_secs_f64() * slots;
        let carried = self.urgent <= most_urgent && self.other <= most_other;
        self.urgent = self.urgent.min(most_urgent);
        self.other = self.other.min(most_other);
        carried
    }
}

/// Whether own slots and a shared buffer keep nearly all samples within the allowed wait.
fn carries(offered: &[Vec<f64>], own: &[f64], shared: f64, terms: &Requirements) -> bool {
    let len = offered.first().map_or(0, Vec::len);
    let delay = (terms.lend_delay.as_secs_f64() / SAMPLE.as_secs_f64()).ceil() as usize;
    let allowed = (ALLOWED_MISSES * (len * offered.len()) as f64) as usize;
    let mut lent = vec![0.0; own.len()];
    let mut under_way: VecDeque<Vec<f64>> = VecDeque::from(vec![vec![0.0; own.len()]; delay]);
    let mut backlogs = vec![Backlog::default(); own.len()];
    let mut misses = 0;
    for t in 0..len {
        for (pool, arrived) in under_way.pop_front().into_iter().flatten().enumerate() {
            lent[pool] += arrived;
        }
        for pool in 0..own.len() {
            let slots = own[pool] + lent[pool];
            misses += usize::from(!backlogs[pool].step(offered[pool][t], slots, terms));
        }
        if misses > allowed {
            return false;
        }
        let load: Vec<f64> = offered.iter().map(|pool| pool[t]).collect();
        let backlog: Vec<f64> = backlogs.iter().map(|b| b.urgent + b.other).collect();
        under_way.push_back(lend(&load, &backlog, own, &mut lent, &under_way, shared, terms));
    }
    true
}

/// Starts moves to pools that are short: free slots first, then what other pools do not need.
fn lend(
    load: &[f64],
    backlog: &[f64],
    own: &[f64],
    lent: &mut [f64],
    under_way: &VecDeque<Vec<f64>>,
    shared: f64,
    terms: &Requirements,
) -> Vec<f64> {
    let step = f64::from(terms.instance_slots.max(1));
    let mut coming: Vec<f64> =
        (0..own.len()).map(|pool| under_way.iter().map(|moves| moves[pool]).sum()).collect();
    let mut free = shared - lent.iter().sum::<f64>() - coming.iter().sum::<f64>();
    let mut starts = vec![0.0; own.len()];
    for pool in 0..own.len() {
        let need = load[pool] + backlog[pool] / DRAIN_SECS;
        let mut missing = need - own[pool] - lent[pool] - coming[pool];
        while missing > 0.0 {
            if free < step && !reclaim(load, own, lent, pool, step) {
                break;
            }
            free = if free >= step { free - step } else { free };
            starts[pool] += step;
            coming[pool] += step;
            missing -= step;
        }
    }
    starts
}

/// Takes one lent instance from a pool that does not need it.
fn reclaim(load: &[f64], own: &[f64], lent: &mut [f64], but: usize, step: f64) -> bool {
    let unneeded =
        |pool: &usize| lent[*pool] >= step && load[*pool] + step <= own[*pool] + lent[*pool];
    let donor = (0..own.len()).filter(|pool| *pool != but).find(unneeded);
    if let Some(donor) = donor {
        lent[donor] -= step;
    }
    donor.is_some()
}

/// Slots rounded up to whole instances.
fn whole(slots: f64, terms: &Requirements) -> u32 {
    let step = terms.instance_slots.max(1);
    (slots / f64::from(step)).ceil() as u32 * step
}

fn quantile_of(values: &[f64], percent: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0.0)
}
