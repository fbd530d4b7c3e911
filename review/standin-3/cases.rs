//! The cases: each plays one order of events and checks one rule as RULES.md states it.

use crate::record::RunTrace;
use crate::world::{config, World, RARE_KIND};
use std::collections::HashSet;
use std::thread::sleep;
use std::time::Duration;

/// Bounds of the small deployments, as the settings state them.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
const FINISH_TIME: Duration = Duration::from_secs(14);
/// Time for which a job that could run may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Longest cut of one machine from the store on the customers' sheets.
const CUT_TIME: Duration = Duration::from_millis(5_500);

pub struct Verdict {
    pub is_broken: bool,
}

fn verdict(world: &World, is_broken: bool, text: &str) -> Verdict {
    let word = if is_broken { "broken" } else { "held" };
    world.record.write(&format!("the rule {word}: {text}"));
    println!("the rule {word}: {text}");
    Verdict { is_broken }
}

fn ms(time: Duration) -> u128 {
    time.as_millis()
}

/// UNASKED: a client cancels an accepted job at another instance than the one that accepted it, while the instance
/// that decides is partitioned from the store.
pub fn cancel_answered_410(path: &str, trouble: bool) -> Verdict {
    let mut world = World::start(path, 3, 9, &config(1, 0));
    let Some(owner) = world.owner() else { world.give_up("no instance decides") };
    let (first, second) = ((owner + 1) % 3, (owner + 2) % 3);
    let began_at = world.record.now();
    if trouble {
        world.record.write(&format!("{} is cut off from the store", world.instances[owner].name));
        world.instances[owner].link.set_cut(true);
    }
    sleep(Duration::from_millis(100));
    let job = r#"{"spec":"ms=9000 cpu=1000","steps":[{"count":2,"cpu":1000,"memMb":500,"estimateMs":9000},{"count":2,"cpu":1000,"memMb":500,"estimateMs":9000,"after":[0]}]}"#;
    let id = "00000000000000a1";
    world.submit(first, id, job);
    sleep(Duration::from_millis(300));
    // Repeated like any call without an answer.
    let mut status = 0;
    for _ in 0..10 {
        status = world.call(second, "DELETE", id, "").0;
        if status == 410 || (200..300).contains(&status) {
            break;
        }
        sleep(Duration::from_millis(300));
    }
    let acknowledged_at = world.record.now();
    if status != 410 && !(200..300).contains(&status) {
        world.give_up("the cancellation was not acknowledged");
    }
    sleep((began_at + CUT_TIME).saturating_sub(world.record.now()));
    if trouble {
        world.instances[owner].link.set_cut(false);
        world.record.write(&format!("{} reaches the store again", world.instances[owner].name));
    }
    let healed_at = world.record.now();
    for _ in 0..4 {
        sleep(Duration::from_secs(5));
        world.call(second, "GET", id, "");
    }
    // From then on all instances are in touch.
    let judged_from = (acknowledged_at + CANCEL_TIME).max(healed_at + CONTACT_TIME);
    let runs = world.record.runs_of(id);
    let late: Vec<&RunTrace> = runs.iter().filter(|run| run.started_at > judged_from).collect();
    let text = format!(
        "the cancellation was answered {status} at {} ms; {} tasks started, {} of them later than {} ms{}",
        ms(acknowledged_at),
        runs.len(),
        late.len(),
        ms(judged_from),
        late.first().map_or(String::new(), |run| format!(
            ", the first of these {} at {} ms",
            run.task,
            ms(run.started_at)
        )),
    );
    verdict(&world, !late.is_empty(), &text)
}

