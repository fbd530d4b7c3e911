//! The cases. Each returns what broke the rule, if anything did.

use crate::fleet::Fleet;
use crate::platform::{Platform, Seen, StepWork};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Verdict = Result<Option<String>, String>;

const RUNNERS: usize = 8;
/// Runners of the case in which several of them crash: three are a share of 0.15.
const MANY_RUNNERS: usize = 20;
/// Racks; neighbours stand in different ones.
const RACKS: usize = 5;
/// Capacity of a runner in thousandths of a core.
const CAPACITY: u64 = 16_000;

pub fn run(case: &str, platform: &Arc<Platform>, trouble: bool) -> Verdict {
    let runners = if case == "replaced" { MANY_RUNNERS } else { RUNNERS };
    for index in 0..runners {
        platform.add_runner(&format!("{index}"), &format!("r{}", index % RACKS), CAPACITY);
    }
    let fleet = Fleet::start(platform, 3)?;
    let verdict = match case {
        "replaced" => replaced(platform, &fleet, trouble),
        "gang-end" => gang_end(platform, &fleet, trouble),
        "cancel" => cancel(platform, &fleet, trouble),
        "resend" => resend(platform, &fleet, trouble),
        "pending" => pending(platform, &fleet, trouble),
        other => Err(format!("no such case: {other}")),
    };
    for word in ["BatchJobGivenUp", "\"name\":\"OwnerHere\""] {
        fleet.show_logs(word);
    }
    verdict
}

fn work(count: u64, cpu: u64, ms: u64) -> StepWork {
    StepWork { count, cpu, work: Duration::from_millis(ms), gang: false, lasts: false }
}

fn add_job(platform: &Platform, id: &str, steps: Vec<StepWork>) {
    platform.state().jobs.insert(id.into(), steps);
}

fn seen(platform: &Platform, what: &str, prefix: &str) -> Vec<Seen> {
    let state = platform.state();
    state.seen.iter().filter(|s| s.what == what && s.task.starts_with(prefix)).cloned().collect()
}

/// Waits until `condition` returns a value.
fn wait_for<T>(limit: Duration, mut condition: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + limit;
    loop {
        if let Some(value) = condition() {
            return Some(value);
        }
        if Instant::now() > until {
            return None;
        }
        sleep(Duration::from_millis(10));
    }
}

fn runner_index(platform: &Platform, id: &str) -> usize {
    platform.state().runners.iter().position(|r| r.id == id).unwrap_or(0)
}

/// Idle runners crash, and others start on their machines; jobs are handed in while the store still lists
/// the earlier ones.
fn replaced(platform: &Arc<Platform>, fleet: &Fleet, trouble: bool) -> Verdict {
    const CRASHED: [usize; 3] = [0, 1, 2];
    const JOBS: u64 = 4;
    if trouble {
        CRASHED.iter().for_each(|index| platform.crash(*index));
        sleep(Duration::from_millis(1_000));
        CRASHED.iter().for_each(|index| platform.replace(*index));
    } else {
        sleep(Duration::from_millis(1_000));
    }
    sleep(Duration::from_millis(500));
    let jobs: Vec<String> = (1..=JOBS).map(|n| format!("00000000000000e{n}")).collect();
    for job in &jobs {
        add_job(platform, job, vec![work(24, 600, 500)]);
        fleet.submit(
            0,
            job,
            "{\"spec\":\"short\",\"steps\":[{\"count\":24,\"cpu\":600,\"memMb\":256,\"estimateMs\":500}]}",
        )?;
        sleep(Duration::from_millis(300));
        fleet.job_state(2, job);
    }
    // `finish_s` after the end of the traffic.
    sleep(Duration::from_secs(14));
    let mut wrong = Vec::new();
    for job in &jobs {
        let state = fleet.job_state(1, job);
        let starts = seen(platform, "starts", job).len();
        let failed = seen(platform, "failed", job).len();
        if state == "failed" && failed == 0 {
            wrong.push(format!("{job} ({starts} starts)"));
        }
    }
    Ok((!wrong.is_empty()).then(|| {
        format!("LOST: shown as failed, without any run that ended failed: {}", wrong.join(", "))
    }))
}

