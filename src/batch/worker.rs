//! State of workers as known to the owner.

use crate::batch::job::{TaskId, WorkerId};
use crate::batch::orders::WorkerTime;
use crate::batch::prior_leases::{EXTENDABLE_LEASE_MS, PriorLease, WorkerLease, remaining_ms};
use crate::batch::stray_lease::{Announcement, LeaseOrders, StrayLease, StraySource};
use crate::fair::Resources;
use crate::ids::{PoolId, RackId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Lower bound for the rate of a worker's clock relative to the owner's. The platform guarantees a
/// deviation of at most 2%.
const MIN_CLOCK_RATE: f64 = 0.97;
/// Resolution of the readings of a worker's clock.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);
/// Silence of a worker after which its lease is withheld: longer than one poll that is lost, so that a
/// single one costs no lease while the store is slow.
const WITHHOLD_AFTER: Duration = Duration::from_secs(2);
/// Polls in a row without a response after which the lease is withheld earlier. They fail at once at an
/// address where nothing listens, while connections that are reset fail only once.
const WITHHOLD_AFTER_POLLS: u32 = 2;
/// Consecutive failures after which a worker is quarantined.
pub const FAILURES_BEFORE_QUARANTINE: u32 = 3;
/// Duration of the first quarantine; doubles with each consecutive one.
pub const INITIAL_QUARANTINE: Duration = Duration::from_secs(3);
/// Longest quarantine.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(12);

/// A worker's registry entry.
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
    /// Shortest time until a draining worker leaves, as of the entry; zero if it is not draining.
    pub time_left: Duration,
    /// Start time of the worker process; 0 if the entry has none.
    pub incarnation: u64,
}

impl WorkerInfo {
    /// Returns a placeholder entry for a worker that is no longer listed.
    pub fn unlisted(id: &WorkerId) -> WorkerInfo {
        WorkerInfo {
            id: id.clone(),
            machine: "".into(),
            pool: "".into(),
            zone: "".into(),
            rack: "".into(),
            labels: Vec::new(),
            address: "".into(),
            capacity: Resources::default(),
            draining: true,
            time_left: Duration::ZERO,
            incarnation: 0,
        }
    }
}

/// Which lease of a worker lasts longest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseSource {
    /// Sent in this term.
    ThisOwner,
    /// May have been sent by an earlier owner.
    EarlierOwner,
    /// Sent to an earlier incarnation.
    EarlierIncarnation,
    /// May have been taken by this incarnation although it was meant for an earlier one.
    Stray,
}

impl LeaseSource {
    /// Returns the name in the event log.
    pub fn as_str(self) -> &'static str {
        match self {
            LeaseSource::ThisOwner => "this_owner",
            LeaseSource::EarlierOwner => "earlier_owner",
            LeaseSource::EarlierIncarnation => "earlier_incarnation",
            LeaseSource::Stray => "stray",
        }
    }
}

