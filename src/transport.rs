//! What the HTTP clients of platform and upstreams share: client settings, exchange ids, and how far
//! a failed call got.

use crate::protocol::EXCHANGE_HEADER;
use bytes::{Bytes, BytesMut};
use rand::RngExt;
use reqwest::{Client, RequestBuilder, Response};
use snafu::Snafu;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Times and sizes of a client.
#[derive(Clone, Debug)]
pub struct TransportOptions {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait for a whole answer, beside any wait that the call itself asks for.
    pub call_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Most unused connections kept to one address.
    pub max_idle: usize,
    /// How long sent bytes may stay unacknowledged before the connection ends; `None` for the
    /// system's own bound of minutes.
    pub user_timeout: Option<Duration>,
}

impl Default for TransportOptions {
    fn default() -> TransportOptions {
        TransportOptions {
            // Zones are 1.5 ms apart; a request with 1.4 s to its start can try two instances.
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
            user_timeout: None,
        }
    }
}

/// Why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// No connection came about; no byte of the call was written.
    #[snafu(display("not reached: {message}"))]
    NotSent { message: String },
    /// The call may have taken effect.
    #[snafu(display("no answer: {message}"))]
    Unknown { message: String, timed_out: bool },
    /// The answer belongs to another call.
    #[snafu(display("answer carries exchange {found:?} instead of {expected:?}"))]
    Mismatch { expected: String, found: String },
}

impl CallError {
    /// Whether the call surely had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent { .. })
    }
}

/// Builds a client that follows no redirect and uses no proxy. `max_idle` of 0 uses a new connection
/// for each call.
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

/// Draws exchange ids that do not repeat within a process and hardly between processes.
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
    /// The id of the next call.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.prefix)
    }
}

/// How far a call got that `reqwest` reports as failed.
pub fn call_error(e: &reqwest::Error) -> CallError {
    let message = with_sources(e);
    if e.is_connect() || e.is_builder() {
        return CallError::NotSent { message };
    }
    CallError::Unknown { message, timed_out: e.is_timeout() }
}

/// An error's text with those of its sources, but for the address, which the caller knows.
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

/// Sends a call with an exchange id and accepts only an answer that repeats it.
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

/// Reads a whole body of at most `max` bytes.
pub async fn read_body(mut response: Response, max: usize) -> Result<Bytes, CallError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| call_error(&e))? {
        if buf.len() + chunk.len() > max {
            let message = format!("answer exceeds {max} bytes");
            return Err(CallError::Unknown { message, timed_out: false });
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
