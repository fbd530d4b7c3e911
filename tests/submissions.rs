//! Pattern: many instances append callers' records while each append takes long. No network but for the lanes
//! of the append queue.

mod users_platform;

use bytes::Bytes;
use jacinthhook::ids::JobId;
use jacinthhook::instance::append_queue::{AppendOutcome, AppendQueue};
use jacinthhook::instance::election::HEARTBEAT_TIMEOUT;
use jacinthhook::instance::submissions::{
    CANCEL_KEY_SUFFIX, MAX_PARTITIONS, OwnerReads, SubmissionIndex, SubmissionSettings,
    merge_by_time, partition_of, possible_partitions,
};
use jacinthhook::platform::http::Http;
use jacinthhook::platform::store::Store;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use users_platform::Platform;

const NOW: Duration = Duration::from_secs(10);
/// Append of a slow store.
const SLOW_APPEND: Duration = Duration::from_millis(150);
/// What a caller waits for the store.
const STORE_TIME: Duration = Duration::from_millis(1_800);

fn id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Settings of an instance once no earlier version runs.
fn all_partitions() -> SubmissionSettings {
    SubmissionSettings { partitions: MAX_PARTITIONS, ..SubmissionSettings::default() }
}

fn owner(partitions: u32) -> Option<OwnerReads> {
    Some(OwnerReads { partitions, heard_at: NOW })
}

/// Guards against a hash that differs by version, process or machine: a job would be looked for elsewhere.
#[test]
fn partition_of_fixed() {
    let partitions = ["00000000000000a1", "5c0e7a21d94b36f8", ""].map(|id| partition_of(id, 32));
    assert_eq!(partitions, [4, 3, 1]);
}

#[test]
fn partition_of_even() {
    let mut counts = [0; MAX_PARTITIONS as usize];
    (0..3_200).for_each(|n| counts[partition_of(&id(n), MAX_PARTITIONS) as usize] += 1);
    assert!(counts.iter().all(|n| (60..=140).contains(n)), "{counts:?}");
}

/// Guards against telling that a job does not exist before a partition was read that may hold it.
#[test]
fn possible_partitions_other_settings() {
    let possible: HashSet<u32> = possible_partitions(&id(7), 32).collect();
    let used = [1, 2, 4, 8, 16, 32].map(|partitions| partition_of(&id(7), partitions));
    assert_eq!(possible, HashSet::from(used));
}

/// Guards against a job that the owner does not read.
#[test]
fn partitions_in_use_owner() {
    let settings = all_partitions();
    assert_eq!(settings.partitions_in_use(32, owner(32), NOW), 32);
    assert_eq!(settings.partitions_in_use(32, owner(1), NOW), 1, "an earlier version");
    assert_eq!(settings.partitions_in_use(32, owner(8), NOW), 8);
    assert_eq!(settings.partitions_in_use(32, None, NOW), 1, "no owner is known");
    assert_eq!(settings.partitions_in_use(32, owner(32), NOW + HEARTBEAT_TIMEOUT), 1, "silent");
}

#[test]
fn partitions_in_use_settings() {
    let off = SubmissionSettings { enabled: false, ..all_partitions() };
    assert_eq!(off.partitions_in_use(32, owner(32), NOW), 1);
    // An earlier version may still become the owner.
    assert_eq!(SubmissionSettings::default().partitions_in_use(32, owner(32), NOW), 1);
    let few = SubmissionSettings { partitions: 4, ..SubmissionSettings::default() };
    assert_eq!(few.partitions_in_use(32, owner(32), NOW), 4);
    let settings = all_partitions();
    assert_eq!(settings.partitions_in_use(0, owner(32), NOW), 1);
    assert_eq!(settings.partitions_in_use(12, owner(32), NOW), 8);
    assert_eq!(settings.partitions_in_use(64, owner(64), NOW), MAX_PARTITIONS);
}

/// Guards against a new owner that starts jobs of one partition before older ones of others, and against a
/// clock that turns the order of one partition round.
#[test]
fn merge_by_time_partitions() {
    let at = Duration::from_secs;
    let first = vec![(Duration::ZERO, "earlier version"), (at(5), "c"), (at(2), "d")];
    let merged = merge_by_time(vec![first, vec![(at(3), "b"), (at(6), "e")]]);
    assert_eq!(merged, ["earlier version", "b", "c", "d", "e"]);
}

/// A job that was submitted to two partitions and cancelled in one is deleted from both, one append each.
#[test]
fn next_deletion_partitions_take_turns() {
    let job: JobId = id(1).as_str().into();
    let cancel = format!("{job}{CANCEL_KEY_SUFFIX}");
    let mut index = SubmissionIndex::default();
    index.record(0, &job, true);
    index.record(9, &job, true);
    index.record(9, &cancel, true);
    let mut next = || index.next_deletion([&job].into_iter(), 10).expect("a deletion");
    let (a, b, c) = (next(), next(), next());
    assert_eq!((a.partition, b.partition, c.partition), (9, 0, 9), "a refused one is repeated");
    assert_eq!((a.keys, b.keys), (vec![job.to_string(), cancel.clone()], vec![job.to_string()]));
    for (partition, key) in [(0, &*job), (9, &*job), (9, &*cancel)] {
        assert!(index.holds(&job));
        index.record(partition, key, false);
    }
    assert!(!index.holds(&job));
    assert_eq!(index.next_deletion([&job].into_iter(), 10), None);
}

