//! Request ids that this entry instance issued, and claim ids for request ids chosen by callers.

use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::record::ClaimId;
use sha2::{Digest, Sha256};
use std::collections::HashMap;

/// Prefix of issued ids; the digit is the version of the format.
pub const ISSUED_PREFIX: &str = "jh1.";
/// Maximum length of a request id in bytes.
pub const MAX_REQUEST_ID_LEN: usize = 128;
/// Number of issued ids that remain usable. An older id is refused as if it had been used, so that
/// the table of used ids needs at most about 8 MB of memory.
pub const MAX_USABLE_IDS: u64 = 200_000;

/// An id of the form `jh1.<entry>.<incarnation>.<seq>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedId {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub seq: u64,
}

impl IssuedId {
    /// Parses an issued id; `None` for any other text.
    pub fn parse(text: &str) -> Option<IssuedId> {
        let fields = text.strip_prefix(ISSUED_PREFIX)?;
        let mut parts = fields.rsplitn(3, '.');
        let seq = parts.next()?.parse().ok()?;
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let entry = parts.next().filter(|entry| !entry.is_empty())?;
        let id = IssuedId { entry: entry.into(), incarnation, seq };
        // Only the canonical form is accepted; `+1` or `01` would be aliases of the same id.
        (id.to_string() == text).then_some(id)
    }
}

impl std::fmt::Display for IssuedId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{ISSUED_PREFIX}{}.{:016x}.{}", self.entry, self.incarnation, self.seq)
    }
}

/// The ids issued by one incarnation of an entry instance.
#[derive(Clone, Debug)]
pub struct IssuedIdTable {
    entry: EntryId,
    incarnation: Incarnation,
    /// Sequence number of the next id.
    next: u64,
    /// Smallest sequence number that is still usable.
    oldest_usable: u64,
    /// Used ids and whether their work ran, as far as is known. Invariant: all keys are in
    /// `oldest_usable..next`.
    used: HashMap<u64, Ran>,
}

impl IssuedIdTable {
    /// Creates an empty table.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> IssuedIdTable {
        IssuedIdTable { entry, incarnation, next: 1, oldest_usable: 1, used: HashMap::new() }
    }

    /// Issues one id.
    pub fn issue(&mut self) -> String {
        let id =
            IssuedId { entry: self.entry.clone(), incarnation: self.incarnation, seq: self.next };
        self.next += 1;
        if self.next - self.oldest_usable > MAX_USABLE_IDS {
            self.used.remove(&self.oldest_usable);
            self.oldest_usable += 1;
        }
        id.to_string()
    }

    /// Whether this incarnation issued the id.
    pub fn is_own(&self, id: &IssuedId) -> bool {
        id.entry == self.entry && id.incarnation == self.incarnation
    }

    /// Marks an id as used; refuses an id that is already used, too old, or was never issued.
    pub fn use_id(&mut self, id: &IssuedId) -> Result<(), Refusal> {
        if !self.is_own(id) {
            return Err(Refusal::new(Kind::IdUnresolved));
        }
        if id.seq >= self.next || id.seq == 0 {
            let refusal = Refusal::new(Kind::BadRequest);
            return Err(refusal.with_message("this request id was never issued"));
        }
        if id.seq < self.oldest_usable {
            return Err(Refusal::new(Kind::DuplicateRequest));
        }
        match self.used.get(&id.seq) {
            Some(ran) => Err(Refusal::new(Kind::DuplicateRequest).with_ran(*ran)),
            None => {
                self.used.insert(id.seq, Ran::Unknown);
                Ok(())
            }
        }
    }

    /// Records whether the work under a used id ran.
    pub fn record_ran(&mut self, id: &IssuedId, ran: Ran) {
        if self.is_own(id)
            && let Some(entry_ran) = self.used.get_mut(&id.seq)
        {
            *entry_ran = ran;
        }
    }
}

/// Returns the claim id of a request id chosen by a caller. The same request id of two teams gives
/// different claim ids.
pub fn claim_id(team: &TeamId, id: &str) -> ClaimId {
    let mut hash = Sha256::new();
    hash.update(team.as_bytes());
    hash.update([0]);
    hash.update(id.as_bytes());
    let digest = hash.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    ClaimId::from_be_bytes(prefix)
}
