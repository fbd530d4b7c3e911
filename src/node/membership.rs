//! Membership: the platform's instance list, drain states reported by upstreams, holds, and peer
//! addresses.

use super::*;
use crate::protocol::{Presence, Role};

/// Time for which an instance must be missing from every list before it counts as gone. The list
/// lags and an older one may arrive after a newer one, so a single list proves nothing.
pub const UNLISTED_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time between two comparisons of the list with the state. A comparison iterates over all
/// instances.
const MEMBERSHIP_COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of consecutive lists without the instance before it counts as gone.
const MIN_ABSENT_LISTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    since: Time,
    lists: u32,
}

impl Node {
    /// Handles an instance list of the platform.
    pub fn on_list(&mut self, now: Time, list: &InstanceList) {
        self.advance_clock(now);
        self.list = Some(list.clone());
        let listed: HashSet<&InstanceId> = list.instances.iter().map(|l| &l.id).collect();
        self.draining.retain(|id| listed.contains(id));
        self.absent.retain(|id, _| !listed.contains(id));
        let known = self.replica.state();
        let upstreams = known.instances.iter().filter(|(_, i)| i.gone_at.is_none());
        let entries = known.holders.values().filter(|holder| !holder.gone);
        let known_ids = upstreams.map(|(id, _)| id).chain(entries.map(|holder| &holder.id));
        let unlisted: HashSet<InstanceId> =
            known_ids.filter(|id| !listed.contains(id)).cloned().collect();
        self.absent.retain(|id, _| unlisted.contains(id));
        for id in unlisted {
            self.absent.entry(id).or_insert(Absence { since: now, lists: 0 }).lists += 1;
        }
    }

    pub(super) fn is_listed_live(&self, listed: &ListedInstance) -> bool {
        listed.presence == Presence::Live || self.has_mutation(Mutation::IgnoreClosedInstances)
    }

    /// Handles the drain state that an upstream reported about itself.
    pub fn on_draining(&mut self, upstream: &InstanceId, draining: bool) {
        if draining {
            self.draining.insert(upstream.clone());
        } else {
            self.draining.remove(upstream);
        }
    }

    /// Proposes records for upstreams that are new in the list and for instances that are no longer
    /// in it.
    pub(super) fn propose_membership_changes(&mut self, now: Time) {
        let Some(list) = &self.list else { return };
        if self.members_compared_at.is_some_and(|at| now < at + MEMBERSHIP_COMPARE_INTERVAL) {
            return;
        }
        self.members_compared_at = Some(now);
        let upstreams = list.instances.iter().filter(|l| l.role == Role::Upstream);
        let is_new = |l: &&ListedInstance| {
            self.replica.state().instances.get(&l.id).is_none_or(|known| known.gone_at.is_some())
        };
        let seen = upstreams.filter(is_new).map(|l| Record::InstanceSeen {
            instance: l.id.clone(),
            pool: l.pool.clone(),
            zone: l.zone.clone(),
            rack: l.rack.clone(),
        });
        let is_gone = |absent: &Absence| {
            absent.lists >= MIN_ABSENT_LISTS && now.saturating_sub(absent.since) >= UNLISTED_TIMEOUT
        };
        let gone = self.absent.iter().filter(|(_, absent)| is_gone(absent));
        let gone = gone.map(|(id, _)| Record::InstanceGone { instance: id.clone() });
        let records: Vec<Record> = seen.chain(gone).collect();
        for record in records {
            self.propose_paced(now, record);
        }
    }

    /// Proposes a record that any instance may propose, with the delays of `ProposalPacer`.
    pub(super) fn propose_paced(&mut self, now: Time, record: Record) {
        let subject = match &record {
            Record::InstanceSeen { instance, .. } => format!("seen {instance}"),
            Record::InstanceGone { instance } => format!("gone {instance}"),
            Record::Expire { holder_incarnation, renewed_at, level, .. } => {
                format!("expire {holder_incarnation} {renewed_at} {level:?}")
            }
            other => {
                Holds::restrictive_op(other).map(|op| format!("hold {op}")).unwrap_or_default()
            }
        };
        if self.pacer.is_due(now, &mut self.rng, subject) {
            self.outbox.propose(record);
        }
    }

    /// Puts a restrictive command in force at this instance before it is in the log. Returns true
    /// if the command is new.
    pub fn add_hold(&mut self, now: Time, hold: Record) -> bool {
        self.advance_clock(now);
        let known =
            Holds::restrictive_op(&hold).is_some_and(|op| self.state().op_offset(op).is_some());
        !known && self.holds.add(hold)
    }

    /// Returns all holds in force at this instance, to be sent to peers.
    pub fn holds(&self) -> Vec<Record> {
        self.holds.iter().map(|(_, record)| record.clone()).collect()
    }

    /// Ends the holds whose records are included in the state; called after a snapshot was loaded.
    pub(super) fn end_applied_holds(&mut self) {
        let state = self.replica.state();
        let applied: Vec<OpId> = self
            .holds
            .iter()
            .map(|(op, _)| op.clone())
            .filter(|op| state.op_offset(op).is_some())
            .collect();
        applied.iter().for_each(|op| self.holds.end(op));
    }

    /// Returns the id, zone and peer address of each other entry instance that may be alive.
    pub fn peers(&self) -> Vec<(EntryId, ZoneId, String)> {
        let others = self.state().holders.iter().filter(|(id, holder)| {
            **id != self.cfg.incarnation && !holder.gone && !holder.departing
        });
        let addresses = others.map(|(_, holder)| {
            let at = &holder.addresses;
            (holder.id.clone(), at.zone.clone(), at.peer_addr.clone())
        });
        addresses.collect()
    }
}
