//! Leases that may last at workers when the owner changes.
//!
//! Each record of an owner names the workers whose leases it does not extend, and until when these can
//! last. It extends none of them before a record without the worker is stored, so the latest record
//! holds for the next owner even if this one is killed or frozen. An owner that resigns names all
//! workers, since it sends no orders any more. The time that a worker was silent thus counts across
//! owners, and a change of owner adds only the time from writing a record to reading it.

use crate::batch::job::WorkerId;
use crate::batch::owner::{LEASE_DURATION, MAX_STORE_OUTAGE};
use crate::ids::Time;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest lease that a record can name, far beyond those of workers.
const MAX_NAMED_LEASE: Duration = Duration::from_secs(600);

/// Most workers that a record names.
pub const MAX_NAMED_WORKERS: usize = 4_000;
/// Most bytes of the rows of a record. The platform takes records of 256 KiB.
const MAX_NAMED_BYTES: usize = 240 * 1_024;
/// Bytes of a row beside the worker's id: three numbers, a flag and punctuation.
const ROW_BYTES: usize = 45;
/// Bytes of a worker's id beside its text.
const ID_BYTES: usize = 3;
/// Time in ms for which the lease of a worker may be extended after a record that does not withhold it. Only
/// earlier versions read it.
pub(super) const EXTENDABLE_LEASE_MS: u64 =
    (MAX_STORE_OUTAGE.as_millis() + LEASE_DURATION.as_millis() * 21 / 20) as u64;

/// What a record of an owner says about leases.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseRecord {
    pub workers: Vec<WorkerLease>,
    /// Time in ms until the leases of all workers that `workers` does not name have expired. `None` as
    /// long as the owner may extend them.
    pub others_ms: Option<u64>,
    /// The owner names each worker that may hold a stray lease before it sends starts there. Earlier versions
    /// do not.
    #[serde(default)]
    pub names_stray_leases: bool,
    /// Workers to which orders with a lease may still be under way, if the owner resigns.
    #[serde(default)]
    pub open_orders: Vec<WorkerId>,
}

/// What a record of an owner says about the leases of one worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "LeaseRow", into = "LeaseRow")]
pub struct WorkerLease {
    pub worker: WorkerId,
    /// Latest incarnation that has reported to the owner, or that the record before names; 0 if there is none.
    pub incarnation: u64,
    /// Time in ms until all leases that this owner or earlier ones sent have expired, as far as none is extended
    /// any more: `withheld` or an owner that resigns.
    pub lease_ms: u64,
    /// Time in ms until a lease has expired that the incarnation may hold by orders meant for an earlier one
    /// (`batch::stray_lease`).
    pub stray_ms: u64,
    /// The lease is not extended before a record without the worker is stored.
    pub withheld: bool,
}

/// Stored form of a `WorkerLease`: its fields in order. Earlier versions wait for the longer one of the two
/// times and for no other lease of the worker.
#[derive(Deserialize, Serialize)]
struct LeaseRow(WorkerId, u64, u64, u64, bool);

/// Whether a record can name these workers beside the leases of others.
pub fn fits_open_orders(workers: &[WorkerId]) -> bool {
    open_orders_bytes(workers) <= MAX_NAMED_BYTES / 2
}

fn open_orders_bytes(workers: &[WorkerId]) -> usize {
    workers.iter().map(|worker| worker.len() + ID_BYTES).sum()
}

/// Returns how many of the first leases a record can name beside `open_orders`.
pub fn leases_per_record(leases: &[WorkerLease], open_orders: &[WorkerId]) -> usize {
    let mut total = open_orders_bytes(open_orders);
    let fits = |lease: &&WorkerLease| {
        total += lease.worker.len() + ROW_BYTES;
        total <= MAX_NAMED_BYTES
    };
    leases.iter().take(MAX_NAMED_WORKERS).take_while(fits).count()
}

impl From<LeaseRow> for WorkerLease {
    fn from(row: LeaseRow) -> WorkerLease {
        let LeaseRow(worker, incarnation, lease_ms, stray_ms, withheld) = row;
        WorkerLease { worker, incarnation, lease_ms, stray_ms, withheld }
    }
}

impl From<WorkerLease> for LeaseRow {
    fn from(lease: WorkerLease) -> LeaseRow {
        let WorkerLease { worker, incarnation, lease_ms, stray_ms, withheld } = lease;
        LeaseRow(worker, incarnation, lease_ms, stray_ms, withheld)
    }
}

