//! Type aliases for ids, log offsets and time.

use std::sync::Arc;
use std::time::Duration;

/// Name of a team; validated by `config` (lower-case letters, digits and `-`, at most 40 bytes).
pub type TeamId = Arc<str>;
/// Name of a profile; same shape as a team name.
pub type ProfileId = Arc<str>;
/// Name of a service; same shape as a team name.
pub type ServiceId = Arc<str>;
/// Name of a pool of instances; same shape as a team name.
pub type PoolId = Arc<str>;
/// Name of an availability zone; same shape as a team name.
pub type ZoneId = Arc<str>;
/// Name of a rack, as the platform's list gives it.
pub type RackId = Arc<str>;
/// Name of an upstream instance, as the platform's list gives it.
pub type InstanceId = Arc<str>;
/// Name of an entry instance, from its settings.
pub type EntryId = Arc<str>;
/// Public part of a key; the secret part is kept only as a hash.
pub type KeyId = Arc<str>;
/// Id of a job, unique in the log.
pub type JobId = Arc<str>;
/// Id of an operator's command; a repeat with the same id changes nothing.
pub type OpId = Arc<str>;

/// Drawn at random when an entry instance starts; tells two lives of one `EntryId` apart.
pub type Incarnation = u64;
/// Position of an entry in the platform's log, from 0.
pub type Offset = u64;
/// Which start of a job this is, from 1.
pub type Attempt = u32;
/// Monotonic time of one process since an origin of its own; never compared between processes.
pub type Time = Duration;
