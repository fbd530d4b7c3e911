//! Request ids: ids issued by this instance, and claims of ids chosen by callers.

use super::*;
use crate::issued_ids::{ISSUED_PREFIX, IssuedId, MAX_REQUEST_ID_LEN, claim_id};

const MAX_CLAIMS_PER_RECORD: usize = 1_000;
/// Maximum number of claims whose status is kept here; older ones are still found in the state.
const MAX_LOCAL_CLAIMS: usize = 50_000;

impl Node {
    pub fn issue_ids(&mut self, count: usize) -> Vec<String> {
        (0..count).map(|_| self.issued.issue()).collect()
    }

    /// Marks an id issued by this instance as used, on behalf of a peer. Returns `Run` or `Refuse`.
    pub fn use_id(&mut self, now: Time, id: &str) -> RequestIdStep {
        self.advance_clock(now);
        let Some(id) = IssuedId::parse(id) else {
            return RequestIdStep::Refuse(Refusal::new(Kind::BadRequest));
        };
        self.use_issued(&id)
    }

    fn use_issued(&mut self, id: &IssuedId) -> RequestIdStep {
        match self.issued.use_id(id) {
            Ok(()) => RequestIdStep::Run,
            Err(_) if self.has_mutation(Mutation::IssuedIdsReusable) => RequestIdStep::Run,
            Err(refusal) => RequestIdStep::Refuse(refusal),
        }
    }

    /// Returns the step that the request id of a call requires before the call may run.
    pub fn begin_request_id(&mut self, now: Time, team: &TeamId, call: &Call) -> RequestIdStep {
        self.advance_clock(now);
        let Some(id) = call.request_id.as_deref().filter(|_| !call.idempotent) else {
            return RequestIdStep::Run;
        };
        if id.is_empty() || id.len() > MAX_REQUEST_ID_LEN {
            return RequestIdStep::Refuse(Refusal::new(Kind::BadRequest));
        }
        if id.starts_with(ISSUED_PREFIX) {
            self.begin_issued(id)
        } else {
            self.begin_caller_id(team, id)
        }
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

    fn begin_caller_id(&mut self, team: &TeamId, id: &str) -> RequestIdStep {
        let claim = claim_id(team, id);
        if self.is_claimed(claim) {
            return RequestIdStep::Refuse(Refusal::new(Kind::DuplicateRequest));
        }
        if !self.platform_reachable || !self.has_view() {
            return RequestIdStep::Refuse(Refusal::new(Kind::LogUnavailable));
        }
        self.claims.insert(claim, ProposalStatus::Pending);
        self.unsent_claims.push(claim);
        self.evict_claims();
        RequestIdStep::WaitClaim(claim)
    }

    /// Whether an id is already claimed. A claim whose batch was rejected because this instance had
    /// no lease does not count and may be repeated.
    fn is_claimed(&self, claim: ClaimId) -> bool {
        match self.claims.get(&claim) {
            Some(ProposalStatus::Rejected(_, RejectReason::WriterNotLive)) | None => {
                self.state().claims.winner(claim).is_some()
            }
            Some(_) => true,
        }
    }

    /// Returns the status of a claim. The caller runs the request once, and only if the status is
    /// `Applied`.
    pub fn claim_status(&self, claim: ClaimId) -> ProposalStatus {
        self.claims.get(&claim).cloned().unwrap_or(ProposalStatus::Unknown)
    }

    /// Records how the work under an issued id ended.
    pub fn finish_request_id(&mut self, now: Time, id: &str, ran: Ran) {
        self.advance_clock(now);
        if let Some(id) = IssuedId::parse(id) {
            self.issued.record_ran(&id, ran);
        }
    }

    /// Queues new claims for the next batch.
    pub(super) fn queue_claims(&mut self) {
        while !self.unsent_claims.is_empty() {
            let count = self.unsent_claims.len().min(MAX_CLAIMS_PER_RECORD);
            let ids: Vec<ClaimId> = self.unsent_claims.drain(..count).collect();
            let ticket = self.outbox.propose(Record::Claim { ids: ids.clone() });
            if let ProposalStatus::Rejected(..) = self.outbox.status(ticket) {
                let never_sent = ProposalStatus::Rejected(0, RejectReason::WriterNotLive);
                self.claims.extend(ids.into_iter().map(|id| (id, never_sent.clone())));
            }
        }
    }

    /// Sets the status of claims whose batch was read from the log. For each id the first claim in
    /// the log wins.
    pub(super) fn settle_claims(
        &mut self,
        offset: Offset,
        ids: &[ClaimId],
        outcome: &ApplyOutcome,
    ) {
        for id in ids {
            let won = self.state().claims.winner(*id) == Some(self.cfg.incarnation);
            let status = match outcome {
                ApplyOutcome::Rejected(reject) => ProposalStatus::Rejected(offset, reject.clone()),
                _ if won || self.has_mutation(Mutation::ClaimAlwaysWins) => {
                    ProposalStatus::Applied(offset)
                }
                _ => ProposalStatus::Rejected(offset, RejectReason::DuplicateClaim),
            };
            self.claims.insert(*id, status);
        }
    }

    fn evict_claims(&mut self) {
        if self.claims.len() <= MAX_LOCAL_CLAIMS {
            return;
        }
        let mut to_evict = MAX_LOCAL_CLAIMS / 4;
        self.claims.retain(|_, status| {
            let evict = to_evict > 0 && *status != ProposalStatus::Pending;
            to_evict -= usize::from(evict);
            !evict
        });
    }
}
