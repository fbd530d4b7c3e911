//! Restrictive operator commands that are in force here before the log has them.
//!
//! Holds only restrict, so any two sets merge as a union by `op` id. A hold ends only when its own
//! record is folded.

use crate::ids::*;
use crate::record::Record;
use indexmap::{IndexMap, IndexSet};

/// Most holds kept; more are refused.
pub const MAX_HOLDS: usize = 10_000;

/// The holds of one entry instance, in the order in which they came.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_op: IndexMap<OpId, Record>,
    /// Commands whose records were folded, valid or not. A peer that has not folded one yet may
    /// still pass it on, and a rejected one leaves no trace in the state.
    ended: IndexSet<OpId>,
}

impl Holds {
    /// Starts without holds.
    pub fn new() -> Holds {
        Holds::default()
    }

    /// The command's id, if it is one that restricts.
    pub fn restrictive_op(record: &Record) -> Option<&OpId> {
        match record {
            Record::KeyWithdraw { op, .. }
            | Record::ZoneOut { op, .. }
            | Record::InstanceOut { op, .. } => Some(op),
            _ => None,
        }
    }

    /// Adds a restrictive command; false when it is known, not restrictive, or one too many.
    pub fn add(&mut self, record: Record) -> bool {
        let Some(op) = Holds::restrictive_op(&record).cloned() else { return false };
        let known = self.by_op.contains_key(&op) || self.ended.contains(&op);
        if known || self.by_op.len() >= MAX_HOLDS {
            return false;
        }
        self.by_op.insert(op, record);
        true
    }

    /// Ends a hold whose record was folded.
    pub fn end(&mut self, op: &OpId) {
        self.by_op.shift_remove(op);
        self.ended.insert(op.clone());
        if self.ended.len() > MAX_HOLDS {
            self.ended.shift_remove_index(0);
        }
    }

    /// All holds.
    pub fn iter(&self) -> impl Iterator<Item = (&OpId, &Record)> {
        self.by_op.iter()
    }

    /// Whether no hold is in force.
    pub fn is_empty(&self) -> bool {
        self.by_op.is_empty()
    }

    /// Whether a key is held as withdrawn.
    pub fn has_key(&self, id: &KeyId) -> bool {
        self.by_op.values().any(|r| matches!(r, Record::KeyWithdraw { key, .. } if key == id))
    }

    /// Whether an availability zone is held as out.
    pub fn has_zone(&self, id: &ZoneId) -> bool {
        self.by_op.values().any(|r| matches!(r, Record::ZoneOut { zone, .. } if zone == id))
    }

    /// Whether an instance is held as out.
    pub fn has_instance(&self, id: &InstanceId) -> bool {
        self.by_op
            .values()
            .any(|r| matches!(r, Record::InstanceOut { instance, .. } if instance == id))
    }
}
