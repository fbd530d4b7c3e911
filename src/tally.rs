//! Counts one request in the metrics.

use crate::entry::Entry;
use crate::ids::TeamId;
use crate::kind::Kind;
use crate::node::Allowed;
use crate::record::Class;
use std::sync::Arc;
use std::time::Instant;

/// What the metrics need to know of a request.
#[derive(Clone)]
pub struct Tally {
    entry: Arc<Entry>,
    arrived: Instant,
    /// `None` until the request passed its checks.
    work: Option<(TeamId, Class)>,
}

impl Tally {
    /// A request that arrives now.
    pub fn new(entry: &Arc<Entry>) -> Tally {
        Tally { entry: entry.clone(), arrived: Instant::now(), work: None }
    }

    /// Takes note of whose request it is.
    pub fn checked(&mut self, allowed: &Allowed) {
        self.work = Some((allowed.team.clone(), allowed.class));
    }

    /// Counts its start at an upstream.
    pub fn started(&self) {
        if let Some((team, class)) = &self.work {
            self.entry.metrics.start(team, *class, self.arrived.elapsed());
        }
    }

    /// Counts its end; `None` for a complete answer of an upstream.
    pub fn ended(&self, kind: Option<Kind>) {
        let took = self.arrived.elapsed();
        match &self.work {
            Some((team, class)) => self.entry.metrics.answer(team, *class, kind, took),
            None => self.entry.metrics.unchecked(kind, took),
        }
    }
}
