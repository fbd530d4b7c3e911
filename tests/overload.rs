//! Patterns: more work than a pool can do in time, wide jobs beside small ones, a team that floods, an urgent
//! burst, run times other than declared. No network.

mod batch;

use batch::{Cluster, TEAM, WORKER_PROCESSORS, short_step};
use jacinthhook::batch::declarations::{Declarations, Team};
use jacinthhook::batch::job::Step;
use jacinthhook::batch::orders::RunOutcome;
use jacinthhook::batch::overload::{
    Amounts, Delay, OverloadSettings, Room, Standing, TeamRates, WaitingJob, select,
};
use jacinthhook::fair::Resources;
use jacinthhook::ids::TeamId;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const OTHER_TEAM: &str = "other";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a job that needs a pool with a capacity of 1,000 processors for `work_ms`.
fn job(start_within_ms: u64, work_ms: u64) -> WaitingJob {
    let (work, width) = ([work_ms * 1_000, 0, 0], [u64::MAX; 3]);
    let latest_start = NOW + ms(start_within_ms);
    WaitingJob { priority: 0, latest_start, work, width, is_fixed: false }
}

fn room() -> Room {
    Room { capacity: [1_000, 1_000, 0], ..Room::default() }
}

fn set_aside(jobs: &[WaitingJob], room: &Room) -> Vec<usize> {
    let selection = select(jobs, room, NOW);
    (0..jobs.len()).filter(|index| selection.set_aside[*index]).collect()
}

#[test]
fn select_enough_room() {
    let jobs = [job(0, 400), job(400, 1_000), job(1_400, 5_000)];
    assert!(set_aside(&jobs, &room()).is_empty());
}

/// The wide job is due first. Guards against delaying many callers for one.
#[test]
fn select_wide_job_beside_small_ones() {
    let mut jobs = vec![job(500, 900)];
    jobs.extend((0..9).map(|index| job(600 + index * 10, 60)));
    assert_eq!(set_aside(&jobs, &room()), [0]);
}

/// Equal jobs for four times what the pool can do. Guards against starting all of them when it is almost too late.
#[test]
fn select_more_work_than_room() {
    let jobs = vec![job(1_000, 100); 40];
    let selection = select(&jobs, &room(), NOW);
    assert_eq!(selection.set_aside.iter().filter(|is_set_aside| !**is_set_aside).count(), 11);
    assert_eq!((selection.kept_time, selection.set_aside_time), (ms(1_100), ms(2_900)));
}

/// Small jobs of a lower priority beside a burst of wide ones that fit by themselves.
#[test]
fn select_urgent_burst() {
    let mut jobs: Vec<WaitingJob> =
        (0..5).map(|_| WaitingJob { priority: 1, ..job(900, 50) }).collect();
    jobs.extend([job(1_000, 600), job(1_000, 600)]);
    assert_eq!(set_aside(&jobs, &room()), [0, 1, 2, 3, 4]);
}

/// Guards against giving up work that has been done for a job.
#[test]
fn select_begun_job() {
    let begun = WaitingJob { is_fixed: true, ..job(100, 900) };
    assert_eq!(set_aside(&[begun, job(500, 100), job(950, 100)], &room()), [1]);
}

#[test]
fn select_running_work() {
    let busy = Room { running: vec![(ms(800), [1_000, 0, 0])], ..room() };
    assert_eq!(set_aside(&[job(500, 100), job(850, 100)], &busy), [0]);
}

/// Demand rises before its machines are there. Guards against setting aside what they will serve.
#[test]
fn select_machines_arriving() {
    let jobs = [job(500, 1_000), job(500, 800), job(500, 100)];
    assert_eq!(set_aside(&jobs, &room()), [0]);
    let arriving = vec![(NOW + ms(250), [2_000, 2_000, 0])];
    assert!(set_aside(&jobs, &Room { arriving, ..room() }).is_empty());
}

/// Guards against counting processors alone: memory is used up first.
#[test]
fn select_scarce_memory() {
    let with_memory =
        |start_within_ms, work: Amounts| WaitingJob { work, ..job(start_within_ms, 0) };
    let jobs = [
        with_memory(500, [600_000, 100_000, 0]),
        with_memory(300, [100_000, 2_000_000, 0]),
        with_memory(700, [100_000, 300_000, 0]),
    ];
    assert_eq!(set_aside(&jobs, &room()), [1]);
}

