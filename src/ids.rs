//! Type aliases for ids, log offsets and time.

use std::sync::Arc;
use std::time::Duration;

/// Name of a team; validated by `config` (lower-case letters, digits and `-`, at most 40 bytes).
pub type TeamId = Arc<str>;
/// Name of a profile; same format as a team name.
pub type ProfileId = Arc<str>;
/// Name of a service; same format as a team name.
pub type ServiceId = Arc<str>;
/// Name of a pool of instances; same format as a team name.
pub type PoolId = Arc<str>;
/// Name of an availability zone; same format as a team name.
pub type ZoneId = Arc<str>;
/// Name of a rack from the platform's list.
pub type RackId = Arc<str>;
/// Name of an upstream instance from the platform's list.
pub type InstanceId = Arc<str>;
/// Name of an entry instance, from its settings.
pub type EntryId = Arc<str>;
/// Public part of a key; the secret part is kept only as a hash.
pub type KeyId = Arc<str>;
/// Id of a job, unique in the log.
pub type JobId = Arc<str>;
/// Id of an operator command; a repeat with the same id has no effect.
pub type OpId = Arc<str>;

/// Random id of one run of an entry instance's process; distinguishes successive runs with the same
/// `EntryId`.
pub type Incarnation = u64;
/// Zero-based position of an entry in the platform's log.
pub type Offset = u64;
/// Number of a job's start, counted from 1.
pub type Attempt = u32;
/// Monotonic time since an arbitrary origin of one process; never compared between processes.
pub type Time = Duration;
