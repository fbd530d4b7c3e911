//! Numbered log events. `docs/events.md` is generated from the list here.
//!
//! Events go to one writer as JSON lines or as text for people. An event never holds a key, a secret or a
//! payload.

use crate::metrics::Metrics;
use crate::settings::{LogFormat, LogLevel, Settings};
use slog::{Drain, KV, Key, Level, Logger, Record, Serializer};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

/// Most events of one number in a second; the rest are counted and the count is logged with the next one.
pub const MAX_PER_SECOND: u32 = 50;
/// Longest text of a field in bytes; names are shorter, but messages may quote what a caller sent.
pub const MAX_FIELD_LEN: usize = 500;
/// Events that wait for the writer; beyond it they are dropped and counted.
const CHANNEL_LEN: usize = 4_096;

macro_rules! events {
    ($($variant:ident, $code:literal, $level:ident, $fields:literal, $message:literal, $action:literal;)*) => {
        /// Every event that is logged.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event { $(#[doc = $message] $variant,)* }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$variant,)*];

            /// What the catalogue says of an event.
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

/// One entry of the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventInfo {
    /// Number, stable between versions.
    pub code: u16,
    pub level: LogLevel,
    /// Fields that come with it.
    pub fields: &'static str,
    /// What happened.
    pub message: &'static str,
    /// What operators do.
    pub action: &'static str,
}

events! {
    Listening, 101, Info, "entry zone incarnation http_addr peer_addr", "The sockets are open.", "None.";
    Ready, 102, Info, "offset", "The entry instance has a view and takes work.", "None.";
    Stopping, 103, Info, "signal", "The process reports not ready, refuses new work and finishes what it has.", "None.";
    StopTimeout, 104, Warning, "in_progress", "The time to stop is over and work is still in progress.", "Raise stop_timeout_ms or lower max_deadline_ms.";
    StoppedAtOnce, 105, Warning, "in_progress", "A second signal ended the process.", "Look for callers that got no answer.";
    Stopped, 106, Info, "", "The process has given back what it held and ends.", "None.";
    PlatformLost, 200, Warning, "since_ms", "The platform's log does not answer.", "See docs/operators/platform-outage.md.";
    PlatformBack, 201, Info, "after_ms", "The platform's log answers again.", "None.";
    ViewLoaded, 205, Info, "source bytes", "The view was loaded from a snapshot.", "None.";
    RelayUsed, 207, Info, "next", "The tail of the log is read from another entry instance.", "See docs/operators/platform-outage.md.";
    ViewStale, 208, Warning, "team", "The view is older than a profile allows; a request was refused.", "See docs/operators/platform-outage.md.";
    AppendLost, 209, Warning, "seq error", "The answer to an append was lost; its fate is read from the log.", "None.";
    EntrySeen, 300, Info, "entry zone", "Another entry instance appeared.", "None.";
    EntryDeparting, 301, Info, "entry", "Another entry instance stops as planned.", "None.";
    LeaseExpired, 302, Warning, "entry", "The lease of another entry instance lapsed and was expired.", "Look whether it still runs.";
    UpstreamSeen, 306, Info, "instance pool zone", "An upstream appeared in the list.", "None.";
    UpstreamGone, 308, Info, "instance", "An upstream left the list.", "None.";
    EntryGone, 309, Info, "entry", "Another entry instance left the list or was replaced; its reserve is freed.", "None.";
    Published, 400, Info, "offset sections", "Declarations were published and are in force here.", "None.";
    KeyGranted, 402, Info, "key team", "A key was granted.", "None.";
    KeyWithdrawn, 403, Info, "key offset", "A key was withdrawn.", "None.";
    ZoneOut, 404, Warning, "zone offset", "An availability zone was taken out.", "See docs/operators/zone-out-and-back.md.";
    ZoneBack, 405, Info, "zone", "An availability zone was taken back.", "None.";
    InstanceOut, 406, Info, "instance offset", "An upstream instance was taken out.", "None.";
    InstanceBack, 407, Info, "instance", "An upstream instance was taken back.", "None.";
    HoldTaken, 408, Warning, "op what", "A command is in force as a hold; the log does not have it yet.", "See docs/operators/platform-outage.md.";
    HoldEnded, 409, Info, "op", "The log has the record of a hold.", "None.";
    CommandRefused, 410, Warning, "op kind", "An operator's command was refused.", "Read the message of the command.";
    UpstreamSetAside, 500, Warning, "instance", "An upstream is set aside after failures.", "Look at the instance if it stays set aside.";
    UpstreamReturned, 501, Info, "instance", "An upstream that was set aside takes work again.", "None.";
    JobSetAside, 503, Warning, "job attempt", "A job failed on several instances that run other work well.", "Tell its team.";
    AnswerCut, 505, Warning, "instance team", "An answer was cut after its head; the caller's connection was closed.", "Look at the instance if it repeats.";
    PoolEmpty, 506, Error, "pool", "No upstream of a pool can take work.", "See docs/operators/recovery.md.";
    TeamAtLimit, 600, Info, "team", "A request was refused because its team is at its upper limit.", "See docs/operators/overload.md.";
    QueueFull, 601, Warning, "team", "A request was refused because the queue is at its bound for its team.", "See docs/operators/overload.md.";
    WorkRefused, 602, Debug, "kind team", "A request was refused for another reason.", "None.";
    JobAdopted, 603, Info, "job attempt", "A running job of a lapsed holder is taken over.", "None.";
    JobReleased, 604, Info, "job attempt", "A job was surely not started and waits again.", "None.";
    JobUnknown, 605, Error, "job attempt", "A job was started and nobody can tell how it ended.", "Tell its team; it is not started again.";
    DuplicateRefused, 606, Info, "team", "A request with a used id was refused.", "None.";
    BadInput, 607, Info, "kind", "A malformed or oversized request was refused and reached no upstream.", "None.";
    DrainStarted, 700, Info, "instance pool", "An instance drains.", "None.";
    DrainEnded, 701, Info, "instance", "A drain ended.", "None.";
    InstanceMaintained, 702, Info, "instance pool", "An instance was maintained.", "None.";
    MoveStarted, 703, Info, "instance from to", "An instance starts to move to another pool.", "None.";
    MoveEnded, 704, Info, "instance to", "An instance is in its new pool.", "None.";
    MoveCancelled, 705, Info, "instance", "A move was given up.", "None.";
    PlanWaits, 706, Info, "pool reason", "No instance of a pool drains or moves to it, for the reason given.", "See docs/operators/maintenance.md.";
    VersionInForce, 800, Info, "version offset", "A version of the operators' declarations is in force here.", "None.";
    StoreLost, 801, Warning, "error view_age_ms", "The platform's store does not answer this instance.", "See docs/OPERATIONS.md.";
    StoreBack, 802, Info, "view_age_ms", "The platform's store answers again.", "None.";
    RecordUnreadable, 803, Warning, "error", "A record of the store cannot be used and was left out.", "Look for another writer.";
    OwnerSeen, 810, Info, "entry term", "Another instance owns the decisions.", "None.";
    OwnerHere, 811, Info, "term", "This instance owns the decisions.", "None.";
    OwnerNotHere, 812, Info, "term error", "This instance tried to own the decisions; another may have been first.", "None.";
    OwnerReady, 813, Info, "term jobs workers took_ms", "The owner has read what is stored and decides.", "None.";
    OwnerGone, 814, Warning, "term reason", "This instance no longer owns the decisions.", "None.";
    OwnerSilent, 815, Info, "term error", "The owner did not answer this instance.", "Look whether it still runs.";
    EarlierOwnerOver, 816, Info, "entry term", "The earlier owner says that it gives no orders any more.", "None.";
    BatchJobAccepted, 820, Info, "job queue team view_age_ms took_ms", "A job was stored and accepted.", "None.";
    BatchCallRefused, 821, Info, "job status reason version view_age_ms took_ms", "A call about a job was not carried out.", "See docs/OPERATIONS.md.";
    BatchJobCancelled, 822, Info, "job status", "A caller cancelled a job.", "None.";
    BatchJobEnded, 823, Info, "job state job_age_ms", "A job has its final state.", "None.";
    TaskPlaced, 830, Info, "task run worker job_age_ms", "A task was placed at a worker.", "None.";
    StartFailed, 831, Info, "task run worker answer", "A worker did not confirm a start.", "Look at the worker if it repeats.";
    RunEnded, 832, Info, "task run worker how", "A worker listed the end of a run.", "None.";
    RunLost, 833, Info, "task run worker reason", "A run is surely over without a listed end; the task waits again.", "None.";
    WorkerReborn, 840, Info, "worker", "A worker started anew and runs nothing of before.", "None.";
    WorkerLapsed, 841, Warning, "worker tasks", "A worker did not answer until its lease was over.", "Look at the worker.";
    LookFailed, 842, Info, "worker error", "A worker did not answer with its lists.", "Look at the worker if it repeats.";
    PaceFailed, 843, Info, "task worker", "A worker did not take a pace.", "None.";
    WaveAsked, 850, Info, "wave machines", "Operators ask for maintenance of machines.", "None.";
    UpkeepOrdered, 851, Info, "machine wave answer", "Maintenance of a machine was ordered.", "None.";
    WaveComplete, 852, Info, "wave", "All machines of a wave had their maintenance.", "None.";
    MachineMoveOrdered, 853, Info, "machine pool answer", "A machine was ordered to another pool.", "None.";
    UpkeepWaits, 854, Info, "machine reason", "Maintenance of a machine waits though its wave has room.", "See docs/OPERATIONS.md.";
    Reloaded, 860, Info, "signal", "The settings file was read again.", "None.";
    ReloadFailed, 861, Warning, "error", "The settings file cannot be used; the earlier settings hold.", "Mend the file.";
}

impl LogLevel {
    /// The word used in settings and catalogues.
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

/// Value of a field.
#[derive(Clone, Copy, Debug)]
pub enum Field<'a> {
    Number(u64),
    /// Cut to `MAX_FIELD_LEN`.
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

/// Where events go; clones share one writer. Dropping the last clone writes what waits.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    metrics: Option<Arc<Metrics>>,
}

struct Shared {
    logger: Logger,
    started: Instant,
    /// One per event, in the order of `Event::ALL`.
    limits: Vec<Limit>,
    // Fields drop in order: the logger first, then the guard, which waits for the writer.
    _guard: slog_async::AsyncGuard,
}

impl Log {
    /// A log that writes to `writer` in a thread of its own.
    pub fn new(format: LogFormat, level: LogLevel, writer: impl Write + Send + 'static) -> Log {
        let (drain, guard) = match format {
            LogFormat::Json => spawn(slog_json::Json::default(writer)),
            LogFormat::Terminal => {
                let decorator = slog_term::PlainDecorator::new(writer);
                let format = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
                spawn(format)
            }
        };
        let drain = slog::LevelFilter::new(drain, level.slog()).map(slog::Fuse);
        let limits = Event::ALL.iter().map(|_| Limit::default()).collect();
        let logger = Logger::root(drain, slog::o!());
        let shared = Shared { logger, started: Instant::now(), limits, _guard: guard };
        Log { shared: Arc::new(shared), metrics: None }
    }

    /// A log to standard error as the settings say.
    pub fn stderr(settings: &Settings) -> Log {
        Log::new(settings.log_format, settings.log_level, std::io::stderr())
    }

    /// Counts every event in the metrics too, suppressed ones and those below the level included.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Log {
        self.metrics = Some(metrics);
        self
    }

    /// Logs one event with its fields.
    pub fn event(&self, event: Event, fields: &[(&'static str, Field<'_>)]) {
        if let Some(metrics) = &self.metrics {
            metrics.record_event(event);
        }
        let second = self.shared.started.elapsed().as_secs();
        let Some(suppressed) = self.shared.limits[event as usize].pass(second) else { return };
        let EventInfo { code, level, message, .. } = event.info();
        let name = format!("{event:?}");
        let fields = Fields { code, name: &name, suppressed, fields };
        let location = slog::record_static!(level.slog(), "");
        let text = format_args!("{message}");
        self.shared.logger.log(&Record::new(&location, &text, slog::BorrowedKV(&fields)));
    }
}

