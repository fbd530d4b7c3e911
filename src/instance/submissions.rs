//! Which partition of the store takes a caller's record, and in which partitions a job has records.
//!
//! Load that this answers: many instances append callers' records while each append takes long. A partition
//! does its appends one at a time. With 40 instances and 150 ms an append, a round through one partition takes
//! 6 s, and callers give up after 1.8 s; spread over 32 partitions, an append meets few others.
//!
//! Pure decisions: no I/O, no clock.

use crate::config::SectionReader;
use crate::ids::{JobId, Time};
use crate::instance::election::HEARTBEAT_TIMEOUT;
use indexmap::IndexMap;
use std::time::Duration;

/// Most partitions of callers' records that any version uses. An owner reads all of them up to what the store
/// offers, whatever its settings, since another instance may have used them.
pub const MAX_PARTITIONS: u32 = 32;
/// Suffix of the job's id in the key of a cancellation.
pub const CANCEL_KEY_SUFFIX: &str = "/cancel";

/// Settings of the section `[submissions]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubmissionSettings {
    /// Whether the part is in use; otherwise the first partition takes all records.
    pub enabled: bool,
    /// Most partitions that this instance spreads its callers' records over, a power of two. More than 1 only
    /// once no instance of an earlier version can become the owner: it reads the first partition, and deletes
    /// the progress of jobs in others, which then run again.
    pub partitions: u32,
}

impl Default for SubmissionSettings {
    fn default() -> SubmissionSettings {
        SubmissionSettings { enabled: true, partitions: 1 }
    }
}

impl SubmissionSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        let counts = [("1", 1), ("2", 2), ("4", 4), ("8", 8), ("16", 16), ("32", 32)];
        self.enabled = reader.switch("enabled", self.enabled);
        self.partitions = reader.keyword("partitions", &counts, self.partitions);
    }

    /// Returns over how many partitions records are spread now, a power of two. Only those that the owner
    /// is known to read are used: one of an earlier version reads the first and would not know the job.
    pub fn partitions_in_use(&self, offered: u32, owner: Option<OwnerReads>, now: Time) -> u32 {
        let read = owner.filter(|reads| now < reads.heard_at + HEARTBEAT_TIMEOUT);
        match read {
            Some(reads) if self.enabled => {
                readable_partitions(offered.min(self.partitions).min(reads.partitions))
            }
            Some(_) | None => 1,
        }
    }
}

/// What the latest owner record says about callers' records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerReads {
    /// Partitions that the owner reads, counted from the first.
    pub partitions: u32,
    /// When the record was read. After `HEARTBEAT_TIMEOUT` without another one, the owner may be replaced.
    pub heard_at: Time,
}

/// Returns how many of the partitions that the store offers an owner reads: a power of two.
pub fn readable_partitions(offered: u32) -> u32 {
    1 << offered.clamp(1, MAX_PARTITIONS).ilog2()
}

/// Returns the partition of a job's records among a power of two of partitions. It is the same at every
/// instance and after every restart.
pub fn partition_of(id: &str, partitions: u32) -> u32 {
    hash(id) & (partitions - 1)
}

/// Returns the partitions that may hold records of a job: one for each power of two up to `partitions`.
pub fn possible_partitions(id: &str, partitions: u32) -> impl Iterator<Item = u32> {
    let hash = hash(id);
    (0..=partitions.ilog2()).map(move |bits| hash & ((1 << bits) - 1))
}

/// Returns the job of a record's key.
pub fn job_of_key(key: &str) -> &str {
    key.strip_suffix(CANCEL_KEY_SUFFIX).unwrap_or(key)
}

/// FNV-1a, with its halves combined: the low bits of the sum depend on few bits of each byte.
fn hash(id: &str) -> u32 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = id.bytes().fold(OFFSET_BASIS, |sum, b| (sum ^ u64::from(b)).wrapping_mul(PRIME));
    (hash ^ (hash >> 32)) as u32
}

/// Returns the records of several partitions in the order in which they were taken. Records of one partition
/// stay in their order, whatever the clocks of the instances that took them say.
pub fn merge_by_time<T>(partitions: Vec<Vec<(Duration, T)>>) -> Vec<T> {
    let mut merged = Vec::new();
    for records in partitions {
        let mut latest = Duration::ZERO;
        for (taken_at, record) in records {
            latest = latest.max(taken_at);
            merged.push((latest, record));
        }
    }
    merged.sort_by_key(|(taken_at, _)| *taken_at);
    merged.into_iter().map(|(_, record)| record).collect()
}

