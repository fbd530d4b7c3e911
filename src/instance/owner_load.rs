//! Load of the owner: how long its passes, appends and orders take, and how late its timers fire.

use crate::event::Event;
use crate::instance::shared::Shared;
use crate::instance::term::Term;
use crate::metrics::OwnerStage;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two log lines about the load.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Period of the timer whose delay is measured.
const TIMER_PERIOD: Duration = Duration::from_millis(100);

/// Counts and longest durations since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    passes: u64,
    longest_pass: Duration,
    stored_bytes: u64,
    longest_store: Duration,
    starts: u64,
    longest_start: Duration,
    polls: u64,
    /// Starts and polls that were sent again early.
    repeats: u64,
    /// Longest delay of a timer.
    longest_delay: Duration,
}

/// Load of the owner in one term.
#[derive(Default)]
pub struct OwnerLoad {
    interval: Mutex<Interval>,
}

impl OwnerLoad {
    /// Records a planning pass that began at `started`.
    pub fn record_pass(&self, shared: &Shared, started: Instant) {
        let took = started.elapsed();
        shared.metrics.record_owner_stage(OwnerStage::Pass, took);
        let mut interval = self.interval.lock();
        interval.passes += 1;
        interval.longest_pass = interval.longest_pass.max(took);
    }

    /// Records a batch of `bytes` that the store confirmed, from `started` on.
    pub fn record_store(&self, shared: &Shared, bytes: usize, started: Instant) {
        let took = started.elapsed();
        shared.metrics.record_owner_stage(OwnerStage::Store, took);
        let mut interval = self.interval.lock();
        interval.stored_bytes += bytes as u64;
        interval.longest_store = interval.longest_store.max(took);
    }

    /// Records a start order that was answered or given up, ready to be sent since `started`.
    pub fn record_start(&self, shared: &Shared, started: Instant) {
        let took = started.elapsed();
        shared.metrics.record_owner_stage(OwnerStage::Start, took);
        let mut interval = self.interval.lock();
        interval.starts += 1;
        interval.longest_start = interval.longest_start.max(took);
    }

    /// Counts a poll of a worker.
    pub fn record_poll(&self) {
        self.interval.lock().polls += 1;
    }

    /// Counts a start or a poll that is sent again before its timeout.
    pub fn record_repeat(&self, shared: &Shared) {
        shared.metrics.record_worker_call_repeat();
        self.interval.lock().repeats += 1;
    }

    fn record_delay(&self, delay: Duration) {
        let mut interval = self.interval.lock();
        interval.longest_delay = interval.longest_delay.max(delay);
    }
}

/// Measures the delay of timers and logs the load until the term ends.
pub async fn report(shared: Arc<Shared>, term: Arc<Term>) {
    let mut reported_at = Instant::now();
    loop {
        let slept_at = Instant::now();
        sleep(TIMER_PERIOD).await;
        let delay = slept_at.elapsed().saturating_sub(TIMER_PERIOD);
        term.load.record_delay(delay);
        shared.metrics.record_owner_stage(OwnerStage::TimerDelay, delay);
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            log_interval(&shared, &term);
        }
    }
}

fn log_interval(shared: &Shared, term: &Term) {
    let interval = std::mem::take(&mut *term.load.interval.lock());
    let ms = |d: Duration| d.as_millis() as u64;
    let (pending, pools) = match shared.owner.lock().as_ref() {
        Some(owner) => (owner.pending_job_count(), owner.pool_loads(shared.now())),
        None => Default::default(),
    };
    let fields = [
        ("term", term.number.into()),
        ("pending_jobs", pending.into()),
        ("passes", interval.passes.into()),
        ("pass_ms", ms(interval.longest_pass).into()),
        ("stored_bytes", interval.stored_bytes.into()),
        ("store_ms", ms(interval.longest_store).into()),
        ("starts", interval.starts.into()),
        ("start_ms", ms(interval.longest_start).into()),
        ("polls", interval.polls.into()),
        ("repeats", interval.repeats.into()),
        ("delay_ms", ms(interval.longest_delay).into()),
    ];
    shared.log.event(Event::OwnerLoad, &fields);
    for (pool, load) in &pools {
        let fields = [
            ("term", term.number.into()),
            ("pool", pool.into()),
            ("machines", (load.machines as u64).into()),
            ("wanted", (load.wanted as u64).into()),
            ("idle", (load.idle as u64).into()),
            ("long_running_only", (load.long_running_only as u64).into()),
            ("processors_permille", load.processors_permille.into()),
            ("memory_permille", load.memory_permille.into()),
            ("waiting_processors", load.waiting_processors.into()),
        ];
        shared.log.event(Event::PoolLoad, &fields);
    }
}
