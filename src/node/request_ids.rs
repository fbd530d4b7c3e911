//! Issued request ids and claims of callers' own ids.

use super::*;
use crate::reqid::{ISSUED_PREFIX, IssuedId, MAX_REQUEST_ID_LEN, claim_id};

/// Claims in one record.
const MAX_CLAIMS_PER_RECORD: usize = 1_000;
/// Claims whose fate is kept here; older ones are in the state.
const MAX_LOCAL_CLAIMS: usize = 50_000;

impl Node {
    /// Issues request ids.
    pub fn issue_ids(&mut self, count: usize) -> Vec<String> {
        (0..count).map(|_| self.issued.issue()).collect()
    }

    /// Marks an id as used that this instance issued; asked by a peer. `Run` or `Refuse`.
    pub fn use_id(&mut self, now: Time, id: &str) -> IdStep {
        self.advance(now);
        let Some(id) = IssuedId::parse(id) else {
            return IdStep::Refuse(Refusal::new(Kind::BadRequest));
        };
        self.use_issued(&id)
    }

    fn use_issued(&mut self, id: &IssuedId) -> IdStep {
        match self.issued.use_id(id) {
            Ok(()) => IdStep::Run,
            Err(_) if self.mutated(Mutation::IssuedIdsReusable) => IdStep::Run,
            Err(refusal) => IdStep::Refuse(refusal),
        }
    }

    /// What must happen before a call may run because of its id.
    pub fn begin_id(&mut self, now: Time, team: &TeamId, call: &Call) -> IdStep {
        self.advance(now);
        let Some(id) = call.request_id.as_deref().filter(|_| !call.idempotent) else {
            return IdStep::Run;
        };
        if id.is_empty() || id.len() > MAX_REQUEST_ID_LEN {
            return IdStep::Refuse(Refusal::new(Kind::BadRequest));
        }
        if id.starts_with(ISSUED_PREFIX) { self.begin_issued(id) } else { self.begin_own(team, id) }
    }

    fn begin_issued(&mut self, id: &str) -> IdStep {
        let Some(id) = IssuedId::parse(id) else {
            return IdStep::Refuse(Refusal::new(Kind::BadRequest));
        };
        if self.issued.is_own(&id) {
            return self.use_issued(&id);
        }
        let issuer = self.state().holders.get(&id.incarnation).filter(|h| h.id == id.entry);
        match issuer {
            Some(issuer) => IdStep::AskIssuer { peer_addr: issuer.addresses.peer_addr.clone() },
            None => IdStep::Refuse(Refusal::new(Kind::IdUnresolved)),
        }
    }

    fn begin_own(&mut self, team: &TeamId, id: &str) -> IdStep {
        let claim = claim_id(team, id);
        if self.is_claimed(claim) {
            return IdStep::Refuse(Refusal::new(Kind::DuplicateRequest));
        }
        if !self.platform_reached || !self.has_view() {
            return IdStep::Refuse(Refusal::new(Kind::LogUnavailable));
        }
        self.claims.insert(claim, Fate::Pending);
        self.new_claims.push(claim);
        self.forget_claims();
        IdStep::WaitClaim(claim)
    }

    /// A claim that the log rejected as a whole did not count and may be made again.
    fn is_claimed(&self, claim: ClaimId) -> bool {
        match self.claims.get(&claim) {
            Some(Fate::Rejected(_, Reject::NotLive)) | None => {
                self.state().claims.winner(claim).is_some()
            }
            Some(_) => true,
        }
    }

    /// Fate of a claim; run the request only once and only if it is `Applied`.
    pub fn claim_fate(&self, claim: ClaimId) -> Fate {
        self.claims.get(&claim).cloned().unwrap_or(Fate::Unknown)
    }

    /// Takes note of how the work under an id ended.
    pub fn end_id(&mut self, now: Time, id: &str, ran: Ran) {
        self.advance(now);
        if let Some(id) = IssuedId::parse(id) {
            self.issued.end(&id, ran);
        }
    }

    /// Puts new claims in the queue for the next batch.
    pub(super) fn queue_claims(&mut self) {
        while !self.new_claims.is_empty() {
            let count = self.new_claims.len().min(MAX_CLAIMS_PER_RECORD);
            let ids: Vec<ClaimId> = self.new_claims.drain(..count).collect();
            let ticket = self.outbox.propose(Record::Claim { ids: ids.clone() });
            if let Fate::Rejected(..) = self.outbox.fate(ticket) {
                let never_sent = Fate::Rejected(0, Reject::NotLive);
                self.claims.extend(ids.into_iter().map(|id| (id, never_sent.clone())));
            }
        }
    }

    /// The batch with these claims was read: for each id the first claim won.
    pub(super) fn settle_claims(&mut self, offset: Offset, ids: &[ClaimId], verdict: &Verdict) {
        for id in ids {
            let won = self.state().claims.winner(*id) == Some(self.cfg.incarnation);
            let fate = match verdict {
                Verdict::Rejected(reject) => Fate::Rejected(offset, reject.clone()),
                _ if won || self.mutated(Mutation::ClaimAlwaysWins) => Fate::Applied(offset),
                _ => Fate::Rejected(offset, Reject::ClaimTaken),
            };
            self.claims.insert(*id, fate);
        }
    }

    fn forget_claims(&mut self) {
        if self.claims.len() <= MAX_LOCAL_CLAIMS {
            return;
        }
        let mut left = MAX_LOCAL_CLAIMS / 4;
        self.claims.retain(|_, fate| {
            let drop = left > 0 && *fate != Fate::Pending;
            left -= usize::from(drop);
            !drop
        });
    }
}
