//! Derives log events from the differences between two summaries of the shared state.
//!
//! Applying records to the state logs nothing. The comparison reports every change, whichever process
//! made it.

use crate::event::{Event, Field};
use crate::hold::Holds;
use crate::ids::*;
use crate::record::Record;
use crate::state::State;
use indexmap::IndexMap;

/// Summary of the state at one offset: everything whose changes are logged.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateSummary {
    /// Version by section.
    sections: IndexMap<String, Offset>,
    /// Team of each key, and the offset of its withdrawal.
    keys: IndexMap<KeyId, (TeamId, Option<Offset>)>,
    zones_out: IndexMap<ZoneId, Offset>,
    instances_out: IndexMap<InstanceId, Offset>,
    instances: IndexMap<InstanceId, InstanceSummary>,
    holders: IndexMap<Incarnation, HolderSummary>,
    /// Description of each hold, by op id.
    holds: IndexMap<OpId, String>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct InstanceSummary {
    pool: PoolId,
    zone: ZoneId,
    moving_to: Option<PoolId>,
    draining: bool,
    /// Time of the last maintenance as Unix time in seconds.
    maintained_at: Option<u64>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct HolderSummary {
    id: EntryId,
    zone: ZoneId,
    departing: bool,
    expired: bool,
    gone: bool,
}

/// A log event with its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateEvent {
    pub event: Event,
    pub fields: Vec<(&'static str, FieldValue)>,
}

/// Value of an event field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FieldValue {
    Number(u64),
    Text(String),
}

impl FieldValue {
    /// Converts the value to a field of the log.
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
    /// Creates a summary of a state and of the holds in force in addition to it.
    pub fn new(state: &State, holds: &[Record]) -> StateSummary {
        let live = state.instances.iter().filter(|(_, instance)| instance.gone_at.is_none());
        let instance = |(id, instance): (&InstanceId, &crate::state::Instance)| {
            let summary = InstanceSummary {
                pool: instance.pool.clone(),
                zone: instance.zone.clone(),
                moving_to: instance.moving.as_ref().map(|(pool, _)| pool.clone()),
                draining: instance.draining.is_some(),
                maintained_at: instance.maintained_at,
            };
            (id.clone(), summary)
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
            holders: summarize_holders(state),
            holds: holds.iter().filter_map(describe_with_op).collect(),
        }
    }

    /// Returns the events between an earlier summary and this one, in a fixed order.
    pub fn events_since(&self, before: &StateSummary) -> Vec<StateEvent> {
        let mut events = Vec::new();
        self.add_section_events(before, &mut events);
        self.add_key_events(before, &mut events);
        self.add_out_and_back_events(before, &mut events);
        self.add_instance_events(before, &mut events);
        self.add_holder_events(before, &mut events);
        self.add_hold_events(before, &mut events);
        events
    }

    fn add_section_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
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
            events.push(StateEvent { event: Event::Published, fields });
        }
    }

    fn add_key_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
        for (id, (team, withdrawn_at)) in &self.keys {
            let old = before.keys.get(id);
            if old.is_none() {
                push_event(events, Event::KeyGranted, [("key", id.into()), ("team", team.into())]);
            }
            if let (Some(offset), None) = (withdrawn_at, old.and_then(|(_, at)| *at)) {
                let fields = [("key", id.into()), ("offset", (*offset).into())];
                push_event(events, Event::KeyWithdrawn, fields);
            }
        }
    }

    fn add_out_and_back_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
        let zones = (Event::ZoneOut, Event::ZoneBack, "zone");
        add_out_events(&before.zones_out, &self.zones_out, zones, events);
        let instances = (Event::InstanceOut, Event::InstanceBack, "instance");
        add_out_events(&before.instances_out, &self.instances_out, instances, events);
    }

    fn add_instance_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
        for (id, now) in &self.instances {
            match before.instances.get(id) {
                Some(old) => add_instance_change(id, old, now, events),
                None => {
                    let fields = [
                        ("instance", id.into()),
                        ("pool", (&now.pool).into()),
                        ("zone", (&now.zone).into()),
                    ];
                    push_event(events, Event::UpstreamSeen, fields);
                }
            }
        }
        for id in before.instances.keys().filter(|id| !self.instances.contains_key(*id)) {
            push_event(events, Event::UpstreamGone, [("instance", id.into())]);
        }
    }

    fn add_holder_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
        for (incarnation, now) in &self.holders {
            let old = before.holders.get(incarnation);
            if old.is_none() {
                let fields = [("entry", (&now.id).into()), ("zone", (&now.zone).into())];
                push_event(events, Event::EntrySeen, fields);
            }
            if now.departing && !old.is_some_and(|old| old.departing) {
                push_event(events, Event::EntryDeparting, [("entry", (&now.id).into())]);
            }
            // An entry instance that shuts down expires its own lease, which is not reported.
            if now.expired && !now.departing && !old.is_some_and(|old| old.expired) {
                push_event(events, Event::LeaseExpired, [("entry", (&now.id).into())]);
            }
            if now.gone && !old.is_some_and(|old| old.gone) {
                push_event(events, Event::EntryGone, [("entry", (&now.id).into())]);
            }
        }
    }

    fn add_hold_events(&self, before: &StateSummary, events: &mut Vec<StateEvent>) {
        for (op, description) in self.holds.iter().filter(|(op, _)| !before.holds.contains_key(*op))
        {
            push_event(events, Event::HoldTaken, [("op", op.into()), ("what", description.into())]);
        }
        for (op, _) in before.holds.iter().filter(|(op, _)| !self.holds.contains_key(*op)) {
            push_event(events, Event::HoldEnded, [("op", op.into())]);
        }
    }
}

