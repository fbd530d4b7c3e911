//! Which team and class of a pool goes next, by weighted shares.
//!
//! Each team has a tag: slot-seconds used, divided by its weight. The team with the lowest tag is
//! furthest below its share. Work is charged at most `PREPAID` when it starts; what it runs longer is
//! charged as it runs, so a wrong estimate distorts the tag by at most that time. A work's slot-seconds are those of its
//! dominant resource. Classes order the work of teams whose tags are close together; a team
//! ahead of its share gets no precedence from its class.

use crate::ids::Time;
use crate::queue::CLASS_COUNT;
use std::collections::BTreeSet;
use std::time::Duration;

/// Slot-seconds over weight, in units of `1 / TAG_SCALE`. A u64 lasts 5.8 years for one team of
/// weight 1 on 1,000 slots.
pub type Tag = u64;

/// Units of a tag per slot-second at weight 1.
const TAG_SCALE: f64 = 1e8;
/// Longest run time charged at the start of work.
pub const PREPAID: Duration = Duration::from_secs(1);
/// Lead, in seconds of the full pool, within which class decides before share. Over a window of
/// 10 s a lead of 0.2 s is 2% of a share, below the 5% allowed.
const CLASS_LEAD_SECS: f64 = 0.2;
/// Longest run time for which a returning team's idle slots are made up for.
const MAX_CATCH_UP_SECS: f64 = 2.0;
/// Time without work at this entry instance that is made up for. Work scatters over the entry
/// instances, so a team with a backlog is often without work at one of them for a moment.
const MAX_GAP_SECS: f64 = 4.0;
/// Most that making up for gaps may take from the others, in seconds of the full pool: 2% of what
/// they are due over 10 s.
const MAX_GAP_POOL_SECS: f64 = 0.2;

/// Resources that work needs or an instance has; each is limited on its own.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Tasks and requests at once.
    pub slots: u32,
    /// Thousandths of a processor.
    pub processors: u64,
    /// Bytes.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// One slot and no other resource.
    pub const ONE_SLOT: Resources =
        Resources { slots: 1, processors: 0, memory: 0, accelerators: 0 };

    /// Whether it fits into `room` in every resource.
    pub fn fits(&self, room: &Resources) -> bool {
        self.slots <= room.slots
            && self.processors <= room.processors
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// Sum in every resource.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.saturating_add(other.slots),
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference in every resource, at least zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.saturating_sub(other.slots),
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Slots of a pool with `total` resources that it takes up by its dominant resource.
    pub fn dominant_slots(&self, total: &Resources) -> f64 {
        let slots = f64::from(total.slots.max(1));
        let part = |need: f64, total: f64| if total > 0.0 { need / total } else { 0.0 };
        let largest = part(f64::from(self.slots), slots)
            .max(part(self.processors as f64, total.processors as f64))
            .max(part(self.memory as f64, total.memory as f64))
            .max(part(f64::from(self.accelerators), f64::from(total.accelerators)));
        largest * slots
    }
}

/// Tag of one team, and where it stands in line.
#[derive(Clone, Debug, Default)]
struct Account {
    tag: Tag,
    /// Invariant: bit `c` is set exactly when `ready[c]` holds `(tag, team)`.
    ready: u8,
    weight: u32,
    running: u32,
    /// Slots of work that runs longer than was charged for, charged up to `flushed`.
    overtime: f64,
    flushed: Time,
}

impl Account {
    fn is_active(&self) -> bool {
        self.ready != 0 || self.running > 0
    }
}

/// Shares of the teams in one pool. Teams are indexes given by the caller.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    accounts: Vec<Account>,
    ready: [BTreeSet<(Tag, u32)>; CLASS_COUNT],
    /// Highest tag of a team at the time it was served; a returning team starts near it.
    reached: Tag,
    active_weight: u64,
}

impl FairShares {
    /// No team yet.
    pub fn new() -> FairShares {
        FairShares::default()
    }

    /// Part of the pool that a team is due among the active ones, itself included.
    pub fn portion(&self, team: u32, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let own = self.accounts.get(team as usize).filter(|account| account.is_active());
        let others = self.active_weight as f64 - own.map_or(0.0, |own| f64::from(own.weight));
        weight / (weight + others)
    }

    /// A team has work waiting in a class.
    ///
    /// `slots` is the pool's size and `run_secs` the typical run time: a team that was idle is made
    /// up for the slots it is due and does not hold, so that it gets lent share back within about
    /// one run time, and for a short gap; it gets no credit for a longer time without work.
    pub fn set_ready(&mut self, team: u32, class: usize, weight: u32, slots: u32, run_secs: f64) {
        self.ensure(team);
        if self.accounts[team as usize].ready == 0 {
            self.enter(team, weight, slots, run_secs);
        }
        let account = &mut self.accounts[team as usize];
        if account.ready & (1 << class) == 0 {
            account.ready |= 1 << class;
            self.ready[class].insert((account.tag, team));
        }
    }

    /// A team has no more work waiting in a class.
    pub fn clear_ready(&mut self, team: u32, class: usize) {
        let account = &mut self.accounts[team as usize];
        if account.ready & (1 << class) != 0 {
            account.ready &= !(1 << class);
            self.ready[class].remove(&(account.tag, team));
            self.leave_if_idle(team);
        }
    }