/// A member's runner is cut off while its gang works, and crashes behind the cut after the gang is done.
fn gang_end(platform: &Arc<Platform>, fleet: &Fleet, trouble: bool) -> Verdict {
    const JOB: &str = "00000000000000b2";
    add_job(platform, JOB, vec![StepWork { gang: true, ..work(2, 2_000, 3_000) }, work(1, 1_000, 300)]);
    fleet.submit(
        0,
        JOB,
        "{\"spec\":\"gang\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":3000,\
         \"gang\":true,\"antiAffinity\":1},{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":300,\
         \"after\":[0]}]}",
    )?;
    let starts = wait_for(Duration::from_secs(10), || {
        Some(seen(platform, "starts", JOB)).filter(|s| s.len() >= 2)
    });
    let starts = starts.ok_or("the gang did not start")?;
    sleep(Duration::from_millis(2_000));
    if trouble {
        let index = runner_index(platform, &starts[1].runner);
        platform.set_cut(index, true);
        sleep(Duration::from_millis(2_000));
        platform.crash(index);
        sleep(Duration::from_millis(1_000));
        platform.restart(index);
        sleep(Duration::from_millis(2_500));
        platform.set_cut(index, false);
    } else {
        sleep(Duration::from_millis(5_500));
    }
    // `finish_s` after the end of the traffic and of the disruption, and some more.
    sleep(Duration::from_secs(20));
    let state = fleet.job_state(1, JOB);
    let gang = format!("{JOB}.0.0.");
    let noted: Vec<Seen> = seen(platform, "noted", &gang);
    let done = seen(platform, "done", &gang);
    let first_noted = noted.iter().find(|n| done.iter().any(|d| d.run == n.run && d.task == n.task));
    let Some(first_noted) = first_noted else {
        return Err("no end of the gang was noted".into());
    };
    let second_step = seen(platform, "starts", &format!("{JOB}.0.1."));
    let waited = first_noted.at.elapsed();
    let is_stuck = state != "complete" && second_step.is_empty() && waited > Duration::from_secs(14);
    Ok(is_stuck.then(|| {
        format!(
            "LOST: the gang of {JOB} ended done, and that was noted {:.1} s ago; the next step has not \
             started since, nothing of the job runs, the runners are idle, and it is shown as {state}",
            waited.as_secs_f64()
        )
    }))
}

/// The owner's open channels to the store fall silent; a job is handed in and cancelled meanwhile.
fn cancel(platform: &Arc<Platform>, fleet: &Fleet, trouble: bool) -> Verdict {
    const JOB: &str = "00000000000000c3";
    const CANCEL_MS: u64 = 3_000;
    add_job(platform, JOB, vec![work(1, 1_000, 500)]);
    let leader = platform.state().leader.ok_or("nobody leads")?;
    let others: Vec<usize> = (0..fleet.len()).filter(|i| *i != leader).collect();
    if trouble {
        platform.note(&format!("open channels of frontend-{} to the store fall silent", leader + 1));
        platform.state().silent_since.insert(leader, Instant::now());
    }
    sleep(Duration::from_millis(50));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
    let due = now.as_millis() + 10_000;
    let body = format!(
        "{{\"spec\":\"later\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":500}}],\
         \"repeats\":1,\"startAtMs\":{due},\"intervalMs\":1000}}"
    );
    fleet.submit(others[0], JOB, &body)?;
    sleep(Duration::from_millis(100));
    // Again, at the next instance, until the cancelling is acknowledged.
    let mut acknowledged = None;
    for attempt in 0..5 {
        let instance = others[(1 + attempt) % others.len()];
        if let Some((status @ (200..=299 | 410), _)) = fleet.call(instance, "DELETE", JOB, "") {
            acknowledged = Some((Instant::now(), status));
            break;
        }
        sleep(Duration::from_millis(500));
    }
    let (at, status) = acknowledged.ok_or("the cancelling was not acknowledged")?;
    sleep(Duration::from_secs(14));
    for instance in 0..fleet.len() {
        fleet.job_state(instance, JOB);
    }
    let starts = seen(platform, "starts", JOB);
    let late = starts.iter().find(|s| s.at > at + Duration::from_millis(CANCEL_MS));
    Ok(late.map(|start| {
        format!(
            "UNASKED: {} started {:.1} s after the cancelling of its job was answered {status}",
            start.task,
            (start.at - at).as_secs_f64()
        )
    }))
}

