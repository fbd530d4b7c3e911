//! Machines under the workers.

use crate::batch::maintenance::{Machine, MachineId, MachineState};
use crate::platform::http::{Answer, Call, Http, Lost};
use crate::platform::json;
use bytes::Bytes;
use indexmap::IndexMap;
use reqwest::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Time for an answer; the service may be 50 times slower than its usual few ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Who gives an order about a machine.
#[derive(Clone, Debug)]
pub struct Holder {
    pub name: String,
    pub fence: u64,
}

/// How an order about a machine was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineAnswer {
    /// Under way, or done already.
    Begun,
    /// A newer owner has given orders.
    Fenced,
    /// It is not up, or leaves.
    Busy,
    /// It does not belong to the wave, or does not exist, or the pool is one of other machines.
    Unfit,
    /// Not carried out; it may be tried again.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// Client of the service that owns the machines.
#[derive(Clone, Debug)]
pub struct Machines {
    http: Http,
    address: String,
}

impl Machines {
    /// A client of the service at `address`, `IP:PORT`.
    pub fn new(http: Http, address: String) -> Machines {
        Machines { http, address }
    }

    /// All machines; `None` where a page could not be had.
    pub async fn list(&self) -> Option<IndexMap<MachineId, Machine>> {
        let mut found = IndexMap::new();
        let mut page: Option<String> = None;
        loop {
            let path = match &page {
                Some(token) => format!("/-/machines?pageToken={token}"),
                None => "/-/machines".to_string(),
            };
            let answer = self.call(Method::GET, &path, &[], Bytes::new()).await.ok()?;
            if answer.status != 200 {
                return None;
            }
            let body = answer.json();
            let machines = json::list(&body, "machines").iter().filter_map(machine);
            found.extend(machines.map(|m| (m.id.clone(), m)));
            page = json::some_text(&body, "nextToken").map(|t| t.to_string());
            if page.is_none() {
                return Some(found);
            }
        }
    }

    /// Begins a machine's maintenance.
    pub async fn upkeep(&self, machine: &str, wave: u64, holder: &Holder) -> MachineAnswer {
        let body = json!({ "machine": machine, "wave": wave });
        self.order("/-/machine-upkeep", &body, holder).await
    }

    /// Moves a machine to another pool.
    pub async fn move_to(&self, machine: &str, pool: &str, holder: &Holder) -> MachineAnswer {
        let body = json!({ "machine": machine, "pool": pool });
        self.order("/-/machine-move", &body, holder).await
    }

    async fn order(&self, path: &str, body: &Value, holder: &Holder) -> MachineAnswer {
        let fence = holder.fence.to_string();
        let headers = [
            ("x-jacinthhook-lease-holder", holder.name.as_str()),
            ("x-jacinthhook-fencing-token", fence.as_str()),
        ];
        match self.call(Method::POST, path, &headers, body.to_string().into()).await {
            Ok(answer) => machine_answer(&answer),
            Err(Lost::NotSent) => MachineAnswer::Refused,
            Err(Lost::NoAnswer) => MachineAnswer::Unknown,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<Answer, Lost> {
        let timeout = CALL_TIMEOUT;
        self.http.call(Call { method, address: &self.address, path, headers, body, timeout }).await
    }
}

fn machine_answer(answer: &Answer) -> MachineAnswer {
    match (answer.status, json::text(&answer.json(), "reason")) {
        (200, _) => MachineAnswer::Begun,
        (409, "fence") => MachineAnswer::Fenced,
        (409, "busy") => MachineAnswer::Busy,
        (409 | 400, _) => MachineAnswer::Unfit,
        _ => MachineAnswer::Refused,
    }
}

fn machine(entry: &Value) -> Option<Machine> {
    let state = match json::text(entry, "state") {
        "up" => MachineState::Up,
        "moving" => MachineState::Moving,
        "upkeep" => MachineState::Maintenance,
        "down" => MachineState::Down,
        _ => return None,
    };
    Some(Machine {
        id: json::some_text(entry, "machine")?,
        pool: json::some_text(entry, "pool")?,
        zone: json::some_text(entry, "zone")?,
        state,
        // Id of the worker, not of the machine.
        worker: json::some_text(entry, "id"),
    })
}
