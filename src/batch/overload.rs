//! Which waiting jobs are delayed while a pool has too little room.
//!
//! Load: for some seconds, jobs arrive whose work exceeds what their pool can do in time, because demand moved there
//! before its machines, one team sends many times its usual, or wide jobs stand beside many small ones. Ordered by
//! due time alone, each job starts when it is almost too late, so that all of them end late. Here, jobs beyond the
//! rate of their team go last, and of the others so many are kept that all of those can end in time (Moore and
//! Hodgson): where the work no longer fits before a due time, the job with the most work is set aside.

use crate::batch::declarations::Team;
use crate::config::SectionReader;
use crate::ids::{PoolId, TeamId, Time};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Longest `team_burst`.
const MAX_TEAM_BURST_MS: u32 = 60_000;
/// What a job takes from the bucket of its team: a rate of one job a second fills it by one token a microsecond.
const JOB_TOKENS: u64 = 1_000_000;

/// Settings of the section `[overload]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverloadSettings {
    /// Whether the part is in use.
    pub enabled: bool,
    /// Time for which a team's jobs may arrive at once without being beyond its rate.
    pub team_burst: Duration,
}

impl Default for OverloadSettings {
    fn default() -> OverloadSettings {
        OverloadSettings { enabled: false, team_burst: Duration::from_secs(1) }
    }
}

impl OverloadSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
        let range = 0..=MAX_TEAM_BURST_MS;
        self.team_burst = reader.millis("team_burst_ms", range, self.team_burst);
    }
}

/// Position of a waiting job among those of its pool; earlier ones go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Can meet its objective.
    Kept,
    /// Could meet its objective only at the expense of more callers.
    SetAside,
    /// Cannot meet its objective any more.
    Late,
    /// Arrived beyond the rate of its team.
    BeyondRate,
}

/// Why a job waits behind others, for the event log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delay {
    /// The team may send so many jobs per second.
    BeyondRate { team: TeamId, job_rate: u32 },
    /// The job has to start within `start_within`; the pool needs `kept_time` for the running and kept work.
    SetAside { pool: PoolId, start_within: Duration, kept_time: Duration, set_aside_time: Duration },
}

/// Amount of each resource, or of its use over time: thousandths of a processor, MiB of memory, accelerators, each
/// times milliseconds for uses.
pub type Amounts = [u64; 3];

/// A job that waits, as far as its place in the order depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingJob {
    /// Lower values run first.
    pub priority: u32,
    /// Latest time at which its next step has to start.
    pub latest_start: Time,
    /// Declared use of all its tasks that have not started.
    pub work: Amounts,
    /// Some of its tasks have started, so it is not set aside: their work would be of no use for longer.
    pub has_begun: bool,
}

/// What a pool can do from now on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Capacity without that of long-running tasks.
    pub capacity: Amounts,
    /// Capacity of machines that are on their way, and when they can take tasks.
    pub arriving: Vec<(Time, Amounts)>,
    /// Declared remaining use of running tasks.
    pub running: Amounts,
}

impl Room {
    /// Returns what a resource can do until a time.
    fn until(&self, end: Time, resource: usize, now: Time) -> u64 {
        let ms = |from: Time| end.saturating_sub(from).as_millis() as u64;
        let use_of = |from: Time, capacity: &Amounts| capacity[resource].saturating_mul(ms(from));
        let arriving = self.arriving.iter().map(|(at, capacity)| use_of((*at).max(now), capacity));
        arriving.fold(use_of(now, &self.capacity), u64::saturating_add)
    }

    /// Returns the resource of which `work` needs the largest part.
    fn scarcest(&self, work: &Amounts) -> usize {
        let needed = |resource: &usize| {
            let work = work[*resource].saturating_add(self.running[*resource]);
            work.checked_div(self.capacity[*resource]).unwrap_or(work)
        };
        // The first one if several are equal.
        (0..work.len()).rev().max_by_key(needed).unwrap_or(0)
    }
}