/// A full pool of short tasks that end all the time. Guards against setting urgent jobs aside just before their turn.
#[test]
fn select_urgent_jobs_in_full_pool() {
    let one_task = |start_within_ms| WaitingJob {
        work: [1_000_000, 0, 0],
        width: [1_000, 0, 0],
        ..job(start_within_ms, 0)
    };
    let running = (1..=100).map(|task| (ms(task * 10), [1_000, 0, 0])).collect();
    let busy = Room { capacity: [100_000, 0, 0], running, ..Room::default() };
    let mut jobs = vec![one_task(400); 20];
    jobs.extend(vec![one_task(3_000); 100]);
    assert!(set_aside(&jobs, &busy).is_empty());
}

/// Run times are declared by callers. Guards against one task that holds back all others by what it declares.
#[test]
fn select_absurd_running_task() {
    let running = vec![(Duration::MAX, [24, 0, 0])];
    let jobs = vec![job(1_500, 100); 10];
    assert!(set_aside(&jobs, &Room { running, ..room() }).is_empty());
}

#[test]
fn select_no_capacity() {
    assert!(set_aside(&[job(500, 100), job(500, 200)], &Room::default()).is_empty());
}

#[test]
fn standing_order() {
    let order = [Standing::OnTime, Standing::Late, Standing::BeyondRate];
    assert!(order.is_sorted());
}

fn record(rates: &mut TeamRates, team: &Team, count: usize, now: Duration) -> usize {
    let id: TeamId = TEAM.into();
    let settings = OverloadSettings { enabled: true, ..OverloadSettings::default() };
    let delays = (0..count).filter_map(|_| rates.record((&id, team), &settings, now));
    let beyond = Delay::BeyondRate { team: id.clone(), job_rate: team.job_rate.unwrap_or(0) };
    delays.inspect(|delay| assert_eq!(*delay, beyond)).count()
}

/// Guards against counting a job twice or losing fractions of one, at rates below and above one job a pass.
#[test]
fn record_flooding_team() {
    for job_rate in [1, 3, 700] {
        let team = Team { weight: 1, job_rate: Some(job_rate), limit: Resources::default() };
        let mut rates = TeamRates::default();
        let mut beyond = 0;
        for pass in 0..10_000u32 {
            let now = NOW + Duration::from_micros(1_300) * pass;
            beyond += record(&mut rates, &team, 1, now);
        }
        // The burst of a second, and 13 s.
        let within = 10_000 - beyond;
        let allowed = (14 * job_rate as usize).min(10_000);
        assert!((allowed - 1..=allowed).contains(&within), "{within} at {job_rate}");
    }
}

#[test]
fn record_team_without_rate() {
    let team = Team { weight: 1, job_rate: None, limit: Resources::default() };
    assert_eq!(record(&mut TeamRates::default(), &team, 1_000, NOW), 0);
}

/// Returns a cluster in which two teams may send two jobs per second.
fn limited_cluster(workers: usize, enabled: bool) -> Cluster {
    let mut cluster = Cluster::new(workers).with_overload(enabled);
    cluster.update_config(|active_config| {
        let mut declarations = Declarations::clone(&active_config.declarations);
        let team = Team { weight: 2, job_rate: Some(2), limit: Resources::default() };
        declarations.teams.insert(TEAM.into(), team.clone());
        declarations.teams.insert(OTHER_TEAM.into(), team);
        active_config.declarations = Arc::new(declarations);
    });
    cluster
}

/// Returns a step that fills a worker.
fn whole_worker() -> Step {
    let mut step = short_step(1);
    step.resources.processors = WORKER_PROCESSORS;
    step
}

/// Guards against a team that sends many times its rate and keeps the jobs of others from the workers that become
/// free. All its jobs run where there is room.
#[test]
fn schedule_tasks_flooding_team() {
    for (enabled, expected) in [(true, OTHER_TEAM), (false, TEAM)] {
        let mut cluster = limited_cluster(8, enabled);
        for index in 0..20 {
            cluster.submit_by(
                TEAM,
                &format!("00000000000000{:02x}", index + 1),
                vec![whole_worker()],
            );
        }
        cluster.settle();
        assert_eq!(
            cluster.running_tasks().len(),
            8,
            "jobs beyond the rate wait beside free workers"
        );
        cluster.submit_by(TEAM, "00000000000000c1", vec![whole_worker()]);
        cluster.submit_by(OTHER_TEAM, "00000000000000d1", vec![whole_worker()]);
        cluster.finish_all(RunOutcome::Done);
        cluster.poll_all();
        let starts = cluster.decide().orders.starts;
        let first = &cluster.owner.jobs[&starts[0].task.job];
        assert_eq!(first.team.as_deref(), Some(expected), "{enabled}");
    }
}
