//! Weighted fair sharing of a pool: selects the team and class to serve next.
//!
//! Each team has a virtual time: the slot-seconds it has used, divided by its weight. The team with
//! the lowest virtual time is furthest below its share. The slot-seconds of work are those of its
//! dominant resource. Work is charged at most `MAX_UPFRONT_CHARGE` when it starts and continuously
//! once it runs longer ("overtime"), so a wrong estimate distorts the virtual time by at most that
//! amount. Among teams whose virtual times are close together, the class of the work decides; a
//! team further ahead of its share gains no precedence from its class.

use crate::ids::Time;
use crate::queue::CLASS_COUNT;
use std::collections::BTreeSet;
use std::time::Duration;

/// Slot-seconds divided by weight, in units of `1 / VIRTUAL_TIME_SCALE`. A u64 overflows after
/// 5.8 years for one team of weight 1 on 1,000 slots.
pub type VirtualTime = u64;

/// Units of virtual time per slot-second at weight 1.
const VIRTUAL_TIME_SCALE: f64 = 1e8;
/// Maximum run time that is charged when work starts.
pub const MAX_UPFRONT_CHARGE: Duration = Duration::from_secs(1);
/// Lead over the team with the lowest virtual time within which the class decides instead of the
/// share, in seconds of the full pool. Over 10 s, a lead of 0.2 s is 2% of a share; the allowed
/// deviation is 5%.
const CLASS_LEAD_SECS: f64 = 0.2;
/// Upper bound on the typical run time that the credit of a returning team is calculated from.
const MAX_CATCH_UP_SECS: f64 = 2.0;
/// Longest gap without work for which a team is compensated. Work is spread over the entry
/// instances, so a team with a backlog often has no work at one of them for a moment.
const MAX_IDLE_GAP_SECS: f64 = 4.0;
/// Upper bound on the compensation for gaps, in seconds of the full pool. It is taken from the
/// other teams and amounts to 2% of their share over 10 s.
const MAX_IDLE_GAP_POOL_SECS: f64 = 0.2;

/// Resources that work needs or an instance has. Each one is limited separately.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Concurrent tasks and requests.
    pub slots: u32,
    /// Processors, in thousandths.
    pub processors: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// One slot and nothing else.
    pub const ONE_SLOT: Resources =
        Resources { slots: 1, processors: 0, memory: 0, accelerators: 0 };

    /// Whether `room` has enough of every resource.
    pub fn fits(&self, room: &Resources) -> bool {
        self.slots <= room.slots
            && self.processors <= room.processors
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// Adds each resource.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.saturating_add(other.slots),
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Multiplies each resource.
    pub fn times(&self, count: u64) -> Resources {
        let count_u32 = u32::try_from(count).unwrap_or(u32::MAX);
        Resources {
            slots: self.slots.saturating_mul(count_u32),
            processors: self.processors.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count_u32),
        }
    }

    /// Subtracts each resource, down to zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.saturating_sub(other.slots),
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger one of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.max(other.slots),
            processors: self.processors.max(other.processors),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the fraction of `total` that the dominant resource takes, expressed in slots.
    pub fn dominant_slots(&self, total: &Resources) -> f64 {
        let slots = f64::from(total.slots.max(1));
        let fraction = |need: f64, total: f64| if total > 0.0 { need / total } else { 0.0 };
        let largest = fraction(f64::from(self.slots), slots)
            .max(fraction(self.processors as f64, total.processors as f64))
            .max(fraction(self.memory as f64, total.memory as f64))
            .max(fraction(f64::from(self.accelerators), f64::from(total.accelerators)));
        largest * slots
    }
}

/// Virtual time and activity of one team.
#[derive(Clone, Debug, Default)]
struct TeamUsage {
    virtual_time: VirtualTime,
    /// Classes with waiting work. Invariant: bit `c` is set exactly when the set `ready[c]` of
    /// `FairShares` contains `(virtual_time, team)`.
    ready: u8,
    weight: u32,
    running: u32,
    /// Slots of work in overtime, which has been charged up to `overtime_charged_at`.
    overtime_slots: f64,
    overtime_charged_at: Time,
}