/// Which jobs a pool sets aside, and by how much its work exceeds its room.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Selection {
    /// For each job, whether it is set aside.
    pub set_aside: Vec<bool>,
    /// Time in which the pool could do the running and kept work.
    pub kept_time: Duration,
    /// The same for the work that is set aside.
    pub set_aside_time: Duration,
}

/// Selects the jobs that a pool sets aside, so that as many of the others as possible can start in time; none for
/// one of lower priority. `jobs` can all still meet their objectives if they start now.
pub fn select(jobs: &[WaitingJob], room: &Room, now: Time) -> Selection {
    let total = jobs.iter().fold(Amounts::default(), |sum, job| plus(&sum, &job.work));
    let resource = room.scarcest(&total);
    let mut set_aside = vec![false; jobs.len()];
    let begun = jobs.iter().filter(|job| job.has_begun).map(|job| job.work[resource]);
    let mut kept_work = begun.fold(room.running[resource], u64::saturating_add);
    let mut order: Vec<(u32, u64, usize)> = jobs
        .iter()
        .enumerate()
        .filter(|(_, job)| !job.has_begun)
        // A job whose turn comes at its latest start still meets its objective.
        .map(|(index, job)| (job.priority, job, index))
        .map(|(priority, job, index)| {
            let room = room.until(job.latest_start, resource, now);
            (priority, room.saturating_add(job.work[resource]), index)
        })
        .collect();
    order.sort_unstable();
    let mut set_aside_work = 0u64;
    for class in order.chunk_by(|a, b| a.0 == b.0) {
        let mut kept: BinaryHeap<(u64, Reverse<usize>)> = BinaryHeap::new();
        for (_, room, index) in class {
            let work = jobs[*index].work[resource];
            kept.push((work, Reverse(*index)));
            kept_work = kept_work.saturating_add(work);
            if kept_work > *room
                && let Some((work, Reverse(largest))) = kept.pop()
            {
                kept_work = kept_work.saturating_sub(work);
                set_aside_work = set_aside_work.saturating_add(work);
                set_aside[largest] = true;
            }
        }
    }
    let time = |work: u64| {
        Duration::from_millis(work.checked_div(room.capacity[resource]).unwrap_or(u64::MAX >> 1))
    };
    let (kept_time, set_aside_time) = (time(kept_work), time(set_aside_work));
    Selection { set_aside, kept_time, set_aside_time }
}

/// Adds each amount.
pub fn plus(a: &Amounts, b: &Amounts) -> Amounts {
    std::array::from_fn(|resource| a[resource].saturating_add(b[resource]))
}

/// Jobs that each team may still send without being beyond its rate. An owner that takes over counts from its
/// first job on, since jobs that it restores do not tell when they arrived.
#[derive(Clone, Debug, Default)]
pub struct TeamRates {
    buckets: IndexMap<TeamId, Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: u64,
    filled_at: Time,
}

impl TeamRates {
    /// Records a job that arrives. Returns its delay if it is beyond the rate of its team, which may always send
    /// one job at once.
    pub fn record(
        &mut self,
        (id, team): (&TeamId, &Team),
        settings: &OverloadSettings,
        now: Time,
    ) -> Option<Delay> {
        let job_rate = team.job_rate.filter(|_| settings.enabled)?;
        let tokens = |time: Duration| u64::from(job_rate).saturating_mul(time.as_micros() as u64);
        let full = tokens(settings.team_burst).max(JOB_TOKENS);
        let new = || Bucket { tokens: full, filled_at: now };
        let bucket = self.buckets.entry(id.clone()).or_insert_with(new);
        let gained = tokens(now.saturating_sub(bucket.filled_at));
        bucket.tokens = bucket.tokens.saturating_add(gained).min(full);
        bucket.filled_at = now;
        match bucket.tokens.checked_sub(JOB_TOKENS) {
            Some(left) => {
                bucket.tokens = left;
                None
            }
            None => Some(Delay::BeyondRate { team: id.clone(), job_rate }),
        }
    }
}
