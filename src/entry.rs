//! The tables that all tasks of one entry instance share.
//!
//! Lock order: `node`, `dispatcher`, `health`, `retry`. No lock is held across an await.

use crate::caller_connections::CallerConnections;
use crate::dispatch::Dispatcher;
use crate::event::{Event, Log};
use crate::health::Health;
use crate::hold::Holds;
use crate::ids::*;
use crate::kind::{Kind, Refusal};
use crate::log_client::{Platform, PlatformError};
use crate::metrics::Metrics;
use crate::node::{Node, NodeConfig, ProposalStatus};
use crate::operators::Commands;
use crate::peer::{PeerStatus, Peers};
use crate::probe::UpstreamClocks;
use crate::protocol::InstanceList;
use crate::record::{JobEnding, Record};
use crate::retry::RetryPolicy;
use crate::settings::Settings;
use crate::tend::JobTable;
use crate::transport::{CallError, TransportOptions};
use crate::upstream::Upstreams;
use parking_lot::Mutex;
use rocket::Request;
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// What an entry instance does with new requests. Only rises.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Takes work.
    Serving,
    /// Takes work and reports not ready, so that the load balancer turns away first.
    NotReady,
    /// Refuses new work as not run and finishes what is in flight.
    Refusing,
    /// Everything in flight has ended or was given up.
    Ended,
}

/// Where the HTTP server finds the entry instance. Its port must be known before the tables are made.
pub type EntryCell = OnceLock<Arc<Entry>>;

/// Why an entry instance could not start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// No client for the platform.
    #[snafu(display("client of the platform: {source}"))]
    PlatformClient { source: PlatformError },
    /// No client for upstreams.
    #[snafu(display("client of upstreams: {source}"))]
    UpstreamClient { source: CallError },
    /// Two metrics have one name.
    #[snafu(display("metrics: {source}"))]
    Metrics { source: prometheus::Error },
}

fn platform_options(settings: &Settings) -> TransportOptions {
    TransportOptions {
        connect_timeout: settings.connect_timeout,
        call_timeout: settings.platform_timeout,
        ..TransportOptions::default()
    }
}

fn upstream_options(settings: &Settings) -> TransportOptions {
    TransportOptions {
        connect_timeout: settings.connect_timeout,
        max_idle: settings.upstream_connections as usize,
        ..TransportOptions::default()
    }
}

/// One running entry instance.
pub struct Entry {
    pub settings: Settings,
    pub log: Log,
    pub metrics: Arc<Metrics>,
    /// Port that callers connect to; needed to close a caller's connection.
    pub http_port: u16,
    pub node: Mutex<Node>,
    pub dispatcher: Mutex<Dispatcher>,
    pub health: Mutex<Health>,
    pub retry: Mutex<RetryPolicy>,
    pub platform: Platform,
    pub upstreams: Upstreams,
    pub peers: Peers,
    pub clocks: UpstreamClocks,
    pub caller_connections: CallerConnections,
    pub jobs: JobTable,
    pub commands: Commands,
    /// The platform's newest list.
    pub list: Mutex<Arc<InstanceList>>,
    /// Last word of each peer about itself.
    peer_statuses: Mutex<HashMap<Incarnation, (Instant, PeerStatus)>>,
    last_platform_answer: Mutex<Instant>,
    /// When a request was last refused because of the stop.
    last_refusal: Mutex<Instant>,
    /// Wakes the task that appends to the log.
    pub append_notify: Notify,
    id: EntryId,
    incarnation: Incarnation,
    zone: ZoneId,
    origin: Instant,
    folded: watch::Sender<Offset>,
    stage: watch::Sender<Stage>,
    in_flight: watch::Sender<usize>,
}

/// Counts one request or job as in flight until it is dropped.
pub struct InFlightGuard {
    entry: Arc<Entry>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.entry.in_flight.send_modify(|n| *n -= 1);
    }
}

