//! Load generator for measurements against one address: a closed loop over a number of connections,
//! or an open loop at a fixed rate.
//!
//! In an open loop each request has a planned time. Its latency is counted from that time, even if
//! no connection was free to send it. A stalled server therefore shows in the latencies of all
//! requests planned during the stall. A dedicated thread releases the requests on schedule, because
//! the runtime's timer has a resolution of 1 ms.

use crate::transport::{self, TransportOptions};
use bytes::Bytes;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Url};
use serde::Serialize;
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Maximum latency that is recorded, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Number of significant decimal digits of a recorded latency.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Closed loop: each connection sends the next request as soon as it has the previous response.
    Closed,
    /// Open loop: requests are planned at equal intervals.
    Open { per_second: f64 },
}

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// IP address and port of the target.
    pub target: String,
    /// Path and query of the requests.
    pub path: String,
    pub method: Method,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub pace: Pace,
    /// Number of connections, each with one request at a time.
    pub connections: usize,
    /// Time at the start that is left out of the measurement.
    pub warmup: Duration,
    /// Measured time after the warm-up.
    pub duration: Duration,
    /// Maximum wait for a response.
    pub timeout: Duration,
}

impl LoadOptions {
    /// Returns options for `GET` in a closed loop over 64 connections for 5 s, after 1 s of
    /// warm-up.
    pub fn new(target: impl Into<String>, path: impl Into<String>) -> LoadOptions {
        LoadOptions {
            target: target.into(),
            path: path.into(),
            method: Method::GET,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            pace: Pace::Closed,
            connections: 64,
            warmup: Duration::from_secs(1),
            duration: Duration::from_secs(5),
            timeout: Duration::from_secs(10),
        }
    }

    /// Replaces the pace.
    pub fn with_pace(mut self, pace: Pace) -> LoadOptions {
        self.pace = pace;
        self
    }

    /// Replaces the number of connections.
    pub fn with_connections(mut self, connections: usize) -> LoadOptions {
        self.connections = connections;
        self
    }

    /// Replaces the warm-up time and the measured time.
    pub fn with_times(mut self, warmup: Duration, duration: Duration) -> LoadOptions {
        self.warmup = warmup;
        self.duration = duration;
        self
    }

    /// Adds a header given as `name: value`.
    pub fn with_header(mut self, line: &str) -> Result<LoadOptions, LoadError> {
        let header = parse_header(line).ok_or_else(|| LoadError::Header { line: line.into() })?;
        self.headers.append(header.0, header.1);
        Ok(self)
    }
}

fn parse_header(line: &str) -> Option<(HeaderName, HeaderValue)> {
    let (name, value) = line.split_once(':')?;
    Some((name.trim().parse().ok()?, value.trim().parse().ok()?))
}

/// Error of starting a load.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum LoadError {
    /// The header is not of the form `name: value`.
    #[snafu(display("header {line:?} is not of the form 'name: value'"))]
    Header { line: String },
    /// The target and path do not form a URL.
    #[snafu(display("target {target:?} and path {path:?} make no URL: {message}"))]
    Target { target: String, path: String, message: String },
    /// A rate, count or duration is not positive.
    #[snafu(display("{what} must be above 0"))]
    NotPositive { what: &'static str },
    /// The client could not be built.
    #[snafu(display("client: {message}"))]
    Client { message: String },
}

/// Latency percentiles in microseconds. Requests without a response count with the time until they
/// failed; responses with a status of 400 or above are not counted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Latencies {
    pub p50_us: u64,
    pub p90_us: u64,
    pub p99_us: u64,
    pub p99_9_us: u64,
    pub max_us: u64,
}

/// Result of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    pub target: String,
    pub connections: usize,
    /// Planned requests per second. `None` in a closed loop.
    pub planned_per_second: Option<f64>,
    /// Measured time in seconds.
    pub seconds: f64,
    /// Number of responses with a status below 400.
    pub ok: u64,
    /// `ok` per second.
    pub per_second: f64,
    /// Number of other requests by status or error. `unsent` counts planned requests that found no
    /// free connection before their timeout.
    pub failed: IndexMap<String, u64>,
    pub latency: Latencies,
}

