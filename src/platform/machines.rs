//! Client of the service that manages the workers' machines.

use crate::batch::maintenance::{Machine, MachineId, MachineState};
use crate::platform::http::{self, Call, CallFailure, Http, HttpResponse};
use crate::platform::json;
use bytes::Bytes;
use hyper::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call; the service may be 50 times slower than its usual few ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Identity and fencing token of the owner that orders machines.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    pub name: String,
    pub fence: u64,
}

/// Result of an order to a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// The action has begun or is already complete.
    Begun,
    /// A newer owner has sent orders.
    Fenced,
    /// The machine is not up, or is about to go down.
    Busy,
    /// The machine does not exist or does not belong to the wave, or the pool takes other machines.
    Unfit,
    /// The order was not carried out; it may be retried.
    Refused,
    /// The order may have been carried out.
    Unknown,
}

/// Client of the machine service.
#[derive(Clone, Debug)]
pub struct Machines {
    http: Http,
    address: String,
}

impl Machines {
    /// Creates a client of the service at `address`, `IP:PORT`.
    pub fn new(http: Http, address: String) -> Machines {
        Machines { http, address }
    }

    /// Lists all machines; `None` if a page could not be read.
    pub async fn list(&self) -> Option<IndexMap<MachineId, Machine>> {
        let mut found = IndexMap::new();
        let mut page_tokens: IndexSet<Arc<str>> = IndexSet::new();
        loop {
            let path = match page_tokens.last() {
                Some(token) => format!("/-/machines?pageToken={}", http::percent_encode(token)),
                None => "/-/machines".to_string(),
            };
            let response = self.call(Method::GET, &path, &[], Bytes::new()).await.ok()?;
            if response.status != 200 {
                return None;
            }
            let body = response.json_page();
            if !body.is_object() {
                return None;
            }
            let machines = json::list(&body, "machines").iter().filter_map(decode_machine);
            found.extend(machines.map(|m| (m.id.clone(), m)));
            let Some(next_token) = json::non_empty_text(&body, "nextToken") else {
                return Some(found);
            };
            // After the token of an earlier page, the same pages would follow again.
            if !page_tokens.insert(next_token) {
                return None;
            }
        }
    }

    /// Starts the maintenance of a machine.
    pub async fn start_maintenance(
        &self,
        machine: &str,
        wave: u64,
        holder: &LeaseHolder,
    ) -> MachineOutcome {
        let body = json!({ "machine": machine, "wave": wave });
        self.send_order("/-/machine-upkeep", &body, holder).await
    }

    /// Moves a machine to another pool.
    pub async fn move_machine(
        &self,
        machine: &str,
        pool: &str,
        holder: &LeaseHolder,
    ) -> MachineOutcome {
        let body = json!({ "machine": machine, "pool": pool });
        self.send_order("/-/machine-move", &body, holder).await
    }

    async fn send_order(&self, path: &str, body: &Value, holder: &LeaseHolder) -> MachineOutcome {
        let fence = holder.fence.to_string();
        let headers = [
            ("x-jacinthhook-lease-holder", holder.name.as_str()),
            ("x-jacinthhook-fencing-token", fence.as_str()),
        ];
        match self.call(Method::POST, path, &headers, body.to_string().into()).await {
            Ok(response) => decode_outcome(&response),
            Err(CallFailure::NotSent) => MachineOutcome::Refused,
            Err(CallFailure::NoResponse) => MachineOutcome::Unknown,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, CallFailure> {
        let timeout = CALL_TIMEOUT;
        self.http.call(Call { method, address: &self.address, path, headers, body, timeout }).await
    }
}

/// Decodes the response to an order.
pub fn decode_outcome(response: &HttpResponse) -> MachineOutcome {
    match (response.status, json::text(&response.json(), "reason")) {
        (200, _) => MachineOutcome::Begun,
        (409, "fence") => MachineOutcome::Fenced,
        (409, "busy") => MachineOutcome::Busy,
        (409, "wave") | (400, _) => MachineOutcome::Unfit,
        (status, _) if http::had_no_effect(status) => MachineOutcome::Refused,
        _ => MachineOutcome::Unknown,
    }
}

fn decode_machine(entry: &Value) -> Option<Machine> {
    let state = match json::text(entry, "state") {
        "up" => MachineState::Up,
        "moving" => MachineState::Moving,
        "upkeep" => MachineState::Maintenance,
        "down" => MachineState::Down,
        _ => return None,
    };
    Some(Machine {
        id: json::non_empty_text(entry, "machine")?,
        pool: json::non_empty_text(entry, "pool")?,
        zone: json::non_empty_text(entry, "zone")?,
        state,
        // The field `id` holds the worker's id, not the machine's.
        worker: json::non_empty_text(entry, "id"),
    })
}
