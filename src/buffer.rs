//! Records the demand of each pool and calculates how many slots to hold above the mean load: the
//! smallest number that is enough for load bursts and for the loss of one availability zone.
//!
//! The calculation replays the recorded demand as a fluid model. Each pool has slots of its own,
//! and a shared buffer lends slots to pools that are short, after the time that a move takes. Pools
//! burst at different times, so one shared buffer can serve all of them; fixed headroom would have
//! to be held in every pool.

use crate::ids::*;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval between two demand samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of samples kept per pool: 15 minutes.
pub const MAX_SAMPLES: usize = 900;
/// Number of samples over which the current need is averaged, because single samples vary widely.
const RECENT_SAMPLES: usize = 3;
/// Ratio to the average above which the newest sample is treated as a burst and not averaged.
const BURST_FACTOR: f64 = 1.3;
/// Time within which the slots that a pool needs now must work off its waiting work, in seconds.
/// Most waiting work is not urgent; a time of 1 s caused 1.7 times the necessary moves.
const NEED_BACKLOG_DRAIN_SECS: f64 = 60.0;
/// Time within which the slots that the replay moves must work off the waiting work, in seconds.
const REPLAY_BACKLOG_DRAIN_SECS: f64 = 1.0;
/// Candidates for a pool's own slots, in percent of its peak load. Quantiles of the load are not
/// used: load with bursts has two levels, and quantiles give no candidate between them.
const OWN_SLOT_PERCENTS: [u32; 15] =
    [10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110, 120, 130, 140, 150];
/// Maximum fraction of the samples in which a pool may exceed the allowed wait.
const MAX_MISS_FRACTION: f64 = 0.01;

/// Demand of one pool in one sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Arrived work in slot-seconds per second.
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
    /// Creates an empty record.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Records one sample of a pool. Must be called for each pool once per `SAMPLE_INTERVAL`.
    pub fn observe(&mut self, pool: &PoolId, sample: Sample) {
        let samples = self.pools.entry(pool.clone()).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Returns the slots that a pool needs now, calculated from its offered load, including refused
    /// work, and a fraction of its waiting work. The slots in use would understate the need, as
    /// they cannot exceed the size of the pool.
    pub fn need(&self, pool: &PoolId) -> u32 {
        let Some(samples) = self.pools.get(pool) else { return 0 };
        let recent = samples.iter().rev().take(RECENT_SAMPLES);
        let offered: f64 = recent.clone().map(|sample| sample.offered).sum();
        let newest = samples.back().copied().unwrap_or_default();
        let average = offered / recent.len().max(1) as f64;
        let load =
            if newest.offered > BURST_FACTOR * average { burst_load(samples) } else { average };
        (load + newest.waiting / NEED_BACKLOG_DRAIN_SECS).ceil() as u32
    }

    /// Returns the mean offered load of a pool in slots.
    pub fn mean(&self, pool: &PoolId) -> f64 {
        let Some(samples) = self.pools.get(pool) else { return 0.0 };
        let sum: f64 = samples.iter().map(|sample| sample.offered).sum();
        sum / samples.len().max(1) as f64
    }

    /// Number of samples that are available for every pool.
    fn len(&self) -> usize {
        self.pools.values().map(VecDeque::len).min().unwrap_or(0)
    }

    /// Returns the newest offered loads, one list per pool, all of equal length.
    fn offered(&self) -> Vec<Vec<f64>> {
        let len = self.len();
        let newest = |samples: &VecDeque<Sample>| {
            samples.iter().skip(samples.len() - len).map(|sample| sample.offered).collect()
        };
        self.pools.values().map(newest).collect()
    }
}

/// Returns the load during a burst: the newest sample, averaged with the previous one if that is
/// part of the burst.
fn burst_load(samples: &VecDeque<Sample>) -> f64 {
    let mut newest = samples.iter().rev().map(|sample| sample.offered);
    let (last, before) = (newest.next().unwrap_or(0.0), newest.next().unwrap_or(0.0));
    if before * BURST_FACTOR > last { (last + before) / 2.0 } else { last }
}