/// Measurements of one connection.
struct ConnectionStats {
    latency: Histogram<u64>,
    ok: u64,
    failed: IndexMap<String, u64>,
}

impl ConnectionStats {
    fn new() -> ConnectionStats {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        ConnectionStats { latency, ok: 0, failed: IndexMap::new() }
    }

    fn add(&mut self, outcome: RequestOutcome, latency: Duration) {
        if outcome.records_latency() {
            self.latency.saturating_record(latency.as_micros() as u64);
        }
        match outcome {
            RequestOutcome::Ok => self.ok += 1,
            RequestOutcome::Refused(status) => {
                *self.failed.entry(status.to_string()).or_default() += 1
            }
            RequestOutcome::Error(what) => *self.failed.entry(what.to_string()).or_default() += 1,
        }
    }

    fn merge(&mut self, other: ConnectionStats) {
        self.latency.add(&other.latency).expect("both have the same bounds");
        self.ok += other.ok;
        for (what, count) in other.failed {
            *self.failed.entry(what).or_default() += count;
        }
    }

    fn latencies(&self) -> Latencies {
        Latencies {
            p50_us: self.latency.value_at_quantile(0.5),
            p90_us: self.latency.value_at_quantile(0.9),
            p99_us: self.latency.value_at_quantile(0.99),
            p99_9_us: self.latency.value_at_quantile(0.999),
            max_us: self.latency.max(),
        }
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug)]
enum RequestOutcome {
    Ok,
    Refused(u16),
    Error(&'static str),
}

impl RequestOutcome {
    /// Returns false for refusals, because quick refusals would lower the percentiles.
    fn records_latency(self) -> bool {
        !matches!(self, RequestOutcome::Refused(_))
    }
}

/// Schedule of an open loop. A dedicated thread adds a permit when a request is due.
struct Schedule {
    start: Instant,
    interval: Duration,
    count: u64,
    permits: Semaphore,
    next_number: AtomicU64,
}

impl Schedule {
    fn new(start: Instant, total: Duration, per_second: f64) -> Schedule {
        Schedule {
            start,
            interval: Duration::from_secs_f64(1.0 / per_second),
            count: (total.as_secs_f64() * per_second).round() as u64,
            permits: Semaphore::new(0),
            next_number: AtomicU64::new(0),
        }
    }

    fn time(&self, number: u64) -> Instant {
        self.start + Duration::from_secs_f64(self.interval.as_secs_f64() * number as f64)
    }

    /// Adds a permit at the planned time of each request.
    fn release_requests(&self) {
        for number in 0..self.count {
            let wait = self.time(number).saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                std::thread::sleep(wait);
            }
            self.permits.add_permits(1);
        }
    }

    /// Waits until the next request is due and returns its planned time, or `None` after the last
    /// one.
    async fn next(&self) -> Option<Instant> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        if number >= self.count {
            return None;
        }
        self.permits.acquire().await.ok()?.forget();
        Some(self.time(number))
    }
}

/// State shared by all connections.
struct LoadRun {
    options: LoadOptions,
    url: Url,
    start: Instant,
    schedule: Option<Schedule>,
}

impl LoadRun {
    fn measured_from(&self) -> Instant {
        self.start + self.options.warmup
    }

    fn end(&self) -> Instant {
        self.measured_from() + self.options.duration
    }

    /// Waits until the next request may be sent and returns the time from which its latency counts,
    /// or `None` at the end of the load.
    async fn next(&self) -> Option<Instant> {
        match &self.schedule {
            Some(schedule) => schedule.next().await,
            None => Some(Instant::now()).filter(|now| *now < self.end()),
        }
    }

    async fn send(&self, client: &Client) -> RequestOutcome {
        let options = &self.options;
        let request = client
            .request(options.method.clone(), self.url.clone())
            .headers(options.headers.clone())
            .body(options.body.clone())
            .timeout(options.timeout);
        match read_whole_response(request).await {
            Ok(status) if status < 400 => RequestOutcome::Ok,
            Ok(status) => RequestOutcome::Refused(status),
            Err(e) if e.is_timeout() => RequestOutcome::Error("timeout"),
            Err(e) if e.is_connect() => RequestOutcome::Error("connect"),
            Err(_) => RequestOutcome::Error("lost"),
        }
    }

