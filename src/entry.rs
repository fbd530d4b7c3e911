//! State shared by all tasks of one entry instance.
//!
//! Lock order: `node`, `dispatcher`, `health`, `retry`. No lock is held across an await.

use crate::admin_routes::SubmittedCommands;
use crate::caller_connections::CallerConnections;
use crate::dispatch::Dispatcher;
use crate::event::{Event, Log};
use crate::health::Health;
use crate::hold::Holds;
use crate::ids::*;
use crate::job_runner::JobTable;
use crate::kind::{Kind, Refusal};
use crate::metrics::Metrics;
use crate::node::{Node, NodeConfig, ProposalStatus};
use crate::peer::{PeerClients, PeerStatus};
use crate::platform_client::{PlatformClient, PlatformError};
use crate::probe::UpstreamClocks;
use crate::protocol::InstanceList;
use crate::record::{JobEnding, Record};
use crate::retry::RetryPolicy;
use crate::settings::Settings;
use crate::transport::{CallError, TransportOptions};
use crate::upstream::Upstreams;
use parking_lot::Mutex;
use rocket::Request;
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// How an entry instance treats new requests. The stage only moves forward.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Accepts work.
    Serving,
    /// Accepts work but reports not ready, so that the load balancer stops sending requests first.
    NotReady,
    /// Refuses new work as not run and completes work in flight.
    Refusing,
    /// All work in flight has ended or was abandoned.
    Ended,
}

/// Holds the entry instance for the HTTP server. It is set after the server has started, because
/// the entry instance needs to know the server's port.
pub type EntryCell = OnceLock<Arc<Entry>>;

