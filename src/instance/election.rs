//! When an instance takes over as the owner.
//!
//! All instances follow the same heartbeats, and a conditional append decides between those that
//! try at the same time. The delays here decide who tries first: the owner's work grows with the
//! whole fleet, so instances on larger machines go before those on smaller ones.

use crate::batch::owner::MAX_STORE_OUTAGE;
use crate::batch::prior_leases::{LeaseRecord, PriorLeases};
use crate::ids::{EntryId, Time};
use crate::instance::config::MachineSize;
use crate::instance::shared::OwnerInfo;
use crate::platform::store::{AppendCondition, StoreError};
use std::time::Duration;

/// Time without a heartbeat after which another instance takes over: three heartbeats and some time
/// for a read.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Unit of the delay that keeps instances of the same size from taking over at the same time.
const STAGGER_STEP: Duration = Duration::from_millis(70);
/// Number of different delays.
const STAGGER_STEP_COUNT: u64 = 6;
/// Delay of an instance on a much smaller machine than the last owner's. Longer than the largest
/// stagger, so that instances on larger machines are first.
const SMALLER_MACHINE_DELAY: Duration = Duration::from_millis(600);
/// How many times larger than the owner's a machine must be to replace a living owner. A change of
/// owner costs about half a second without decisions.
const REPLACE_SIZE_RATIO: f64 = 2.0;
/// Time for which an instance on a larger machine follows an owner before it replaces it. Longer
/// than an election, and shows that the instance reaches the store without a break.
const REPLACE_DELAY: Duration = Duration::from_secs(2);

/// Bits of an incarnation that its first sequence number keeps, so that the numbers that follow are
/// exact in JSON.
const FIRST_SEQUENCE_BITS: u32 = 48;

/// Why an instance takes over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeoverReason {
    /// No owner is known.
    NoOwner,
    /// The last owner said that it stops.
    Resigned,
    /// The last owner was an earlier incarnation of this instance.
    OwnRestart,
    /// There were no heartbeats for too long.
    NoHeartbeat,
    /// The owner lives, on a much smaller machine.
    SmallerMachine,
}

impl TakeoverReason {
    /// Returns the name in the event log.
    pub fn as_str(self) -> &'static str {
        match self {
            TakeoverReason::NoOwner => "no_owner",
            TakeoverReason::Resigned => "resigned",
            TakeoverReason::OwnRestart => "own_restart",
            TakeoverReason::NoHeartbeat => "no_heartbeat",
            TakeoverReason::SmallerMachine => "smaller_machine",
        }
    }
}

/// What an owner record tells an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// A heartbeat of the latest owner, or the first record of a later one.
    Followed,
    /// A record of an earlier term, which the store applied late.
    EarlierTerm,
    /// Another incarnation's record of the latest owner's term.
    SameTerm,
}

/// What an instance has read about the owner.
#[derive(Clone, Debug)]
pub struct Election {
    name: EntryId,
    incarnation: u64,
    machine: MachineSize,
    /// Its term never falls.
    latest_owner: Option<OwnerInfo>,
    /// Latest term that the store refused to this instance because it was given already, although no
    /// record of it was read.
    refused_term: u64,
    has_resigned: bool,
    /// Since when no owner record has arrived.
    silent_since: Time,
    /// Start of the period in which every read succeeded and `latest_owner` was the owner.
    followed_since: Time,
    /// When the owners before `latest_owner` have certainly stopped sending orders: the store has confirmed
    /// no append of theirs since its term began.
    earlier_owners_stopped_at: Time,
    /// What the latest record of `latest_owner` says about leases.
    prior_leases: PriorLeases,
}

impl Election {
    /// Creates the state of an instance that has read nothing yet.
    pub fn new(name: EntryId, incarnation: u64, machine: MachineSize, now: Time) -> Election {
        Election {
            name,
            incarnation,
            machine,
            latest_owner: None,
            refused_term: 0,
            has_resigned: true,
            silent_since: now,
            followed_since: now,
            earlier_owners_stopped_at: now + MAX_STORE_OUTAGE,
            prior_leases: PriorLeases::default(),
        }
    }

    /// Records an owner record, in the order of the topic. A record that is not the latest owner's
    /// changes nothing: it is no heartbeat, and its owner is not followed.
    pub fn record_owner(
        &mut self,
        owner: OwnerInfo,
        has_resigned: bool,
        now: Time,
    ) -> RecordOutcome {
        match &self.latest_owner {
            Some(latest) if owner.term < latest.term => return RecordOutcome::EarlierTerm,
            Some(latest)
                if owner.term == latest.term && owner.incarnation != latest.incarnation =>
            {
                return RecordOutcome::SameTerm;
            }
            Some(latest) if owner.term == latest.term => {}
            Some(_) | None => {
                self.followed_since = now;
                self.earlier_owners_stopped_at = now + MAX_STORE_OUTAGE;
            }
        }
        // The term may have begun before this process did, so its begin may have no time here.
        let stopped_at = (now + MAX_STORE_OUTAGE).saturating_sub(owner.term_age);
        self.earlier_owners_stopped_at = self.earlier_owners_stopped_at.min(stopped_at);
        self.latest_owner = Some(owner);
        self.has_resigned = has_resigned;
        self.silent_since = now;
        RecordOutcome::Followed
    }

    /// Records what an owner record that was followed says about leases.
    pub fn record_leases(&mut self, leases: Option<&LeaseRecord>, now: Time) {
        self.prior_leases = match leases {
            Some(leases) => PriorLeases::new(leases, now),
            None => PriorLeases::unknown(),
        };
    }

    /// Returns what the latest owner's record says about leases.
    pub fn prior_leases(&self) -> &PriorLeases {
        &self.prior_leases
    }

