//! Proposals that any instance may make: a random first delay lets one of them come first, and a
//! proposal that had no effect is made again later.

use crate::ids::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Longest random delay before the first proposal.
const FIRST_DELAY: Duration = Duration::from_millis(500);
/// Time until the same proposal is made again.
const AGAIN_AFTER: Duration = Duration::from_secs(5);
/// A subject that was not due for this long starts anew.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// When each subject may be proposed next.
#[derive(Clone, Debug, Default)]
pub struct ProposalPacer {
    due: HashMap<String, Due>,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    at: Time,
    asked: Time,
}

impl ProposalPacer {
    /// Starts without subjects.
    pub fn new() -> ProposalPacer {
        ProposalPacer::default()
    }

    /// Whether the subject, which needs a proposal now, may be proposed now.
    pub fn is_due(&mut self, now: Time, rng: &mut ChaCha8Rng, subject: String) -> bool {
        let first = || {
            let delay = FIRST_DELAY.as_millis() as u64;
            Due { at: now + Duration::from_millis(rng.random_range(0..=delay)), asked: now }
        };
        let due = self.due.entry(subject).or_insert_with(first);
        due.asked = now;
        if now < due.at {
            return false;
        }
        due.at = now + AGAIN_AFTER;
        true
    }

    /// Forgets subjects that need no proposal any more.
    pub fn prune(&mut self, now: Time) {
        self.due.retain(|_, due| now.saturating_sub(due.asked) < FORGET_AFTER);
    }
}