    /// Returns whether a request is part of the measurement. In a closed loop, it must also end
    /// within the measured time, or the rate would be overestimated.
    fn is_measured(&self, counted_from: Instant, now: Instant) -> bool {
        counted_from >= self.measured_from() && (self.schedule.is_some() || now <= self.end())
    }
}

async fn read_whole_response(request: reqwest::RequestBuilder) -> reqwest::Result<u16> {
    let mut response = request.send().await?;
    while response.chunk().await?.is_some() {}
    Ok(response.status().as_u16())
}

/// Sends requests over one connection until the end of the load.
async fn run_connection(load: Arc<LoadRun>, client: Client) -> ConnectionStats {
    let mut stats = ConnectionStats::new();
    while let Some(counted_from) = load.next().await {
        let outcome =
            match Instant::now().saturating_duration_since(counted_from) > load.options.timeout {
                // The request has timed out already; sending it would only prolong the run.
                true => RequestOutcome::Error("unsent"),
                false => load.send(&client).await,
            };
        let now = Instant::now();
        if load.is_measured(counted_from, now) {
            stats.add(outcome, now - counted_from);
        }
    }
    stats
}

fn validate(options: &LoadOptions) -> Result<Url, LoadError> {
    let positive = |what, ok| if ok { Ok(()) } else { Err(LoadError::NotPositive { what }) };
    positive("number of connections", options.connections > 0)?;
    positive("duration", !options.duration.is_zero())?;
    if let Pace::Open { per_second } = options.pace {
        positive("rate", per_second.is_finite() && per_second > 0.0)?;
    }
    let text = format!("http://{}{}", options.target, options.path);
    Url::parse(&text).map_err(|e| LoadError::Target {
        target: options.target.clone(),
        path: options.path.clone(),
        message: e.to_string(),
    })
}

/// Runs a load until its end.
pub async fn run(options: LoadOptions) -> Result<LoadReport, LoadError> {
    let url = validate(&options)?;
    let start = Instant::now();
    let total = options.warmup + options.duration;
    let schedule = match options.pace {
        Pace::Closed => None,
        Pace::Open { per_second } => Some(Schedule::new(start, total, per_second)),
    };
    let load = Arc::new(LoadRun { options, url, start, schedule });
    let mut connections = JoinSet::new();
    for _ in 0..load.options.connections {
        // A separate client per task limits each task to one connection.
        let client = transport::client(&TransportOptions::default(), 1)
            .map_err(|e| LoadError::Client { message: e.to_string() })?;
        connections.spawn(run_connection(load.clone(), client));
    }
    let scheduler = load.clone();
    let scheduler = std::thread::spawn(move || {
        if let Some(schedule) = &scheduler.schedule {
            schedule.release_requests();
        }
    });
    let mut stats = ConnectionStats::new();
    while let Some(connection_stats) = connections.join_next().await {
        stats.merge(connection_stats.expect("a connection's task does not panic"));
    }
    scheduler.join().expect("the schedule's thread does not panic");
    Ok(report(&load.options, stats))
}

fn report(options: &LoadOptions, stats: ConnectionStats) -> LoadReport {
    let seconds = options.duration.as_secs_f64();
    LoadReport {
        target: options.target.clone(),
        connections: options.connections,
        planned_per_second: match options.pace {
            Pace::Closed => None,
            Pace::Open { per_second } => Some(per_second),
        },
        seconds,
        ok: stats.ok,
        per_second: stats.ok as f64 / seconds,
        latency: stats.latencies(),
        failed: stats.failed,
    }
}

/// Results of a load sent directly to an upstream and of one sent through an entry instance, run
/// one after the other.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    pub direct: LoadReport,
    pub through: LoadReport,
}

impl Pair {
    /// Returns the request rate through the entry instance relative to the direct one.
    pub fn ratio(&self) -> f64 {
        self.through.per_second / self.direct.per_second
    }

    /// Returns the latency that the entry instance adds, in microseconds. Noise can make it
    /// negative.
    fn added(&self, us: fn(&Latencies) -> u64) -> i64 {
        us(&self.through.latency) as i64 - us(&self.direct.latency) as i64
    }
}

