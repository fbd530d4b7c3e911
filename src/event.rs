//! Numbered log events. `docs/events.md` is generated from the list in this module.
//!
//! Events are written to one writer as JSON lines or human-readable text. An event never contains a key,
//! a secret or a payload.

use crate::metrics::Metrics;
use crate::settings::{LogFormat, LogLevel, Settings};
use slog::{Drain, KV, Key, Level, Logger, Record, Serializer};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

/// Maximum number of events with the same code written per second. The others are counted, and the count
/// is logged with the next event of that code.
pub const MAX_PER_SECOND: u32 = 50;
/// Maximum length of a text field in bytes. Names are shorter, but messages may quote caller input.
pub const MAX_FIELD_LEN: usize = 500;
/// Maximum number of events waiting for the writer; further events are dropped and counted.
const CHANNEL_LEN: usize = 4_096;

macro_rules! events {
    ($($variant:ident, $code:literal, $level:ident, $fields:literal, $message:literal, $action:literal;)*) => {
        /// An event that can be logged.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event { $(#[doc = $message] $variant,)* }

        impl Event {
            /// All events, in the order of their codes.
            pub const ALL: &'static [Event] = &[$(Event::$variant,)*];

            /// Returns the catalogue entry of the event.
            pub fn info(self) -> EventInfo {
                match self {
                    $(Event::$variant => EventInfo {
                        code: $code,
                        level: LogLevel::$level,
                        fields: $fields,
                        message: $message,
                        action: $action,
                    },)*
                }
            }
        }
    };
}

/// Catalogue entry of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventInfo {
    /// Event number, stable across versions.
    pub code: u16,
    pub level: LogLevel,
    /// Names of the fields, separated by spaces.
    pub fields: &'static str,
    /// What happened.
    pub message: &'static str,
    /// What operators should do.
    pub action: &'static str,
}

