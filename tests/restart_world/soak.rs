//! Seeded series of faults that overlap.

use super::worker::{Front, Losses, Worker};
use super::{INSTANCE_COUNT, Outcome, TASK_MS, World};
use parking_lot::Mutex;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time within which all jobs are complete after the last fault.
const FINISH_LIMIT: Duration = Duration::from_secs(60);
/// `graceS`.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Workers that an event hits, at most.
const MAX_WORKERS: usize = 4;
const FRONTS: [Front; 4] =
    [Front::Direct, Front::ProxyRefuses, Front::ProxyLoses, Front::ProxyRepeats];

struct Soak {
    world: Arc<World>,
    /// Workers and instances that an event uses. Others leave them alone.
    busy: Mutex<HashSet<String>>,
    /// Whether calls are carried out late.
    has_late_calls: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Restart,
    Cut,
    Losses,
    /// Restart of workers, kill of the owner, and cut of these workers.
    RestartKillCut,
    Kill,
    Freeze,
    Stop,
}

const EVENTS: [Event; 10] = [
    Event::Restart,
    Event::Restart,
    Event::Cut,
    Event::Cut,
    Event::Losses,
    Event::RestartKillCut,
    Event::RestartKillCut,
    Event::Kill,
    Event::Freeze,
    Event::Stop,
];

/// Plays the series of a seed. Every second seed has calls that are carried out late, and each pair has another
/// front.
pub async fn run(seed: u64, duration: Duration, other: Option<PathBuf>) -> Outcome {
    let front = FRONTS[(seed / 2) as usize % FRONTS.len()];
    let world = World::start("soak", seed, front, other).await;
    let soak = Arc::new(Soak {
        world: world.clone(),
        busy: Mutex::default(),
        has_late_calls: seed % 2 == 1,
    });
    let jobs = world.submit_jobs(1..=10, 500..=TASK_MS, Duration::from_millis(400));
    world.await_runs(10).await;
    let mut rng = world.rng();
    let (until, mut events) = (Instant::now() + duration, Vec::new());
    while Instant::now() < until {
        let event = *EVENTS.choose(&mut rng).expect("there are events");
        events.push(tokio::spawn(soak.clone().play(event, super::fork(&mut rng))));
        sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
    }
    for event in events {
        event.await.expect("the event ends");
    }
    drop(jobs);
    world.finish(FINISH_LIMIT).await
}

fn millis(rng: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

impl Soak {
    async fn play(self: Arc<Soak>, event: Event, mut rng: ChaCha8Rng) {
        match event {
            Event::Restart => {
                let workers = self.take_workers(&mut rng);
                self.restart(&workers, &mut rng).await;
                self.release_workers(&workers);
            }
            Event::Cut => {
                let workers = self.take_workers(&mut rng);
                self.cut(&workers, millis(&mut rng, 1_000, 9_000)).await;
                self.release_workers(&workers);
            }
            Event::Losses => {
                let workers = self.take_workers(&mut rng);
                let late_share = if self.has_late_calls { 0.5 } else { 0.0 };
                let losses = Losses { share: 0.3, late_share, ..Losses::NONE };
                workers.iter().for_each(|worker| worker.set_losses(losses));
                sleep(millis(&mut rng, 1_000, 3_000)).await;
                if rng.random_bool(0.5) {
                    self.restart(&workers, &mut rng).await;
                }
                workers.iter().for_each(|worker| worker.set_losses(Losses::NONE));
                self.release_workers(&workers);
            }
            Event::RestartKillCut => {
                let workers = self.take_workers(&mut rng);
                self.restart(&workers, &mut rng).await;
                sleep(millis(&mut rng, 1_000, 2_500)).await;
                let killed = self.world.owner().filter(|owner| self.take_instance(*owner));
                if let Some(killed) = killed {
                    self.world.kill(killed);
                }
                sleep(millis(&mut rng, 100, 800)).await;
                if let Some(killed) = killed {
                    self.world.restart(killed);
                    self.release_instance(killed);
                }
                self.cut(&workers, millis(&mut rng, 5_000, 9_000)).await;
                self.release_workers(&workers);
            }
            Event::Kill | Event::Freeze | Event::Stop => {
                let any = rng.random_range(0..INSTANCE_COUNT);
                let owner = self.world.owner().filter(|_| rng.random_bool(0.6));
                let instance = owner.unwrap_or(any);
                if self.take_instance(instance) {
                    self.disturb(event, instance, &mut rng).await;
                    self.release_instance(instance);
                }
            }
        }
    }

    async fn disturb(&self, event: Event, instance: usize, rng: &mut ChaCha8Rng) {
        match event {
            Event::Freeze => {
                self.world.signal(instance, Signal::STOP);
                sleep(millis(rng, 500, 6_000)).await;
                self.world.signal(instance, Signal::CONT);
            }
            Event::Stop => {
                self.world.signal(instance, Signal::TERM);
                self.world.await_exit(instance, STOP_TIMEOUT).await;
                self.world.restart(instance);
            }
            _ => {
                self.world.kill(instance);
                sleep(millis(rng, 200, 1_000)).await;
                self.world.restart(instance);
            }
        }
    }

    async fn restart(&self, workers: &[Arc<Worker>], rng: &mut ChaCha8Rng) {
        workers.iter().for_each(|worker| worker.crash());
        let down_time = if rng.random_bool(0.7) { (100, 600) } else { (600, 5_000) };
        sleep(millis(rng, down_time.0, down_time.1)).await;
        for worker in workers {
            worker.start(Duration::ZERO).await;
        }
    }

    async fn cut(&self, workers: &[Arc<Worker>], duration: Duration) {
        workers.iter().for_each(|worker| worker.set_cut(true));
        sleep(duration).await;
        workers.iter().for_each(|worker| worker.set_cut(false));
    }

    /// Takes workers that no other event uses; possibly none.
    fn take_workers(&self, rng: &mut ChaCha8Rng) -> Vec<Arc<Worker>> {
        let mut busy = self.busy.lock();
        let free = self.world.workers.iter().filter(|w| !busy.contains(&w.id));
        let free: Vec<_> = free.cloned().collect();
        let count = rng.random_range(1..=MAX_WORKERS);
        let taken: Vec<_> = free.sample(rng, count).cloned().collect();
        busy.extend(taken.iter().map(|worker| worker.id.clone()));
        taken
    }

    fn release_workers(&self, workers: &[Arc<Worker>]) {
        let mut busy = self.busy.lock();
        for worker in workers {
            busy.remove(&worker.id);
        }
    }

    fn take_instance(&self, instance: usize) -> bool {
        self.busy.lock().insert(instance.to_string())
    }

    fn release_instance(&self, instance: usize) {
        self.busy.lock().remove(&instance.to_string());
    }
}
