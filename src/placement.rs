//! Selects the instance of a pool that work starts on.
//!
//! Instances in the availability zone of this entry instance are preferred, and within a zone the
//! one with the lowest fraction of its slots in use. Work started by this process is counted
//! exactly; work started by others is known only from load reports, which lag behind. A retry
//! avoids the racks of the instances that were tried before.

use crate::fair::Resources;
use crate::ids::*;
use crate::maintenance::zone_return_fraction;
use crate::protocol::{ListedInstance, Presence};
use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Age of a load report after which the slots that it reports as used are gradually counted as
/// free.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Open members of one zone ordered by load: slots in use in per mille, a random number to break
/// ties, and the index of the member.
type LoadIndex = BTreeSet<(u32, u32, u32)>;

#[derive(Clone, Debug)]
struct Member {
    zone: usize,
    rack: RackId,
    total: Resources,
    own_use: Resources,
    /// Slots used by work of other entry instances, as last reported.
    external_slots: u32,
    reported_at: Time,
    /// When the zone of the instance returned to service; its capacity ramps up from then on.
    zone_returned_at: Option<Time>,
    /// Whether the instance accepts new work.
    open: bool,
    load_key: (u32, u32),
}

impl Member {
    fn free_at(&self, now: Time) -> Resources {
        let used = Resources { slots: self.own_use.slots + self.external_slots, ..self.own_use };
        Resources { slots: self.slots_at(now), ..self.total }.minus(&used)
    }

    fn slots_at(&self, now: Time) -> u32 {
        let Some(zone_returned_at) = self.zone_returned_at else { return self.total.slots };
        let fraction = zone_return_fraction(now.saturating_sub(zone_returned_at));
        (f64::from(self.total.slots) * fraction).ceil() as u32
    }

    fn load_per_mille(&self) -> u32 {
        (self.own_use.slots + self.external_slots) * 1_000 / self.total.slots.max(1)
    }
}

/// Instances of one pool and their load.
#[derive(Clone, Debug)]
pub struct PoolInstances {
    own_zone: ZoneId,
    zones: IndexMap<ZoneId, LoadIndex>,
    members: IndexMap<InstanceId, Member>,
    /// Resources of the open members.
    total: Resources,
    /// Slots of the open members that are not known to be in use.
    free: u32,
    /// Whether a list was set before. Zones in the first list have not returned to service.
    has_list: bool,
    decayed_at: Time,
}

impl PoolInstances {
    /// Creates an empty pool for an entry instance in `own_zone`.
    pub fn new(own_zone: ZoneId) -> PoolInstances {
        PoolInstances {
            own_zone,
            zones: IndexMap::new(),
            members: IndexMap::new(),
            total: Resources::default(),
            free: 0,
            has_list: false,
            decayed_at: Time::ZERO,
        }
    }

    /// Resources of the instances that accept new work.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// Slots that are not known to be in use.
    pub fn free_slots(&self) -> u32 {
        self.free
    }

    /// Slots used by work of other entry instances, as last reported.
    pub fn total_external_slots(&self) -> u32 {
        self.members.values().filter(|member| member.open).map(|member| member.external_slots).sum()
    }