fn summarize_holders(state: &State) -> IndexMap<Incarnation, HolderSummary> {
    let summary = |(incarnation, holder): (&Incarnation, &crate::state::Holder)| {
        let summary = HolderSummary {
            id: holder.id.clone(),
            zone: holder.addresses.zone.clone(),
            departing: holder.departing,
            expired: holder.expired,
            gone: holder.gone,
        };
        (*incarnation, summary)
    };
    state.holders.iter().map(summary).collect()
}

/// Describes a hold, for example `zone_out a`. Returns `None` for other records.
pub fn describe_hold(hold: &Record) -> Option<String> {
    match hold {
        Record::KeyWithdraw { key, .. } => Some(format!("key_withdraw {key}")),
        Record::ZoneOut { zone, .. } => Some(format!("zone_out {zone}")),
        Record::InstanceOut { instance, .. } => Some(format!("instance_out {instance}")),
        _ => None,
    }
}

/// Returns the op id and the description of a hold.
fn describe_with_op(hold: &Record) -> Option<(OpId, String)> {
    Some((Holds::restrictive_op(hold)?.clone(), describe_hold(hold)?))
}

fn push_event<const N: usize>(
    events: &mut Vec<StateEvent>,
    event: Event,
    fields: [(&'static str, FieldValue); N],
) {
    events.push(StateEvent { event, fields: fields.into() });
}

/// Adds events for names taken out of service or put back. `kinds` contains the events for both and the
/// field for the name.
fn add_out_events(
    before: &IndexMap<std::sync::Arc<str>, Offset>,
    now: &IndexMap<std::sync::Arc<str>, Offset>,
    kinds: (Event, Event, &'static str),
    events: &mut Vec<StateEvent>,
) {
    let (out, back, field) = kinds;
    for (name, offset) in now {
        if before.get(name) != Some(offset) {
            push_event(events, out, [(field, name.into()), ("offset", (*offset).into())]);
        }
    }
    for name in before.keys().filter(|name| !now.contains_key(*name)) {
        push_event(events, back, [(field, name.into())]);
    }
}

fn add_instance_change(
    id: &InstanceId,
    old: &InstanceSummary,
    now: &InstanceSummary,
    events: &mut Vec<StateEvent>,
) {
    let instance = || ("instance", id.into());
    match (old.draining, now.draining) {
        (false, true) => {
            push_event(events, Event::DrainStarted, [instance(), ("pool", (&now.pool).into())]);
        }
        (true, false) => push_event(events, Event::DrainEnded, [instance()]),
        (true, true) | (false, false) => {}
    }
    // The first time is the start of the maintenance interval, not a maintenance.
    if old.maintained_at.is_some() && old.maintained_at < now.maintained_at {
        push_event(events, Event::InstanceMaintained, [instance(), ("pool", (&now.pool).into())]);
    }
    if let Some(to) = now.moving_to.as_ref().filter(|to| old.moving_to.as_ref() != Some(to)) {
        let fields = [instance(), ("from", (&now.pool).into()), ("to", to.into())];
        push_event(events, Event::MoveStarted, fields);
    }
    if old.pool != now.pool {
        push_event(events, Event::MoveEnded, [instance(), ("to", (&now.pool).into())]);
    } else if old.moving_to.is_some() && now.moving_to.is_none() {
        push_event(events, Event::MoveCancelled, [instance()]);
    }
}
