//! Client for the platform's log and list of instances.

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

/// Maximum size of an answer in bytes. It allows for 1 MiB of entries as hex in JSON, or a list of
/// 10,000 instances.
const MAX_ANSWER_LEN: usize = 4 * 1024 * 1024;

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlatformError {
    /// The call was not sent, or its answer was not received.
    #[snafu(display("platform: {source}"))]
    Call { source: CallError },
    /// The platform answered with an error status.
    #[snafu(display("platform answered {status}"))]
    Status { status: u16 },
    /// The answer cannot be decoded, or does not match the call.
    #[snafu(display("platform answer is malformed: {message}"))]
    Malformed { message: String },
}

impl PlatformError {
    /// Returns whether the call certainly had no effect: it was not sent, or the platform refused
    /// it with a client error such as too large or malformed. After a server error the effect is
    /// unknown.
    pub fn had_no_effect(&self) -> bool {
        match self {
            PlatformError::Call { source } => source.is_not_sent(),
            PlatformError::Status { status } => (400..500).contains(status),
            PlatformError::Malformed { .. } => false,
        }
    }
}

/// Client for one platform. A call that times out or receives the answer to another call closes all
/// pooled connections, since any of them may be stalled.
pub struct PlatformClient {
    addr: String,
    options: TransportOptions,
    client: Mutex<Client>,
    ids: ExchangeIds,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

impl PlatformClient {
    /// Creates a client for the platform at an IP address and port.
    pub fn new(addr: &str, options: TransportOptions) -> Result<PlatformClient, PlatformError> {
        let client = Mutex::new(new_client(&options)?);
        Ok(PlatformClient { addr: addr.to_string(), options, client, ids: ExchangeIds::default() })
    }

    /// Appends one entry. After an error for which `had_no_effect` is false, the entry may be in
    /// the log or arrive there later; only a read shows which.
    pub async fn append(&self, entry: Bytes) -> Result<Offset, PlatformError> {
        let request = self.request(Method::POST, "/log").body(entry);
        let body = self.call(request, self.options.call_timeout).await?;
        Ok(decode::<AppendAnswer>(&body)?.offset)
    }

    /// Reads entries from offset `from` on, and waits up to `wait` for the first one.
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

    /// Returns the list of instances, which may lag behind registrations.
    pub async fn list(&self) -> Result<InstanceList, PlatformError> {
        let request = self.request(Method::GET, "/instances");
        decode(&self.call(request, self.options.call_timeout).await?)
    }

    /// Registers an instance or updates its registration.
    pub async fn register(&self, listed: &ListedInstance) -> Result<(), PlatformError> {
        let path = format!("/instances/{}", listed.id);
        let request = self.request(Method::PUT, &path).json(listed);
        self.call(request, self.options.call_timeout).await.map(drop)
    }

    /// Removes the registration of an instance.
    pub async fn remove(&self, id: &InstanceId) -> Result<(), PlatformError> {
        let request = self.request(Method::DELETE, &format!("/instances/{id}"));
        self.call(request, self.options.call_timeout).await.map(drop)
    }

    /// Reboots an upstream instance, or returns the state of the reboot with id `op` if it has
    /// already been requested.
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
            && requires_new_connections(source)
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

fn requires_new_connections(e: &CallError) -> bool {
    matches!(e, CallError::Unknown { timed_out: true, .. } | CallError::Mismatch { .. })
}

fn new_client(options: &TransportOptions) -> Result<Client, PlatformError> {
    transport::client(options, options.max_idle)
        .map_err(|e| PlatformError::Call { source: transport::call_error(&e) })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed { message: e.to_string() })
}

/// Checks that entries are consecutive and start at the requested offset, or at the oldest retained
/// offset if that is later.
fn check_read(from: Offset, answer: &ReadAnswer) -> Result<(), PlatformError> {
    let mut expected = from.max(answer.first);
    for entry in &answer.entries {
        if entry.offset != expected {
            let message =
                format!("entry at offset {} where offset {expected} was expected", entry.offset);
            return Err(PlatformError::Malformed { message });
        }
        expected += 1;
    }
    if answer.first > answer.next || (!answer.entries.is_empty() && expected > answer.next) {
        let message = format!("entries end before offset {expected} but next is {}", answer.next);
        return Err(PlatformError::Malformed { message });
    }
    Ok(())
}