    /// Number of instances, open or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the pool has no instance.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the pool has an instance, open or not.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.members.contains_key(id)
    }

    /// Replaces the instances that accept new work. Instances that are no longer listed are kept
    /// until their running work has ended.
    pub fn set_listed(&mut self, now: Time, upstreams: &[ListedInstance], rng: &mut ChaCha8Rng) {
        if self.has_same_members(upstreams) {
            return;
        }
        let zones_before = self.zones_with_open_members();
        for index in 0..self.members.len() {
            self.remove_from_index(index);
            self.members[index].open = false;
        }
        for listed in upstreams.iter().filter(|listed| listed.presence == Presence::Live) {
            let zone_returned = self.has_list && !zones_before.contains(&listed.zone);
            self.add_open_member(now, listed, zone_returned);
        }
        self.has_list = self.has_list || !upstreams.is_empty();
        self.members.retain(|_, member| member.open || member.own_use.slots > 0);
        self.rebuild_index(rng);
    }

    /// Sets the resources other than slots, which the instance list does not contain.
    pub fn set_resources(&mut self, id: &InstanceId, resources: Resources, rng: &mut ChaCha8Rng) {
        let Some(member) = self.members.get_mut(id) else { return };
        let total = Resources { slots: member.total.slots, ..resources };
        if member.total != total {
            member.total = total;
            self.rebuild_index(rng);
        }
    }

    /// Stops placing new work on an instance. It is kept until its running work has ended.
    pub fn close(&mut self, id: &InstanceId, rng: &mut ChaCha8Rng) {
        let Some(member) = self.members.get_mut(id) else { return };
        member.open = false;
        if member.own_use.slots == 0 {
            self.members.shift_remove(id);
        }
        self.rebuild_index(rng);
    }

    /// Updates the load of an instance from a report, which includes the work of this process.
    pub fn on_load(&mut self, now: Time, id: &InstanceId, running: u32, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        let member = &self.members[index];
        let room = member.total.slots.saturating_sub(member.own_use.slots);
        let external_slots = running.saturating_sub(member.own_use.slots).min(room);
        self.update_member(index, rng, |member| {
            member.external_slots = external_slots;
            member.reported_at = now;
        });
    }

    /// Counts an instance as full until its next load report. Called when the instance refuses work
    /// as busy, so that work is not placed on it repeatedly until the report arrives.
    pub fn mark_full(&mut self, now: Time, id: &InstanceId, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        self.update_member(index, rng, |member| {
            member.external_slots = member.total.slots.saturating_sub(member.own_use.slots);
            member.reported_at = now;
        });
    }

    /// Finds an instance for work, without reserving resources. Prefers racks without an excluded
    /// instance.
    pub fn find(&mut self, now: Time, need: &Resources, exclude: &[InstanceId]) -> Option<usize> {
        let racks: Vec<RackId> = exclude
            .iter()
            .filter_map(|id| self.members.get(id).map(|member| member.rack.clone()))
            .collect();
        self.find_least_loaded(now, need, exclude, &racks).or_else(|| {
            let other_racks_only = !racks.is_empty();
            if other_racks_only { self.find_least_loaded(now, need, exclude, &[]) } else { None }
        })
    }

    /// Reserves the resources for work on the instance that `find` returned.
    pub fn reserve(&mut self, index: usize, need: &Resources, rng: &mut ChaCha8Rng) -> InstanceId {
        self.update_member(index, rng, |member| member.own_use = member.own_use.plus(need));
        self.members.get_index(index).map(|(id, _)| id.clone()).unwrap_or_else(|| "".into())
    }

    /// Releases the resources of work that has ended.
    pub fn release(&mut self, id: &InstanceId, need: &Resources, rng: &mut ChaCha8Rng) {
        let Some(index) = self.members.get_index_of(id) else { return };
        self.update_member(index, rng, |member| member.own_use = member.own_use.minus(need));
        let member = &self.members[index];
        if !member.open && member.own_use.slots == 0 {
            self.members.shift_remove(id);
            self.rebuild_index(rng);
        }
    }

    /// Halves the load taken from outdated reports, so that an instance whose reports are lost does
    /// not count as full forever. Returns whether anything changed.
    pub fn decay_stale_reports(&mut self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        if now.saturating_sub(self.decayed_at) < MAX_REPORT_AGE / 4 {
            return false;
        }
        self.decayed_at = now;
        let stale: Vec<usize> = (0..self.members.len())
            .filter(|index| {
                let member = &self.members[*index];
                let old = now.saturating_sub(member.reported_at) > MAX_REPORT_AGE;
                old && member.open && member.external_slots > 0
            })
            .collect();
        for index in &stale {
            self.update_member(*index, rng, |member| member.external_slots /= 2);
        }
        !stale.is_empty()
    }

    /// Whether a list contains exactly the open members, with the same slots.
    fn has_same_members(&self, upstreams: &[ListedInstance]) -> bool {
        let same = |listed: &ListedInstance| {
            let slots = listed.slots.min(listed.connections);
            let open = |member: &Member| member.open && member.total.slots == slots;
            listed.presence == Presence::Live && self.members.get(&listed.id).is_some_and(open)
        };
        let open = self.members.values().filter(|member| member.open).count();
        open == upstreams.len() && upstreams.iter().all(same)
    }

    fn zones_with_open_members(&self) -> Vec<ZoneId> {
        self.zones
            .iter()
            .filter(|(_, load_index)| !load_index.is_empty())
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    fn add_open_member(&mut self, now: Time, listed: &ListedInstance, zone_returned: bool) {
        let slots = listed.slots.min(listed.connections);
        let zone = self.zones.entry(listed.zone.clone()).index();
        self.zones.entry(listed.zone.clone()).or_default();
        let member = self.members.entry(listed.id.clone()).or_insert_with(|| Member {
            zone,
            rack: listed.rack.clone(),
            total: unlimited(slots),
            own_use: Resources::default(),
            external_slots: 0,
            reported_at: now,
            zone_returned_at: None,
            open: false,
            load_key: (0, 0),
        });
        member.open = true;
        member.zone = zone;
        member.total.slots = slots;
        if zone_returned {
            member.zone_returned_at = Some(now);
        }
    }

    fn rebuild_index(&mut self, rng: &mut ChaCha8Rng) {
        for load_index in self.zones.values_mut() {
            load_index.clear();
        }
        self.total = Resources::default();
        self.free = 0;
        for index in 0..self.members.len() {
            if self.members[index].open {
                self.total = self.total.plus(&known_resources(&self.members[index].total));
                self.add_to_index(index, rng);
            }
        }
    }

    fn add_to_index(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let member = &mut self.members[index];
        member.load_key = (member.load_per_mille(), rng.random());
        self.zones[member.zone].insert((member.load_key.0, member.load_key.1, index as u32));
        self.free += free_slots(member);
    }

    fn remove_from_index(&mut self, index: usize) {
        let member = &self.members[index];
        if member.open {
            self.zones[member.zone].remove(&(member.load_key.0, member.load_key.1, index as u32));
            self.free -= free_slots(member);
        }
    }

    fn update_member(&mut self, index: usize, rng: &mut ChaCha8Rng, f: impl FnOnce(&mut Member)) {
        self.remove_from_index(index);
        f(&mut self.members[index]);
        if self.members[index].open {
            self.add_to_index(index, rng);
        }
    }

    fn find_least_loaded(
        &self,
        now: Time,
        need: &Resources,
        exclude: &[InstanceId],
        racks: &[RackId],
    ) -> Option<usize> {
        let fits = |index: usize| {
            let (id, member) = self.members.get_index(index)?;
            let excluded = exclude.contains(id) || racks.contains(&member.rack);
            (!excluded && need.fits(&member.free_at(now))).then_some(index)
        };
        let first = |load_index: &LoadIndex| {
            let open = load_index.iter().take_while(|(load, _, _)| *load < 1_000);
            open.clone().find_map(|(load, _, index)| fits(*index as usize).map(|i| (*load, i)))
        };
        if let Some((_, index)) = self.zones.get(&self.own_zone).and_then(first) {
            return Some(index);
        }
        let others = self.zones.iter().filter(|(zone, _)| **zone != self.own_zone);
        others.filter_map(|(_, load_index)| first(load_index)).min().map(|(_, index)| index)
    }
}

fn free_slots(member: &Member) -> u32 {
    member.total.slots.saturating_sub(member.own_use.slots + member.external_slots)
}

/// Returns the resources of an instance for which only the slots are known.
fn unlimited(slots: u32) -> Resources {
    Resources { slots, processors: u64::MAX, memory: u64::MAX, accelerators: u32::MAX }
}

/// Replaces unlimited resources, whose actual amount is unknown, by zero for a pool's total.
fn known_resources(total: &Resources) -> Resources {
    let known = |value: u64| if value == u64::MAX { 0 } else { value };
    Resources {
        slots: total.slots,
        processors: known(total.processors),
        memory: known(total.memory),
        accelerators: if total.accelerators == u32::MAX { 0 } else { total.accelerators },
    }
}
