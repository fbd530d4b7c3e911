//! Workers as the owner knows them.

use crate::batch::job::{TaskId, WorkerId};
use crate::batch::orders::WorkerTime;
use crate::fair::Resources;
use crate::ids::{PoolId, RackId, Time, ZoneId};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// A worker's clock runs at most this much slower than ours; the platform states 2%.
const MIN_CLOCK_RATE: f64 = 0.97;
/// Failures without a success between them after which a worker is set aside.
pub const FAILURES_BEFORE_QUARANTINE: u32 = 3;
/// First time for which a worker is set aside; doubles with each further time.
pub const INITIAL_QUARANTINE: Duration = Duration::from_secs(3);
/// Longest time for which a worker is set aside.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(12);

/// What a worker says of itself in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
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
    pub incarnation: u64,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub info: WorkerInfo,
    /// Still in the list.
    pub registered: bool,
    /// This life is over for sure, though the list may still show it.
    pub ended_incarnation: Option<u64>,
    /// Its lists were read in this term and this life, so that orders of earlier owners have no effect.
    pub synced: bool,
    /// Raised when orders that are still on their way must no longer have effect.
    pub fence_counter: u32,
    /// Life that the lists and the clock belong to.
    pub incarnation: u64,
    /// Its clock at a time of ours.
    pub clock_reading: Option<(WorkerTime, Time)>,
    /// Latest lease sent in any order, by its clock.
    pub lease_until: WorkerTime,
    /// Nothing runs there after this, by our clock, unless a lease is extended; for a worker whose
    /// clock is not known.
    pub prior_leases_until: Time,
    /// Tasks ordered there, with the room each takes.
    pub assigned: IndexMap<TaskId, Resources>,
    /// Ends with numbers up to this were taken in.
    pub last_processed: u64,
    /// Ends with numbers up to this are stored and may be acknowledged.
    pub last_stored: u64,
    /// Ends with numbers up to this were acknowledged to the worker.
    pub last_acknowledged: u64,
    pub last_answer_at: Time,
    /// Looks in a row without an answer.
    pub unanswered_polls: u32,
    /// Failures in a row without a success.
    pub consecutive_failures: u32,
    /// Times set aside in a row.
    pub consecutive_quarantines: u32,
    pub quarantined_until: Time,
    /// Gets no starts since its machine is about to be taken away.
    pub cordoned: bool,
    /// No starts before this time after it refused one.
    pub start_backoff_until: Time,
}

impl Worker {
    /// A worker that was just listed. Until `unknown_until` orders of earlier owners may have effect.
    pub fn new(info: WorkerInfo, prior_leases_until: Time, now: Time) -> Worker {
        Worker {
            incarnation: info.incarnation,
            info,
            registered: true,
            ended_incarnation: None,
            synced: false,
            fence_counter: 0,
            clock_reading: None,
            lease_until: WorkerTime::ZERO,
            prior_leases_until,
            assigned: IndexMap::new(),
            last_processed: 0,
            last_stored: 0,
            last_acknowledged: 0,
            last_answer_at: now,
            unanswered_polls: 0,
            consecutive_failures: 0,
            consecutive_quarantines: 0,
            quarantined_until: Time::ZERO,
            cordoned: false,
            start_backoff_until: Time::ZERO,
        }
    }

    /// Forgets everything that belonged to the worker's earlier life.
    pub fn begin_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.resync();
        self.clock_reading = None;
        self.lease_until = WorkerTime::ZERO;
        self.last_processed = 0;
        self.last_stored = 0;
        self.last_acknowledged = 0;
    }

    /// Has its lists read again under a higher fence, so that orders on their way have no effect.
    pub fn resync(&mut self) {
        self.synced = false;
        self.fence_counter += 1;
    }

    /// Its clock now, or a little less.
    pub fn estimate_clock(&self, now: Time) -> Option<WorkerTime> {
        let (clock, at) = self.clock_reading?;
        Some(clock + now.saturating_sub(at).mul_f64(MIN_CLOCK_RATE))
    }

    /// When all leases sent so far are over for sure, by our clock.
    pub fn leases_expire_at(&self) -> Time {
        match self.clock_reading {
            None => self.prior_leases_until,
            Some((clock, at)) => {
                let left = self.lease_until.saturating_sub(clock).div_f64(MIN_CLOCK_RATE);
                self.prior_leases_until.max(at + left)
            }
        }
    }

    /// Room that is left.
    pub fn free_resources(&self) -> Resources {
        let used = self.assigned.values().fold(Resources::default(), |sum, need| sum.plus(need));
        self.info.capacity.minus(&used)
    }

    /// Whether its lists must be read now and then: something runs there, or an end waits for its
    /// acknowledgement, or it was not greeted yet.
    pub fn needs_poll(&self) -> bool {
        self.ended_incarnation.is_none()
            && (!self.synced
                || !self.assigned.is_empty()
                || self.last_acknowledged < self.last_processed)
    }

    /// Notes a run that failed, and sets the worker aside when that happens again and again.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_BEFORE_QUARANTINE {
            return false;
        }
        let time = INITIAL_QUARANTINE * 2u32.saturating_pow(self.consecutive_quarantines);
        self.quarantined_until = now + time.min(MAX_QUARANTINE);
        self.consecutive_quarantines += 1;
        // One more failure after it returns sets it aside again.
        self.consecutive_failures = FAILURES_BEFORE_QUARANTINE - 1;
        true
    }

    /// Notes a run that ended well.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_quarantines = 0;
        self.quarantined_until = Time::ZERO;
    }
}