/// A worker and what the owner knows about it.
#[derive(Clone, Debug)]
pub struct Worker {
    pub info: WorkerInfo,
    /// Largest capacity that this incarnation has shown, of each resource.
    pub full_capacity: Resources,
    /// Listed in the registry, and its incarnation has not ended.
    pub registered: bool,
    /// Incarnation known to have ended, although the registry may still list it.
    pub ended_incarnation: Option<u64>,
    /// The worker has been polled in this term and incarnation, so orders of previous owners can no
    /// longer take effect.
    pub synced: bool,
    /// Raised to invalidate orders in flight.
    pub fence_counter: u32,
    /// Latest incarnation that the worker or the registry has named; older than the process while only a
    /// clock has shown its restart.
    pub incarnation: u64,
    /// When the owner learned of this incarnation.
    pub incarnation_seen_at: Time,
    /// Last reading of the worker's clock, and when it was received by the owner's clock.
    pub clock_reading: Option<(WorkerTime, Time)>,
    /// Latest lease expiry sent in any order, by the worker's clock.
    pub lease_until: WorkerTime,
    /// By the owner's clock, when all leases given by previous owners have expired. Zero once the
    /// worker has been synced.
    pub prior_leases_until: Time,
    /// By the owner's clock, when all leases of earlier incarnations have expired, and, at a worker that does
    /// not name its incarnation, those that this one may have got by orders meant for them. Zero once an
    /// incarnation that names itself has reported: the earlier ones are gone.
    restart_leases_until: Time,
    /// Incarnation that has reported to this owner, or that the latest record of an earlier one names; 0 if there is
    /// none.
    reported_incarnation: u64,
    /// Lease that this incarnation, if it names itself, may hold by orders meant for earlier ones.
    pub stray_lease: StrayLease,
    /// Orders with a lease that their incarnation has not answered.
    pub lease_orders: LeaseOrders,
    /// The lease is not extended, and the worker gets no starts, until an owner record without the worker
    /// is stored.
    pub lease_withheld: bool,
    /// The latest owner record names the worker as one whose lease is not extended.
    lease_announced: bool,
    /// The present silence is in the event log.
    silence_logged: bool,
    /// Tasks assigned to the worker, with the resources that each reserves.
    pub assigned: IndexMap<TaskId, Resources>,
    /// Resources of runs that are not assigned: those that the last report listed as running, and those
    /// given up since. They are being stopped, and count until the worker no longer lists them.
    pub unassigned_runs: Resources,
    /// Index of the last finished run that was processed.
    pub last_processed: u64,
    /// Index of the last finished run whose end is stored and may be acknowledged.
    pub last_stored: u64,
    /// Index of the last finished run that was acknowledged to the worker.
    pub last_acknowledged: u64,
    pub last_answer_at: Time,
    /// Consecutive polls without a response.
    pub unanswered_polls: u32,
    /// Tasks whose failed runs count against the worker, since its last success.
    failed_tasks: IndexSet<TaskId>,
    /// Rejected starts since the last success.
    rejections: u32,
    /// Quarantines since the last success.
    pub consecutive_quarantines: u32,
    pub quarantined_until: Time,
    /// When a draining worker may leave, at the earliest; `None` if it is not draining.
    pub leaves_at: Option<Time>,
    /// Receives no starts because its machine is about to be taken away.
    pub cordoned: bool,
    /// No starts before this time, after the worker had no room for one or could not be reached.
    pub start_backoff_until: Time,
}

impl Worker {
    /// Creates a newly listed worker. Orders of previous owners may take effect until
    /// `prior_leases_until`.
    pub fn new(
        info: WorkerInfo,
        fence_counter: u32,
        prior_leases_until: Time,
        now: Time,
    ) -> Worker {
        Worker {
            incarnation: info.incarnation,
            incarnation_seen_at: now,
            full_capacity: info.capacity,
            info,
            registered: true,
            ended_incarnation: None,
            synced: false,
            fence_counter,
            clock_reading: None,
            lease_until: WorkerTime::ZERO,
            prior_leases_until,
            restart_leases_until: Time::ZERO,
            reported_incarnation: 0,
            stray_lease: StrayLease::None,
            lease_orders: LeaseOrders::default(),
            lease_withheld: false,
            lease_announced: false,
            silence_logged: false,
            assigned: IndexMap::new(),
            unassigned_runs: Resources::default(),
            last_processed: 0,
            last_stored: 0,
            last_acknowledged: 0,
            last_answer_at: now,
            unanswered_polls: 0,
            failed_tasks: IndexSet::new(),
            rejections: 0,
            consecutive_quarantines: 0,
            quarantined_until: Time::ZERO,
            leaves_at: None,
            cordoned: false,
            start_backoff_until: Time::ZERO,
        }
    }

    /// Applies what the record of an earlier owner says about the worker's leases.
    pub fn with_prior_lease(mut self, lease: &PriorLease) -> Worker {
        self.prior_leases_until = lease.until.unwrap_or(self.prior_leases_until);
        (self.lease_withheld, self.lease_announced) = (lease.withheld, lease.withheld);
        self.reported_incarnation = lease.incarnation;
        if let Some(at) = lease.stray_until {
            if lease.incarnation >= self.incarnation {
                self.stray_lease = StrayLease::Until { at, announcement: Announcement::Stored };
            } else {
                // The entry may be another writer's.
                self.restart_leases_until = at;
                self.stray_lease = StrayLease::Open(StraySource::EarlierOwner);
            }
        }
        // The registry may be behind.
        self.incarnation = self.incarnation.max(lease.incarnation);
        self
    }

    /// Takes over the latest registry entry. The capacity of an incarnation may shrink and grow again.
    pub fn update_info(&mut self, entry: &WorkerInfo) {
        self.full_capacity = match entry.incarnation == self.info.incarnation {
            true => self.full_capacity.max(&entry.capacity),
            false => entry.capacity,
        };
        self.info = entry.clone();
    }