/// Partitions that hold records of a job, one bit each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Held {
    submission: u32,
    cancellation: u32,
}

/// In which partitions jobs have records, as far as an owner has read them. A job may have been submitted to
/// several: at instances with other settings, or while the owner was silent.
///
/// A record counts as deleted only when its deletion is read, so that one that is appended in between is kept.
#[derive(Clone, Debug, Default)]
pub struct SubmissionIndex {
    held: IndexMap<JobId, Held>,
    /// Partition from which records were deleted last.
    last_deleted: u32,
    /// Offset up to which each partition was read.
    read_to: IndexMap<u32, u64>,
    /// End of the latest deletion that the store confirmed in each partition. Nothing is deleted there before it
    /// is read: the same records would be deleted again.
    deletion_ends: IndexMap<u32, u64>,
}

/// Records that one append deletes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deletion {
    pub partition: u32,
    pub keys: Vec<String>,
}

impl SubmissionIndex {
    /// Forgets what a partition holds, before its records are read anew.
    pub fn clear_partition(&mut self, partition: u32) {
        self.deletion_ends.swap_remove(&partition);
        self.held.retain(|_, held| {
            held.submission &= !(1 << partition);
            held.cancellation &= !(1 << partition);
            *held != Held::default()
        });
    }

    /// Records what was read from a partition: the record of a key, or its deletion.
    pub fn record(&mut self, partition: u32, key: &str, exists: bool) {
        let job = job_of_key(key);
        if !self.held.contains_key(job) {
            if !exists {
                return;
            }
            self.held.insert(job.into(), Held::default());
        }
        let Some(held) = self.held.get_mut(job) else { return };
        let bits = match key.len() == job.len() {
            true => &mut held.submission,
            false => &mut held.cancellation,
        };
        match exists {
            true => *bits |= 1 << partition,
            false => *bits &= !(1 << partition),
        }
        if *held == Held::default() {
            self.held.swap_remove(job);
        }
    }

    /// Records that the store confirmed a deletion, after which the partition ended at `end`.
    pub fn record_deletion(&mut self, partition: u32, end: u64) {
        self.deletion_ends.insert(partition, end);
    }

    /// Records that a partition was read up to an offset.
    pub fn record_read(&mut self, partition: u32, next_offset: u64) {
        self.read_to.insert(partition, next_offset);
    }

    /// Whether a partition holds a record of the job.
    pub fn holds(&self, job: &str) -> bool {
        self.held.contains_key(job)
    }

    /// Returns the next append that deletes records of dropped jobs, at most of `max_jobs`. Partitions take
    /// turns, so that one that refuses does not hold up the others.
    pub fn next_deletion<'a>(
        &mut self,
        dropped: impl Iterator<Item = &'a JobId>,
        max_jobs: usize,
    ) -> Option<Deletion> {
        let dropped: Vec<(&JobId, Held)> =
            dropped.filter_map(|id| self.held.get(id).map(|held| (id, *held))).collect();
        let used = dropped.iter().fold(0, |bits, (_, h)| bits | h.submission | h.cancellation);
        let next = (1..=MAX_PARTITIONS).map(|step| (self.last_deleted + step) % MAX_PARTITIONS);
        let has_read_deletion = |n: &u32| self.deletion_ends.get(n) <= self.read_to.get(n);
        let may_delete = |n: &u32| used & (1 << n) != 0 && has_read_deletion(n);
        let partition = next.into_iter().find(may_delete)?;
        self.last_deleted = partition;
        let bit = 1 << partition;
        let here = dropped.iter().filter(|(_, h)| (h.submission | h.cancellation) & bit != 0);
        let mut keys = Vec::new();
        for (id, held) in here.take(max_jobs) {
            if held.submission & bit != 0 {
                keys.push(id.to_string());
            }
            if held.cancellation & bit != 0 {
                keys.push(format!("{id}{CANCEL_KEY_SUFFIX}"));
            }
        }
        Some(Deletion { partition, keys })
    }
}