events! {
    Listening, 101, Info, "entry zone incarnation http_addr peer_addr", "The entry instance listens on its addresses.", "None.";
    Ready, 102, Info, "offset", "The entry instance has a view and accepts work.", "None.";
    Stopping, 103, Info, "signal", "The process stops: it reports not ready, refuses new work and finishes the work in progress.", "None.";
    StopTimeout, 104, Warning, "in_progress", "The stop timeout expired while work was still in progress.", "Raise stop_timeout_ms or lower max_deadline_ms.";
    StoppedAtOnce, 105, Warning, "in_progress", "A second signal ended the process immediately.", "Check for callers that got no response.";
    Stopped, 106, Info, "", "The process has released everything that it held and exits.", "None.";
    PlatformLost, 200, Warning, "since_ms", "The platform's log does not respond.", "See docs/operators/platform-outage.md.";
    PlatformBack, 201, Info, "after_ms", "The platform's log responds again.", "None.";
    ViewLoaded, 205, Info, "source bytes", "The view was loaded from a snapshot.", "None.";
    RelayUsed, 207, Info, "next", "The newest log entries are read from another entry instance.", "See docs/operators/platform-outage.md.";
    ViewStale, 208, Warning, "team", "A request was refused because the view is older than its profile allows.", "See docs/operators/platform-outage.md.";
    AppendLost, 209, Warning, "seq error", "The response to an append was lost; the log shows whether it was applied.", "None.";
    EntrySeen, 300, Info, "entry zone", "Another entry instance appeared.", "None.";
    EntryDeparting, 301, Info, "entry", "Another entry instance is shutting down.", "None.";
    LeaseExpired, 302, Warning, "entry", "The lease of another entry instance lapsed and was marked as expired.", "Check whether it is still running.";
    UpstreamSeen, 306, Info, "instance pool zone", "An upstream was added to the list.", "None.";
    UpstreamGone, 308, Info, "instance", "An upstream was removed from the list.", "None.";
    EntryGone, 309, Info, "entry", "Another entry instance was removed from the list or replaced; its reserve is released.", "None.";
    Published, 400, Info, "offset sections", "Declarations were published and are in force here.", "None.";
    KeyGranted, 402, Info, "key team", "A key was granted.", "None.";
    KeyWithdrawn, 403, Info, "key offset", "A key was withdrawn.", "None.";
    ZoneOut, 404, Warning, "zone offset", "An availability zone was taken out of service.", "See docs/operators/zone-out-and-back.md.";
    ZoneBack, 405, Info, "zone", "An availability zone was put back into service.", "None.";
    InstanceOut, 406, Info, "instance offset", "An upstream instance was taken out of service.", "None.";
    InstanceBack, 407, Info, "instance", "An upstream instance was put back into service.", "None.";
    HoldTaken, 408, Warning, "op what", "A command is in force as a hold; it is not yet in the log.", "See docs/operators/platform-outage.md.";
    HoldEnded, 409, Info, "op", "The record of a hold is in the log; the hold ended.", "None.";
    CommandRefused, 410, Warning, "op kind", "An operator's command was refused.", "Read the message of the command.";
    UpstreamSetAside, 500, Warning, "instance", "An upstream was ejected after failures.", "Check the instance if it stays ejected.";
    UpstreamReturned, 501, Info, "instance", "An ejected upstream accepts work again.", "None.";
    JobSetAside, 503, Warning, "job attempt", "A job failed on several instances on which other work succeeds.", "Notify its team.";
    AnswerCut, 505, Warning, "instance team", "A response was truncated after its head; the caller's connection was closed.", "Check the instance if this repeats.";
    PoolEmpty, 506, Error, "pool", "No upstream of a pool can accept work.", "See docs/operators/recovery.md.";
    TeamAtLimit, 600, Info, "team", "A request was refused because its team has reached its limit.", "See docs/operators/overload.md.";
    QueueFull, 601, Warning, "team", "A request was refused because the queue of its team is full.", "See docs/operators/overload.md.";
    WorkRefused, 602, Debug, "kind team", "A request was refused for another reason.", "None.";
    JobAdopted, 603, Info, "job attempt", "A running job was taken over from an entry instance whose lease expired.", "None.";
    JobReleased, 604, Info, "job attempt", "A job was definitely not started and was queued again.", "None.";
    JobUnknown, 605, Error, "job attempt", "A job was started and its outcome is unknown.", "Notify its team; the job is not restarted.";
    DuplicateRefused, 606, Info, "team", "A request was refused because its request id was already used.", "None.";
    BadInput, 607, Info, "kind", "A malformed or oversized request was refused before it reached an upstream.", "None.";
    DrainStarted, 700, Info, "instance pool", "A drain of an instance started.", "None.";
    DrainEnded, 701, Info, "instance", "A drain of an instance ended.", "None.";
    InstanceMaintained, 702, Info, "instance pool", "Maintenance of an instance was completed.", "None.";
    MoveStarted, 703, Info, "instance from to", "A move of an instance to another pool started.", "None.";
    MoveEnded, 704, Info, "instance to", "An instance moved to its new pool.", "None.";
    MoveCancelled, 705, Info, "instance", "A move of an instance was cancelled.", "None.";
    PlanWaits, 706, Info, "pool reason", "No instance of a pool can be drained or moved to it, for the given reason.", "See docs/operators/maintenance.md.";
    VersionInForce, 800, Info, "version offset", "A version of the operators' declarations is in force here.", "None.";
    StoreLost, 801, Warning, "error view_age_ms", "The platform's store does not respond to this instance.", "See docs/OPERATIONS.md.";
    StoreBack, 802, Info, "view_age_ms", "The platform's store responds again.", "None.";
    RecordUnreadable, 803, Warning, "topic offset key error", "A record of the store is invalid and was skipped.", "Check for another writer.";
    SubmissionPartitions, 804, Info, "partitions earlier owner_reads age_ms", "The number of the store's partitions over which this instance spreads its callers' records changed. The owner reads owner_reads of them, as it said age_ms ago.", "If it stays at 1, look for owners of an earlier version.";
    TopicUnread, 805, Warning, "topic error", "A new owner cannot read a partition of the store. It loads nothing and decides nothing until it has read all of them, and tries again. Logged once for each partition and load.", "See docs/OPERATIONS.md.";
    TaskPanicked, 808, Error, "task error", "A task of this instance ended with a panic and was started again.", "Report it with the error.";
    TermConflict, 809, Error, "term entry error", "Another instance acted as the owner of this instance's term; this instance ended its term.", "Report it: a term has one owner. Look for OwnerHere with the same term.";
    OwnerSeen, 810, Info, "entry term", "Another instance is the owner of the decisions.", "None.";
    OwnerHere, 811, Info, "term reason processors_milli link_mbps", "This instance is the owner of the decisions.", "None.";
    OwnerNotHere, 812, Info, "term error", "This instance failed to become the owner; another instance may have been first.", "None.";
    OwnerReady, 813, Info, "term jobs workers took_ms wait_ms", "The owner has read the stored records and starts to make decisions.", "None.";
    OwnerGone, 814, Warning, "term reason", "This instance is no longer the owner.", "None.";
    OwnerSilent, 815, Info, "term error", "The owner did not respond to this instance.", "Check whether it is still running.";
    EarlierOwnerOver, 816, Info, "entry term wait_ms", "The previous owner confirmed that it sends no more orders.", "None.";
    OwnerLoad, 817, Info, "term pending_jobs passes pass_ms stored_bytes store_ms starts start_ms polls repeats delay_ms", "Load of the owner in the last 2 s: counts, the longest pass, append and start, and the longest delay of a timer.", "If store_ms or delay_ms stay at some hundred while jobs are pending, the machine is too small.";
    PoolLoad, 818, Info, "term pool machines wanted idle long_running_only processors_permille memory_permille waiting_processors", "Use of a pool of workers, as the owner knows it, every 2 s.", "If waiting_processors stays high while idle or other pools' idle is too, check that moves succeed.";
    OwnerRecordIgnored, 819, Warning, "entry term known_term", "An owner record of an earlier term, or of another owner of the known term, was applied late and is not followed.", "None for an earlier term; for the known term, see TermConflict.";
    BatchJobAccepted, 820, Info, "job queue team view_age_ms took_ms", "A job was stored and accepted.", "None.";
    BatchCallRefused, 821, Info, "job status reason version view_age_ms took_ms", "A call for a job was refused or failed.", "See docs/OPERATIONS.md.";
    BatchJobCancelled, 822, Info, "job status", "A caller cancelled a job.", "None.";
    BatchJobEnded, 823, Info, "job state job_age_ms", "A job reached its final state.", "None.";
    BatchJobGivenUp, 824, Warning, "job task crashes", "A job failed because workers crashed under its task, in the runs and on the workers given.", "Notify its team; see docs/OPERATIONS.md.";
    BatchJobBeyondRate, 826, Info, "job team job_rate", "A job arrived beyond the rate of its team, in jobs per second; it waits behind those of other teams while room is short.", "If the team may send as much, raise its weight.";
    BatchJobSetAside, 827, Info, "job pool start_within_ms kept_ms set_aside_ms", "A job that had to start within the given time waits behind others, so that more of these meet their objectives; the pool needs so long for the running and kept work, and for the work set aside.", "If this repeats, the pool has too few machines; see docs/operators/overload.md.";
    TaskPlaced, 830, Info, "task run worker job_age_ms", "A task was assigned to a worker.", "None.";
    StartFailed, 831, Info, "task run worker answer", "A worker did not confirm the start of a task.", "Check the worker if this repeats.";
    RunEnded, 832, Info, "task run worker how", "A worker reported the end of a run.", "None.";
    RunLost, 833, Info, "task run worker reason", "A run counts as over although its end was not reported; the task was queued again.", "None.";
    DrainStopOrdered, 834, Info, "task run worker left_ms has_room", "A run was ordered to stop because its worker leaves, in left_ms at the earliest; has_room is 1 if another worker had room for its task.", "If has_room is 0 often, see docs/operators/leaving-workers.md.";
    StartWaits, 835, Info, "task run worker", "A start waits until the store confirms the owner's term again.", "If this repeats, look for a slow store or link of the owner.";
    StartRepeated, 836, Info, "task run worker open_ms usual_ms", "A start without an answer after open_ms was sent again beside the earlier attempts; nine of ten answers take up to usual_ms.", "If this repeats at one worker, check it.";
    WorkerReborn, 840, Info, "worker earlier_incarnation incarnation source", "A worker restarted; its next report settles the tasks that it had.", "None.";
    WorkerLapsed, 841, Warning, "worker tasks silent_ms lease", "A worker did not respond before its lease expired.", "Check the worker.";
    LookFailed, 842, Info, "worker error", "A worker did not respond to a poll.", "Check the worker if this repeats.";
    PaceFailed, 843, Info, "task worker", "A worker did not accept a new speed for a task.", "None.";
    WorkerDraining, 844, Info, "worker tasks left_ms", "A worker reported that it leaves, in left_ms at the earliest.", "None.";
    WorkerListed, 845, Info, "worker machine incarnation", "A worker was listed that this owner did not know.", "None.";
    WorkerCrashed, 846, Warning, "worker earlier_incarnation incarnation runs started jobs", "A worker crashed under the runs of so many jobs, of which it had confirmed those started; a newer process runs in its place.", "Check the worker if this repeats without BatchJobGivenUp.";
    WorkerSilent, 847, Info, "worker incarnation tasks silent_ms lease lease_ms", "A worker does not respond; its tasks start elsewhere when its leases are over, in lease_ms at the latest as far as this owner knows.", "Check the worker.";
    WorkerStrayLease, 848, Info, "worker incarnation source lease_ms", "A worker may hold a lease by an order that was meant for its earlier process; it counts for the longest time, lease_ms.", "None.";
    WaveAsked, 850, Info, "wave machines", "Operators requested maintenance of machines.", "None.";
    UpkeepOrdered, 851, Info, "machine wave answer", "Maintenance of a machine was ordered.", "None.";
    WaveComplete, 852, Info, "wave", "Maintenance of all machines of a wave was completed.", "None.";
    MachineMoveOrdered, 853, Info, "machine pool answer", "A move of a machine to another pool was ordered.", "None.";
    UpkeepWaits, 854, Info, "machine reason", "Maintenance of a machine is blocked, although its wave has room.", "See docs/OPERATIONS.md.";
    Reloaded, 860, Info, "signal", "The settings file was reloaded.", "None.";
    ReloadFailed, 861, Warning, "error", "The settings file is invalid; the previous settings stay in force.", "Correct the file.";
    CallersCut, 870, Warning, "listener reason count connections held_bytes", "In the last second, requests were refused or connections cut off at a listener, because the clients keep outside the limits or there is too little room.", "See docs/operators/caller-limits.md.";
}

