//! Ways in which orders for a worker's earlier process meet the next one.

use super::worker::{Front, Losses};
use super::{Outcome, TASK_MS, World, other_program, soak};
use rand::RngExt;
use std::time::Duration;
use tokio::time::sleep;

const CUT_DURATION: Duration = Duration::from_secs(9);
/// Time within which all jobs are complete after the last fault.
const FINISH_LIMIT: Duration = Duration::from_secs(45);
/// Duration of the faults of a soak.
const SOAK_DURATION: Duration = Duration::from_secs(40);
/// Longer than the wait of a poll, so that each worker gets one.
const LOSS_DURATION: Duration = Duration::from_millis(1_100);
/// Shortest and longest time from a call without a response to the moment at which it is carried out.
const LATE_MS: (u64, u64) = (2_000, 2_400);
/// Down time of a worker in the cases with late calls: these are due when its next process starts.
const LONG_DOWN_TIME: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Connections end with the process.
    Direct,
    /// A proxy keeps the connections of clients open.
    Proxy(Front),
    /// Calls of this path get no response, and are carried out by the next process.
    Late(&'static str),
    /// The first owner runs another version.
    Mixed,
    /// Faults that overlap.
    Soak,
}

impl Mode {
    pub fn parse(name: &str) -> Mode {
        match name {
            "direct" => Mode::Direct,
            "proxy-refuses" => Mode::Proxy(Front::ProxyRefuses),
            "proxy-loses" => Mode::Proxy(Front::ProxyLoses),
            "proxy-repeats" => Mode::Proxy(Front::ProxyRepeats),
            "late-polls" => Mode::Late("/-/hold"),
            "late-starts" => Mode::Late("/-/run-start"),
            "late-stops" => Mode::Late("/-/run-stop"),
            "mixed" => Mode::Mixed,
            "soak" => Mode::Soak,
            _ => panic!("no such mode: {name}"),
        }
    }

    fn front(self) -> Front {
        match self {
            Mode::Proxy(front) => front,
            _ => Front::Direct,
        }
    }

    fn losses(self) -> Losses {
        match self {
            Mode::Late(path) => Losses { path, share: 0.9, late_share: 1.0, delay_ms: LATE_MS },
            _ => Losses::NONE,
        }
    }

    pub async fn run(self, seed: u64) -> Outcome {
        match self {
            Mode::Soak => soak::run(seed, SOAK_DURATION, other_program()).await,
            _ => self.run_case(seed).await,
        }
    }

    /// Restarts a third of the workers, kills the owner, and cuts these workers off.
    async fn run_case(self, seed: u64) -> Outcome {
        let other = other_program().filter(|_| self == Mode::Mixed);
        let world = World::start("case", seed, self.front(), other).await;
        let mut rng = world.rng();
        if self == Mode::Mixed {
            world.make_owner(0).await;
        }
        let jobs = world.submit_jobs(10..=10, TASK_MS..=TASK_MS, Duration::from_millis(800));
        world.await_runs(60).await;
        let group = world.in_zone("z1");
        let losses = self.losses();
        if losses != Losses::NONE {
            group.iter().for_each(|worker| worker.set_losses(losses));
            sleep(LOSS_DURATION).await;
            if losses.path == "/-/run-stop" {
                world.cancel_jobs_on(&group, 3).await;
            }
            let lost_count = || group.iter().map(|worker| worker.lost_count()).sum::<u64>();
            world.wait_until("a call is lost", || async { lost_count() > 0 }).await;
        }
        let down_time = match self {
            Mode::Late(_) => LONG_DOWN_TIME,
            _ => Duration::from_millis(rng.random_range(100..600)),
        };
        let restarts = group.iter().cloned().map(|worker| {
            tokio::spawn(async move {
                if matches!(self, Mode::Proxy(Front::ProxyRefuses | Front::ProxyLoses)) {
                    worker.await_no_call(Duration::from_secs(1)).await;
                }
                worker.set_losses(Losses::NONE);
                worker.crash();
                sleep(down_time).await;
                worker.start(Duration::ZERO).await;
            })
        });
        let restarts: Vec<_> = restarts.collect();
        for restart in restarts {
            restart.await.expect("the worker restarts");
        }
        sleep(Duration::from_millis(rng.random_range(1_500..2_200))).await;
        let killed = world.kill_owner();
        sleep(Duration::from_millis(200)).await;
        world.restart(killed);
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
        group.iter().for_each(|worker| worker.set_cut(true));
        sleep(CUT_DURATION).await;
        group.iter().for_each(|worker| worker.set_cut(false));
        drop(jobs);
        let outcome = world.finish(FINISH_LIMIT).await;
        if matches!(self, Mode::Late(_) | Mode::Proxy(_)) {
            assert!(outcome.stray_count > 0, "no order met another process: nothing was tried");
        }
        outcome
    }
}
