//! Which instance of a pool work starts on.
//!
//! The own availability zone comes first, then the instance with the lowest part of its slots in
//! use. What this process started itself is counted exactly; what others started is known from
//! reports that lag. A second try avoids the racks of the instances that the first one met.

use crate::fair::Resources;
use crate::ids::*;
use crate::maintenance::zone_return_fraction;
use crate::protocol::{ListedInstance, Presence};
use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A report older than this no longer shows an instance as full.
const REPORT_TRUST: Duration = Duration::from_secs(2);

/// Load index of one zone: part of the slots in use (per mille), a random order among equals, index.
type ByLoad = BTreeSet<(u32, u32, u32)>;

#[derive(Clone, Debug)]
struct Member {
    zone: usize,
    rack: RackId,
    total: Resources,
    own: Resources,
    /// Slots used by others, as last reported.
    foreign: u32,
    reported: Time,
    /// Start of the ramp after its zone came back.
    returned: Option<Time>,
    /// Whether it may get new work.
    open: bool,
    key: (u32, u32),
}

impl Member {
    fn room(&self, now: Time) -> Resources {
        let used = Resources { slots: self.own.slots + self.foreign, ..self.own };
        Resources { slots: self.slots_at(now), ..self.total }.minus(&used)
    }

    fn slots_at(&self, now: Time) -> u32 {
        let Some(returned) = self.returned else { return self.total.slots };
        let part = zone_return_fraction(now.saturating_sub(returned));
        (f64::from(self.total.slots) * part).ceil() as u32
    }

    fn load(&self) -> u32 {
        (self.own.slots + self.foreign) * 1_000 / self.total.slots.max(1)
    }
}

/// Instances of one pool.
#[derive(Clone, Debug)]
pub struct PoolInstances {
    own_zone: ZoneId,
    zones: IndexMap<ZoneId, ByLoad>,
    members: IndexMap<InstanceId, Member>,
    /// Resources of the open members.
    total: Resources,
    /// Slots of open members that nobody is known to use.
    free: u32,
    /// Whether the list was ever set: the first one is no return of a zone.
    listed: bool,
    relaxed: Time,
}

impl PoolInstances {
    /// An empty pool seen from `own_zone`.
    pub fn new(own_zone: ZoneId) -> PoolInstances {
        PoolInstances {
            own_zone,
            zones: IndexMap::new(),
            members: IndexMap::new(),
            total: Resources::default(),
            free: 0,
            listed: false,
            relaxed: Time::ZERO,
        }
    }

    /// Resources of the instances that may get new work.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// Slots that nobody is known to use.
    pub fn free_slots(&self) -> u32 {
        self.free
    }

    /// Slots that others use, as last reported.
    pub fn foreign_slots(&self) -> u32 {
        self.members.values().filter(|member| member.open).map(|member| member.foreign).sum()
    }