/// A confirmed deletion is not sent again before the reader has passed it.
#[test]
fn next_deletion_unread() {
    let job: JobId = id(1).as_str().into();
    let mut index = SubmissionIndex::default();
    index.record(9, &job, true);
    index.record_deletion(9, 7);
    index.record_read(9, 6);
    index.record_read(0, 8);
    assert_eq!(index.next_deletion([&job].into_iter(), 10), None);
    index.record_read(9, 7);
    assert!(index.next_deletion([&job].into_iter(), 10).is_some(), "submitted behind it");
    index.record_deletion(9, 8);
    index.clear_partition(9);
    index.record(9, &job, true);
    assert!(index.next_deletion([&job].into_iter(), 10).is_some(), "the history was cut");
}

/// A submission that is read behind the deletion stays known. Guards against dropping the progress of a job
/// whose submission is stored: the next owner would run it again.
#[test]
fn record_submitted_after_deletion() {
    let job = id(1);
    let mut index = SubmissionIndex::default();
    for exists in [true, false, true] {
        index.record(3, &job, exists);
    }
    assert!(index.holds(&job));
    index.clear_partition(3);
    assert!(!index.holds(&job));
}

/// Stores one record for each of 40 instances of which each has its own queue. Returns how many are stored
/// in time.
async fn store_from_all_instances(partitions: u32) -> usize {
    let platform = Platform::new();
    (0..32).for_each(|n| platform.set_append_time(&partition_name(n), SLOW_APPEND));
    let store = Store::new(Http::new(), platform.serve().await.to_string());
    let mut waiting = JoinSet::new();
    let deadline = Instant::now() + STORE_TIME;
    for number in 0..40 {
        let queue = Arc::new(AppendQueue::new(partitions));
        tokio::spawn(queue.clone().run(store.clone()));
        waiting.spawn(async move {
            let (id, value) = (id(number), Bytes::from_static(b"x"));
            queue.store(partition_of(&id, partitions), &id, value, deadline).await
        });
    }
    let outcomes = waiting.join_all().await;
    outcomes.iter().filter(|outcome| **outcome == AppendOutcome::Stored).count()
}

/// The load of a slow store: a round of all instances through one partition takes longer than callers wait,
/// through 32 it does not.
#[tokio::test]
async fn store_slow_partitions() {
    let one = store_from_all_instances(1).await;
    assert!(one < 15, "{one} of 40 through one partition");
    assert_eq!(store_from_all_instances(MAX_PARTITIONS).await, 40);
}

fn partition_name(number: u32) -> String {
    match number {
        0 => "keyed.jobs".into(),
        number => format!("keyed.jobs/{number}"),
    }
}

/// A partition that does not answer holds up its own records only.
#[tokio::test]
async fn store_one_partition_stuck() {
    let platform = Platform::new();
    platform.set_append_time("keyed.jobs/1", Duration::from_secs(60));
    let queue = Arc::new(AppendQueue::new(2));
    let store = Store::new(Http::new(), platform.serve().await.to_string());
    tokio::spawn(queue.clone().run(store));
    let deadline = Instant::now() + Duration::from_millis(600);
    let store = |partition, key: &'static str| {
        queue.store(partition, key, Bytes::from_static(b"x"), deadline)
    };
    let (stuck, other) = tokio::join!(store(1, "a"), store(0, "b"));
    assert_eq!((stuck, other), (AppendOutcome::Unknown, AppendOutcome::Stored));
    // The first append of the key may still be carried out, so no other partition takes it before.
    assert_eq!(store(0, "a").await, AppendOutcome::Unknown);
    assert!(platform.partitions_with("keyed.jobs", "a").is_empty());
}

/// The owner became silent while a record of a job was in flight, and another one comes for the first
/// partition, which refuses. Guards against telling the caller that the job never runs.
#[tokio::test]
async fn store_refused_elsewhere_while_in_flight() {
    let platform = Platform::new();
    platform.set_append_time("keyed.jobs/1", Duration::from_secs(60));
    let queue = Arc::new(AppendQueue::new(2));
    let store = Store::new(Http::new(), platform.serve().await.to_string());
    tokio::spawn(queue.clone().run(store));
    let store = |partition, wait| {
        let deadline = Instant::now() + Duration::from_millis(wait);
        queue.store(partition, "job", Bytes::from_static(b"x"), deadline)
    };
    assert_eq!(store(1, 100).await, AppendOutcome::Unknown);
    platform.store_down.store(true, std::sync::atomic::Ordering::Relaxed);
    assert_eq!(store(0, 300).await, AppendOutcome::Unknown, "in flight");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(store(0, 300).await, AppendOutcome::Unknown, "may be stored late");
}