impl LogLevel {
    /// Returns the name in settings and in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Debug => "debug",
            LogLevel::Info => "info",
            LogLevel::Warning => "warning",
            LogLevel::Error => "error",
        }
    }

    fn slog(self) -> Level {
        match self {
            LogLevel::Debug => Level::Debug,
            LogLevel::Info => Level::Info,
            LogLevel::Warning => Level::Warning,
            LogLevel::Error => Level::Error,
        }
    }
}

/// Value of an event field.
#[derive(Clone, Copy, Debug)]
pub enum Field<'a> {
    Number(u64),
    /// Truncated to `MAX_FIELD_LEN`.
    Text(&'a str),
}

impl From<u64> for Field<'_> {
    fn from(number: u64) -> Self {
        Field::Number(number)
    }
}

impl From<u32> for Field<'_> {
    fn from(number: u32) -> Self {
        Field::Number(number.into())
    }
}

impl<'a> From<&'a str> for Field<'a> {
    fn from(text: &'a str) -> Self {
        Field::Text(text)
    }
}

impl<'a> From<&'a Arc<str>> for Field<'a> {
    fn from(text: &'a Arc<str>) -> Self {
        Field::Text(text)
    }
}

impl<'a> From<&'a String> for Field<'a> {
    fn from(text: &'a String) -> Self {
        Field::Text(text)
    }
}