    /// Instances, open or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no instance.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether an instance is a member, open or not.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.members.contains_key(id)
    }

    /// Replaces the instances that may get new work. Others keep only what they run.
    pub fn set(&mut self, now: Time, upstreams: &[ListedInstance], rng: &mut ChaCha8Rng) {
        if self.is_same(upstreams) {
            return;
        }
        let had = self.open_zones();
        for index in 0..self.members.len() {
            self.unindex(index);
            self.members[index].open = false;
        }
        for listed in upstreams.iter().filter(|listed| listed.presence == Presence::Live) {
            let returned = self.listed && !had.contains(&listed.zone);
            self.open(now, listed, returned);
        }
        self.listed = self.listed || !upstreams.is_empty();
        self.members.retain(|_, member| member.open || member.own.slots > 0);
        self.rebuild(rng);
    }

    /// Sets resources besides slots, which the list does not give.
    pub fn set_sizes(&mut self, id: &InstanceId, sizes: Resources, rng: &mut ChaCha8Rng) {
        let Some(member) = self.members.get_mut(id) else { return };
        let total = Resources { slots: member.total.slots, ..sizes };
        if member.total != total {
            member.total = total;
            self.rebuild(rng);
        }
    }

    /// Gives an instance no new work; it stays until what it runs has ended.
    pub fn close(&mut self, id: &InstanceId, rng: &mut ChaCha8Rng) {
        let Some(member) = self.members.get_mut(id) else { return };
        member.open = false;
        if member.own.slots == 0 {
            self.members.shift_remove(id);
        }
        self.rebuild(rng);
    }

    /// Takes in a report of all work running at an instance, this process's included.
    pub fn on_load(&mut self, now: Time, id: &InstanceId, running: u32, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        let member = &self.members[index];
        let room = member.total.slots.saturating_sub(member.own.slots);
        let foreign = running.saturating_sub(member.own.slots).min(room);
        self.change(index, rng, |member| {
            member.foreign = foreign;
            member.reported = now;
        });
    }

    /// Counts an instance as full until its next report. A refusal as busy takes effect at once, so
    /// that the same work is not placed there again and again.
    pub fn mark_full(&mut self, now: Time, id: &InstanceId, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        self.change(index, rng, |member| {
            member.foreign = member.total.slots.saturating_sub(member.own.slots);
            member.reported = now;
        });
    }

    /// Finds an instance for work, without taking the resources.
    pub fn find(&mut self, now: Time, need: &Resources, exclude: &[InstanceId]) -> Option<usize> {
        let racks: Vec<RackId> = exclude
            .iter()
            .filter_map(|id| self.members.get(id).map(|member| member.rack.clone()))
            .collect();
        self.search(now, need, exclude, &racks).or_else(|| {
            let other_racks_only = !racks.is_empty();
            if other_racks_only { self.search(now, need, exclude, &[]) } else { None }
        })
    }

    /// Takes the resources for work that `find` placed.
    pub fn take(&mut self, index: usize, need: &Resources, rng: &mut ChaCha8Rng) -> InstanceId {
        self.change(index, rng, |member| member.own = member.own.plus(need));
        self.members.get_index(index).map(|(id, _)| id.clone()).unwrap_or_else(|| "".into())
    }

    /// Gives the resources of ended work back.
    pub fn give(&mut self, id: &InstanceId, need: &Resources, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        self.change(index, rng, |member| member.own = member.own.minus(need));
        let member = &self.members[index];
        if !member.open && member.own.slots == 0 {
            self.members.shift_remove(id);
            self.rebuild(rng);
        }
    }

    /// Stops to count old reports that show instances as full, so that a lost report does not shut
    /// an instance for good. Returns whether anything changed.
    pub fn relax(&mut self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        if now.saturating_sub(self.relaxed) < REPORT_TRUST / 4 {
            return false;
        }
        self.relaxed = now;
        let stale: Vec<usize> = (0..self.members.len())
            .filter(|index| {
                let member = &self.members[*index];
                let old = now.saturating_sub(member.reported) > REPORT_TRUST;
                old && member.open && member.foreign > 0
            })
            .collect();
        for index in &stale {
            self.change(*index, rng, |member| member.foreign /= 2);
        }
        !stale.is_empty()
    }

    /// Whether a list names exactly the open members.
    fn is_same(&self, upstreams: &[ListedInstance]) -> bool {
        let same = |listed: &ListedInstance| {
            let slots = listed.slots.min(listed.connections);
            let open = |member: &Member| member.open && member.total.slots == slots;
            listed.presence == Presence::Live && self.members.get(&listed.id).is_some_and(open)
        };
        let open = self.members.values().filter(|member| member.open).count();
        open == upstreams.len() && upstreams.iter().all(same)
    }

    fn open_zones(&self) -> Vec<ZoneId> {
        self.zones
            .iter()
            .filter(|(_, by_load)| !by_load.is_empty())
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    fn open(&mut self, now: Time, listed: &ListedInstance, returned: bool) {
        let slots = listed.slots.min(listed.connections);
        let zone = self.zones.entry(listed.zone.clone()).index();
        self.zones.entry(listed.zone.clone()).or_default();
        let member = self.members.entry(listed.id.clone()).or_insert_with(|| Member {
            zone,
            rack: listed.rack.clone(),
            total: unlimited(slots),
            own: Resources::default(),
            foreign: 0,
            reported: now,
            returned: None,
            open: false,
            key: (0, 0),
        });
        member.open = true;
        member.zone = zone;
        member.total.slots = slots;
        if returned {
            member.returned = Some(now);
        }
    }

    fn rebuild(&mut self, rng: &mut ChaCha8Rng) {
        for by_load in self.zones.values_mut() {
            by_load.clear();
        }
        self.total = Resources::default();
        self.free = 0;
        for index in 0..self.members.len() {
            if self.members[index].open {
                self.total = self.total.plus(&counted(&self.members[index].total));
                self.index(index, rng);
            }
        }
    }

    fn index(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let member = &mut self.members[index];
        member.key = (member.load(), rng.random());
        self.zones[member.zone].insert((member.key.0, member.key.1, index as u32));
        self.free += free_slots(member);
    }

    fn unindex(&mut self, index: usize) {
        let member = &self.members[index];
        if member.open {
            self.zones[member.zone].remove(&(member.key.0, member.key.1, index as u32));
            self.free -= free_slots(member);
        }
    }

    fn change(&mut self, index: usize, rng: &mut ChaCha8Rng, f: impl FnOnce(&mut Member)) {
        self.unindex(index);
        f(&mut self.members[index]);
        if self.members[index].open {
            self.index(index, rng);
        }
    }

    fn search(
        &self,
        now: Time,
        need: &Resources,
        exclude: &[InstanceId],
        racks: &[RackId],
    ) -> Option<usize> {
        let fits = |index: usize| {
            let (id, member) = self.members.get_index(index)?;
            let excluded = exclude.contains(id) || racks.contains(&member.rack);
            (!excluded && need.fits(&member.room(now))).then_some(index)
        };
        let first = |by_load: &ByLoad| {
            let open = by_load.iter().take_while(|(load, _, _)| *load < 1_000);
            open.clone().find_map(|(load, _, index)| fits(*index as usize).map(|i| (*load, i)))
        };
        if let Some((_, index)) = self.zones.get(&self.own_zone).and_then(first) {
            return Some(index);
        }
        let others = self.zones.iter().filter(|(zone, _)| **zone != self.own_zone);
        others.filter_map(|(_, by_load)| first(by_load)).min().map(|(_, index)| index)
    }
}

fn free_slots(member: &Member) -> u32 {
    member.total.slots.saturating_sub(member.own.slots + member.foreign)
}

/// Resources of an instance of which only the slots are known.
fn unlimited(slots: u32) -> Resources {
    Resources { slots, processors: u64::MAX, memory: u64::MAX, accelerators: u32::MAX }
}

/// Unknown sizes do not count towards a pool's total.
fn counted(total: &Resources) -> Resources {
    let known = |value: u64| if value == u64::MAX { 0 } else { value };
    Resources {
        slots: total.slots,
        processors: known(total.processors),
        memory: known(total.memory),
        accelerators: if total.accelerators == u32::MAX { 0 } else { total.accelerators },
    }
}