impl Entry {
    /// The tables of an entry instance that has no view yet.
    ///
    /// # Errors
    ///
    /// The HTTP client could not be built.
    pub fn new(settings: Settings, http_port: u16, cfg: NodeConfig) -> Result<Entry, EntryError> {
        let (seed, zone) = (cfg.seed, cfg.zone.clone());
        let platform = platform_options(&settings);
        let upstream = upstream_options(&settings);
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        Ok(Entry {
            log: Log::stderr(&settings).with_metrics(metrics.clone()),
            metrics,
            http_port,
            dispatcher: Mutex::new(Dispatcher::new(seed, zone.clone())),
            health: Mutex::new(Health::new(seed)),
            retry: Mutex::new(RetryPolicy::new(seed)),
            platform: Platform::new(&settings.platform_addr.to_string(), platform)
                .context(PlatformClientSnafu)?,
            upstreams: Upstreams::new(upstream).context(UpstreamClientSnafu)?,
            peers: Peers::new(settings.peer_timeout),
            list: Mutex::default(),
            clocks: UpstreamClocks::new(),
            caller_connections: CallerConnections::new(),
            jobs: JobTable::new(),
            commands: Commands::new(),
            peer_statuses: Mutex::default(),
            last_platform_answer: Mutex::new(Instant::now()),
            last_refusal: Mutex::new(Instant::now()),
            append_notify: Notify::new(),
            id: cfg.id.clone(),
            incarnation: cfg.incarnation,
            zone,
            origin: Instant::now(),
            folded: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            in_flight: watch::Sender::new(0),
            node: Mutex::new(Node::new(cfg, Duration::ZERO)),
            settings,
        })
    }

    /// The entry instance that serves a request; `None` before it has started.
    pub fn of<'r>(req: &'r Request<'_>) -> Option<&'r Arc<Entry>> {
        req.rocket().state::<Arc<EntryCell>>()?.get()
    }

