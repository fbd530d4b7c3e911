//! Log events found as differences between two looks at the shared state.
//!
//! The fold has no log of its own; this way every change is reported, whoever made it.

use crate::event::{Event, Field};
use crate::hold::Holds;
use crate::ids::*;
use crate::record::Record;
use crate::state::State;
use indexmap::IndexMap;

/// What operators care about in the state at one offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateSummary {
    /// Version of each section.
    sections: IndexMap<String, Offset>,
    /// Team of each key, and whether it was withdrawn.
    keys: IndexMap<KeyId, (TeamId, Option<Offset>)>,
    zones_out: IndexMap<ZoneId, Offset>,
    instances_out: IndexMap<InstanceId, Offset>,
    instances: IndexMap<InstanceId, InstanceLook>,
    holders: IndexMap<Incarnation, HolderLook>,
    /// What each hold does, by op id.
    holds: IndexMap<OpId, String>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct InstanceLook {
    pool: PoolId,
    zone: ZoneId,
    moving_to: Option<PoolId>,
    draining: bool,
    /// Unix time in seconds.
    maintained_at: Option<u64>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct HolderLook {
    id: EntryId,
    zone: ZoneId,
    departing: bool,
    expired: bool,
    gone: bool,
}

/// An event with its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateEvent {
    pub event: Event,
    pub fields: Vec<(&'static str, FieldValue)>,
}

/// Value of a field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FieldValue {
    Number(u64),
    Text(String),
}

impl FieldValue {
    /// The value as the log takes it.
    pub fn as_field(&self) -> Field<'_> {
        match self {
            FieldValue::Number(number) => Field::Number(*number),
            FieldValue::Text(text) => Field::Text(text),
        }
    }
}

impl From<Offset> for FieldValue {
    fn from(offset: Offset) -> FieldValue {
        FieldValue::Number(offset)
    }
}

impl<T: AsRef<str> + ?Sized> From<&T> for FieldValue {
    fn from(text: &T) -> FieldValue {
        FieldValue::Text(text.as_ref().to_string())
    }
}

impl StateSummary {
    /// Looks at a state and the holds that are in force besides.
    pub fn new(state: &State, holds: &[Record]) -> StateSummary {
        let live = state.instances.iter().filter(|(_, instance)| instance.gone_at.is_none());
        let instance = |(id, instance): (&InstanceId, &crate::state::Instance)| {
            let look = InstanceLook {
                pool: instance.pool.clone(),
                zone: instance.zone.clone(),
                moving_to: instance.moving.as_ref().map(|(pool, _)| pool.clone()),
                draining: instance.draining.is_some(),
                maintained_at: instance.maintained_at,
            };
            (id.clone(), look)
        };
        let keys = state.keys.iter();
        let sections = state.sections.iter();
        StateSummary {
            sections: sections.map(|(name, section)| (name.clone(), section.version)).collect(),
            keys: keys
                .map(|(id, key)| (id.clone(), (key.team.clone(), key.withdrawn_at)))
                .collect(),
            zones_out: state.zones_out.clone(),
            instances_out: state.instances_out.clone(),
            instances: live.map(instance).collect(),
            holders: holders(state),
            holds: holds.iter().filter_map(described).collect(),
        }
    }

    /// What happened since an earlier look, in a fixed order.
    pub fn events_since(&self, before: &StateSummary) -> Vec<StateEvent> {
        let mut found = Vec::new();
        self.published(before, &mut found);
        self.keys_changed(before, &mut found);
        self.outs_changed(before, &mut found);
        self.instances_changed(before, &mut found);
        self.holders_changed(before, &mut found);
        self.holds_changed(before, &mut found);
        found
    }

    fn published(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        let changed = |(name, version): &(&String, &Offset)| {
            before.sections.get(*name).is_none_or(|old| old != *version)
        };
        let changed: Vec<Offset> =
            self.sections.iter().filter(changed).map(|(_, version)| *version).collect();
        let removed = before.sections.keys().filter(|name| !self.sections.contains_key(*name));
        let count = changed.len() + removed.count();
        if count > 0 {
            let mut fields = vec![("sections", FieldValue::Number(count as u64))];
            fields.extend(changed.iter().max().map(|offset| ("offset", FieldValue::from(*offset))));
            found.push(StateEvent { event: Event::Published, fields });
        }
    }

    fn keys_changed(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        for (id, (team, withdrawn_at)) in &self.keys {
            let old = before.keys.get(id);
            if old.is_none() {
                add(found, Event::KeyGranted, [("key", id.into()), ("team", team.into())]);
            }
            if let (Some(offset), None) = (withdrawn_at, old.and_then(|(_, at)| *at)) {
                let fields = [("key", id.into()), ("offset", (*offset).into())];
                add(found, Event::KeyWithdrawn, fields);
            }
        }
    }

    fn outs_changed(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        let zones = (Event::ZoneOut, Event::ZoneBack, "zone");
        outs(&before.zones_out, &self.zones_out, zones, found);
        let instances = (Event::InstanceOut, Event::InstanceBack, "instance");
        outs(&before.instances_out, &self.instances_out, instances, found);
    }

