//! Callers' own request ids that were used; the first claim of an id wins.

use crate::ids::Incarnation;
use crate::record::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Claims kept; at 200 a second this is a quarter of an hour, in about 12 MB.
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
    /// Claims an id for an incarnation; false when it was claimed before.
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

    /// Which incarnation claimed the id first.
    pub fn winner(&self, id: ClaimId) -> Option<Incarnation> {
        self.winners.get(&id).copied()
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no claim is kept.
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
