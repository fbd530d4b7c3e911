//! Counts one request in the metrics.

use crate::entry::Entry;
use crate::event::Event;
use crate::ids::*;
use crate::kind::Kind;
use crate::metrics::NONE;
use crate::node::AdmittedCall;
use crate::record::Class;
use std::sync::Arc;
use std::time::Instant;

/// What the metrics need to know of a request.
#[derive(Clone)]
pub struct RequestMetrics {
    entry: Arc<Entry>,
    arrived: Instant,
    /// `None` until the request passed its checks.
    work: Option<(TeamId, Class)>,
}

impl RequestMetrics {
    /// A request that arrives now.
    pub fn new(entry: &Arc<Entry>) -> RequestMetrics {
        RequestMetrics { entry: entry.clone(), arrived: Instant::now(), work: None }
    }

    /// Takes note of whose request it is.
    pub fn checked(&mut self, allowed: &AdmittedCall) {
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
        if let Some(kind) = kind {
            self.log(kind);
        }
        match &self.work {
            Some((team, class)) => self.entry.metrics.answer(team, *class, kind, took),
            None => self.entry.metrics.unchecked(kind, took),
        }
    }

    /// Counts an answer that was cut after its head.
    pub fn cut(&self, upstream: &InstanceId) {
        let fields = [("instance", upstream.into()), ("team", self.team().into())];
        self.entry.log.event(Event::AnswerCut, &fields);
        self.ended(Some(Kind::UpstreamLost));
    }

    fn log(&self, kind: Kind) {
        let event = match kind {
            Kind::LimitReached => Event::TeamAtLimit,
            Kind::QueueFull => Event::QueueFull,
            Kind::StaleView => Event::ViewStale,
            Kind::DuplicateRequest => Event::DuplicateRefused,
            Kind::BadRequest | Kind::TooLarge => Event::BadInput,
            _ => Event::WorkRefused,
        };
        let fields = [("kind", kind.info().name.into()), ("team", self.team().into())];
        self.entry.log.event(event, &fields);
    }

    fn team(&self) -> &str {
        self.work.as_ref().map_or(NONE, |(team, _)| team)
    }
}