fn spawn<D>(drain: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = std::io::Error, Ok = ()> + Send + 'static,
{
    // A writer that fails must not end the process, and there is nowhere else to write.
    let drain = drain.ignore_res();
    slog_async::Async::new(drain)
        .chan_size(CHANNEL_LEN)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}

struct Fields<'a> {
    code: u16,
    name: &'a str,
    suppressed: u32,
    fields: &'a [(&'static str, Field<'a>)],
}

impl KV for Fields<'_> {
    fn serialize(&self, _record: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        // Later ones stand first in the output of both formats.
        for (key, value) in self.fields.iter().rev() {
            match value {
                Field::Number(number) => serializer.emit_u64(Key::from(*key), *number)?,
                Field::Text(text) => serializer.emit_str(Key::from(*key), cut(text))?,
            }
        }
        if self.suppressed > 0 {
            serializer.emit_u32(Key::from("suppressed"), self.suppressed)?;
        }
        serializer.emit_str(Key::from("name"), self.name)?;
        serializer.emit_u16(Key::from("event"), self.code)
    }
}

fn cut(text: &str) -> &str {
    let end = (0..=MAX_FIELD_LEN.min(text.len())).rev().find(|i| text.is_char_boundary(*i));
    &text[..end.unwrap_or(0)]
}

/// Bounds how often one event is written.
#[derive(Default)]
struct Limit {
    /// Second that the count belongs to.
    second: AtomicU64,
    count: AtomicU32,
    suppressed: AtomicU32,
}

impl Limit {
    /// How many events were suppressed since the last one written; `None` to suppress this one too.
    fn pass(&self, second: u64) -> Option<u32> {
        // Two threads at the turn of a second may let a few more pass, which does no harm.
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