/// Requirements that a buffer must meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Number of availability zones; instances are assumed to be spread evenly over them.
    pub zones: u32,
    /// Slots of one instance. Only whole instances can be held.
    pub instance_slots: u32,
    /// Time from the start of a shortage until a lent instance serves in the pool.
    pub lend_delay: Duration,
    /// Longest acceptable wait of urgent work.
    pub max_urgent_wait: Duration,
    /// Percentage of the load that is urgent. Urgent work starts first.
    pub urgent_percent: u32,
    /// Longest acceptable wait of other work.
    pub max_other_wait: Duration,
    /// Maximum number of slots above the mean load, in percent of it; from `buffer_percent` of the
    /// profiles.
    pub max_percent: u32,
}

/// Requirement that determines the size of the buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BindingConstraint {
    /// Load bursts.
    Bursts,
    /// Loss of one zone.
    ZoneLoss,
    /// Upper limit of the profiles; the buffer does not meet the other requirements.
    Limit,
}

/// Number of slots to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Buffer {
    /// Own slots of each pool.
    pub own: IndexMap<PoolId, u32>,
    /// Slots of the shared buffer.
    pub shared: u32,
    /// Mean load in slots.
    pub mean: f64,
    /// Slots held above the mean load; the permanent cost of the buffer.
    pub cost: f64,
    pub binding: BindingConstraint,
}