    /// Resets the state that belongs to the previous incarnation. `incarnation` is `None` if only a clock
    /// shows the restart: the worker may be one that does not name its incarnation, so that orders meant for
    /// the previous one cannot be kept from it and may have brought a lease of `max_lease`.
    pub fn begin_incarnation(
        &mut self,
        incarnation: Option<u64>,
        max_lease: Duration,
        fence_counter: &mut u32,
        now: Time,
    ) {
        self.restart_leases_until = match incarnation {
            // An entry of the registry may be another writer's, and the previous incarnation still up.
            Some(_) => self.leases_expire_at(),
            None => lease_end(now, max_lease),
        };
        self.stray_lease = match (self.lease_orders.stray_source(now), self.stray_lease) {
            (Some(source), _) => StrayLease::Open(source),
            // The previous incarnation may still be up.
            (None, StrayLease::Until { at, .. }) if now < at => {
                StrayLease::Open(StraySource::Unanswered)
            }
            (None, _) => StrayLease::None,
        };
        self.reported_incarnation = 0;
        self.incarnation = incarnation.unwrap_or(self.incarnation);
        self.incarnation_seen_at = now;
        self.resync(fence_counter);
        self.clock_reading = None;
        self.unassigned_runs = Resources::default();
        self.lease_until = WorkerTime::ZERO;
        self.last_processed = 0;
        self.last_stored = 0;
        self.last_acknowledged = 0;
    }

    /// Whether a registry entry names a newer incarnation than the one that the owner knows or knows to
    /// have ended. An entry is news only once: the worker's report counts for more. An ended incarnation
    /// that only another writer's entry named may be later than any real one.
    pub fn is_restart(&self, entry: &WorkerInfo) -> bool {
        match self.ended_incarnation {
            Some(ended) => {
                let was_listed = self.info.incarnation == ended;
                entry.incarnation > ended || was_listed && entry.incarnation != ended
            }
            None => {
                self.incarnation != 0
                    && entry.incarnation > self.incarnation
                    && entry.incarnation != self.info.incarnation
            }
        }
    }

    /// Takes over a registry entry. Returns whether the worker has just begun to drain.
    pub fn apply_entry(&mut self, entry: &WorkerInfo, now: Time) -> bool {
        if !entry.draining || entry.incarnation != self.info.incarnation {
            self.leaves_at = None;
        }
        let has_begun = entry.draining && self.leaves_at.is_none();
        if has_begun || entry.draining && *entry != self.info {
            // An entry that is read late names a time that has partly passed.
            let at = now + entry.time_left;
            self.leaves_at = Some(self.leaves_at.map_or(at, |known| known.min(at)));
        }
        self.update_info(entry);
        has_begun
    }

    /// Records the leases that the worker may hold after a report under a fence that voids earlier orders:
    /// the last one of earlier owners, which ends at `prior_lease` by the worker's clock, and if it has
    /// restarted and does not name its incarnation or may have got a stray lease, one of `max_lease`.
    pub fn settle_leases(
        &mut self,
        prior_lease: WorkerTime,
        incarnation: u64,
        max_lease: Duration,
        now: Time,
    ) {
        self.prior_leases_until = Time::ZERO;
        self.reported_incarnation = incarnation;
        let is_open = matches!(self.stray_lease, StrayLease::Open(_));
        let at = lease_end(now, max_lease);
        if incarnation != 0 {
            self.restart_leases_until = Time::ZERO;
            if is_open {
                self.stray_lease = StrayLease::Until { at, announcement: Announcement::Missing };
            }
        } else if is_open || !self.restart_leases_until.is_zero() {
            (self.restart_leases_until, self.stray_lease) = (at, StrayLease::None);
        }
        self.lease_until = self.lease_until.max(prior_lease);
    }

    /// Raises the fence to the next value of the owner's counter and requires a new poll, so that
    /// orders in flight cannot take effect.
    pub fn resync(&mut self, fence_counter: &mut u32) {
        *fence_counter += 1;
        self.synced = false;
        self.fence_counter = *fence_counter;
    }

    /// Estimates the worker's current clock; never ahead of the real one.
    pub fn estimate_clock(&self, now: Time) -> Option<WorkerTime> {
        let (clock, at) = self.clock_reading?;
        Some(clock + now.saturating_sub(at).mul_f64(MIN_CLOCK_RATE))
    }

