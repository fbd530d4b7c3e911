//! Ensures that a non-idempotent request runs at most once under its request id.

use crate::entry::Entry;
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::node::{AdmittedCall, Call, ProposalStatus, RequestIdStep};
use crate::record::ClaimId;
use crate::state::RejectReason;
use std::sync::Arc;

/// A request id in use; on drop, records whether the work ran.
pub struct RequestIdGuard {
    entry: Arc<Entry>,
    id: Option<String>,
    /// Whether the work ran, as far as is known.
    pub ran: Ran,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            let now = self.entry.now();
            self.entry.node.lock().finish_request_id(now, id, self.ran);
        }
    }
}

/// Reserves the request id, so that no other request runs under it.
///
/// # Errors
///
/// Returns a refusal if the id cannot be reserved, in which case this request does not run. Its
/// `ran` applies to an earlier use of the id.
pub async fn acquire(
    entry: &Arc<Entry>,
    call: &Call,
    admitted: &AdmittedCall,
) -> Result<RequestIdGuard, Refusal> {
    let step = entry.node.lock().begin_request_id(entry.now(), &admitted.team, call);
    match step {
        RequestIdStep::Run => {}
        RequestIdStep::AskIssuer { peer_addr } => ask_issuer(entry, &peer_addr, call).await?,
        RequestIdStep::WaitClaim(claim) => wait_for_claim(entry, claim, admitted.deadline).await?,
        RequestIdStep::Refuse(refusal) => return Err(refusal),
    }
    // An idempotent request may be repeated under the same id.
    let id = call.request_id.clone().filter(|_| !call.idempotent);
    Ok(RequestIdGuard { entry: entry.clone(), id, ran: Ran::NotRun })
}

async fn ask_issuer(entry: &Entry, peer_addr: &str, call: &Call) -> Result<(), Refusal> {
    let id = call.request_id.as_deref().unwrap_or_default();
    match entry.peers.use_id(peer_addr, id).await {
        Ok(used) => used.refusal().map_or(Ok(()), Err),
        Err(_) => Err(Refusal::new(Kind::IdUnresolved)),
    }
}

async fn wait_for_claim(entry: &Entry, claim: ClaimId, until: Time) -> Result<(), Refusal> {
    entry.append_notify.notify_one();
    match entry.wait_while_pending(|node| node.claim_status(claim), until).await {
        ProposalStatus::Applied(_) => Ok(()),
        ProposalStatus::Rejected(_, RejectReason::DuplicateClaim) => {
            Err(Refusal::new(Kind::DuplicateRequest))
        }
        ProposalStatus::Rejected(..) => Err(Refusal::new(Kind::LogUnavailable)),
        // The claim may still be accepted, but this request does not run.
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            Err(Refusal::new(Kind::FateUnknown).with_ran(Ran::NotRun))
        }
    }
}