/// Why an entry instance could not start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The platform client could not be built.
    #[snafu(display("cannot build the platform client: {source}"))]
    PlatformClient { source: PlatformError },
    /// The upstream client could not be built.
    #[snafu(display("cannot build the upstream client: {source}"))]
    UpstreamClient { source: CallError },
    /// Two metrics have the same name.
    #[snafu(display("cannot register the metrics: {source}"))]
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
    /// Port that callers connect to; used to find a caller's socket when its connection must be
    /// closed.
    pub http_port: u16,
    pub node: Mutex<Node>,
    pub dispatcher: Mutex<Dispatcher>,
    pub health: Mutex<Health>,
    pub retry: Mutex<RetryPolicy>,
    pub platform: PlatformClient,
    pub upstreams: Upstreams,
    pub peers: PeerClients,
    pub clocks: UpstreamClocks,
    pub caller_connections: CallerConnections,
    pub jobs: JobTable,
    pub commands: SubmittedCommands,
    /// The newest instance list of the platform.
    pub list: Mutex<Arc<InstanceList>>,
    /// Last reported status of each peer, with the time at which it was received.
    peer_statuses: Mutex<HashMap<Incarnation, (Instant, PeerStatus)>>,
    last_platform_answer: Mutex<Instant>,
    /// When a request was last refused because this entry instance is stopping; initially its
    /// start.
    last_refusal: Mutex<Instant>,
    /// Wakes the task that appends records to the log.
    pub append_notify: Notify,
    id: EntryId,
    incarnation: Incarnation,
    zone: ZoneId,
    origin: Instant,
    applied: watch::Sender<Offset>,
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
    /// Creates an entry instance that has no view yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP client could not be built or two metrics have the same name.
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
            platform: PlatformClient::new(&settings.platform_addr.to_string(), platform)
                .context(PlatformClientSnafu)?,
            upstreams: Upstreams::new(upstream).context(UpstreamClientSnafu)?,
            peers: PeerClients::new(settings.peer_timeout),
            list: Mutex::default(),
            clocks: UpstreamClocks::new(),
            caller_connections: CallerConnections::new(),
            jobs: JobTable::new(),
            commands: SubmittedCommands::new(),
            peer_statuses: Mutex::default(),
            last_platform_answer: Mutex::new(Instant::now()),
            last_refusal: Mutex::new(Instant::now()),
            append_notify: Notify::new(),
            id: cfg.id.clone(),
            incarnation: cfg.incarnation,
            zone,
            origin: Instant::now(),
            applied: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            in_flight: watch::Sender::new(0),
            node: Mutex::new(Node::new(cfg, Duration::ZERO)),
            settings,
        })
    }

    /// Returns the entry instance that serves a request; `None` before it has started.
    pub fn of<'r>(req: &'r Request<'_>) -> Option<&'r Arc<Entry>> {
        req.rocket().state::<Arc<EntryCell>>()?.get()
    }

    /// Time since this entry instance started.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Converts a time since the start of this entry instance to an `Instant`.
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

    /// Status of this entry instance as reported to its peers.
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

    /// Notifies waiting tasks if the view has advanced; returns whether it has.
    pub fn notify_applied(&self) -> bool {
        let next = self.node.lock().next_offset();
        self.applied.send_if_modified(|last| std::mem::replace(last, next) != next)
    }

    /// Records the time of a response of the platform.
    pub fn record_platform_answer(&self) {
        *self.last_platform_answer.lock() = Instant::now();
    }

    /// Time since the platform last responded, or since the start.
    pub fn time_since_platform_answer(&self) -> Duration {
        self.last_platform_answer.lock().elapsed()
    }

    /// Stores the status that a peer reported.
    pub fn record_peer_status(&self, status: PeerStatus) {
        if status.incarnation != self.incarnation {
            self.peer_statuses.lock().insert(status.incarnation, (Instant::now(), status));
        }
    }

    /// Addresses of all peers that are known from the log or the settings, without duplicates.
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

    /// Last status that a peer reported, and the time since it was received.
    pub fn last_peer_status(&self, incarnation: Incarnation) -> Option<(Duration, PeerStatus)> {
        let statuses = self.peer_statuses.lock();
        statuses.get(&incarnation).map(|(at, status)| (at.elapsed(), status.clone()))
    }

    /// Incarnation of this process; a restarted entry instance has another one.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Watches the offset up to which log entries have been applied.
    pub fn subscribe_applied(&self) -> watch::Receiver<Offset> {
        self.applied.subscribe()
    }

    /// Proposes a record to the log; returns a ticket for `wait_for_proposal`.
    pub fn propose(&self, record: Record) -> u64 {
        self.log_job_event(&record);
        let ticket = self.node.lock().propose(self.now(), record);
        self.append_notify.notify_one();
        ticket
    }

    /// Logs an event for a record that takes over, releases or abnormally ends a job.
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

    /// Waits until a proposal is decided, at most until `until`.
    pub async fn wait_for_proposal(&self, ticket: u64, until: Time) -> ProposalStatus {
        let status_of = |node: &Node| node.proposal_status(ticket);
        self.wait_while_pending(status_of, until).await
    }

    /// Waits until `status_of` no longer returns `Pending`, at most until `until`.
    pub async fn wait_while_pending(
        &self,
        status_of: impl Fn(&Node) -> ProposalStatus,
        until: Time,
    ) -> ProposalStatus {
        let mut applied = self.subscribe_applied();
        let deadline = self.instant(until);
        loop {
            applied.mark_unchanged();
            let status = status_of(&self.node.lock());
            if status != ProposalStatus::Pending {
                return status;
            }
            match tokio::time::timeout_at(deadline, applied.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return status_of(&self.node.lock()),
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

    /// Like `is_ready`, for a function that has already locked the node.
    pub fn is_ready_with(&self, node: &Node) -> bool {
        self.stage() == Stage::Serving && node.has_view()
    }

    /// Time since a request was last refused because this entry instance is stopping, or since the
    /// start.
    pub fn time_since_refusal(&self) -> Duration {
        self.last_refusal.lock().elapsed()
    }

    /// Watches the stage.
    pub fn subscribe_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Moves to a later stage; does nothing if `stage` is not later.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_if_modified(|now| {
            let later = stage > *now;
            *now = stage.max(*now);
            later
        });
    }

    /// Counts a new request as in flight, or refuses it if this entry instance is stopping or full.
    pub fn admit(self: &Arc<Entry>) -> Result<InFlightGuard, Refusal> {
        // Counting before the check ensures that a task which sets the stage and then sees nothing
        // in flight has missed no request.
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

    /// Counts work as in flight without checking whether it may be admitted.
    pub fn track_in_flight(self: &Arc<Entry>) -> InFlightGuard {
        self.in_flight.send_modify(|n| *n += 1);
        InFlightGuard { entry: self.clone() }
    }

    /// Watches the number of requests and jobs in flight.
    pub fn subscribe_in_flight(&self) -> watch::Receiver<usize> {
        self.in_flight.subscribe()
    }
}