/// Comparison of loads through an entry instance with loads sent directly to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Rounds of the closed loop.
    pub full: Vec<Pair>,
    /// Rounds of the open loop at half of the rate reached through the entry instance.
    pub half: Vec<Pair>,
    /// Median over the rounds of the ratio of request rates.
    pub ratio: f64,
    /// Median over the rounds of the added latency at half of the rate.
    pub added_p50_us: i64,
    pub added_p99_us: i64,
}

/// Compares an upstream called directly with one called through an entry instance, first in a
/// closed loop and then in an open loop at half of the rate reached through the entry instance. The
/// speed of a shared machine changes from one second to the next, so the two alternate over several
/// rounds, in alternating order, and the medians are reported.
pub async fn compare(
    direct: LoadOptions,
    through: LoadOptions,
    rounds: usize,
) -> Result<Comparison, LoadError> {
    if rounds == 0 {
        return Err(LoadError::NotPositive { what: "number of rounds" });
    }
    let full = pairs(&direct, &through, Pace::Closed, rounds).await?;
    let rate = median(full.iter().map(|pair| pair.through.per_second), f64::total_cmp);
    let pace = Pace::Open { per_second: (rate / 2.0).max(1.0) };
    let half = pairs(&direct, &through, pace, rounds).await?;
    let added = |us| median(half.iter().map(|pair| pair.added(us)), i64::cmp);
    Ok(Comparison {
        ratio: median(full.iter().map(Pair::ratio), f64::total_cmp),
        added_p50_us: added(|latency| latency.p50_us),
        added_p99_us: added(|latency| latency.p99_us),
        full,
        half,
    })
}

async fn pairs(
    direct: &LoadOptions,
    through: &LoadOptions,
    pace: Pace,
    rounds: usize,
) -> Result<Vec<Pair>, LoadError> {
    let (direct, through) = (direct.clone().with_pace(pace), through.clone().with_pace(pace));
    let mut pairs = Vec::new();
    for round in 0..rounds {
        let pair = if round % 2 == 0 {
            let direct = run(direct.clone()).await?;
            Pair { direct, through: run(through.clone()).await? }
        } else {
            let through = run(through.clone()).await?;
            Pair { direct: run(direct.clone()).await?, through }
        };
        pairs.push(pair);
    }
    Ok(pairs)
}

/// Returns the median, or the upper of the two middle values. `values` must not be empty.
fn median<T>(values: impl Iterator<Item = T>, order: fn(&T, &T) -> std::cmp::Ordering) -> T {
    let mut values: Vec<T> = values.collect();
    values.sort_by(order);
    values.swap_remove(values.len() / 2)
}

/// Header line of the table of reports.
const TABLE_HEAD: &str = "target                  planned/s       ok/s   failed  \
                          p50 ms  p90 ms  p99 ms p99.9 ms   max ms";

impl LoadReport {
    /// Returns the number of requests that did not get a status below 400.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    fn write_row(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let planned = self.planned_per_second.map_or("-".to_string(), |rate| format!("{rate:.1}"));
        write!(f, "{:<22} {planned:>10} {:>10.1}", self.target, self.per_second)?;
        write!(f, " {:>8}", self.failures())?;
        let ms = |us: u64| us as f64 / 1_000.0;
        let latency = &self.latency;
        write!(f, " {:>7.2} {:>7.2}", ms(latency.p50_us), ms(latency.p90_us))?;
        write!(f, " {:>7.2} {:>8.2}", ms(latency.p99_us), ms(latency.p99_9_us))?;
        writeln!(f, " {:>8.2}", ms(latency.max_us))?;
        for (what, count) in &self.failed {
            writeln!(f, "  failed with {what}: {count}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{TABLE_HEAD}")?;
        self.write_row(f)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{TABLE_HEAD}")?;
        for pair in self.full.iter().chain(&self.half) {
            pair.direct.write_row(f)?;
            pair.through.write_row(f)?;
        }
        writeln!(f, "ratio through/direct: {:.3}, median of {}", self.ratio, self.full.len())?;
        let ms = |us: i64| us as f64 / 1_000.0;
        writeln!(
            f,
            "added p50: {:.2} ms, p99: {:.2} ms",
            ms(self.added_p50_us),
            ms(self.added_p99_us)
        )
    }
}