impl TeamUsage {
    fn is_active(&self) -> bool {
        self.ready != 0 || self.running > 0
    }
}

/// Shares of the teams in one pool. The caller identifies teams by index.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    teams: Vec<TeamUsage>,
    ready: [BTreeSet<(VirtualTime, u32)>; CLASS_COUNT],
    /// Highest virtual time at which any team was served. Teams that become active start near it.
    highest_served: VirtualTime,
    active_weight: u64,
}

impl FairShares {
    /// Creates an empty set of shares.
    pub fn new() -> FairShares {
        FairShares::default()
    }

    /// Returns the fraction of the pool that a team is entitled to among the active teams and
    /// itself.
    pub fn share_fraction(&self, team: u32, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let own = self.teams.get(team as usize).filter(|usage| usage.is_active());
        let others = self.active_weight as f64 - own.map_or(0.0, |own| f64::from(own.weight));
        weight / (weight + others)
    }

    /// Marks that a team has waiting work in a class.
    ///
    /// `slots` is the size of the pool and `run_secs` the typical run time. A team that had no
    /// waiting work gets a credit for the slots of its share that others use, so that it regains
    /// them within about one run time, and for a short gap. It gets no credit for a longer time
    /// without work.
    pub fn set_ready(&mut self, team: u32, class: usize, weight: u32, slots: u32, run_secs: f64) {
        self.ensure_team(team);
        if self.teams[team as usize].ready == 0 {
            self.activate(team, weight, slots, run_secs);
        }
        let usage = &mut self.teams[team as usize];
        if usage.ready & (1 << class) == 0 {
            usage.ready |= 1 << class;
            self.ready[class].insert((usage.virtual_time, team));
        }
    }

    /// Marks that a team has no more waiting work in a class.
    pub fn clear_ready(&mut self, team: u32, class: usize) {
        let usage = &mut self.teams[team as usize];
        if usage.ready & (1 << class) != 0 {
            usage.ready &= !(1 << class);
            self.ready[class].remove(&(usage.virtual_time, team));
            self.deactivate_if_idle(team);
        }
    }

    /// Returns the team to serve next and the class of its work.
    ///
    /// `order` lists the classes by precedence; `slots` is the size of the pool.
    pub fn pick(&self, order: &[usize], slots: u32) -> Option<(u32, usize)> {
        let mut heads = [None; CLASS_COUNT];
        for class in order {
            heads[*class] = self.ready[*class].first().copied();
        }
        let lowest = heads.iter().flatten().map(|(virtual_time, _)| *virtual_time).min()?;
        let lead = CLASS_LEAD_SECS * f64::from(slots) / (self.active_weight.max(1) as f64);
        let limit = lowest.saturating_add((lead * VIRTUAL_TIME_SCALE) as VirtualTime);
        let class = order
            .iter()
            .find(|c| heads[**c].is_some_and(|(virtual_time, _)| virtual_time <= limit))?;
        heads[*class].map(|(_, team)| (team, *class))
    }

    /// Records that work of a team starts and charges `slot_secs` for it.
    pub fn start(&mut self, team: u32, weight: u32, slot_secs: f64) {
        self.ensure_team(team);
        let virtual_time = self.teams[team as usize].virtual_time;
        self.highest_served = self.highest_served.max(virtual_time);
        if !self.teams[team as usize].is_active() {
            self.active_weight += u64::from(weight.max(1));
            self.teams[team as usize].weight = weight.max(1);
        }
        self.teams[team as usize].running += 1;
        self.charge(team, weight, slot_secs);
    }

    /// Charges a team for slot-seconds; a negative value is a refund.
    pub fn charge(&mut self, team: u32, weight: u32, slot_secs: f64) {
        let units =
            (slot_secs.abs() / f64::from(weight.max(1)) * VIRTUAL_TIME_SCALE) as VirtualTime;
        let virtual_time = self.teams[team as usize].virtual_time;
        let virtual_time = if slot_secs < 0.0 {
            virtual_time.saturating_sub(units)
        } else {
            virtual_time.saturating_add(units)
        };
        self.set_virtual_time(team, virtual_time);
    }