    fn instances_changed(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        for (id, now) in &self.instances {
            match before.instances.get(id) {
                Some(old) => instance_changed(id, old, now, found),
                None => {
                    let fields = [
                        ("instance", id.into()),
                        ("pool", (&now.pool).into()),
                        ("zone", (&now.zone).into()),
                    ];
                    add(found, Event::UpstreamSeen, fields);
                }
            }
        }
        for id in before.instances.keys().filter(|id| !self.instances.contains_key(*id)) {
            add(found, Event::UpstreamGone, [("instance", id.into())]);
        }
    }

    fn holders_changed(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        for (incarnation, now) in &self.holders {
            let old = before.holders.get(incarnation);
            if old.is_none() {
                let fields = [("entry", (&now.id).into()), ("zone", (&now.zone).into())];
                add(found, Event::EntrySeen, fields);
            }
            if now.departing && !old.is_some_and(|old| old.departing) {
                add(found, Event::EntryDeparting, [("entry", (&now.id).into())]);
            }
            // A planned stop expires its own lease at its end.
            if now.expired && !now.departing && !old.is_some_and(|old| old.expired) {
                add(found, Event::LeaseExpired, [("entry", (&now.id).into())]);
            }
            if now.gone && !old.is_some_and(|old| old.gone) {
                add(found, Event::EntryGone, [("entry", (&now.id).into())]);
            }
        }
    }

    fn holds_changed(&self, before: &StateSummary, found: &mut Vec<StateEvent>) {
        for (op, what) in self.holds.iter().filter(|(op, _)| !before.holds.contains_key(*op)) {
            add(found, Event::HoldTaken, [("op", op.into()), ("what", what.into())]);
        }
        for (op, _) in before.holds.iter().filter(|(op, _)| !self.holds.contains_key(*op)) {
            add(found, Event::HoldEnded, [("op", op.into())]);
        }
    }
}

fn holders(state: &State) -> IndexMap<Incarnation, HolderLook> {
    let look = |(incarnation, holder): (&Incarnation, &crate::state::Holder)| {
        let look = HolderLook {
            id: holder.id.clone(),
            zone: holder.addresses.zone.clone(),
            departing: holder.departing,
            expired: holder.expired,
            gone: holder.gone,
        };
        (*incarnation, look)
    };
    state.holders.iter().map(look).collect()
}

/// What a hold does, for example `zone_out a`; `None` for other records.
pub fn describe_hold(hold: &Record) -> Option<String> {
    match hold {
        Record::KeyWithdraw { key, .. } => Some(format!("key_withdraw {key}")),
        Record::ZoneOut { zone, .. } => Some(format!("zone_out {zone}")),
        Record::InstanceOut { instance, .. } => Some(format!("instance_out {instance}")),
        _ => None,
    }
}

/// Op id of a hold, and what it does.
fn described(hold: &Record) -> Option<(OpId, String)> {
    Some((Holds::restrictive_op(hold)?.clone(), describe_hold(hold)?))
}

fn add<const N: usize>(
    found: &mut Vec<StateEvent>,
    event: Event,
    fields: [(&'static str, FieldValue); N],
) {
    found.push(StateEvent { event, fields: fields.into() });
}

/// Things taken out and back; `events` are those of out and back, and the name of the field.
fn outs(
    before: &IndexMap<std::sync::Arc<str>, Offset>,
    now: &IndexMap<std::sync::Arc<str>, Offset>,
    events: (Event, Event, &'static str),
    found: &mut Vec<StateEvent>,
) {
    let (out, back, field) = events;
    for (name, offset) in now {
        if before.get(name) != Some(offset) {
            add(found, out, [(field, name.into()), ("offset", (*offset).into())]);
        }
    }
    for name in before.keys().filter(|name| !now.contains_key(*name)) {
        add(found, back, [(field, name.into())]);
    }
}

fn instance_changed(
    id: &InstanceId,
    old: &InstanceLook,
    now: &InstanceLook,
    found: &mut Vec<StateEvent>,
) {
    let instance = || ("instance", id.into());
    match (old.draining, now.draining) {
        (false, true) => {
            add(found, Event::DrainStarted, [instance(), ("pool", (&now.pool).into())]);
        }
        (true, false) => add(found, Event::DrainEnded, [instance()]),
        (true, true) | (false, false) => {}
    }
    // The first one is where the interval is taken to have begun.
    if old.maintained_at.is_some() && old.maintained_at < now.maintained_at {
        add(found, Event::InstanceMaintained, [instance(), ("pool", (&now.pool).into())]);
    }
    if let Some(to) = now.moving_to.as_ref().filter(|to| old.moving_to.as_ref() != Some(to)) {
        let fields = [instance(), ("from", (&now.pool).into()), ("to", to.into())];
        add(found, Event::MoveStarted, fields);
    }
    if old.pool != now.pool {
        add(found, Event::MoveEnded, [instance(), ("to", (&now.pool).into())]);
    } else if old.moving_to.is_some() && now.moving_to.is_none() {
        add(found, Event::MoveCancelled, [instance()]);
    }
}