/// LOST: the runners of a service crash one at a time under a job that lasts.
pub fn job_given_up(path: &str, trouble: bool) -> Verdict {
    let world_config = config(1, 0);
    let mut world = World::start(path, 3, 9, &world_config);
    let job = r#"{"spec":"cpu=1300","steps":[{"count":5,"cpu":1300,"memMb":3900,"estimateMs":1000,"longRunning":true,"antiAffinity":1,"mayMiss":1}]}"#;
    let id = "00000000000000b1";
    world.submit(0, id, job);
    let task = format!("{id}.0.0.0");
    let mut state = String::new();
    for _ in 0..7 {
        let is_running = |w: &World| w.runners.iter().any(|r| r.runs(&task));
        if !world.wait(Duration::from_secs(12), is_running) {
            break;
        }
        sleep(Duration::from_millis(2_500));
        let runner = world.runners.iter().find(|r| r.runs(&task)).cloned();
        if let Some(runner) = runner.filter(|_| trouble) {
            runner.crash();
            sleep(Duration::from_millis(500));
            runner.up();
        }
        sleep(Duration::from_millis(500));
        state = world.call(1, "GET", id, "").1.text("state").to_string();
        if state == "failed" {
            break;
        }
    }
    sleep(Duration::from_secs(10));
    let last = world.call(2, "GET", id, "").1.text("state").to_string();
    let runs = world.record.runs_of(id);
    let ended = |how: &str| runs.iter().filter(|r| r.end.is_some_and(|(_, h)| h == how)).count();
    let text = format!(
        "the job is shown as {state}, 10 s later as {last}; of its {} runs {} ended failed, {} with their runner, {} \
         were stopped, {} still run",
        runs.len(),
        ended("failed"),
        ended("crashed"),
        ended("stopped"),
        runs.iter().filter(|run| run.end.is_none()).count(),
    );
    verdict(&world, last == "failed" && ended("failed") == 0, &text)
}

/// LOST: three runners crash at the same moment, three times, each time those that run the same three tasks of a job
/// that lasts.
pub fn lasting_tasks_one_by_one(path: &str, trouble: bool) -> Verdict {
    const ROUNDS: usize = 3;
    const CRASH_TIME: Duration = Duration::from_millis(1_000);
    /// From the last run of a task that lasts until the rule counts.
    const AFTER_RUN: Duration = Duration::from_secs(6);
    /// Time without a disruption before the 3 s that the rule counts.
    const CALM: Duration = Duration::from_secs(4);
    let mut world = World::start(path, 3, 24, &config(1, 0));
    let job = r#"{"spec":"cpu=2000","steps":[{"count":5,"cpu":2000,"memMb":1000,"estimateMs":1000,"longRunning":true,"antiAffinity":1}]}"#;
    let id = "00000000000000e1";
    world.submit(0, id, job);
    let tasks: Vec<String> = (0..5).map(|index| format!("{id}.0.0.{index}")).collect();
    let runs = |w: &World, task: &str| w.runners.iter().any(|r| r.runs(task));
    for round in 1..=ROUNDS {
        if !world.wait(Duration::from_secs(20), |w| tasks.iter().all(|task| runs(w, task))) {
            world.give_up("a task does not run before the last round");
        }
        sleep(Duration::from_secs(2));
        let runs_one = |r: &crate::runner::Runner| tasks[..3].iter().any(|task| r.runs(task));
        let hit: Vec<_> = world.runners.iter().filter(|r| runs_one(r)).cloned().collect();
        if trouble {
            world.record.write(&format!("round {round}: {} runners crash", hit.len()));
            hit.iter().for_each(|runner| runner.crash());
            sleep(CRASH_TIME);
            hit.iter().for_each(|runner| runner.up());
        }
    }
    let calm_from = world.record.now();
    // The rule counts from its own time after the last run, and once the machines are in touch and calm.
    let counts_from = (calm_from + AFTER_RUN).max(calm_from + CONTACT_TIME + CALM);
    sleep(counts_from - calm_from);
    let mut idle: HashSet<&str> = tasks.iter().map(String::as_str).collect();
    while world.record.now() < counts_from + IDLE_LIMIT {
        idle.retain(|task| !runs(&world, task));
        sleep(Duration::from_millis(20));
    }
    let idle_until = world.record.now();
    let working = tasks.iter().filter(|task| runs(&world, task)).count() as u64;
    let room: u64 = world.runners.iter().map(|r| r.capacity.0).sum();
    world.call(1, "GET", id, "");
    // How long it takes until all of them work again.
    let all_work =
        world.wait(Duration::from_secs(40), |w| tasks.iter().all(|task| runs(w, task)));
    let end = match all_work {
        true => format!("all work again {} ms after it", ms(world.record.now() - calm_from)),
        false => "not all work again 40 s later".to_string(),
    };
    let text = format!(
        "{} of {} tasks that last had nothing running from {} to {} ms after the last disruption, while {} of {room} \
         thousandths of a core were in use and the tenant had no limit; {end}",
        idle.len(),
        tasks.len(),
        ms(counts_from - calm_from),
        ms(idle_until - calm_from),
        working * 2_000,
    );
    verdict(&world, !idle.is_empty(), &text)
}

