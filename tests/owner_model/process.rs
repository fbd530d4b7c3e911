//! A process that is or was the owner, driven as `jacinthhook::instance` drives one.

use super::messages::PollOrder;
use indexmap::IndexMap;
use jacinthhook::batch::job::WorkerId;
use jacinthhook::batch::owner::{DecisionBatch, Owner};
use jacinthhook::batch::prior_leases::{LeaseRecord, PriorLeases};
use jacinthhook::ids::Time;
use jacinthhook::instance::term::Term;
use std::time::Duration;

/// Time for which a worker delays its response until a run ends.
pub const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// State of a worker's poll loop.
#[derive(Clone, Debug, Default)]
pub struct PollLoop {
    /// A poll or the pause after it is under way; a wake is kept until it is over.
    pub busy: bool,
    pub woken: bool,
    pub store_wait_elapsed: bool,
    /// Number of the scheduled step; earlier ones are void.
    pub generation: u64,
}

/// Next step of a worker's poll loop.
pub enum PollStep {
    Poll(PollOrder),
    Idle,
    AwaitStore,
}

/// An owner's process.
pub struct Process {
    pub term: Term,
    pub began_at: Time,
    /// What the record of the owner before said about leases.
    pub prior_leases: PriorLeases,
    /// `None` before the state is loaded and after the term.
    pub owner: Option<Owner>,
    /// The process has not been killed.
    pub alive: bool,
    /// The term is over, and the process says so when it is asked.
    pub has_ended: bool,
    /// The process reaches the store.
    pub in_touch: bool,
    pub frozen_until: Time,
    pub loops: IndexMap<WorkerId, PollLoop>,
    /// Incarnation of each worker that answered last, at which the connections end as far as the process knows.
    pub answered_by: IndexMap<WorkerId, u64>,
    /// The batch that is being stored.
    pub batch: Option<DecisionBatch>,
    /// Number of the scheduled heartbeat; earlier ones are void.
    pub heartbeat_generation: u64,
    /// Before this time no heartbeat is sent; `None` while one is being stored.
    pub heartbeat_from: Option<Time>,
    /// A heartbeat is wanted before the next one is due.
    pub heartbeat_needed: bool,
    /// Until when orders of this process do not reach a worker.
    pub cut_until: IndexMap<WorkerId, Time>,
    /// A pass is wanted before the longest time between two passes is over.
    pub plan_needed: bool,
    pub last_pass_at: Time,
}

impl Process {
    pub fn new(number: u64, prior_leases: PriorLeases, now: Time) -> Process {
        Process {
            term: Term::new(number, now).with_confirmed_takeover(now),
            began_at: now,
            prior_leases,
            owner: None,
            alive: true,
            has_ended: false,
            in_touch: true,
            frozen_until: Time::ZERO,
            loops: IndexMap::new(),
            answered_by: IndexMap::new(),
            batch: None,
            heartbeat_generation: 0,
            heartbeat_from: Some(now),
            heartbeat_needed: false,
            cut_until: IndexMap::new(),
            plan_needed: true,
            last_pass_at: now,
        }
    }

    /// Ends the term. Orders in flight remain.
    pub fn end_term(&mut self, reason: &str) {
        self.term.end(reason);
        (self.owner, self.batch, self.has_ended) = (None, None, true);
    }

    /// Returns what the next owner record says about leases.
    pub fn announce_leases(&mut self, resigning: bool, now: Time) -> LeaseRecord {
        match self.owner.as_mut() {
            Some(owner) => owner.announce_leases(resigning, now),
            None => self.prior_leases.inherited_record(resigning, now),
        }
    }

    /// Whether the term has ended or the process was killed.
    pub fn is_over(&self, now: Time) -> bool {
        !self.alive || self.has_ended || !self.term.may_send_orders(now)
    }

    /// Returns what the poll loop of a worker does next, as in `instance::workers`, or `None` if the
    /// worker is gone.
    pub fn next_poll(&mut self, id: &WorkerId, elapsed: bool, now: Time) -> Option<PollStep> {
        let may_send = self.term.may_send_orders(now);
        let owner = self.owner.as_mut()?;
        let worker = owner.workers.get(id)?;
        if !worker.needs_poll() || !may_send || worker.info.address.is_empty() {
            return Some(PollStep::Idle);
        }
        if worker.last_processed > worker.last_stored && !elapsed {
            return Some(PollStep::AwaitStore);
        }
        let synced = worker.synced;
        let skip_wait = worker.assigned.is_empty() || worker.last_processed > worker.last_stored;
        let wait = if !synced || skip_wait || worker.unanswered_polls > 0 || worker.lease_withheld {
            Duration::ZERO
        } else {
            POLL_WAIT
        };
        let (acknowledged, fence) = (worker.next_acknowledged(), owner.fence(id));
        let incarnation = worker.incarnation;
        let lease = if synced { owner.extend_lease(now, id) } else { None };
        let lease_order = lease.and_then(|_| owner.begin_lease_order(id, now));
        let poll = PollOrder { fence, incarnation, lease, lease_order, acknowledged, wait };
        Some(PollStep::Poll(poll))
    }
}