    /// Returns when the incarnation that last reported had begun at the latest, by the owner's clock.
    pub fn began_by(&self) -> Option<Time> {
        let (clock, at) = self.clock_reading?;
        Some(at.saturating_sub(clock))
    }

    /// Whether a reading of the worker's clock, made after `sent_at`, is below what the clock of the
    /// known incarnation showed at that time.
    pub fn clock_went_back(&self, clock: WorkerTime, sent_at: Time) -> bool {
        let Some((known, at)) = self.clock_reading else { return false };
        let least = match at.checked_sub(sent_at) {
            Some(since) => known.saturating_sub(since.div_f64(MIN_CLOCK_RATE)),
            None => known + (sent_at - at).mul_f64(MIN_CLOCK_RATE),
        };
        least > clock + CLOCK_RESOLUTION
    }

    /// By the owner's clock, when all leases sent so far have expired for certain.
    pub fn leases_expire_at(&self) -> Time {
        self.longest_lease().0
    }

    /// Like `leases_expire_at`, with the lease that decides.
    pub fn longest_lease(&self) -> (Time, LeaseSource) {
        let leases = [
            (self.own_leases_until(), LeaseSource::ThisOwner),
            (self.prior_leases_until, LeaseSource::EarlierOwner),
            (self.restart_leases_until, LeaseSource::EarlierIncarnation),
            (self.stray_lease.expires_at().unwrap_or(Time::ZERO), LeaseSource::Stray),
        ];
        leases.into_iter().max_by_key(|(until, _)| *until).unwrap_or(leases[0])
    }

    /// Whether an owner record must name the worker as one whose lease is not extended: it has tasks, and
    /// has not responded for a while or to several polls, or not to the first ones of this owner.
    fn is_lease_withheld(&self, now: Time) -> bool {
        let is_silent = self.clock_reading.is_none()
            || self.unanswered_polls >= WITHHOLD_AFTER_POLLS
            || now >= self.last_answer_at + WITHHOLD_AFTER;
        !self.assigned.is_empty() && self.unanswered_polls > 0 && is_silent
    }

    /// Whether the next owner record is the first to name the worker as one whose lease is not extended.
    pub fn awaits_announcement(&self, now: Time) -> bool {
        self.is_lease_withheld(now) && !self.lease_announced
    }

    /// Whether the worker's present silence is to be logged, which happens once.
    pub fn begin_silence(&mut self, now: Time) -> bool {
        let is_silent = self.is_lease_withheld(now);
        let was_logged = std::mem::replace(&mut self.silence_logged, is_silent);
        is_silent && !was_logged
    }

    /// Returns what the owner's next record says about the worker's leases; `None` if it does not name the
    /// worker. `resigning` tells that the owner sends no orders any more.
    pub fn announce_lease(&mut self, resigning: bool, now: Time) -> Option<WorkerLease> {
        self.lease_announced = self.is_lease_withheld(now);
        self.lease_withheld |= self.lease_announced;
        let has_reported = self.clock_reading.is_some();
        let may_hold_lease = !self.assigned.is_empty() || now < self.leases_expire_at();
        let stray_left = self.stray_lease.left(now);
        let is_named = self.lease_announced
            || stray_left.is_some()
            || resigning && (has_reported || may_hold_lease);
        if let StrayLease::Until { announcement: Announcement::Missing, .. } = self.stray_lease {
            self.stray_lease = self.stray_lease.with_announcement(Announcement::Sent);
        }
        is_named.then(|| WorkerLease {
            worker: self.info.id.clone(),
            incarnation: self.reported_incarnation,
            lease_ms: match self.lease_announced || resigning {
                true => remaining_ms(self.leases_expire_at(), now),
                false => EXTENDABLE_LEASE_MS,
            },
            stray_ms: remaining_ms(self.stray_lease.expires_at().unwrap_or(now), now),
            withheld: self.lease_announced,
        })
    }

    /// Records that the owner's next record does not name the worker.
    pub fn leave_unannounced(&mut self) {
        self.lease_announced = false;
        self.stray_lease = self.stray_lease.with_announcement(Announcement::Missing);
    }

    /// Records that the owner record of the latest `announce_lease` is stored.
    pub fn record_lease_announced(&mut self) {
        self.lease_withheld = self.lease_announced;
        self.stray_lease = self.stray_lease.record_announced();
    }

