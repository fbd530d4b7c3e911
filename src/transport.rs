//! Common parts of the HTTP clients of the platform and of upstreams: client options, exchange ids,
//! and errors that state whether a failed call may have taken effect.

use crate::protocol::EXCHANGE_HEADER;
use bytes::{Bytes, BytesMut};
use rand::RngExt;
use reqwest::{Client, RequestBuilder, Response};
use snafu::Snafu;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeouts and limits of an HTTP client.
#[derive(Clone, Debug)]
pub struct TransportOptions {
    /// Maximum time to connect.
    pub connect_timeout: Duration,
    /// Maximum time until the response is complete, in addition to any wait that the call itself
    /// requests.
    pub call_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle: usize,
    /// How long sent data may remain unacknowledged before the connection is closed; `None` for the
    /// system default of several minutes.
    pub user_timeout: Option<Duration>,
}

impl Default for TransportOptions {
    fn default() -> TransportOptions {
        TransportOptions {
            // Zones are 1.5 ms apart. A request with 1.4 s left until its latest start can try two
            // instances.
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
            user_timeout: None,
        }
    }
}

/// Failure of a call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    #[snafu(display("cannot connect: {message}"))]
    NotSent { message: String },
    /// The call may have taken effect.
    #[snafu(display("no response: {message}"))]
    Unknown { message: String, timed_out: bool },
    /// The exchange id of the response is that of another call.
    #[snafu(display("response has exchange id {found:?}, expected {expected:?}"))]
    Mismatch { expected: String, found: String },
}

impl CallError {
    /// Whether the call is known to have had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent { .. })
    }
}

/// Builds a client without redirects, proxies and retries. With a `max_idle` of 0, it opens a new
/// connection for each call.
pub fn client(options: &TransportOptions, max_idle: usize) -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .tcp_nodelay(true)
        .tcp_user_timeout(options.user_timeout)
        .connect_timeout(options.connect_timeout)
        .pool_idle_timeout(options.idle_timeout)
        .pool_max_idle_per_host(max_idle)
        .build()
}

/// Generates exchange ids that are unique within a process and, with high probability, across
/// processes.
#[derive(Debug)]
pub struct ExchangeIds {
    prefix: u64,
    next: AtomicU64,
}

impl Default for ExchangeIds {
    fn default() -> ExchangeIds {
        ExchangeIds { prefix: rand::rng().random(), next: AtomicU64::new(0) }
    }
}

impl ExchangeIds {
    /// Returns the id of the next call.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.prefix)
    }
}

/// Converts a `reqwest` error: `NotSent` if nothing can have been sent, otherwise `Unknown`.
pub fn call_error(e: &reqwest::Error) -> CallError {
    let message = with_sources(e);
    if e.is_connect() || e.is_builder() {
        return CallError::NotSent { message };
    }
    CallError::Unknown { message, timed_out: e.is_timeout() }
}

/// Joins the messages of an error and of its sources.
fn with_sources(e: &reqwest::Error) -> String {
    let mut message = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(e) = source {
        message.push_str(": ");
        message.push_str(&e.to_string());
        source = e.source();
    }
    message
}

/// Sends a call with an exchange id and accepts only a response that repeats the id.
pub async fn exchange(id: &str, request: RequestBuilder) -> Result<Response, CallError> {
    let sent = request.header(EXCHANGE_HEADER, id).send().await;
    let response = sent.map_err(|e| call_error(&e))?;
    check_exchange(id, &response)?;
    Ok(response)
}

fn check_exchange(id: &str, response: &Response) -> Result<(), CallError> {
    let found = response.headers().get(EXCHANGE_HEADER);
    if found.is_some_and(|found| found.as_bytes() == id.as_bytes()) {
        return Ok(());
    }
    let found = found.map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned());
    Err(CallError::Mismatch { expected: id.to_string(), found: found.unwrap_or_default() })
}

/// Reads a complete body of at most `max` bytes.
pub async fn read_body(mut response: Response, max: usize) -> Result<Bytes, CallError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| call_error(&e))? {
        if buf.len() + chunk.len() > max {
            let message = format!("response exceeds {max} bytes");
            return Err(CallError::Unknown { message, timed_out: false });
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
