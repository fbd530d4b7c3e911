//! Request ids chosen by callers that were claimed. The first claim of an id wins.

use crate::ids::Incarnation;
use crate::record::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Maximum number of claims kept: 15 minutes at 200 claims per second, in about 12 MB.
pub const MAX_CLAIMS: usize = 200_000;

/// The last `MAX_CLAIMS` claims.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<(ClaimId, Incarnation)>", into = "Vec<(ClaimId, Incarnation)>")]
pub struct Claims {
    winners: HashMap<ClaimId, Incarnation>,
    /// Invariant: the keys of `winners`, oldest first.
    order: VecDeque<ClaimId>,
}

impl Claims {
    /// Claims an id for an incarnation. Returns false if the id is already claimed.
    pub fn claim(&mut self, id: ClaimId, by: Incarnation) -> bool {
        if self.winners.contains_key(&id) {
            return false;
        }
        self.winners.insert(id, by);
        self.order.push_back(id);
        if self.order.len() > MAX_CLAIMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.winners.remove(&oldest);
        }
        true
    }

    /// Returns the incarnation that claimed the id first.
    pub fn winner(&self, id: ClaimId) -> Option<Incarnation> {
        self.winners.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl From<Vec<(ClaimId, Incarnation)>> for Claims {
    fn from(pairs: Vec<(ClaimId, Incarnation)>) -> Claims {
        let mut claims = Claims::default();
        for (id, by) in pairs {
            claims.claim(id, by);
        }
        claims
    }
}

impl From<Claims> for Vec<(ClaimId, Incarnation)> {
    fn from(claims: Claims) -> Vec<(ClaimId, Incarnation)> {
        claims.order.iter().map(|id| (*id, claims.winners[id])).collect()
    }
}
