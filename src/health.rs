//! Health of upstreams as seen by one entry instance.

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A complete answer, or its head; `failed` for a status of 500 and above.
    Answered { failed: bool },
    /// The upstream refused the work and will not run it.
    NotRun,
    /// No connection came about; no byte was written.
    ConnectFailed,
    /// The connection was lost after a byte may have been written and before the answer's head.
    LostBeforeHead,
    /// The answer's head came and its body was cut.
    LostInBody,
    /// The answer's head did not come in time; the work may run.
    TimedOut,
}