/// Event log. Clones share one writer; dropping the last clone flushes the waiting events.
#[derive(Clone)]
pub struct Log {
    state: Arc<LogState>,
    metrics: Option<Arc<Metrics>>,
}

struct LogState {
    logger: Logger,
    started_at: Instant,
    /// Rate limit of each event, in the order of `Event::ALL`.
    rate_limits: Vec<RateLimit>,
    // Fields are dropped in declaration order: the logger first, then the guard, which waits for the
    // writer.
    _guard: slog_async::AsyncGuard,
}

impl Log {
    /// Creates a log that writes to `writer` in a separate thread.
    pub fn new(format: LogFormat, level: LogLevel, writer: impl Write + Send + 'static) -> Log {
        let (drain, guard) = match format {
            LogFormat::Json => spawn_writer(slog_json::Json::default(writer)),
            LogFormat::Terminal => {
                let decorator = slog_term::PlainDecorator::new(writer);
                let format = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
                spawn_writer(format)
            }
        };
        let drain = slog::LevelFilter::new(drain, level.slog()).map(slog::Fuse);
        let rate_limits = Event::ALL.iter().map(|_| RateLimit::default()).collect();
        let logger = Logger::root(drain, slog::o!());
        let state = LogState { logger, started_at: Instant::now(), rate_limits, _guard: guard };
        Log { state: Arc::new(state), metrics: None }
    }

