//! Workers that restart under their id and address, and owners that are killed, as real processes.

mod restart_world;

use restart_world::worker::{Front, Losses};
use restart_world::{Outcome, Programs, World};
use std::time::Duration;
use tokio::time::sleep;

/// Time from the restart of workers to the kill of the owner.
const RESTART_TO_KILL: Duration = Duration::from_secs(2);
/// Time from the kill of the owner to the cut of the workers.
const KILL_TO_CUT: Duration = Duration::from_millis(600);
const CUT_DURATION: Duration = Duration::from_secs(9);
/// Time within which all jobs are complete after the last fault.
const FINISH_LIMIT: Duration = Duration::from_secs(45);
const TASK_MS: u64 = 9_000;

/// Restart of one third of the workers, kill of the owner, and cut of these workers.
struct RestartCase {
    front: Front,
    losses: Losses,
    /// Whether a worker restarts at a moment without a call in progress.
    awaits_no_call: bool,
}

impl RestartCase {
    const DIRECT: RestartCase =
        RestartCase { front: Front::Direct, losses: Losses::NONE, awaits_no_call: false };

    async fn run(&self, name: &str, seed: u64, programs: &Programs) -> Outcome {
        let world = World::start(name, seed, self.front, programs).await;
        let jobs = world.submit_jobs(6, TASK_MS, Duration::from_millis(800));
        world.await_runs(20).await;
        let group = world.in_zone("z1");
        for worker in &group {
            worker.set_losses(self.losses);
        }
        if self.losses != Losses::NONE {
            // Longer than the wait of a poll, so that each worker gets one.
            sleep(Duration::from_millis(1_100)).await;
        }
        let restarts = group.iter().cloned().map(|worker| {
            let awaits_no_call = self.awaits_no_call;
            tokio::spawn(async move {
                if awaits_no_call {
                    worker.await_no_call(Duration::from_secs(1)).await;
                }
                worker.set_losses(Losses::NONE);
                worker.crash();
                sleep(Duration::from_millis(200)).await;
                worker.start(Duration::ZERO).await;
            })
        });
        let restarts: Vec<_> = restarts.collect();
        sleep(RESTART_TO_KILL).await;
        let killed = world.kill_owner();
        sleep(Duration::from_millis(200)).await;
        world.restart(killed);
        sleep(KILL_TO_CUT - Duration::from_millis(200)).await;
        group.iter().for_each(|worker| worker.set_cut(true));
        sleep(CUT_DURATION).await;
        group.iter().for_each(|worker| worker.set_cut(false));
        drop(jobs);
        for restart in restarts {
            restart.await.expect("the worker restarts");
        }
        let outcome = world.finish(FINISH_LIMIT).await;
        if self.front != Front::Direct || self.losses != Losses::NONE {
            assert!(world.trace.stray_count() > 0, "no order met another process: nothing was tried");
        }
        outcome
    }
}

// An order for a worker's earlier process gave the next one a lease longer than the next owner waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_connections_end_with_process() {
    RestartCase::DIRECT.run("direct", 1, &Programs::same()).await.check();
}

// An order on a connection that outlives the worker's process gave the next process a long lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_proxy_keeps_connections() {
    for (seed, front) in [(1, Front::ProxyRefuses), (2, Front::ProxyLoses), (3, Front::ProxyRepeats)] {
        let case = RestartCase { front, awaits_no_call: seed != 3, ..RestartCase::DIRECT };
        case.run("proxy", seed, &Programs::same()).await.check();
    }
}

// A poll without a response, carried out seconds later by the next process, gave that process a long lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_calls_carried_out_late() {
    let losses = Losses { share: 0.9, late_share: 1.0, delay_ms: (2_000, 2_500) };
    let case = RestartCase { losses, ..RestartCase::DIRECT };
    case.run("late", 1, &Programs::same()).await.check();
}