/// Leases of a worker from earlier owners, by the clock of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorLease {
    /// Latest incarnation that the earlier owner knew by its report; 0 if it knew none.
    pub incarnation: u64,
    /// `None` as long as the earlier owner may extend the lease.
    pub until: Option<Time>,
    /// When a stray lease of the incarnation has expired; `None` if it holds none.
    pub stray_until: Option<Time>,
    pub withheld: bool,
}

/// What the latest record of earlier owners says about leases, by the clock of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorLeases {
    workers: IndexMap<WorkerId, PriorLease>,
    others_until: Option<Time>,
    strays: StrayKnowledge,
}

/// What the latest record tells about stray leases of workers that it does not name.
#[derive(Clone, Debug, Default, PartialEq)]
enum StrayKnowledge {
    /// There was no earlier owner.
    #[default]
    NoOwner,
    /// An earlier version wrote the record.
    Unknown,
    /// The owner named each one that it knew of.
    Named,
    /// The owner resigned; orders to these workers may still be under way.
    Resigned(IndexSet<WorkerId>),
}

impl PriorLeases {
    /// Takes over a record that was read at `now`. It was written before, so its leases end no later than
    /// they do when counted from then on.
    pub fn new(record: &LeaseRecord, now: Time) -> PriorLeases {
        let at = |ms: u64| now + Duration::from_millis(ms).min(MAX_NAMED_LEASE);
        let is_final = record.others_ms.is_some();
        let leases = record.workers.iter().map(|lease| {
            let prior = PriorLease {
                incarnation: lease.incarnation,
                until: (lease.withheld || is_final).then(|| at(lease.lease_ms)),
                stray_until: (lease.stray_ms > 0).then(|| at(lease.stray_ms)),
                withheld: lease.withheld,
            };
            (lease.worker.clone(), prior)
        });
        PriorLeases {
            workers: leases.collect(),
            others_until: record.others_ms.map(at),
            strays: match (record.names_stray_leases, is_final) {
                (false, _) => StrayKnowledge::Unknown,
                (true, false) => StrayKnowledge::Named,
                (true, true) => {
                    StrayKnowledge::Resigned(record.open_orders.iter().cloned().collect())
                }
            },
        }
    }

    /// What is known after a record of an earlier version that says nothing of leases.
    pub fn unknown() -> PriorLeases {
        PriorLeases { strays: StrayKnowledge::Unknown, ..PriorLeases::default() }
    }

    /// Whether orders of earlier owners to a worker may be under way.
    pub fn may_have_open_orders(&self, worker: &str) -> bool {
        match &self.strays {
            StrayKnowledge::NoOwner => false,
            StrayKnowledge::Unknown | StrayKnowledge::Named => true,
            StrayKnowledge::Resigned(open_orders) => open_orders.contains(worker),
        }
    }

    /// Returns the incarnation of a worker that the earlier owner knew by its report, 0 for none; `None` if the record
    /// does not name the worker.
    pub fn reported_incarnation(&self, worker: &str) -> Option<u64> {
        self.workers.get(worker).map(|lease| lease.incarnation)
    }

    /// Whether the earlier owners gave starts to restarted workers only after naming their stray leases.
    pub fn names_stray_leases(&self) -> bool {
        self.strays != StrayKnowledge::Unknown
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
        let is_stray = |lease: &PriorLease| lease.stray_until.is_some_and(|until| now < until);
        let named = self.workers.iter();
        let named = named.filter(|(_, lease)| resigning || lease.withheld || is_stray(lease));
        let workers = named.map(|(worker, lease)| WorkerLease {
            worker: worker.clone(),
            incarnation: lease.incarnation,
            lease_ms: lease.until.map_or(EXTENDABLE_LEASE_MS, |until| remaining_ms(until, now)),
            stray_ms: lease.stray_until.map_or(0, |until| remaining_ms(until, now)),
            withheld: lease.withheld,
        });
        let others_until = self.others_until.filter(|_| resigning);
        LeaseRecord {
            names_stray_leases: self.names_stray_leases(),
            open_orders: match &self.strays {
                StrayKnowledge::Resigned(open_orders) if resigning => {
                    open_orders.iter().cloned().collect()
                }
                _ => Vec::new(),
            },
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
