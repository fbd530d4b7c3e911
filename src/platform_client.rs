//! Client of the platform: its log and its list of instances.

use crate::ids::*;
use crate::protocol::{
    InstanceList, ListedInstance, ReadAnswer, RebootAnswer, RebootRequest, RebootState,
};
use crate::transport::{self, CallError, ExchangeIds, TransportOptions};
use bytes::Bytes;
use parking_lot::Mutex;
use reqwest::{Client, Method, RequestBuilder};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::time::Duration;

/// Largest answer in bytes: 1 MiB of entries as hex in JSON, or a list of 10,000 instances.
const MAX_ANSWER_LEN: usize = 4 * 1024 * 1024;

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlatformError {
    /// The call did not leave or its answer did not come.
    #[snafu(display("platform: {source}"))]
    Call { source: CallError },
    /// The platform answered with a failure.
    #[snafu(display("platform answered {status}"))]
    Status { status: u16 },
    /// The answer does not decode or contradicts the call.
    #[snafu(display("platform answer is malformed: {message}"))]
    Malformed { message: String },
}

impl PlatformError {
    /// Whether the call surely had no effect: it was not sent, or it was refused as too large or
    /// malformed. A failure of the platform itself proves nothing.
    pub fn had_no_effect(&self) -> bool {
        match self {
            PlatformError::Call { source } => source.is_not_sent(),
            PlatformError::Status { status } => (400..500).contains(status),
            PlatformError::Malformed { .. } => false,
        }
    }
}

/// Client of one platform. A call that times out or is crossed retires all connections, since any
/// of them may have gone silent.
pub struct PlatformClient {
    addr: String,
    options: TransportOptions,
    client: Mutex<Client>,
    ids: ExchangeIds,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl PlatformClient {
    /// A client of the platform at an IP address and port.
    pub fn new(addr: &str, options: TransportOptions) -> Result<PlatformClient, PlatformError> {
        let client = Mutex::new(new_client(&options)?);
        Ok(PlatformClient { addr: addr.to_string(), options, client, ids: ExchangeIds::default() })
    }

    /// Appends one entry. After an error for which `had_no_effect` is false the entry may be in the
    /// log or get there later; only a read tells.
    pub async fn append(&self, entry: Bytes) -> Result<Offset, PlatformError> {
        let request = self.request(Method::POST, "/log").body(entry);
        let body = self.call(request, self.options.call_timeout).await?;
        Ok(decode::<Appended>(&body)?.offset)
    }

    /// Reads entries from an offset on; waits up to `wait` for the first one.
    pub async fn read(
        &self,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<ReadAnswer, PlatformError> {
        let path = format!("/log?from={from}&max={max}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path);
        let body = self.call(request, self.options.call_timeout + wait).await?;
        let answer: ReadAnswer = decode(&body)?;
        check_read(from, &answer)?;
        Ok(answer)
    }

    /// The list of instances; it may lag.
    pub async fn list(&self) -> Result<InstanceList, PlatformError> {
        let request = self.request(Method::GET, "/instances");
        decode(&self.call(request, self.options.call_timeout).await?)
    }

    /// Registers an instance or changes its registration.
    pub async fn register(&self, listed: &ListedInstance) -> Result<(), PlatformError> {
        let path = format!("/instances/{}", listed.id);
        let request = self.request(Method::PUT, &path).json(listed);
        self.call(request, self.options.call_timeout).await.map(drop)
    }

    /// Removes an instance.
    pub async fn remove(&self, id: &InstanceId) -> Result<(), PlatformError> {
        let request = self.request(Method::DELETE, &format!("/instances/{id}"));
        self.call(request, self.options.call_timeout).await.map(drop)
    }

    /// Restarts an upstream instance, or tells how far the restart named by `op` is.
    pub async fn reboot(&self, id: &InstanceId, op: String) -> Result<RebootState, PlatformError> {
        let path = format!("/instances/{id}/reboot");
        let request = self.request(Method::POST, &path).json(&RebootRequest { op });
        let body = self.call(request, self.options.call_timeout).await?;
        Ok(decode::<RebootAnswer>(&body)?.state)
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.lock().request(method, format!("http://{}{path}", self.addr))
    }

    async fn call(&self, req: RequestBuilder, timeout: Duration) -> Result<Bytes, PlatformError> {
        let answer = self.call_once(req.timeout(timeout)).await;
        if let Err(PlatformError::Call { source }) = &answer
            && retires_connections(source)
        {
            *self.client.lock() = new_client(&self.options)?;
        }
        answer
    }

    async fn call_once(&self, request: RequestBuilder) -> Result<Bytes, PlatformError> {
        let call = |source| PlatformError::Call { source };
        let response = transport::exchange(&self.ids.next_id(), request).await.map_err(call)?;
        let status = response.status();
        if !status.is_success() {
            return Err(PlatformError::Status { status: status.as_u16() });
        }
        transport::read_body(response, MAX_ANSWER_LEN).await.map_err(call)
    }
}

fn retires_connections(e: &CallError) -> bool {
    matches!(e, CallError::Unknown { timed_out: true, .. } | CallError::Mismatch { .. })
}

fn new_client(options: &TransportOptions) -> Result<Client, PlatformError> {
    transport::client(options, options.max_idle)
        .map_err(|e| PlatformError::Call { source: transport::call_error(&e) })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed { message: e.to_string() })
}

/// Entries must be consecutive and start at the wanted offset, or at the oldest one kept.
fn check_read(from: Offset, answer: &ReadAnswer) -> Result<(), PlatformError> {
    let mut expected = from.max(answer.first);
    for entry in &answer.entries {
        if entry.offset != expected {
            let message = format!("entry {} where {expected} was due", entry.offset);
            return Err(PlatformError::Malformed { message });
        }
        expected += 1;
    }
    if answer.first > answer.next || (!answer.entries.is_empty() && expected > answer.next) {
        let message = format!("entries up to {expected} but next is {}", answer.next);
        return Err(PlatformError::Malformed { message });
    }
    Ok(())
}
