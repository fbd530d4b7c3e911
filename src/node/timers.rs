//! What is due as time passes: expiry of lapsed holders, membership, holds for the log, snapshots.

use super::*;
use crate::record::ExpireLevel;
use rand::{Rng, RngExt};

/// A snapshot is written when the newest one in the log is this many entries old.
const SNAPSHOT_INTERVAL: u64 = 10_000;
/// Least age in entries of the newest snapshot while it lies within the kept part of the log.
const SNAPSHOT_MIN_AGE: u64 = 256;
/// Longest random delay before a snapshot that nobody waits for.
const SNAPSHOT_DELAY: Duration = Duration::from_secs(10);
/// Longest random delay before a snapshot without which a fresh instance cannot start.
const URGENT_SNAPSHOT_DELAY: Duration = Duration::from_secs(2);

/// When this instance writes a snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SnapshotTimer {
    due: Option<Time>,
}

impl Node {
    /// Does what is due; call it every 50 ms.
    pub fn tick(&mut self, now: Time) {
        self.advance(now);
        if !self.has_view() || !self.platform_reachable {
            return;
        }
        self.pacer.prune(now);
        self.expire_lapsed(now);
        self.propose_members(now);
        for hold in self.holds() {
            self.propose_paced(now, hold);
        }
        self.snapshot_if_due(now);
    }

    fn expire_lapsed(&mut self, now: Time) {
        let longest = self.state().longest_deadline();
        if self.mutated(Mutation::NeverExpire) {
            return;
        }
        let at_once = self.mutated(Mutation::ExpireAtOnce);
        let others =
            self.replica.state().holders.iter().filter(|(id, _)| **id != self.cfg.incarnation);
        let mut due = Vec::new();
        for (incarnation, holder) in others {
            let lapsed = at_once || self.watch.is_lapsed(now, *incarnation);
            let level = match () {
                () if lapsed && holder.gone && self.watch.is_ended(now, *incarnation, longest) => {
                    ExpireLevel::All
                }
                () if lapsed && !holder.expired => ExpireLevel::Borrowed,
                () => continue,
            };
            due.push(Record::Expire {
                holder: holder.id.clone(),
                holder_incarnation: *incarnation,
                renewed_at: holder.renewed_at,
                level,
            });
        }
        due.into_iter().for_each(|record| self.propose_paced(now, record));
    }

    fn snapshot_if_due(&mut self, now: Time) {
        let Some(delay) = self.snapshot_delay() else {
            self.snapshot.due = None;
            return;
        };
        let random = delay.mul_f64(self.rng.random_range(0.0..1.0));
        let due = *self.snapshot.due.get_or_insert(now + random);
        if now < due || self.outbox.queued() > 0 || self.mutated(Mutation::NoSnapshots) {
            return;
        }
        self.write_snapshot();
        // Others' parts and the own ones take a while to be read; until then it stays due.
        self.snapshot.due = Some(now + SNAPSHOT_DELAY);
    }

    /// Longest delay of the snapshot that is needed; `None` when none is.
    fn snapshot_delay(&self) -> Option<Duration> {
        let (first, next) = (self.replica.first_offset(), self.state().next());
        let newest = self.replica.newest_snapshot();
        if newest.unwrap_or(0) < first {
            return Some(URGENT_SNAPSHOT_DELAY);
        }
        let age = next.saturating_sub(newest.unwrap_or(0));
        let third = if first > 0 { (next - first.min(next)) / 3 } else { SNAPSHOT_INTERVAL };
        let allowed = SNAPSHOT_INTERVAL.min(third.max(SNAPSHOT_MIN_AGE));
        (age >= allowed).then_some(SNAPSHOT_DELAY)
    }

    fn write_snapshot(&mut self) {
        let id = self.rng.next_u64();
        let Ok(parts) = snapshot::split(self.state(), id) else { return };
        for part in parts {
            self.outbox.propose(part);
        }
    }
}
