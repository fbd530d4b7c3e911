//! Metrics of an entry instance in the Prometheus text format. `docs/metrics.md` is generated from the
//! list in this module.
//!
//! Labels whose values come from declarations have a maximum number of values; further values count as
//! `other`. This bounds memory when teams, services and pools change often.

use crate::config::class_name;
use crate::event::Event;
use crate::kind::Kind;
use crate::record::Class;
use parking_lot::Mutex;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::collections::HashSet;
use std::time::Duration;

/// Maximum number of values of the label `team`; the design size has 230 teams.
pub const MAX_TEAMS: usize = 256;
/// Maximum number of values of the labels `service` and `pool`; the design size has 66 pools.
pub const MAX_SERVICES: usize = 128;
/// Label value that stands for all values beyond the maximum number.
pub const OTHER_LABEL: &str = "other";
/// Value of `team` and `class` for a request that was refused before they were known. Not a valid team
/// name.
pub const UNKNOWN_LABEL: &str = "-";
/// Upper bounds of the histogram buckets in seconds; they include the targets of 1 ms, 5 ms and 1.4 s.
const TIME_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 10.0, 60.0];

/// Catalogue entry of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MetricInfo {
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    pub labels: &'static [&'static str],
    pub help: &'static str,
}

macro_rules! metrics {
    ($($constant:ident, $name:literal, $kind:literal, [$($label:literal),*], $help:literal;)*) => {
        $(const $constant: MetricInfo = MetricInfo {
            name: concat!("jacinthhook_", $name),
            kind: $kind,
            labels: &[$($label),*],
            help: $help,
        };)*

        /// All metrics, in the order of `docs/metrics.md`.
        pub const ALL: &[MetricInfo] = &[$($constant),*];
    };
}

metrics! {
    RESPONSES, "answers_total", "counter", ["team", "class", "kind"], "Answers to requests; kind is ok or the kind of refusal or failure, and team and class are - when the request passed no check.";
    DURATION, "request_seconds", "histogram", ["team", "class"], "Time from arrival to the end of the answer.";
    WAIT, "start_wait_seconds", "histogram", ["team", "class"], "Time from arrival to the start at an upstream.";
    RETRIES, "retries_total", "counter", ["service"], "Requests sent to another upstream after a failed attempt.";
    WAITING, "waiting", "gauge", ["team"], "Requests and jobs waiting at this entry instance.";
    UNITS_HELD, "units_held", "gauge", ["team"], "Units that this entry instance may use, reserve and borrowed.";
    UNITS_USED, "units_used", "gauge", ["team"], "Units in use at this entry instance.";
    USABLE, "upstreams_usable", "gauge", ["pool"], "Upstreams that may get new work.";
    EJECTED, "upstreams_set_aside", "gauge", ["pool"], "Upstreams set aside for failures.";
    IN_PROGRESS, "in_progress", "gauge", [], "Requests in progress and waiting.";
    READY, "ready", "gauge", [], "1 when the entry instance takes work, otherwise 0.";
    VIEW_AGE, "view_age_seconds", "gauge", [], "Age of the view of the shared state.";
    NEXT_OFFSET, "next_offset", "gauge", [], "First offset of the log that the view does not cover.";
    LOG_REACHABLE, "log_reachable", "gauge", [], "1 when the platform's log answers, otherwise 0.";
    HOLDS, "holds", "gauge", [], "Commands in force as holds.";
    OWNER_STAGE, "owner_stage_seconds", "histogram", ["stage"], "Durations at the owner: a planning pass, an append of its decisions, a start order until its response, and the delay of a timer.";
    WORKER_CRASHES, "worker_crashes_total", "counter", [], "Crashes of workers under runs of batch jobs, counted by the owner.";
    JOBS_GIVEN_UP, "jobs_given_up_total", "counter", [], "Batch jobs that failed because workers crashed under their tasks.";
    SUBMISSION_PARTITIONS, "submission_partitions", "gauge", [], "Partitions of the store over which this instance spreads its callers' records.";
    CONNECTIONS, "connections", "gauge", ["listener"], "Open connections of a listener of run, at most one second old.";
    HELD_BYTES, "held_body_bytes", "gauge", ["listener"], "Memory held by bodies in progress and by records that are not stored yet.";
    CUTS, "cut_total", "counter", ["listener", "reason"], "Requests refused and connections cut off by the limits of a listener of run.";
    JOBS_DELAYED, "jobs_delayed_total", "counter", ["reason"], "Batch jobs that waited behind others for lack of room: beyond_rate if they arrived beyond the rate of their team, set_aside if more callers are served in time that way.";
    WORKER_CALL_REPEATS, "worker_call_repeats_total", "counter", [], "Starts and polls of workers that the owner sent again before their timeouts.";
    EVENTS, "events_total", "counter", ["event"], "Log events by number, also those that were suppressed or below the level.";
}

/// What a duration at the owner measures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStage {
    Pass,
    Store,
    Start,
    TimerDelay,
}