/// LOST: three runners crash at the same moment, three times, each time those that run three jobs.
pub fn suspect_without_worker(path: &str, trouble: bool) -> Verdict {
    const ROUNDS: usize = 3;
    let mut world = World::start(path, 3, 24, &config(1, 0));
    let job = r#"{"spec":"ms=300000 cpu=2000","steps":[{"count":1,"cpu":2000,"memMb":1000,"estimateMs":300000}]}"#;
    let ids = ["00000000000000c1", "00000000000000c2", "00000000000000c3"];
    for (number, id) in ids.iter().enumerate() {
        world.submit(number, id, job);
    }
    let running = |w: &World| {
        let runs = |id: &&&str| w.runners.iter().any(|r| r.runs(&format!("{id}.0.0.0")));
        ids.iter().filter(runs).count()
    };
    for round in 1..=ROUNDS {
        if !world.wait(Duration::from_secs(20), |w| running(w) == ids.len()) {
            world.give_up("a job does not run before the last round");
        }
        sleep(Duration::from_secs(2));
        let runs_job = |id: &str, r: &crate::runner::Runner| r.runs(&format!("{id}.0.0.0"));
        let hit: Vec<_> =
            world.runners.iter().filter(|r| ids.iter().any(|id| runs_job(id, r))).cloned().collect();
        if trouble {
            world.record.write(&format!("round {round}: {} runners crash", hit.len()));
            hit.iter().for_each(|runner| runner.crash());
            sleep(Duration::from_millis(1_000));
            hit.iter().for_each(|runner| runner.up());
        }
    }
    let calm_from = world.record.now();
    sleep(FINISH_TIME);
    // Checked more often than a run could begin and end unseen.
    let mut idle: HashSet<&str> = ids.iter().copied().collect();
    let until = world.record.now() + IDLE_LIMIT;
    while world.record.now() < until {
        idle.retain(|id| !world.runners.iter().any(|r| r.runs(&format!("{id}.0.0.0"))));
        sleep(Duration::from_millis(20));
    }
    for (number, id) in ids.iter().enumerate() {
        world.call(number, "GET", id, "");
    }
    let used = running(&world) as u64 * 2_000;
    let room: u64 = world.runners.iter().map(|r| r.capacity.0).sum();
    let text = format!(
        "{} of {} jobs had nothing running from {} to {} ms after the last disruption, while {used} of {room} \
         thousandths of a core were in use and the tenant had no limit",
        idle.len(),
        ids.len(),
        ms(FINISH_TIME),
        ms(world.record.now() - calm_from),
    );
    verdict(&world, !idle.is_empty(), &text)
}