    /// Creates a log to standard error with the format and level of the settings.
    pub fn stderr(settings: &Settings) -> Log {
        Log::new(settings.log_format, settings.log_level, std::io::stderr())
    }

    /// Also counts every event in the metrics, including suppressed events and those below the level.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Log {
        self.metrics = Some(metrics);
        self
    }

    /// Logs one event with its fields.
    pub fn event(&self, event: Event, fields: &[(&'static str, Field<'_>)]) {
        if let Some(metrics) = &self.metrics {
            metrics.record_event(event);
        }
        let second = self.state.started_at.elapsed().as_secs();
        let Some(suppressed) = self.state.rate_limits[event as usize].admit(second) else { return };
        let EventInfo { code, level, message, .. } = event.info();
        let name = format!("{event:?}");
        let fields = EventFields { code, name: &name, suppressed, fields };
        let location = slog::record_static!(level.slog(), "");
        let text = format_args!("{message}");
        self.state.logger.log(&Record::new(&location, &text, slog::BorrowedKV(&fields)));
    }
}

fn spawn_writer<D>(drain: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = std::io::Error, Ok = ()> + Send + 'static,
{
    // A failing writer must not end the process, and its errors cannot be reported anywhere else.
    let drain = drain.ignore_res();
    slog_async::Async::new(drain)
        .chan_size(CHANNEL_LEN)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}

struct EventFields<'a> {
    code: u16,
    name: &'a str,
    suppressed: u32,
    fields: &'a [(&'static str, Field<'a>)],
}

impl KV for EventFields<'_> {
    fn serialize(&self, _record: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        // Both formats write the fields in reverse order.
        for (key, value) in self.fields.iter().rev() {
            match value {
                Field::Number(number) => serializer.emit_u64(Key::from(*key), *number)?,
                Field::Text(text) => serializer.emit_str(Key::from(*key), truncate(text))?,
            }
        }
        if self.suppressed > 0 {
            serializer.emit_u32(Key::from("suppressed"), self.suppressed)?;
        }
        serializer.emit_str(Key::from("name"), self.name)?;
        serializer.emit_u16(Key::from("event"), self.code)
    }
}

fn truncate(text: &str) -> &str {
    let end = (0..=MAX_FIELD_LEN.min(text.len())).rev().find(|i| text.is_char_boundary(*i));
    &text[..end.unwrap_or(0)]
}

/// Rate limit of one event.
#[derive(Default)]
struct RateLimit {
    /// Second to which the count applies.
    second: AtomicU64,
    count: AtomicU32,
    suppressed: AtomicU32,
}

impl RateLimit {
    /// Returns the number of events suppressed since the last one written, or `None` if this event must be
    /// suppressed too.
    fn admit(&self, second: u64) -> Option<u32> {
        // At the start of a second, concurrent calls may admit a few events more than the limit, which
        // is harmless.
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.count.store(0, Ordering::Relaxed);
        }
        if self.count.fetch_add(1, Ordering::Relaxed) < MAX_PER_SECOND {
            return Some(self.suppressed.swap(0, Ordering::Relaxed));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }
}