    /// The team to serve next and the class of its work.
    ///
    /// `order` lists the classes from first to last; `slots` is the pool's size.
    pub fn pick(&self, order: &[usize], slots: u32) -> Option<(u32, usize)> {
        let mut firsts = [None; CLASS_COUNT];
        for class in order {
            firsts[*class] = self.ready[*class].first().copied();
        }
        let lowest = firsts.iter().flatten().map(|(tag, _)| *tag).min()?;
        let lead = CLASS_LEAD_SECS * f64::from(slots) / (self.active_weight.max(1) as f64);
        let limit = lowest.saturating_add((lead * TAG_SCALE) as Tag);
        let class = order.iter().find(|c| firsts[**c].is_some_and(|(tag, _)| tag <= limit))?;
        firsts[*class].map(|(_, team)| (team, *class))
    }

    /// Work of a team starts; `slot_secs` are charged at once.
    pub fn start(&mut self, team: u32, weight: u32, slot_secs: f64) {
        self.ensure(team);
        let tag = self.accounts[team as usize].tag;
        self.reached = self.reached.max(tag);
        if !self.accounts[team as usize].is_active() {
            self.active_weight += u64::from(weight.max(1));
            self.accounts[team as usize].weight = weight.max(1);
        }
        self.accounts[team as usize].running += 1;
        self.charge(team, weight, slot_secs);
    }

    /// Charges a team for more, or gives back what was charged too much.
    pub fn charge(&mut self, team: u32, weight: u32, slot_secs: f64) {
        let units = (slot_secs.abs() / f64::from(weight.max(1)) * TAG_SCALE) as Tag;
        let tag = self.accounts[team as usize].tag;
        let tag =
            if slot_secs < 0.0 { tag.saturating_sub(units) } else { tag.saturating_add(units) };
        self.set_tag(team, tag);
    }

    /// Work of a team runs on past what was charged; `since` is when that was used up.
    pub fn add_overtime(&mut self, now: Time, team: u32, slots: f64, since: Time) {
        let account = &mut self.accounts[team as usize];
        let secs = now.saturating_sub(account.flushed).as_secs_f64();
        let before = account.overtime * secs;
        account.flushed = now;
        account.overtime += slots;
        let weight = account.weight;
        self.charge(team, weight, before + slots * now.saturating_sub(since).as_secs_f64());
    }

    /// Work in overtime has ended.
    pub fn end_overtime(&mut self, now: Time, team: u32, slots: f64) {
        self.flush(now, team);
        let account = &mut self.accounts[team as usize];
        account.overtime = f64::max(account.overtime - slots, 0.0);
    }

    /// Charges all teams for work in overtime up to now.
    pub fn flush_all(&mut self, now: Time) {
        for team in 0..self.accounts.len() {
            self.flush(now, team as u32);
        }
    }

    fn flush(&mut self, now: Time, team: u32) {
        let account = &mut self.accounts[team as usize];
        let secs = now.saturating_sub(account.flushed).as_secs_f64();
        account.flushed = now;
        let (weight, slots) = (account.weight, account.overtime);
        if slots > 0.0 {
            self.charge(team, weight, slots * secs);
        }
    }

    /// Work of a team has ended.
    pub fn end(&mut self, team: u32) {
        let account = &mut self.accounts[team as usize];
        account.running = account.running.saturating_sub(1);
        self.leave_if_idle(team);
    }

    /// Work of a team under way.
    pub fn running(&self, team: u32) -> u32 {
        self.accounts.get(team as usize).map_or(0, |account| account.running)
    }

    fn ensure(&mut self, team: u32) {
        let len = team as usize + 1;
        if self.accounts.len() < len {
            self.accounts.resize(len, Account::default());
        }
    }

    /// Bounds how far the tag of a team that had nothing waiting lies behind the others.
    fn enter(&mut self, team: u32, weight: u32, slots: u32, run_secs: f64) {
        let weight = weight.max(1);
        let slots = f64::from(slots);
        let due = self.portion(team, weight) * slots;
        let gap = (due * MAX_GAP_SECS).min(slots * MAX_GAP_POOL_SECS);
        let credit = gap.max(due * run_secs.min(MAX_CATCH_UP_SECS)) / f64::from(weight) * TAG_SCALE;
        let account = &mut self.accounts[team as usize];
        account.tag = account.tag.max(self.reached.saturating_sub(credit as Tag));
        if !account.is_active() {
            account.weight = weight;
            self.active_weight += u64::from(weight);
        }
    }

    fn leave_if_idle(&mut self, team: u32) {
        let account = &self.accounts[team as usize];
        if !account.is_active() {
            self.active_weight -= u64::from(account.weight);
        }
    }

    fn set_tag(&mut self, team: u32, tag: Tag) {
        let account = &mut self.accounts[team as usize];
        let old = account.tag;
        account.tag = tag;
        for class in 0..CLASS_COUNT {
            if account.ready & (1 << class) != 0 {
                self.ready[class].remove(&(old, team));
                self.ready[class].insert((tag, team));
            }
        }
    }
}