impl OwnerStage {
    fn as_str(self) -> &'static str {
        match self {
            OwnerStage::Pass => "pass",
            OwnerStage::Store => "store",
            OwnerStage::Start => "start",
            OwnerStage::TimerDelay => "timer_delay",
        }
    }
}

/// Why a batch job waits behind others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelayReason {
    BeyondRate,
    SetAside,
}

impl DelayReason {
    fn as_str(self) -> &'static str {
        match self {
            DelayReason::BeyondRate => "beyond_rate",
            DelayReason::SetAside => "set_aside",
        }
    }
}

/// Values of a label that have their own time series.
struct BoundedLabel {
    max: usize,
    values: Mutex<HashSet<String>>,
}

impl BoundedLabel {
    fn new(max: usize) -> BoundedLabel {
        BoundedLabel { max, values: Mutex::new(HashSet::new()) }
    }

    /// Returns the value itself, or `OTHER_LABEL` for a new value beyond the maximum number.
    fn label<'a>(&self, value: &'a str) -> &'a str {
        let mut values = self.values.lock();
        if values.contains(value) {
            return value;
        }
        if values.len() >= self.max {
            return OTHER_LABEL;
        }
        values.insert(value.to_string());
        value
    }
}

/// Metrics of one process.
pub struct Metrics {
    registry: Registry,
    teams: BoundedLabel,
    services: BoundedLabel,
    pools: BoundedLabel,
    responses: IntCounterVec,
    duration: HistogramVec,
    wait: HistogramVec,
    retries: IntCounterVec,
    waiting: IntGaugeVec,
    units_held: IntGaugeVec,
    units_used: IntGaugeVec,
    usable: IntGaugeVec,
    ejected: IntGaugeVec,
    in_progress: IntGaugeVec,
    ready: IntGaugeVec,
    view_age: GaugeVec,
    next_offset: IntGaugeVec,
    log_reachable: IntGaugeVec,
    holds: IntGaugeVec,
    owner_stage: HistogramVec,
    worker_crashes: IntCounterVec,
    jobs_given_up: IntCounterVec,
    submission_partitions: IntGaugeVec,
    connections: IntGaugeVec,
    held_bytes: IntGaugeVec,
    cuts: IntCounterVec,
    jobs_delayed: IntCounterVec,
    worker_call_repeats: IntCounterVec,
    events: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics, still without values. Fails only if two metrics have the same name.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let r = &registry;
        Ok(Metrics {
            responses: counter(r, &RESPONSES)?,
            duration: histogram(r, &DURATION)?,
            wait: histogram(r, &WAIT)?,
            retries: counter(r, &RETRIES)?,
            waiting: gauge(r, &WAITING)?,
            units_held: gauge(r, &UNITS_HELD)?,
            units_used: gauge(r, &UNITS_USED)?,
            usable: gauge(r, &USABLE)?,
            ejected: gauge(r, &EJECTED)?,
            in_progress: gauge(r, &IN_PROGRESS)?,
            ready: gauge(r, &READY)?,
            view_age: float_gauge(r, &VIEW_AGE)?,
            next_offset: gauge(r, &NEXT_OFFSET)?,
            log_reachable: gauge(r, &LOG_REACHABLE)?,
            holds: gauge(r, &HOLDS)?,
            owner_stage: histogram(r, &OWNER_STAGE)?,
            worker_crashes: zero_counter(r, &WORKER_CRASHES)?,
            jobs_given_up: zero_counter(r, &JOBS_GIVEN_UP)?,
            submission_partitions: gauge(r, &SUBMISSION_PARTITIONS)?,
            connections: gauge(r, &CONNECTIONS)?,
            held_bytes: gauge(r, &HELD_BYTES)?,
            cuts: counter(r, &CUTS)?,
            jobs_delayed: counter(r, &JOBS_DELAYED)?,
            worker_call_repeats: zero_counter(r, &WORKER_CALL_REPEATS)?,
            events: counter(r, &EVENTS)?,
            teams: BoundedLabel::new(MAX_TEAMS),
            services: BoundedLabel::new(MAX_SERVICES),
            pools: BoundedLabel::new(MAX_SERVICES),
            registry,
        })
    }

    /// Counts a response and its duration. `kind` is `None` if the work succeeded.
    pub fn record_response(
        &self,
        team: &str,
        class: Class,
        kind: Option<Kind>,
        duration: Duration,
    ) {
        let team = self.teams.label(team);
        let class = class_name(class);
        let kind = kind.map_or("ok", |kind| kind.info().name);
        self.responses.with_label_values(&[team, class, kind]).inc();
        self.duration.with_label_values(&[team, class]).observe(duration.as_secs_f64());
    }

    /// Counts a response to a request that was refused before its team was known.
    pub fn record_unadmitted(&self, kind: Option<Kind>, duration: Duration) {
        let kind = kind.map_or("ok", |kind| kind.info().name);
        self.responses.with_label_values(&[UNKNOWN_LABEL, UNKNOWN_LABEL, kind]).inc();
        self.duration
            .with_label_values(&[UNKNOWN_LABEL, UNKNOWN_LABEL])
            .observe(duration.as_secs_f64());
    }

    /// Counts a start at an upstream and the wait before it.
    pub fn record_start(&self, team: &str, class: Class, waited: Duration) {
        let team = self.teams.label(team);
        self.wait.with_label_values(&[team, class_name(class)]).observe(waited.as_secs_f64());
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &str) {
        self.retries.with_label_values(&[self.services.label(service)]).inc();
    }

    /// Sets the number of waiting requests and jobs of a team. Teams beyond `MAX_TEAMS` share one series
    /// with the value set last.
    pub fn set_waiting(&self, team: &str, waiting: u32) {
        self.waiting.with_label_values(&[self.teams.label(team)]).set(waiting.into());
    }

    /// Sets the units held and used of a team.
    pub fn set_units(&self, team: &str, held: u32, used: u32) {
        let team = self.teams.label(team);
        self.units_held.with_label_values(&[team]).set(held.into());
        self.units_used.with_label_values(&[team]).set(used.into());
    }

    /// Sets the usable and ejected upstreams of a pool.
    pub fn set_upstreams(&self, pool: &str, usable: u32, ejected: u32) {
        let pool = self.pools.label(pool);
        self.usable.with_label_values(&[pool]).set(usable.into());
        self.ejected.with_label_values(&[pool]).set(ejected.into());
    }

    /// Sets the number of requests in progress and waiting.
    pub fn set_in_progress(&self, count: u32) {
        set(&self.in_progress, count.into());
    }

    /// Sets whether the entry instance accepts work.
    pub fn set_ready(&self, ready: bool) {
        set(&self.ready, ready.into());
    }

    /// Sets the age of the view and the first log offset that it does not include.
    pub fn set_view(&self, age: Duration, next: u64) {
        self.view_age.with_label_values::<&str>(&[]).set(age.as_secs_f64());
        set(&self.next_offset, i64::try_from(next).unwrap_or(i64::MAX));
    }

    /// Sets whether the platform's log responds.
    pub fn set_log_reachable(&self, reachable: bool) {
        set(&self.log_reachable, reachable.into());
    }

    /// Sets over how many partitions callers' records are spread.
    pub fn set_submission_partitions(&self, count: u32) {
        set(&self.submission_partitions, count.into());
    }

    /// Sets the number of holds.
    pub fn set_holds(&self, count: u32) {
        set(&self.holds, count.into());
    }

    /// Records a duration at the owner.
    pub fn record_owner_stage(&self, stage: OwnerStage, duration: Duration) {
        self.owner_stage.with_label_values(&[stage.as_str()]).observe(duration.as_secs_f64());
    }

    /// Counts a crash of a worker under runs of batch jobs.
    pub fn record_worker_crash(&self) {
        self.worker_crashes.with_label_values::<&str>(&[]).inc();
    }

    /// Counts a batch job that was given up.
    pub fn record_job_given_up(&self) {
        self.jobs_given_up.with_label_values::<&str>(&[]).inc();
    }

    /// Sets the open connections of a listener and the memory that their requests hold.
    pub fn set_connections(&self, listener: &str, count: usize, held_bytes: usize) {
        let number = |n| i64::try_from(n).unwrap_or(i64::MAX);
        self.connections.with_label_values(&[listener]).set(number(count));
        self.held_bytes.with_label_values(&[listener]).set(number(held_bytes));
    }

    /// Counts a request that is refused or a connection that is cut off.
    pub fn record_cut(&self, listener: &str, reason: &str) {
        self.cuts.with_label_values(&[listener, reason]).inc();
    }

    /// Counts a batch job that waits behind others.
    pub fn record_job_delayed(&self, reason: DelayReason) {
        self.jobs_delayed.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a start or a poll that the owner sends again before its timeout.
    pub fn record_worker_call_repeat(&self) {
        self.worker_call_repeats.with_label_values::<&str>(&[]).inc();
    }

    /// Counts a log event.
    pub fn record_event(&self, event: Event) {
        self.events.with_label_values(&[event.info().code.to_string()]).inc();
    }

    /// Encodes all metrics that have a value in the text format.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn set(gauge: &IntGaugeVec, value: i64) {
    gauge.with_label_values::<&str>(&[]).set(value);
}

/// Registers a counter without labels, with the value 0.
fn zero_counter(
    registry: &Registry,
    info: &MetricInfo,
) -> Result<IntCounterVec, prometheus::Error> {
    let counter = counter(registry, info)?;
    counter.with_label_values::<&str>(&[]).reset();
    Ok(counter)
}

fn counter(registry: &Registry, info: &MetricInfo) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(info.name, info.help), info.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, info: &MetricInfo) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(info.name, info.help), info.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn float_gauge(registry: &Registry, info: &MetricInfo) -> Result<GaugeVec, prometheus::Error> {
    let metric = GaugeVec::new(Opts::new(info.name, info.help), info.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, info: &MetricInfo) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(info.name, info.help).buckets(TIME_BUCKETS.to_vec());
    let metric = HistogramVec::new(opts, info.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
