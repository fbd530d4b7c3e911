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
    OnTime,
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
    /// The job has to start within `start_within`; the pool needs `kept_time` for the work that it keeps.
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
    /// What they use at most at one time.
    pub width: Amounts,
    /// It is not set aside: some of its tasks have started, whose work would be of no use for longer, or it was set
    /// aside for as long as it may.
    pub is_fixed: bool,
}

impl WaitingJob {
    /// Returns what the job can use of a resource until its latest start.
    fn use_before_latest_start(&self, resource: usize, now: Time) -> u64 {
        let time = self.latest_start.saturating_sub(now).as_millis() as u64;
        self.work[resource].min(self.width[resource].saturating_mul(time))
    }
}

/// What a pool can do from now on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Capacity without that of long-running tasks.
    pub capacity: Amounts,
    /// Capacity of machines that are on their way, and when they can take tasks.
    pub arriving: Vec<(Time, Amounts)>,
    /// What running tasks use, and for how much longer by their declared run times.
    pub running: Vec<(Duration, Amounts)>,
}

impl Room {
    /// Returns what a resource can do until a time.
    fn until(&self, end: Time, resource: usize, now: Time) -> u64 {
        let ms = |from: Time| end.saturating_sub(from).as_millis() as u64;
        let use_of = |from: Time, capacity: &Amounts| capacity[resource].saturating_mul(ms(from));
        let arriving = self.arriving.iter().map(|(at, capacity)| use_of((*at).max(now), capacity));
        arriving.fold(use_of(now, &self.capacity), u64::saturating_add)
    }

    /// Returns the resource of which `work` needs the largest part, among those that the pool has.
    fn scarcest(&self, work: &Amounts) -> Option<usize> {
        let needed = |resource: &usize| work[*resource] / self.capacity[*resource];
        // The first one if several are equal.
        (0..work.len()).rev().filter(|r| self.capacity[*r] > 0).max_by_key(needed)
    }
}

/// Use of one resource by running tasks, for any time from now on.
struct RunningUse {
    /// Time left, use of all that end sooner or then, and amount of those that go on; by time left.
    ends: Vec<(u64, u64, u64)>,
    amount: u64,
}

impl RunningUse {
    fn new(running: &[(Duration, Amounts)], resource: usize) -> RunningUse {
        let mut tasks: Vec<(u64, u64)> = running
            .iter()
            .map(|(left, amounts)| (left.as_millis() as u64, amounts[resource]))
            .collect();
        tasks.sort_unstable();
        let all = tasks.iter().fold(0u64, |sum, (_, amount)| sum.saturating_add(*amount));
        let (mut used, mut amount) = (0u64, all);
        let ends = tasks.into_iter().map(|(left, ending)| {
            used = used.saturating_add(ending.saturating_mul(left));
            amount = amount.saturating_sub(ending);
            (left, used, amount)
        });
        RunningUse { ends: ends.collect(), amount: all }
    }

    /// Returns what running tasks use within a time, and what they still use at its end.
    fn within(&self, time: Duration) -> (u64, u64) {
        let time = time.as_millis() as u64;
        let ended = self.ends.partition_point(|(left, ..)| *left <= time);
        let last = ended.checked_sub(1).map(|last| self.ends[last]);
        let (used, amount) = last.map_or((0, self.amount), |(_, used, amount)| (used, amount));
        (used.saturating_add(amount.saturating_mul(time)), amount)
    }
}

/// Which jobs a pool sets aside, and by how much its work exceeds its room.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Selection {
    /// For each job, whether it is set aside.
    pub set_aside: Vec<bool>,
    /// Time in which the pool could do the work that is kept.
    pub kept_time: Duration,
    /// The same for the work that is set aside.
    pub set_aside_time: Duration,
}

/// Selects the jobs that a pool sets aside, so that as many of the others as possible can start in time; none for
/// one of lower priority. `jobs` can all still meet their objectives if they start now. What runs or is kept counts
/// as far as it can use the pool before the job that is looked at has to start.
pub fn select(jobs: &[WaitingJob], room: &Room, now: Time) -> Selection {
    let mut selection = Selection { set_aside: vec![false; jobs.len()], ..Selection::default() };
    let total = jobs.iter().fold(Amounts::default(), |sum, job| plus(&sum, &job.work));
    let Some(resource) = room.scarcest(&total) else { return selection };
    let running = RunningUse::new(&room.running, resource);
    let room_for = |job: &WaitingJob| {
        let (used, still_used) = running.within(job.latest_start.saturating_sub(now));
        let free = room.until(job.latest_start, resource, now).saturating_sub(used);
        match still_used < room.capacity[resource] {
            // A job whose turn comes at its latest start still meets its objective.
            true => free.saturating_add(job.use_before_latest_start(resource, now)),
            false => free,
        }
    };
    let indexed = jobs.iter().enumerate();
    // Those that are not set aside count from the beginning of their class on.
    let mut order: Vec<(u32, bool, u64, usize)> =
        indexed.map(|(index, job)| (job.priority, !job.is_fixed, room_for(job), index)).collect();
    order.sort_unstable();
    let (mut kept_use, mut kept_work, mut set_aside_work) = (0u64, 0u64, 0u64);
    for class in order.chunk_by(|a, b| a.0 == b.0) {
        // Of jobs with the same work the newest goes first.
        let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
        for (.., available, index) in class {
            let job = &jobs[*index];
            let own_use = job.use_before_latest_start(resource, now);
            if !job.is_fixed {
                kept.push((job.work[resource], *index));
            }
            kept_use = kept_use.saturating_add(own_use);
            kept_work = kept_work.saturating_add(job.work[resource]);
            if kept_use > *available
                && let Some((work, largest)) = kept.pop()
            {
                let freed = jobs[largest].use_before_latest_start(resource, now);
                kept_use = kept_use.saturating_sub(freed);
                kept_work = kept_work.saturating_sub(work);
                set_aside_work = set_aside_work.saturating_add(work);
                selection.set_aside[largest] = true;
            }
        }
    }
    let time = |work: u64| Duration::from_millis(work / room.capacity[resource]);
    (selection.kept_time, selection.set_aside_time) = (time(kept_work), time(set_aside_work));
    selection
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
