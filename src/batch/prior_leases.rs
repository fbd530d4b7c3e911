//! Leases that may last at workers when the owner changes.
//!
//! Each record of an owner names the workers whose leases it does not extend, and until when these can
//! last. It extends none of them before a record without the worker is stored, so the latest record
//! holds for the next owner even if this one is killed or frozen. An owner that resigns names all
//! workers, since it sends no orders any more. The time that a worker was silent thus counts across
//! owners, and a change of owner adds only the time from writing a record to reading it.

use crate::batch::job::WorkerId;
use crate::ids::Time;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest lease that a record can name, far beyond those of workers.
const MAX_NAMED_LEASE: Duration = Duration::from_secs(600);

/// Most workers that a record names.
pub const MAX_NAMED_WORKERS: usize = 4_000;
/// Most bytes of the rows of a record. The platform takes records of 256 KiB.
const MAX_NAMED_BYTES: usize = 240 * 1_024;
/// Bytes of a row beside the worker's id: two numbers, a flag and punctuation.
const ROW_BYTES: usize = 41;

/// What a record of an owner says about leases.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseRecord {
    pub workers: Vec<WorkerLease>,
    /// Time in ms until the leases of all workers that `workers` does not name have expired. `None` as
    /// long as the owner may extend them.
    pub others_ms: Option<u64>,
}

/// What a record of an owner says about the leases of one worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "LeaseRow", into = "LeaseRow")]
pub struct WorkerLease {
    pub worker: WorkerId,
    /// Latest incarnation that the owner knows of; 0 if it knows none.
    pub incarnation: u64,
    /// Time in ms until all leases that this owner or earlier ones sent have expired.
    pub lease_ms: u64,
    /// The lease is not extended before a record without the worker is stored.
    pub withheld: bool,
}

/// Stored form of a `WorkerLease`: its fields in order. Earlier versions write a second time before the last
/// field, for leases that a restarted worker may have taken by the clock of its earlier incarnation.
#[derive(Deserialize, Serialize)]
struct LeaseRow(WorkerId, u64, u64, u64, bool);

/// Returns how many of the first leases a record can name.
pub fn leases_per_record(leases: &[WorkerLease]) -> usize {
    let mut total = 0;
    let fits = |lease: &&WorkerLease| {
        total += lease.worker.len() + ROW_BYTES;
        total <= MAX_NAMED_BYTES
    };
    leases.iter().take(MAX_NAMED_WORKERS).take_while(fits).count()
}

impl From<LeaseRow> for WorkerLease {
    fn from(row: LeaseRow) -> WorkerLease {
        let LeaseRow(worker, incarnation, lease_ms, restart_lease_ms, withheld) = row;
        WorkerLease { worker, incarnation, lease_ms: lease_ms.max(restart_lease_ms), withheld }
    }
}

impl From<WorkerLease> for LeaseRow {
    fn from(lease: WorkerLease) -> LeaseRow {
        let WorkerLease { worker, incarnation, lease_ms, withheld } = lease;
        LeaseRow(worker, incarnation, lease_ms, 0, withheld)
    }
}

/// Leases of a worker from earlier owners, by the clock of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorLease {
    /// Latest incarnation that the earlier owner knew of; 0 if it knew none.
    pub incarnation: u64,
    pub until: Time,
    pub withheld: bool,
}

/// What the latest record of earlier owners says about leases, by the clock of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorLeases {
    workers: IndexMap<WorkerId, PriorLease>,
    others_until: Option<Time>,
}

impl PriorLeases {
    /// Takes over a record that was read at `now`. It was written before, so its leases end no later than
    /// they do when counted from then on.
    pub fn new(record: &LeaseRecord, now: Time) -> PriorLeases {
        let at = |ms: u64| now + Duration::from_millis(ms).min(MAX_NAMED_LEASE);
        let leases = record.workers.iter().map(|lease| {
            let prior = PriorLease {
                incarnation: lease.incarnation,
                until: at(lease.lease_ms),
                withheld: lease.withheld,
            };
            (lease.worker.clone(), prior)
        });
        PriorLeases { workers: leases.collect(), others_until: record.others_ms.map(at) }
    }

    /// Returns what is known about a worker.
    pub fn get(&self, worker: &str) -> Option<&PriorLease> {
        self.workers.get(worker)
    }

    /// Returns when the leases of all other workers have expired; `None` if the earlier owner may still
    /// extend them.
    pub fn others_until(&self) -> Option<Time> {
        self.others_until
    }

    /// Returns the record of an owner that has sent no orders yet, and will, or will not if it resigns.
    pub fn inherited_record(&self, resigning: bool, now: Time) -> LeaseRecord {
        let named = self.workers.iter().filter(|(_, lease)| resigning || lease.withheld);
        let workers = named.map(|(worker, lease)| WorkerLease {
            worker: worker.clone(),
            incarnation: lease.incarnation,
            lease_ms: remaining_ms(lease.until, now),
            withheld: lease.withheld,
        });
        let others_until = self.others_until.filter(|_| resigning);
        LeaseRecord {
            workers: workers.collect(),
            others_ms: others_until.map(|until| remaining_ms(until, now)),
        }
    }
}

/// Time in ms from `now` until `until`, rounded up.
pub(super) fn remaining_ms(until: Time, now: Time) -> u64 {
    let micros = until.saturating_sub(now).as_micros();
    u64::try_from(micros.div_ceil(1_000)).unwrap_or(u64::MAX)
}