    /// Starts charging continuously for work whose upfront charge ended at `since`.
    pub fn add_overtime(&mut self, now: Time, team: u32, slots: f64, since: Time) {
        let usage = &mut self.teams[team as usize];
        let secs = now.saturating_sub(usage.overtime_charged_at).as_secs_f64();
        let before = usage.overtime_slots * secs;
        usage.overtime_charged_at = now;
        usage.overtime_slots += slots;
        let weight = usage.weight;
        self.charge(team, weight, before + slots * now.saturating_sub(since).as_secs_f64());
    }

    /// Charges for work in overtime that has ended and stops charging for it.
    pub fn end_overtime(&mut self, now: Time, team: u32, slots: f64) {
        self.charge_team_overtime(now, team);
        let usage = &mut self.teams[team as usize];
        usage.overtime_slots = f64::max(usage.overtime_slots - slots, 0.0);
    }

    /// Charges all teams for their work in overtime up to `now`.
    pub fn charge_all_overtime(&mut self, now: Time) {
        for team in 0..self.teams.len() {
            self.charge_team_overtime(now, team as u32);
        }
    }

    fn charge_team_overtime(&mut self, now: Time, team: u32) {
        let usage = &mut self.teams[team as usize];
        let secs = now.saturating_sub(usage.overtime_charged_at).as_secs_f64();
        usage.overtime_charged_at = now;
        let (weight, slots) = (usage.weight, usage.overtime_slots);
        if slots > 0.0 {
            self.charge(team, weight, slots * secs);
        }
    }

    /// Records that work of a team has ended.
    pub fn end(&mut self, team: u32) {
        let usage = &mut self.teams[team as usize];
        usage.running = usage.running.saturating_sub(1);
        self.deactivate_if_idle(team);
    }

    /// Number of pieces of work of a team that are running.
    pub fn running(&self, team: u32) -> u32 {
        self.teams.get(team as usize).map_or(0, |usage| usage.running)
    }

    fn ensure_team(&mut self, team: u32) {
        let len = team as usize + 1;
        if self.teams.len() < len {
            self.teams.resize(len, TeamUsage::default());
        }
    }

    /// Limits how far the virtual time of a team that has waiting work again lies behind the
    /// others.
    fn activate(&mut self, team: u32, weight: u32, slots: u32, run_secs: f64) {
        let weight = weight.max(1);
        let slots = f64::from(slots);
        let entitled_slots = self.share_fraction(team, weight) * slots;
        let gap = (entitled_slots * MAX_IDLE_GAP_SECS).min(slots * MAX_IDLE_GAP_POOL_SECS);
        let credit = gap.max(entitled_slots * run_secs.min(MAX_CATCH_UP_SECS)) / f64::from(weight)
            * VIRTUAL_TIME_SCALE;
        let usage = &mut self.teams[team as usize];
        usage.virtual_time =
            usage.virtual_time.max(self.highest_served.saturating_sub(credit as VirtualTime));
        if !usage.is_active() {
            usage.weight = weight;
            self.active_weight += u64::from(weight);
        }
    }

    fn deactivate_if_idle(&mut self, team: u32) {
        let usage = &self.teams[team as usize];
        if !usage.is_active() {
            self.active_weight -= u64::from(usage.weight);
        }
    }

    fn set_virtual_time(&mut self, team: u32, virtual_time: VirtualTime) {
        let usage = &mut self.teams[team as usize];
        let old = usage.virtual_time;
        usage.virtual_time = virtual_time;
        for class in 0..CLASS_COUNT {
            if usage.ready & (1 << class) != 0 {
                self.ready[class].remove(&(old, team));
                self.ready[class].insert((virtual_time, team));
            }
        }
    }
}
