//! The closed list of error kinds and the table that maps each kind to its response.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether the work of a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not run because of this request.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It may have run, may be running, or may still start.
    Unknown,
}

impl Ran {
    /// Returns the text used in headers and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::NotRun => "not_run",
            Ran::Ran => "ran",
            Ran::Unknown => "unknown",
        }
    }
}

macro_rules! kinds {
    ($($variant:ident, $name:literal, $status:literal, $ran:ident, $retry_ms:expr, $doc:literal;)*) => {
        /// Every reason for which a request, job or command is refused or fails.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { $(#[doc = $doc] $variant,)* }

        impl Kind {
            /// All kinds, in the order of the table in `docs/errors.md`.
            pub const ALL: &'static [Kind] = &[$(Kind::$variant,)*];

            /// Returns the table row of a kind.
            pub fn info(self) -> KindInfo {
                match self {
                    $(Kind::$variant => KindInfo {
                        name: $name,
                        status: $status,
                        ran: Ran::$ran,
                        retry_after: { let ms: Option<u64> = $retry_ms; ms.map(Duration::from_millis) },
                        meaning: $doc,
                    },)*
                }
            }
        }
    };
}

/// Row of the table of error kinds: the response sent to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindInfo {
    /// Stable machine-readable name.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the work ran; a `Refusal` may have a more precise value.
    pub ran: Ran,
    /// Delay before a retry; `None` if an unchanged request cannot succeed.
    pub retry_after: Option<Duration>,
    /// Meaning of the kind in one sentence.
    pub meaning: &'static str,
}

kinds! {
    BadRequest, "bad_request", 400, NotRun, None, "The request is malformed.";
    KeyMissing, "key_missing", 401, NotRun, None, "The queue is not open to all and no key came with the request.";
    KeyUnknown, "key_unknown", 401, NotRun, None, "The key is malformed, unknown or withdrawn.";
    NotYours, "not_yours", 403, NotRun, None, "The key's team may not use this service or job.";
    NotFound, "not_found", 404, NotRun, None, "No such service, job or address.";
    TooLarge, "too_large", 413, NotRun, None, "The body or the headers exceed their limit.";
    DuplicateRequest, "duplicate_request", 409, Unknown, None, "The request id was used before.";
    IdUnresolved, "id_unresolved", 409, Unknown, Some(1_000), "The issuer of the request id cannot be asked whether it was used.";
    Conflict, "conflict", 409, NotRun, None, "Another change came first; read the current version and try again.";
    CheckFailed, "check_failed", 422, NotRun, None, "The declarations have mistakes.";
    QueueFull, "queue_full", 429, NotRun, Some(1_000), "The queue of this service is at its bound.";
    LimitReached, "limit_reached", 429, NotRun, Some(500), "The team is at its upper limit.";
    DeadlineTooSoon, "deadline_too_soon", 429, NotRun, Some(1_000), "The deadline cannot be met.";
    DeadlinePassed, "deadline_passed", 504, Unknown, None, "No answer came by the deadline.";
    Cancelled, "cancelled", 410, NotRun, None, "The caller or its team cancelled the work.";
    NoUpstream, "no_upstream", 503, NotRun, Some(500), "No upstream of the service can take work.";
    UpstreamBusy, "upstream_busy", 503, NotRun, Some(200), "Every upstream tried refused the work as not run.";
    UpstreamLost, "upstream_lost", 502, Unknown, None, "The connection to the upstream was lost after the request was sent.";
    ZoneOut, "zone_out", 503, NotRun, Some(1_000), "Operators have taken this availability zone out.";
    NoView, "no_view", 503, NotRun, Some(500), "This entry instance has no view of the shared state yet.";
    StaleView, "stale_view", 503, NotRun, Some(1_000), "The view is older than the profile allows.";
    LogUnavailable, "log_unavailable", 503, NotRun, Some(1_000), "The platform's log does not answer.";
    FateUnknown, "fate_unknown", 504, Unknown, Some(1_000), "The record was sent to the log and its fate is not known yet.";
    Stopping, "stopping", 503, NotRun, Some(100), "This entry instance is stopping.";
    JobCannotRun, "job_cannot_run", 422, Ran, None, "The job failed on several instances that run other work well.";
    Internal, "internal", 500, Unknown, None, "An unexpected failure of this entry instance.";
}

/// A refusal or failure to be reported to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: Kind,
    /// Whether the work ran. Invariant: `NotRun` only if no upstream can have started it.
    pub ran: Ran,
    /// Delay before a retry.
    pub retry_after: Option<Duration>,
    /// Human-readable details; never contains a key.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal with the values of the table.
    pub fn new(kind: Kind) -> Refusal {
        let info = kind.info();
        Refusal {
            kind,
            ran: info.ran,
            retry_after: info.retry_after,
            message: info.meaning.to_string(),
        }
    }

    /// Replaces the message.
    pub fn with_message(mut self, message: impl Into<String>) -> Refusal {
        self.message = message.into();
        self
    }

    /// Replaces the value that states whether the work ran.
    pub fn with_ran(mut self, ran: Ran) -> Refusal {
        self.ran = ran;
        self
    }

    /// Replaces the delay before a retry.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }
}
