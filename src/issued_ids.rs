//! Request ids: those that this instance issued and whether they were used, and claims of callers'
//! own ids.

use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::record::ClaimId;
use sha2::{Digest, Sha256};
use std::collections::HashMap;

/// Prefix of issued ids; the digit is the version of their shape.
pub const ISSUED_PREFIX: &str = "jh1.";
/// Longest request id in bytes.
pub const MAX_REQUEST_ID_LEN: usize = 128;
/// Issued ids that can still be used. An older one is refused as if it had been used, so that
/// the memory of used ids stays within about 8 MB.
pub const MAX_USABLE_IDS: u64 = 200_000;

/// An id of the shape `jh1.<entry>.<incarnation>.<seq>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedId {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub seq: u64,
}

impl IssuedId {
    /// Parses an issued id; `None` for any other text.
    pub fn parse(text: &str) -> Option<IssuedId> {
        let rest = text.strip_prefix(ISSUED_PREFIX)?;
        let mut parts = rest.rsplitn(3, '.');
        let seq = parts.next()?.parse().ok()?;
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let entry = parts.next().filter(|entry| !entry.is_empty())?;
        let id = IssuedId { entry: entry.into(), incarnation, seq };
        // Only the one spelling that is issued counts; `+1` or `01` would be second names of one id.
        (id.to_string() == text).then_some(id)
    }
}

impl std::fmt::Display for IssuedId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{ISSUED_PREFIX}{}.{:016x}.{}", self.entry, self.incarnation, self.seq)
    }
}

/// The ids that one life of an entry instance issued.
#[derive(Clone, Debug)]
pub struct IssuedIdTable {
    entry: EntryId,
    incarnation: Incarnation,
    /// Sequence of the next id.
    next: u64,
    /// Ids below this one cannot be used any more.
    floor: u64,
    /// Used ids and whether their work ran, as far as known. Invariant: all keys are in `floor..next`.
    used: HashMap<u64, Ran>,
}

impl IssuedIdTable {
    /// Starts with nothing issued.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> IssuedIdTable {
        IssuedIdTable { entry, incarnation, next: 1, floor: 1, used: HashMap::new() }
    }

    /// Issues one id.
    pub fn issue(&mut self) -> String {
        let id =
            IssuedId { entry: self.entry.clone(), incarnation: self.incarnation, seq: self.next };
        self.next += 1;
        if self.next - self.floor > MAX_USABLE_IDS {
            self.used.remove(&self.floor);
            self.floor += 1;
        }
        id.to_string()
    }

    /// Whether this life issued the id.
    pub fn is_own(&self, id: &IssuedId) -> bool {
        id.entry == self.entry && id.incarnation == self.incarnation
    }

    /// Marks an id as used; refuses one that was used, is too old, or was never issued.
    pub fn use_id(&mut self, id: &IssuedId) -> Result<(), Refusal> {
        if !self.is_own(id) {
            return Err(Refusal::new(Kind::IdUnresolved));
        }
        if id.seq >= self.next || id.seq == 0 {
            let refusal = Refusal::new(Kind::BadRequest);
            return Err(refusal.with_message("this request id was never issued"));
        }
        if id.seq < self.floor {
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

    /// Takes note of how the work under a used id ended.
    pub fn end(&mut self, id: &IssuedId, ran: Ran) {
        if self.is_own(id)
            && let Some(known) = self.used.get_mut(&id.seq)
        {
            *known = ran;
        }
    }
}

/// The claim that stands for a caller's own id. Teams do not share ids.
pub fn claim_id(team: &TeamId, id: &str) -> ClaimId {
    let mut hash = Sha256::new();
    hash.update(team.as_bytes());
    hash.update([0]);
    hash.update(id.as_bytes());
    let digest = hash.finalize();
    let mut first = [0; 16];
    first.copy_from_slice(&digest[..16]);
    ClaimId::from_be_bytes(first)
}