    /// Records that heartbeats may have been missed.
    pub fn record_gap(&mut self, now: Time) {
        self.silent_since = now;
        self.followed_since = now;
    }

    /// Records a read that failed. The next one that succeeds returns all records since the last one
    /// that did, so no heartbeat is missed.
    pub fn record_failed_read(&mut self, now: Time) {
        self.followed_since = now;
    }

    /// Returns the term of the next owner.
    pub fn next_term(&self) -> u64 {
        self.latest_owner.as_ref().map_or(0, |o| o.term).max(self.refused_term) + 1
    }

    /// Returns the condition on which this instance takes over with `next_term`: the topic ends where
    /// it was read, and the term has not been given. The term becomes the epoch of the topic, so
    /// that the store refuses records of earlier owners that arrive late.
    pub fn takeover_condition(&self, topic_end: u64) -> AppendCondition {
        AppendCondition {
            expected_end: Some(topic_end),
            producer: Some((self.next_term(), first_sequence(self.incarnation))),
        }
    }

    /// Records that this instance tried to take over with `next_term` and did not succeed, or does
    /// not know. A living owner is not challenged again at once.
    pub fn record_failed_takeover(&mut self, error: &StoreError, now: Time) {
        self.followed_since = now;
        if matches!(error, StoreError::Fenced | StoreError::SequenceMismatch { .. }) {
            self.refused_term = self.next_term();
        }
    }

    /// Returns the latest owner, including one that has resigned.
    pub fn latest_owner(&self) -> Option<&OwnerInfo> {
        self.latest_owner.as_ref()
    }

    /// Returns when the owners before the latest one have certainly stopped sending orders.
    pub fn earlier_owners_stopped_at(&self) -> Time {
        self.earlier_owners_stopped_at
    }

    /// Returns the term of this incarnation that is in force although its append was not confirmed.
    /// `last_ended_term` is the latest term of this incarnation that has ended.
    pub fn unconfirmed_term(&self, last_ended_term: u64) -> Option<u64> {
        let owner = self.latest_owner.as_ref().filter(|_| !self.has_resigned)?;
        let is_own = owner.incarnation == self.incarnation && owner.term > last_ended_term;
        is_own.then_some(owner.term)
    }

    /// Returns when this instance takes over if it reads no other owner record until then, and why.
    pub fn takeover_at(&self) -> (Time, TakeoverReason) {
        let delay = self.stagger() + self.smaller_machine_delay();
        let Some(owner) = &self.latest_owner else {
            return (self.silent_since + delay, TakeoverReason::NoOwner);
        };
        if self.has_resigned {
            return (self.silent_since + delay, TakeoverReason::Resigned);
        }
        if owner.name == self.name && owner.incarnation != self.incarnation {
            return (self.silent_since + delay, TakeoverReason::OwnRestart);
        }
        let silent_at = self.silent_since + HEARTBEAT_TIMEOUT + delay;
        if self.machine.is_larger(&owner.machine, REPLACE_SIZE_RATIO) {
            let replace_at = self.followed_since + REPLACE_DELAY + delay;
            if replace_at < silent_at {
                return (replace_at, TakeoverReason::SmallerMachine);
            }
        }
        (silent_at, TakeoverReason::NoHeartbeat)
    }

    fn stagger(&self) -> Duration {
        let sum: u64 = self.name.bytes().map(u64::from).sum();
        STAGGER_STEP * (sum % STAGGER_STEP_COUNT) as u32
    }

    /// The more this machine falls short of the last owner's, the longer the delay.
    fn smaller_machine_delay(&self) -> Duration {
        let Some(owner) = &self.latest_owner else { return Duration::ZERO };
        let ratio = self.machine.lowest_ratio(&owner.machine);
        SMALLER_MACHINE_DELAY.mul_f64(1.0 - ratio.min(1.0))
    }
}

/// Sequence number of an incarnation's first append in each of its terms. Numbers of two incarnations
/// do not meet, so that the store never takes an append of one for a retry of the other's.
pub fn first_sequence(incarnation: u64) -> u64 {
    incarnation >> (u64::BITS - FIRST_SEQUENCE_BITS)
}

/// Appends to the owner topic by which an owner keeps its term.
#[derive(Clone, Debug)]
pub struct Heartbeats {
    term: u64,
    incarnation: u64,
    /// Number of the next append; retries carry the same one.
    sequence: u64,
    /// Offset below which no record is another owner's of this term or a later one.
    read_until: u64,
}

impl Heartbeats {
    /// Creates the state of a term whose first append is confirmed, or was read, at an offset below
    /// `topic_end`.
    pub fn new(term: u64, incarnation: u64, topic_end: u64) -> Heartbeats {
        Heartbeats {
            term,
            incarnation,
            sequence: first_sequence(incarnation) + 1,
            read_until: topic_end,
        }
    }

    /// Returns the condition of the next heartbeat.
    pub fn condition(&self) -> AppendCondition {
        AppendCondition { expected_end: None, producer: Some((self.term, self.sequence)) }
    }

    /// Records that the next heartbeat is stored and that the topic ended at `end` then. Returns the
    /// offset of the first record before it that may be another owner's, if there is one.
    pub fn record_stored(&mut self, end: u64) -> Option<u64> {
        self.sequence += 1;
        if end > self.read_until + 1 {
            return Some(self.read_until);
        }
        self.record_read(end);
        None
    }

    /// Records that no record below `end` is another owner's of this term or a later one.
    pub fn record_read(&mut self, end: u64) {
        self.read_until = self.read_until.max(end);
    }

    /// Whether a record shows that this owner must end its term: another incarnation has the term, or
    /// a later one.
    pub fn is_superseded_by(&self, owner: &OwnerInfo) -> bool {
        owner.incarnation != self.incarnation && owner.term >= self.term
    }
}
