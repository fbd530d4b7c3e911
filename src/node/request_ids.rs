//! Issued request ids and claims of callers' own ids.

use super::*;
use crate::issued_ids::{ISSUED_PREFIX, IssuedId, MAX_REQUEST_ID_LEN, claim_id};

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
    pub fn use_id(&mut self, now: Time, id: &str) -> RequestIdStep {
        self.advance(now);
        let Some(id) = IssuedId::parse(id) else {
            return RequestIdStep::Refuse(Refusal::new(Kind::BadRequest));
        };
        self.use_issued(&id)
    }

    fn use_issued(&mut self, id: &IssuedId) -> RequestIdStep {
        match self.issued.use_id(id) {
            Ok(()) => RequestIdStep::Run,
            Err(_) if self.mutated(Mutation::IssuedIdsReusable) => RequestIdStep::Run,
            Err(refusal) => RequestIdStep::Refuse(refusal),
        }
    }

    /// What must happen before a call may run because of its id.
    pub fn begin_request_id(&mut self, now: Time, team: &TeamId, call: &Call) -> RequestIdStep {
        self.advance(now);
        let Some(id) = call.request_id.as_deref().filter(|_| !call.idempotent) else {
            return RequestIdStep::Run;
        };
        if id.is_empty() || id.len() > MAX_REQUEST_ID_LEN {
            return RequestIdStep::Refuse(Refusal::new(Kind::BadRequest));
        }
        if id.starts_with(ISSUED_PREFIX) { self.begin_issued(id) } else { self.begin_own(team, id) }
    }

    fn begin_issued(&mut self, id: &str) -> RequestIdStep {
        let Some(id) = IssuedId::parse(id) else {
            return RequestIdStep::Refuse(Refusal::new(Kind::BadRequest));
        };
        if self.issued.is_own(&id) {
            return self.use_issued(&id);
        }
        let issuer = self.state().holders.get(&id.incarnation).filter(|h| h.id == id.entry);
        match issuer {
            Some(issuer) => {
                RequestIdStep::AskIssuer { peer_addr: issuer.addresses.peer_addr.clone() }
            }
            None => RequestIdStep::Refuse(Refusal::new(Kind::IdUnresolved)),
        }
    }

    fn begin_own(&mut self, team: &TeamId, id: &str) -> RequestIdStep {
        let claim = claim_id(team, id);
        if self.is_claimed(claim) {
            return RequestIdStep::Refuse(Refusal::new(Kind::DuplicateRequest));
        }
        if !self.platform_reachable || !self.has_view() {
            return RequestIdStep::Refuse(Refusal::new(Kind::LogUnavailable));
        }
        self.claims.insert(claim, ProposalStatus::Pending);
        self.new_claims.push(claim);
        self.forget_claims();
        RequestIdStep::WaitClaim(claim)
    }

    /// A claim that the log rejected as a whole did not count and may be made again.
    fn is_claimed(&self, claim: ClaimId) -> bool {
        match self.claims.get(&claim) {
            Some(ProposalStatus::Rejected(_, RejectReason::WriterNotLive)) | None => {
                self.state().claims.winner(claim).is_some()
            }
            Some(_) => true,
        }
    }

    /// Fate of a claim; run the request only once and only if it is `Applied`.
    pub fn claim_status(&self, claim: ClaimId) -> ProposalStatus {
        self.claims.get(&claim).cloned().unwrap_or(ProposalStatus::Unknown)
    }

    /// Takes note of how the work under an id ended.
    pub fn finish_request_id(&mut self, now: Time, id: &str, ran: Ran) {
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
            if let ProposalStatus::Rejected(..) = self.outbox.status(ticket) {
                let never_sent = ProposalStatus::Rejected(0, RejectReason::WriterNotLive);
                self.claims.extend(ids.into_iter().map(|id| (id, never_sent.clone())));
            }
        }
    }

    /// The batch with these claims was read: for each id the first claim won.
    pub(super) fn settle_claims(
        &mut self,
        offset: Offset,
        ids: &[ClaimId],
        outcome: &ApplyOutcome,
    ) {
        for id in ids {
            let won = self.state().claims.winner(*id) == Some(self.cfg.incarnation);
            let fate = match outcome {
                ApplyOutcome::Rejected(reject) => ProposalStatus::Rejected(offset, reject.clone()),
                _ if won || self.mutated(Mutation::ClaimAlwaysWins) => {
                    ProposalStatus::Applied(offset)
                }
                _ => ProposalStatus::Rejected(offset, RejectReason::DuplicateClaim),
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
            let drop = left > 0 && *fate != ProposalStatus::Pending;
            left -= usize::from(drop);
            !drop
        });
    }
}
