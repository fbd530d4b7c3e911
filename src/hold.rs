//! Restrictive operator commands that are in force at this instance before they are in the log.
//!
//! Holds only restrict, so any two sets of holds merge into their union by `op` id. A hold ends
//! only when its own record is applied.

use crate::ids::*;
use crate::record::Record;
use indexmap::{IndexMap, IndexSet};

/// Maximum number of holds; further ones are rejected.
pub const MAX_HOLDS: usize = 10_000;

/// Holds of one entry instance, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_op: IndexMap<OpId, Record>,
    /// Commands whose records were applied or rejected by the log. A peer that has not applied such
    /// a record yet may still send the hold, and a rejected command leaves no trace in the state.
    ended: IndexSet<OpId>,
}

impl Holds {
    pub fn new() -> Holds {
        Holds::default()
    }

    /// Returns the command id of a restrictive command, and `None` for any other record.
    pub fn restrictive_op(record: &Record) -> Option<&OpId> {
        match record {
            Record::KeyWithdraw { op, .. }
            | Record::ZoneOut { op, .. }
            | Record::InstanceOut { op, .. } => Some(op),
            _ => None,
        }
    }

    /// Adds a restrictive command. Returns false if it is known, not restrictive, or exceeds
    /// `MAX_HOLDS`.
    pub fn add(&mut self, record: Record) -> bool {
        let Some(op) = Holds::restrictive_op(&record).cloned() else { return false };
        let known = self.by_op.contains_key(&op) || self.ended.contains(&op);
        if known || self.by_op.len() >= MAX_HOLDS {
            return false;
        }
        self.by_op.insert(op, record);
        true
    }

    /// Ends a hold whose record was applied or rejected by the log.
    pub fn end(&mut self, op: &OpId) {
        self.by_op.shift_remove(op);
        self.ended.insert(op.clone());
        if self.ended.len() > MAX_HOLDS {
            self.ended.shift_remove_index(0);
        }
    }

    /// Iterates over the holds in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (&OpId, &Record)> {
        self.by_op.iter()
    }

    pub fn is_empty(&self) -> bool {
        self.by_op.is_empty()
    }

    /// Whether a hold withdraws the key.
    pub fn has_key(&self, id: &KeyId) -> bool {
        self.by_op.values().any(|r| matches!(r, Record::KeyWithdraw { key, .. } if key == id))
    }

    /// Whether a hold takes the availability zone out of service.
    pub fn has_zone(&self, id: &ZoneId) -> bool {
        self.by_op.values().any(|r| matches!(r, Record::ZoneOut { zone, .. } if zone == id))
    }

    /// Whether a hold takes the instance out of service.
    pub fn has_instance(&self, id: &InstanceId) -> bool {
        self.by_op
            .values()
            .any(|r| matches!(r, Record::InstanceOut { instance, .. } if instance == id))
    }
}
