//! When an instance takes over as the owner.
//!
//! All instances follow the same heartbeats, and a conditional append decides between those that
//! try at the same time. The delays here decide who tries first: the owner's work grows with the
//! whole fleet, so instances on larger machines go before those on smaller ones.

use crate::ids::{EntryId, Time};
use crate::instance::config::MachineSize;
use crate::instance::shared::OwnerInfo;
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

/// What an instance has read about the owner.
#[derive(Clone, Debug)]
pub struct Election {
    name: EntryId,
    incarnation: u64,
    machine: MachineSize,
    latest_owner: Option<OwnerInfo>,
    has_resigned: bool,
    /// Start of the period in which every read succeeded and no owner record arrived.
    silent_since: Time,
    /// Start of the period in which every read succeeded and `latest_owner` was the owner.
    followed_since: Time,
}

impl Election {
    /// Creates the state of an instance that has read nothing yet.
    pub fn new(name: EntryId, incarnation: u64, machine: MachineSize, now: Time) -> Election {
        Election {
            name,
            incarnation,
            machine,
            latest_owner: None,
            has_resigned: true,
            silent_since: now,
            followed_since: now,
        }
    }

    /// Records the newest owner record of a read.
    pub fn record_owner(&mut self, owner: OwnerInfo, has_resigned: bool, now: Time) {
        if self.latest_owner.as_ref().is_none_or(|o| o.term != owner.term) {
            self.followed_since = now;
        }
        self.latest_owner = Some(owner);
        self.has_resigned = has_resigned;
        self.silent_since = now;
    }

    /// Records that heartbeats may have been missed.
    pub fn record_gap(&mut self, now: Time) {
        self.silent_since = now;
        self.followed_since = now;
    }

    /// Records that this instance tried to take over and did not succeed. A living owner is not
    /// challenged again at once.
    pub fn record_failed_takeover(&mut self, now: Time) {
        self.followed_since = now;
    }

    /// Returns the latest owner, including one that has resigned.
    pub fn latest_owner(&self) -> Option<&OwnerInfo> {
        self.latest_owner.as_ref()
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