/// LOST: the runners under two jobs crash three times; a third job needs a runner of the same kind, of which there are
/// two.
pub fn job_beside_suspects(path: &str, trouble: bool) -> Verdict {
    const ROUNDS: usize = 3;
    let mut world = World::start(path, 3, 16, &config(1, 0));
    let job = |time: u64, cpu: u64| {
        format!(
            r#"{{"spec":"ms={time} cpu={cpu}","steps":[{{"count":1,"cpu":{cpu},"memMb":500,"estimateMs":{time},"requirements":"{RARE_KIND}"}}]}}"#
        )
    };
    let long = ["00000000000000f1", "00000000000000f2"];
    for (number, id) in long.iter().enumerate() {
        world.submit(number, id, &job(300_000, 2_000));
    }
    let works = |w: &World, id: &str| w.runners.iter().any(|r| r.runs(&format!("{id}.0.0.0")));
    let rare: Vec<_> = world.runners.iter().filter(|r| r.kind == RARE_KIND).cloned().collect();
    for round in 1..=ROUNDS {
        if !world.wait(Duration::from_secs(10), |w| long.iter().all(|id| works(w, id))) {
            world.give_up("a job does not run before the last round");
        }
        sleep(Duration::from_secs(2));
        if trouble {
            let runs_one = |r: &crate::runner::Runner| {
                long.iter().any(|id| r.runs(&format!("{id}.0.0.0")))
            };
            let hit: Vec<_> = rare.iter().filter(|r| runs_one(r)).cloned().collect();
            world.record.write(&format!("round {round}: {} runners of 16 crash", hit.len()));
            hit.iter().for_each(|runner| runner.crash());
            sleep(Duration::from_millis(1_000));
            hit.iter().for_each(|runner| runner.up());
        }
    }
    // The long jobs run again, and all machines are in touch.
    if !world.wait(Duration::from_secs(10), |w| long.iter().all(|id| works(w, id))) {
        world.give_up("a job does not run after the last round");
    }
    sleep(Duration::from_secs(5));
    let id = "00000000000000f3";
    world.submit(2, id, &job(1_000, 1_000));
    let accepted_at = world.record.now();
    sleep(FINISH_TIME + IDLE_LIMIT);
    let (_, answer) = world.call(1, "GET", id, "");
    let waited = world.record.now() - accepted_at;
    let runs = world.record.runs_of(id).len();
    let used = 2_000 * long.iter().filter(|id| works(&world, id)).count() as u64;
    let room = |runners: &mut dyn Iterator<Item = u64>| runners.sum::<u64>();
    let of_kind = room(&mut rare.iter().map(|r| r.capacity.0));
    let all = room(&mut world.runners.iter().map(|r| r.capacity.0));
    let text = format!(
        "{} ms after it was accepted, a job of 1000 thousandths of a core, under which no runner has crashed, is shown \
         as {} and has had {runs} runs; {used} of {of_kind} are in use on the runners that it may run on, and of {all} \
         in the service",
        ms(waited),
        answer.text("state"),
    );
    verdict(&world, runs == 0, &text)
}

/// LOST: a change of the config lowers a tenant's `maxCount` a little below what a gang needs.
pub fn gang_above_limit(path: &str, trouble: bool) -> Verdict {
    const BEFORE: u64 = 8_000;
    const AFTER: u64 = 7_500;
    let mut world = World::start(path, 3, 9, &config(1, BEFORE));
    if trouble {
        world.record.write(&format!("the operator lowers the tenant's maxCount to {AFTER}"));
        world.store.put("keyed.op", "config", &config(4, AFTER));
    }
    sleep(Duration::from_secs(3));
    let job = r#"{"spec":"ms=3000 cpu=2000 gang=4","steps":[{"count":4,"cpu":2000,"memMb":1000,"estimateMs":3000,"gang":true}]}"#;
    let id = "00000000000000d1";
    world.submit(0, id, job);
    sleep(FINISH_TIME + IDLE_LIMIT);
    let (_, answer) = world.call(1, "GET", id, "");
    let runs = world.record.runs_of(id);
    let text = format!(
        "{} ms after it was accepted the job is shown as {}; {} of its tasks have started, while nothing else runs",
        ms(FINISH_TIME + IDLE_LIMIT),
        answer.text("state"),
        runs.len(),
    );
    verdict(&world, runs.is_empty(), &text)
}