/// Returns the smallest buffer for the recorded demand, or `None` if nothing was recorded.
pub fn smallest_buffer(demand: &Demand, requirements: &Requirements) -> Option<Buffer> {
    let offered = demand.offered();
    if demand.len() == 0 {
        return None;
    }
    // Fraction of all slots that remains after the loss of one zone.
    let zones = f64::from(requirements.zones.max(1));
    let remaining_fraction = if requirements.zones < 2 { 1.0 } else { (zones - 1.0) / zones };
    let (bursts, _, _) = smallest_total(&offered, 1.0, requirements)?;
    let (total, own, shared) = smallest_total(&offered, remaining_fraction, requirements)?;
    let mean: f64 = demand.pools.keys().map(|pool| demand.mean(pool)).sum();
    let limit = (mean * (1.0 + f64::from(requirements.max_percent) / 100.0)) as u32;
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

/// Returns the smallest number of slots that is enough for the recorded demand while only
/// `remaining_fraction` of them is in service: the total, the own slots of each pool, and the
/// shared slots.
fn smallest_total(
    offered: &[Vec<f64>],
    remaining_fraction: f64,
    requirements: &Requirements,
) -> Option<(u32, Vec<u32>, u32)> {
    let peak_loads: Vec<f64> = offered.iter().map(|pool| quantile_of(pool, 100)).collect();
    let candidates = OWN_SLOT_PERCENTS.iter().filter_map(|fraction| {
        let fraction = f64::from(*fraction) / 100.0;
        let own: Vec<u32> = peak_loads
            .iter()
            .map(|peak| round_up_to_instances(peak * fraction, requirements))
            .collect();
        let shared = smallest_shared(offered, &own, remaining_fraction, requirements)?;
        Some((own.iter().sum::<u32>() + shared, own, shared))
    });
    candidates.min_by_key(|(total, _, _)| *total)
}

/// Returns the smallest shared buffer that is enough for the recorded demand, or `None` if none is.
fn smallest_shared(
    offered: &[Vec<f64>],
    own: &[u32],
    remaining_fraction: f64,
    requirements: &Requirements,
) -> Option<u32> {
    let step = requirements.instance_slots.max(1);
    let peak_sum: f64 = offered.iter().map(|pool| quantile_of(pool, 100)).sum();
    let own: Vec<f64> = own.iter().map(|own| f64::from(*own) * remaining_fraction).collect();
    let serving = |shared: u32| {
        (f64::from(shared) * remaining_fraction / f64::from(step)).floor() * f64::from(step)
    };
    let (mut low, mut high) =
        (0, (peak_sum / remaining_fraction / f64::from(step)).ceil() as u32 + 1);
    if !is_sufficient(offered, &own, serving(high * step), requirements) {
        return None;
    }
    while low < high {
        let middle = (low + high) / 2;
        if is_sufficient(offered, &own, serving(middle * step), requirements) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    Some(low * step)
}

/// Waiting work of one pool in the replay, in slot-seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    urgent: f64,
    other: f64,
}

impl Backlog {
    /// Replays one sample; urgent work is served first. Returns false if a wait exceeds its limit.
    /// The work in excess of the limit counts as refused and does not affect later samples.
    fn step(&mut self, offered: f64, slots: f64, requirements: &Requirements) -> bool {
        let urgent = offered * f64::from(requirements.urgent_percent) / 100.0;
        self.urgent += urgent;
        self.other += offered - urgent;
        let first = self.urgent.min(slots);
        self.urgent -= first;
        self.other = f64::max(self.other - (slots - first), 0.0);
        let max_urgent = requirements.max_urgent_wait.as_secs_f64() * slots;
        let max_other = requirements.max_other_wait.as_secs_f64() * slots;
        let within_limits = self.urgent <= max_urgent && self.other <= max_other;
        self.urgent = self.urgent.min(max_urgent);
        self.other = self.other.min(max_other);
        within_limits
    }
}

/// Whether the own slots and a shared buffer keep all but `MAX_MISS_FRACTION` of the samples within
/// the allowed wait.
fn is_sufficient(
    offered: &[Vec<f64>],
    own: &[f64],
    shared: f64,
    requirements: &Requirements,
) -> bool {
    let len = offered.first().map_or(0, Vec::len);
    let delay =
        (requirements.lend_delay.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64()).ceil() as usize;
    let allowed = (MAX_MISS_FRACTION * (len * offered.len()) as f64) as usize;
    let mut lent = vec![0.0; own.len()];
    let mut pending_moves: VecDeque<Vec<f64>> = VecDeque::from(vec![vec![0.0; own.len()]; delay]);
    let mut backlogs = vec![Backlog::default(); own.len()];
    let mut misses = 0;
    for t in 0..len {
        for (pool, arrived) in pending_moves.pop_front().into_iter().flatten().enumerate() {
            lent[pool] += arrived;
        }
        for pool in 0..own.len() {
            let slots = own[pool] + lent[pool];
            misses += usize::from(!backlogs[pool].step(offered[pool][t], slots, requirements));
        }
        if misses > allowed {
            return false;
        }
        let load: Vec<f64> = offered.iter().map(|pool| pool[t]).collect();
        let backlog: Vec<f64> = backlogs.iter().map(|b| b.urgent + b.other).collect();
        pending_moves.push_back(start_moves(
            &load,
            &backlog,
            own,
            &mut lent,
            &pending_moves,
            shared,
            requirements,
        ));
    }
    true
}

/// Starts moves to the pools that are short and returns the slots moved to each pool. Free slots of
/// the shared buffer are used first, then lent slots that other pools do not need.
fn start_moves(
    load: &[f64],
    backlog: &[f64],
    own: &[f64],
    lent: &mut [f64],
    pending_moves: &VecDeque<Vec<f64>>,
    shared: f64,
    requirements: &Requirements,
) -> Vec<f64> {
    let step = f64::from(requirements.instance_slots.max(1));
    let mut pending: Vec<f64> =
        (0..own.len()).map(|pool| pending_moves.iter().map(|moves| moves[pool]).sum()).collect();
    let mut free = shared - lent.iter().sum::<f64>() - pending.iter().sum::<f64>();
    let mut starts = vec![0.0; own.len()];
    for pool in 0..own.len() {
        let need = load[pool] + backlog[pool] / REPLAY_BACKLOG_DRAIN_SECS;
        let mut missing = need - own[pool] - lent[pool] - pending[pool];
        while missing > 0.0 {
            if free < step && !take_unneeded(load, own, lent, pool, step) {
                break;
            }
            free = if free >= step { free - step } else { free };
            starts[pool] += step;
            pending[pool] += step;
            missing -= step;
        }
    }
    starts
}

/// Takes one lent instance from a pool that does not need it. Returns whether there was one.
fn take_unneeded(load: &[f64], own: &[f64], lent: &mut [f64], receiver: usize, step: f64) -> bool {
    let unneeded =
        |pool: &usize| lent[*pool] >= step && load[*pool] + step <= own[*pool] + lent[*pool];
    let donor = (0..own.len()).filter(|pool| *pool != receiver).find(unneeded);
    if let Some(donor) = donor {
        lent[donor] -= step;
    }
    donor.is_some()
}

/// Rounds slots up to whole instances.
fn round_up_to_instances(slots: f64, requirements: &Requirements) -> u32 {
    let step = requirements.instance_slots.max(1);
    (slots / f64::from(step)).ceil() as u32 * step
}

fn quantile_of(values: &[f64], percent: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0.0)
}