    /// Time since this entry instance started.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// The instant of a time of this entry instance.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        (self.origin + time).into()
    }

    /// Name of this entry instance.
    pub fn id(&self) -> &EntryId {
        &self.id
    }

    /// Availability zone of this entry instance.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// What this entry instance tells peers about itself.
    pub fn own_status(&self) -> PeerStatus {
        let now = self.now();
        let node = self.node.lock();
        PeerStatus {
            id: self.id.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            next: node.next_offset(),
            view_age_ms: node.view_age(now).as_millis() as u64,
            holds: node.holds().iter().filter_map(Holds::restrictive_op).cloned().collect(),
        }
    }

    /// Tells waiting tasks that the view has moved on; true when it has.
    pub fn on_folded(&self) -> bool {
        let next = self.node.lock().next_offset();
        self.folded.send_if_modified(|last| std::mem::replace(last, next) != next)
    }

    /// Takes note of an answer of the platform.
    pub fn record_platform_answer(&self) {
        *self.last_platform_answer.lock() = Instant::now();
    }

    /// Time since the platform answered, or since the start.
    pub fn time_since_platform_answer(&self) -> Duration {
        self.last_platform_answer.lock().elapsed()
    }

    /// Takes note of what a peer says about itself.
    pub fn record_peer_status(&self, seen: PeerStatus) {
        if seen.incarnation != self.incarnation {
            self.peer_statuses.lock().insert(seen.incarnation, (Instant::now(), seen));
        }
    }

    /// Peer addresses that are known from the log and from the settings, each once.
    pub fn peer_addrs(&self) -> Vec<String> {
        let known = self.node.lock().peers();
        let mut addrs: Vec<String> = known.into_iter().map(|(_, _, addr)| addr).collect();
        for addr in self.settings.peers.iter().map(|addr| addr.to_string()) {
            if !addrs.contains(&addr) {
                addrs.push(addr);
            }
        }
        addrs
    }

    /// Last word of a peer about itself, and its age.
    pub fn last_peer_status(&self, incarnation: Incarnation) -> Option<(Duration, PeerStatus)> {
        let heard = self.peer_statuses.lock();
        heard.get(&incarnation).map(|(at, seen)| (at.elapsed(), seen.clone()))
    }

    /// This life of the entry instance.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Changes when entries are folded.
    pub fn subscribe_folded(&self) -> watch::Receiver<Offset> {
        self.folded.subscribe()
    }

    /// Hands a record to the log; the ticket asks for its fate.
    pub fn propose(&self, record: Record) -> u64 {
        self.log_job_event(&record);
        let ticket = self.node.lock().propose(self.now(), record);
        self.append_notify.notify_one();
        ticket
    }

    /// Logs what a record does to a job beyond its usual course.
    fn log_job_event(&self, record: &Record) {
        let (event, job, attempt) = match record {
            Record::JobAdopt { job, attempt } => (Event::JobAdopted, job, attempt),
            Record::JobRelease { job, attempt } => (Event::JobReleased, job, attempt),
            Record::JobEnd { job, attempt, ending } => match ending {
                JobEnding::Unknown => (Event::JobUnknown, job, attempt),
                JobEnding::CannotRun(_) => (Event::JobSetAside, job, attempt),
                JobEnding::Done(_) | JobEnding::Failed(_) | JobEnding::Cancelled => return,
            },
            _ => return,
        };
        self.log.event(event, &[("job", job.into()), ("attempt", (*attempt).into())]);
    }

    /// Waits until the fate of a ticket has been read, at most until `until`.
    pub async fn wait_for_proposal(&self, ticket: u64, until: Time) -> ProposalStatus {
        let read = |node: &Node| node.proposal_status(ticket);
        self.wait_while_pending(read, until).await
    }

    /// Waits until `read` no longer answers `Pending`, at most until `until`.
    pub async fn wait_while_pending(
        &self,
        read: impl Fn(&Node) -> ProposalStatus,
        until: Time,
    ) -> ProposalStatus {
        let mut folded = self.subscribe_folded();
        let deadline = self.instant(until);
        loop {
            folded.mark_unchanged();
            let fate = read(&self.node.lock());
            if fate != ProposalStatus::Pending {
                return fate;
            }
            match tokio::time::timeout_at(deadline, folded.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return read(&self.node.lock()),
            }
        }
    }

    /// How this entry instance treats new requests.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_ready_with(&self.node.lock())
    }

    /// As `is_ready`, for a caller that holds the lock.
    pub fn is_ready_with(&self, node: &Node) -> bool {
        self.stage() == Stage::Serving && node.has_view()
    }

    /// Time since a request was refused because of the stop.
    pub fn time_since_refusal(&self) -> Duration {
        self.last_refusal.lock().elapsed()
    }

    /// Changes with the stage.
    pub fn subscribe_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Moves on to a later stage; an earlier one changes nothing.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_if_modified(|now| {
            let later = stage > *now;
            *now = stage.max(*now);
            later
        });
    }

    /// Counts a new request, unless this entry instance refuses new work.
    pub fn admit(self: &Arc<Entry>) -> Result<InFlightGuard, Refusal> {
        // Counted before the check: whoever sees the stage and then no work in flight misses none.
        let in_flight = self.track_in_flight();
        if self.stage() >= Stage::Refusing {
            *self.last_refusal.lock() = Instant::now();
            return Err(Refusal::new(Kind::Stopping));
        }
        if *self.in_flight.borrow() > self.settings.requests as usize {
            return Err(Refusal::new(Kind::QueueFull));
        }
        Ok(in_flight)
    }

    /// Counts work in flight that was admitted earlier.
    pub fn track_in_flight(self: &Arc<Entry>) -> InFlightGuard {
        self.in_flight.send_modify(|n| *n += 1);
        InFlightGuard { entry: self.clone() }
    }

    /// Requests and jobs in flight.
    pub fn subscribe_in_flight(&self) -> watch::Receiver<usize> {
        self.in_flight.subscribe()
    }
}
