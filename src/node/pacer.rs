//! Pacing of proposals that every instance may make. A random initial delay usually lets one
//! instance propose first; a proposal that had no effect is repeated later.

use crate::ids::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound of the random delay before the first proposal of a subject.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(500);
/// Delay before the same proposal is repeated.
const REPEAT_DELAY: Duration = Duration::from_secs(5);
/// Time after which a subject that needed no proposal is dropped; it then starts again with a
/// random delay.
const IDLE_RETENTION: Duration = Duration::from_secs(30);

/// Next proposal time of each subject.
#[derive(Clone, Debug, Default)]
pub struct ProposalPacer {
    schedules: HashMap<String, Schedule>,
}

#[derive(Clone, Copy, Debug)]
struct Schedule {
    next_at: Time,
    last_asked: Time,
}

impl ProposalPacer {
    pub fn new() -> ProposalPacer {
        ProposalPacer::default()
    }

    /// Returns whether a subject that currently needs a proposal may be proposed now.
    pub fn is_due(&mut self, now: Time, rng: &mut ChaCha8Rng, subject: String) -> bool {
        let first = || {
            let delay = MAX_FIRST_DELAY.as_millis() as u64;
            Schedule {
                next_at: now + Duration::from_millis(rng.random_range(0..=delay)),
                last_asked: now,
            }
        };
        let schedule = self.schedules.entry(subject).or_insert_with(first);
        schedule.last_asked = now;
        if now < schedule.next_at {
            return false;
        }
        schedule.next_at = now + REPEAT_DELAY;
        true
    }

    /// Drops subjects that no longer need a proposal.
    pub fn prune(&mut self, now: Time) {
        self.schedules
            .retain(|_, schedule| now.saturating_sub(schedule.last_asked) < IDLE_RETENTION);
    }
}
