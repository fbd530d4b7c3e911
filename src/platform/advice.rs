//! The advisory service that knows which workers may run a step.

use crate::batch::job::WorkerId;
use crate::platform::http::{Call, Http};
use crate::platform::json;
use reqwest::Method;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Most workers in one question.
pub const MAX_WORKERS: usize = 100;
/// Time for an answer beyond the time that the service takes by its own word.
const SLACK: Duration = Duration::from_millis(1_500);

/// Client of the advisory service.
#[derive(Clone, Debug)]
pub struct Advice {
    http: Http,
    address: String,
}

impl Advice {
    /// A client of the service at `address`, `IP:PORT`.
    pub fn new(http: Http, address: String) -> Advice {
        Advice { http, address }
    }

    /// The workers that may run a step, each with its ticket; `None` without an answer.
    pub async fn ask(
        &self,
        step: &str,
        workers: &[WorkerId],
        takes: Duration,
    ) -> Option<Vec<(WorkerId, Arc<str>)>> {
        let ids: Vec<&str> = workers.iter().take(MAX_WORKERS).map(|w| &**w).collect();
        let body = json!({ "step": step, "workers": ids }).to_string().into();
        let (method, timeout) = (Method::POST, takes + SLACK);
        let (address, path) = (self.address.as_str(), "/-/advise");
        let call = Call { method, address, path, headers: &[], body, timeout };
        let answer = self.http.call(call).await.ok().filter(|a| a.status == 200)?;
        let body = answer.json();
        let rows = json::list(&body, "allowed").iter();
        Some(
            rows.filter_map(|row| {
                Some((row.get(0)?.as_str()?.into(), row.get(1)?.as_str()?.into()))
            })
            .collect(),
        )
    }
}
