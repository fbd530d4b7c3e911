//! Routes for liveness, readiness and metrics: `/healthz`, `/readyz` and `/metrics`.

use crate::answer::Reply;
use crate::entry::{Entry, Stage};
use crate::kind::{Kind, Refusal};
use crate::watcher;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, http::Method};

/// Returns the routes.
pub fn routes() -> Vec<Route> {
    vec![
        Route::new(Method::Get, "/healthz", HealthRoute::Alive),
        Route::new(Method::Get, "/readyz", HealthRoute::Ready),
        Route::new(Method::Get, "/metrics", HealthRoute::Metrics),
    ]
}

#[derive(Clone, Copy)]
enum HealthRoute {
    /// Succeeds while the process answers.
    Alive,
    /// Succeeds while the load balancer should send requests to this instance.
    Ready,
    /// Returns the metrics in the text format of Prometheus.
    Metrics,
}

#[rocket::async_trait]
impl Handler for HealthRoute {
    async fn handle<'r>(&self, req: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let reply = match self {
            HealthRoute::Alive => Reply::text(200, "alive\n"),
            HealthRoute::Ready => ready(Entry::of(req).map(|entry| &**entry)),
            HealthRoute::Metrics => metrics(Entry::of(req).map(|entry| &**entry)),
        };
        Outcome::Success(reply.into_response())
    }
}

fn ready(entry: Option<&Entry>) -> Reply {
    let Some(entry) = entry else { return Reply::from(Refusal::new(Kind::NoView)) };
    if entry.is_ready() {
        return Reply::text(200, "ready\n");
    }
    let kind = if entry.stage() == Stage::Serving { Kind::NoView } else { Kind::Stopping };
    Reply::from(Refusal::new(kind))
}

fn metrics(entry: Option<&Entry>) -> Reply {
    let Some(entry) = entry else { return Reply::from(Refusal::new(Kind::NoView)) };
    watcher::set_gauges(entry);
    match entry.metrics.encode() {
        Ok(text) => Reply::text(200, text),
        Err(e) => Reply::from(Refusal::new(Kind::Internal).with_message(e.to_string())),
    }
}