    fn own_leases_until(&self) -> Time {
        self.clock_reading
            .map_or(Time::ZERO, |(clock, at)| lease_end(at, self.lease_until.saturating_sub(clock)))
    }

    /// Resources that the assigned tasks reserve, and those of runs that are being stopped.
    fn used_resources(&self) -> Resources {
        self.assigned.values().fold(self.unassigned_runs, |sum, r| sum.plus(r))
    }

    /// Unreserved resources.
    pub fn free_resources(&self) -> Resources {
        self.info.capacity.minus(&self.used_resources())
    }

    /// Whether the assigned tasks, one with `reservation` among them, exceed the capacity in a resource
    /// that this one needs. The capacity may have shrunk since they were assigned.
    pub fn exceeds_capacity(&self, reservation: &Resources) -> bool {
        let (used, capacity) = (self.used_resources(), self.info.capacity);
        reservation.processors > 0 && used.processors > capacity.processors
            || reservation.memory > 0 && used.memory > capacity.memory
            || reservation.accelerators > 0 && used.accelerators > capacity.accelerators
    }

    /// Whether the worker must be polled regularly: tasks are assigned to it, other runs are being stopped,
    /// ended runs await acknowledgement, it has not been synced yet, or it did not respond to the last
    /// poll.
    pub fn needs_poll(&self) -> bool {
        self.ended_incarnation.is_none()
            && (!self.synced
                || self.unanswered_polls > 0
                || !self.assigned.is_empty()
                || self.unassigned_runs != Resources::default()
                || self.last_acknowledged < self.last_processed)
    }

    /// Index of the last finished run that a poll sent now acknowledges; 0 if there is none to
    /// acknowledge. Not repeated once the worker has it, and not sent in the poll after one without a
    /// response: an incarnation that the owner does not know of yet would drop finished runs that the
    /// owner has not seen.
    pub fn next_acknowledged(&self) -> u64 {
        let is_pending = self.last_stored > self.last_acknowledged;
        if is_pending && self.unanswered_polls == 0 { self.last_stored } else { 0 }
    }

    /// Failures since the last success that count against the worker.
    pub fn consecutive_failures(&self) -> u32 {
        self.rejections.saturating_add(self.failed_tasks.len() as u32)
    }

    /// Counts a failed run of a task. Returns whether the worker is quarantined as a result.
    pub fn record_failed_run(&mut self, task: &TaskId, now: Time) -> bool {
        self.failed_tasks.insert(task.clone());
        self.begin_quarantine(now)
    }

    /// Counts a rejected start. Returns whether the worker is quarantined as a result.
    pub fn record_rejection(&mut self, now: Time) -> bool {
        self.rejections = self.rejections.saturating_add(1);
        self.begin_quarantine(now)
    }

    /// Begins a quarantine after too many failures. Those of runs that began before a quarantine do not
    /// prolong it; after it, a single failure starts the next one.
    fn begin_quarantine(&mut self, now: Time) -> bool {
        if self.consecutive_failures() < FAILURES_BEFORE_QUARANTINE || now < self.quarantined_until
        {
            return false;
        }
        let duration =
            INITIAL_QUARANTINE.saturating_mul(2u32.saturating_pow(self.consecutive_quarantines));
        self.quarantined_until = now + duration.min(MAX_QUARANTINE);
        self.consecutive_quarantines += 1;
        true
    }

    /// Takes back failures that turn out not to be the worker's, and a quarantine without enough others.
    pub fn exonerate(&mut self, is_exonerated: impl Fn(&TaskId) -> bool) {
        let before = self.failed_tasks.len();
        self.failed_tasks.retain(|task| !is_exonerated(task));
        let is_less = self.failed_tasks.len() < before;
        if is_less && self.consecutive_failures() < FAILURES_BEFORE_QUARANTINE {
            self.consecutive_quarantines = 0;
            self.quarantined_until = Time::ZERO;
        }
    }

    /// Counts a successful run, which ends any quarantine.
    pub fn record_success(&mut self) {
        self.failed_tasks.clear();
        self.rejections = 0;
        self.consecutive_quarantines = 0;
        self.quarantined_until = Time::ZERO;
    }
}

/// By the owner's clock, when a lease has expired for certain that had `remaining` left by a worker's
/// clock at `at`.
pub(super) fn lease_end(at: Time, remaining: Duration) -> Time {
    at + remaining.div_f64(MIN_CLOCK_RATE)
}
