//! Records one request in the metrics and the event log.

use crate::entry::Entry;
use crate::event::Event;
use crate::ids::*;
use crate::kind::Kind;
use crate::metrics::UNKNOWN_LABEL;
use crate::node::AdmittedCall;
use crate::record::Class;
use std::sync::Arc;
use std::time::Instant;

/// Labels and arrival time of a request.
#[derive(Clone)]
pub struct RequestMetrics {
    entry: Arc<Entry>,
    arrived_at: Instant,
    /// `None` until the request has been admitted.
    team_and_class: Option<(TeamId, Class)>,
}

impl RequestMetrics {
    /// Creates the metrics of a request that arrives now.
    pub fn new(entry: &Arc<Entry>) -> RequestMetrics {
        RequestMetrics { entry: entry.clone(), arrived_at: Instant::now(), team_and_class: None }
    }

    /// Sets the team and class of an admitted request.
    pub fn admitted(&mut self, call: &AdmittedCall) {
        self.team_and_class = Some((call.team.clone(), call.class));
    }

    /// Records the start at an upstream.
    pub fn started(&self) {
        if let Some((team, class)) = &self.team_and_class {
            self.entry.metrics.record_start(team, *class, self.arrived_at.elapsed());
        }
    }

    /// Records the end of the request; `kind` is `None` for a complete response of an upstream.
    pub fn ended(&self, kind: Option<Kind>) {
        let duration = self.arrived_at.elapsed();
        if let Some(kind) = kind {
            self.log_refusal(kind);
        }
        match &self.team_and_class {
            Some((team, class)) => self.entry.metrics.record_response(team, *class, kind, duration),
            None => self.entry.metrics.record_unadmitted(kind, duration),
        }
    }

    /// Records a response that was truncated after its head had been sent.
    pub fn response_truncated(&self, upstream: &InstanceId) {
        let fields = [("instance", upstream.into()), ("team", self.team().into())];
        self.entry.log.event(Event::AnswerCut, &fields);
        self.ended(Some(Kind::UpstreamLost));
    }

    fn log_refusal(&self, kind: Kind) {
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
        self.team_and_class.as_ref().map_or(UNKNOWN_LABEL, |(team, _)| team)
    }
}
