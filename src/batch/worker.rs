//! Workers as the owner knows them.

use crate::batch::job::{TaskId, WorkerId};
use crate::batch::order::WorkerClock;
use crate::fair::Resources;
use crate::ids::{PoolId, RackId, Time, ZoneId};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// A worker's clock runs at most this much slower than ours; the platform states 2%.
const SLOWEST_CLOCK: f64 = 0.97;
/// Failures without a success between them after which a worker is set aside.
pub const FAILURES_ASIDE: u32 = 3;
/// First time for which a worker is set aside; doubles with each further time.
pub const ASIDE_FIRST: Duration = Duration::from_secs(3);
/// Longest time for which a worker is set aside.
pub const ASIDE_MAX: Duration = Duration::from_secs(12);

/// What a worker says of itself in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: WorkerId,
    pub machine: Arc<str>,
    pub pool: PoolId,
    pub zone: ZoneId,
    pub rack: RackId,
    pub labels: Vec<Arc<str>>,
    pub address: Arc<str>,
    pub capacity: Resources,
    pub draining: bool,
    /// When it started; 0 if it does not say.
    pub born: u64,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub listed: Listed,
    /// Still in the list.
    pub present: bool,
    /// This life is over for sure, though the list may still show it.
    pub over: Option<u64>,
    /// Its lists were read in this term and this life, so that orders of earlier owners have no effect.
    pub greeted: bool,
    /// Raised when orders that are still on their way must no longer have effect.
    pub fence_step: u32,
    /// Life that the lists and the clock belong to.
    pub born: u64,
    /// Its clock at a time of ours.
    pub clock: Option<(WorkerClock, Time)>,
    /// Latest lease sent in any order, by its clock.
    pub lease: WorkerClock,
    /// Nothing runs there after this, by our clock, unless a lease is extended; for a worker whose
    /// clock is not known.
    pub unknown_until: Time,
    /// Tasks ordered there, with the room each takes.
    pub held: IndexMap<TaskId, Resources>,
    /// Ends with numbers up to this were taken in.
    pub taken: u64,
    /// Ends with numbers up to this are stored and may be acknowledged.
    pub stored: u64,
    /// Ends with numbers up to this were acknowledged to the worker.
    pub acked: u64,
    pub last_answer: Time,
    /// Looks in a row without an answer.
    pub unanswered: u32,
    /// Failures in a row without a success.
    pub failures: u32,
    /// Times set aside in a row.
    pub times_aside: u32,
    pub aside_until: Time,
    /// Gets no starts since its machine is about to be taken away.
    pub reserved: bool,
    /// No starts before this time after it refused one.
    pub full_until: Time,
}

impl Worker {
    /// A worker that was just listed. Until `unknown_until` orders of earlier owners may have effect.
    pub fn new(listed: Listed, unknown_until: Time, now: Time) -> Worker {
        Worker {
            born: listed.born,
            listed,
            present: true,
            over: None,
            greeted: false,
            fence_step: 0,
            clock: None,
            lease: WorkerClock::ZERO,
            unknown_until,
            held: IndexMap::new(),
            taken: 0,
            stored: 0,
            acked: 0,
            last_answer: now,
            unanswered: 0,
            failures: 0,
            times_aside: 0,
            aside_until: Time::ZERO,
            reserved: false,
            full_until: Time::ZERO,
        }
    }

    /// Forgets everything that belonged to the worker's earlier life.
    pub fn reborn(&mut self, born: u64) {
        self.born = born;
        self.greet_again();
        self.clock = None;
        self.lease = WorkerClock::ZERO;
        self.taken = 0;
        self.stored = 0;
        self.acked = 0;
    }

    /// Has its lists read again under a higher fence, so that orders on their way have no effect.
    pub fn greet_again(&mut self) {
        self.greeted = false;
        self.fence_step += 1;
    }

    /// Its clock now, or a little less.
    pub fn clock_at(&self, now: Time) -> Option<WorkerClock> {
        let (clock, at) = self.clock?;
        Some(clock + now.saturating_sub(at).mul_f64(SLOWEST_CLOCK))
    }

    /// When all leases sent so far are over for sure, by our clock.
    pub fn lapses_at(&self) -> Time {
        match self.clock {
            None => self.unknown_until,
            Some((clock, at)) => {
                let left = self.lease.saturating_sub(clock).div_f64(SLOWEST_CLOCK);
                self.unknown_until.max(at + left)
            }
        }
    }

    /// Room that is left.
    pub fn free(&self) -> Resources {
        let used = self.held.values().fold(Resources::default(), |sum, need| sum.plus(need));
        self.listed.capacity.minus(&used)
    }

    /// Whether its lists must be read now and then: something runs there, or an end waits for its
    /// acknowledgement, or it was not greeted yet.
    pub fn needs_look(&self) -> bool {
        self.over.is_none() && (!self.greeted || !self.held.is_empty() || self.acked < self.taken)
    }

    /// Notes a run that failed, and sets the worker aside when that happens again and again.
    pub fn note_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_ASIDE {
            return false;
        }
        let time = ASIDE_FIRST * 2u32.saturating_pow(self.times_aside);
        self.aside_until = now + time.min(ASIDE_MAX);
        self.times_aside += 1;
        // One more failure after it returns sets it aside again.
        self.failures = FAILURES_ASIDE - 1;
        true
    }

    /// Notes a run that ended well.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.times_aside = 0;
        self.aside_until = Time::ZERO;
    }
}
