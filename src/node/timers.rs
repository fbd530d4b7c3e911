//! Periodic work: expiry of lapsed holders, membership changes, proposals for holds, and snapshots.

use super::*;
use crate::record::ExpireLevel;
use rand::{Rng, RngExt};

/// Maximum age of the newest snapshot in the log, in entries.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 10_000;
/// Minimum age of the newest snapshot, in entries, before another one is written; applies while the
/// newest one is within the retained part of the log.
const MIN_SNAPSHOT_AGE_ENTRIES: u64 = 256;
/// Upper bound of the random delay before a snapshot that is not urgent.
const MAX_SNAPSHOT_DELAY: Duration = Duration::from_secs(10);
/// Upper bound of the random delay before a snapshot without which a new instance cannot start.
const MAX_URGENT_SNAPSHOT_DELAY: Duration = Duration::from_secs(2);

/// Time of the next snapshot of this instance, if one is needed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SnapshotTimer {
    due: Option<Time>,
}

impl Node {
    /// Runs the periodic work; call it every 50 ms.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        if !self.has_view() || !self.platform_reachable {
            return;
        }
        self.pacer.prune(now);
        self.expire_lapsed(now);
        self.propose_membership_changes(now);
        for hold in self.holds() {
            self.propose_paced(now, hold);
        }
        self.snapshot_if_due(now);
    }

    fn expire_lapsed(&mut self, now: Time) {
        let longest = self.state().longest_deadline();
        if self.has_mutation(Mutation::NeverExpire) {
            return;
        }
        let at_once = self.has_mutation(Mutation::ExpireAtOnce);
        let others =
            self.replica.state().holders.iter().filter(|(id, _)| **id != self.cfg.incarnation);
        let mut expirations = Vec::new();
        for (incarnation, holder) in others {
            let lapsed = at_once || self.watch.is_lapsed(now, *incarnation);
            let level = match () {
                () if lapsed && holder.gone && self.watch.is_ended(now, *incarnation, longest) => {
                    ExpireLevel::All
                }
                () if lapsed && !holder.expired => ExpireLevel::Borrowed,
                () => continue,
            };
            expirations.push(Record::Expire {
                holder: holder.id.clone(),
                holder_incarnation: *incarnation,
                renewed_at: holder.renewed_at,
                level,
            });
        }
        expirations.into_iter().for_each(|record| self.propose_paced(now, record));
    }

    fn snapshot_if_due(&mut self, now: Time) {
        let Some(delay) = self.snapshot_delay() else {
            self.snapshot.due = None;
            return;
        };
        let random = delay.mul_f64(self.rng.random_range(0.0..1.0));
        let due = *self.snapshot.due.get_or_insert(now + random);
        if now < due || self.outbox.queued() > 0 || self.has_mutation(Mutation::NoSnapshots) {
            return;
        }
        self.write_snapshot();
        // The written parts, here or at another instance, take a while to be read back. If none
        // completes by then, the snapshot is due again.
        self.snapshot.due = Some(now + MAX_SNAPSHOT_DELAY);
    }

    /// Returns the upper bound of the delay for the snapshot that is needed; `None` if none is
    /// needed.
    fn snapshot_delay(&self) -> Option<Duration> {
        let (first, next) = (self.replica.first_offset(), self.state().next());
        let newest = self.replica.newest_snapshot();
        if newest.unwrap_or(0) < first {
            return Some(MAX_URGENT_SNAPSHOT_DELAY);
        }
        let age = next.saturating_sub(newest.unwrap_or(0));
        let third =
            if first > 0 { (next - first.min(next)) / 3 } else { SNAPSHOT_INTERVAL_ENTRIES };
        let max_age = SNAPSHOT_INTERVAL_ENTRIES.min(third.max(MIN_SNAPSHOT_AGE_ENTRIES));
        (age >= max_age).then_some(MAX_SNAPSHOT_DELAY)
    }

    fn write_snapshot(&mut self) {
        let id = self.rng.next_u64();
        let Ok(parts) = snapshot::split(self.state(), id) else { return };
        for part in parts {
            self.outbox.propose(part);
        }
    }
}