/// The owner is frozen while the answer to its start is lost. Another one takes note of the end; the runner
/// crashes and comes back; the owner that was replaced wakes.
fn resend(platform: &Arc<Platform>, fleet: &Fleet, trouble: bool) -> Verdict {
    const JOB: &str = "00000000000000f6";
    add_job(platform, JOB, vec![work(1, 1_000, 300)]);
    let leader = platform.state().leader.ok_or("nobody leads")?;
    if trouble {
        platform.state().unanswered_start = Some(JOB.into());
    }
    let other = (leader + 1) % fleet.len();
    fleet.submit(
        other,
        JOB,
        "{\"spec\":\"short\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":300}]}",
    )?;
    let start = wait_for(Duration::from_secs(5), || seen(platform, "starts", JOB).into_iter().next());
    let start = start.ok_or("the task did not start")?;
    let index = runner_index(platform, &start.runner);
    let frozen_at = Instant::now();
    if trouble {
        fleet.signal(leader, "STOP");
    }
    let noted = wait_for(Duration::from_millis(3_400), || {
        seen(platform, "noted", JOB).into_iter().next()
    });
    if trouble {
        platform.crash(index);
        sleep(Duration::from_millis(200));
        platform.restart(index);
        fleet.signal(leader, "CONT");
        let frozen = frozen_at.elapsed();
        platform.note(&format!("frozen for {:.1} s", frozen.as_secs_f64()));
    }
    let noted = noted.ok_or("the end was not taken note of in time")?;
    sleep(Duration::from_secs(6));
    for instance in 0..fleet.len() {
        fleet.job_state(instance, JOB);
    }
    let again = seen(platform, "starts", JOB).into_iter().find(|s| s.at > noted.at);
    Ok(again.map(|start| {
        format!(
            "TWICE: {} run {} starts again on {} {:.1} s after its end, done, was taken note of",
            start.task,
            start.run,
            start.runner,
            (start.at - noted.at).as_secs_f64()
        )
    }))
}

/// A runner is lost for good, and gangs that need all runners wait.
fn pending(platform: &Arc<Platform>, fleet: &Fleet, trouble: bool) -> Verdict {
    const JOBS: [&str; 4] =
        ["00000000000000d1", "00000000000000d2", "00000000000000d3", "00000000000000d4"];
    if trouble {
        platform.crash(0);
        // The registration is removed, and impairment of runners is over.
        sleep(Duration::from_secs(8));
    }
    let slots = RUNNERS as u64 * (CAPACITY / 5_000);
    for (index, job) in JOBS.iter().enumerate() {
        add_job(platform, job, vec![StepWork { gang: true, ..work(slots, 5_000, 500) }]);
        let body = format!(
            "{{\"spec\":\"gang\",\"steps\":[{{\"count\":{slots},\"cpu\":5000,\"memMb\":256,\
             \"estimateMs\":500,\"gang\":true}}]}}"
        );
        fleet.submit(index % fleet.len(), job, &body)?;
    }
    // `visible_ms` and 2 s, and some more.
    sleep(Duration::from_secs(8));
    let begun = JOBS.iter().filter(|job| !seen(platform, "starts", job).is_empty()).count();
    let waiting = JOBS.len() - begun;
    let mut wrong = Vec::new();
    for instance in 0..fleet.len() {
        let Some((200, body)) = fleet.call(instance, "GET", "", "") else { continue };
        let Some(body) = crate::json::Json::parse(&body) else { continue };
        if 2 * body.num("pending") < waiting as u64 {
            wrong.push((instance + 1, body.num("pending")));
        }
    }
    let states: Vec<String> = JOBS.iter().map(|job| fleet.job_state(0, job)).collect();
    Ok((!wrong.is_empty()).then(|| {
        format!(
            "MIXED: {waiting} jobs were accepted over 8 s ago and none of their tasks has begun; pending by \
             instance: {wrong:?}; shown as {states:?}"
        )
    }))
}
