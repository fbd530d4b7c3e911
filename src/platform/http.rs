//! HTTP client for all services of the platform.

use crate::transport::{self, CallError, TransportOptions, call_error};
use bytes::{Bytes, BytesMut};
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Client, Method, Response};
use snafu::{ResultExt, Snafu};
use std::time::Duration;
use tokio::time::timeout;

/// Limits the time to connect. Connecting hangs during a network partition; zones are a few ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection is closed if sent bytes stay unacknowledged this long, which detects a dead
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections are closed after this; the platform's clients keep theirs for 15 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest pause within the body of a response. There is no limit on the whole body: how long it
/// takes depends on the link, and a page that is given up would not arrive at the next try either.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per host. With thousands of workers, idle connections use up
/// the descriptors of the owner.
const MAX_IDLE_PER_HOST: usize = 3;

/// Error while creating the client.
#[derive(Debug, Snafu)]
#[snafu(display("HTTP client: {source}"))]
pub struct ClientError {
    source: reqwest::Error,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallFailure {
    /// No connection was established; the call has no effect.
    #[snafu(display("request not sent"))]
    NotSent,
    /// The call may have taken effect, or may still take effect.
    #[snafu(display("no response"))]
    NoResponse,
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// HTTP client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

/// Parameters of an HTTP call.
pub struct Call<'a> {
    pub method: Method,
    /// `IP:PORT`.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    /// Longest time until the head of the response.
    pub timeout: Duration,
}

impl Http {
    /// Creates a client without connections.
    pub fn new() -> Result<Http, ClientError> {
        let options = TransportOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            user_timeout: Some(TCP_USER_TIMEOUT),
            ..TransportOptions::default()
        };
        let client = transport::client(&options, MAX_IDLE_PER_HOST).context(ClientSnafu)?;
        Ok(Http { client })
    }

    /// Sends a request and reads the whole response.
    pub async fn call(&self, call: Call<'_>) -> Result<HttpResponse, CallFailure> {
        let mut headers = HeaderMap::new();
        for (name, value) in call.headers {
            // Values are ids and numbers; the platform knows none that is invalid in a header.
            let Ok(value) = HeaderValue::from_str(value) else { return Err(CallFailure::NotSent) };
            headers.insert(*name, value);
        }
        if !call.body.is_empty() {
            headers.insert("content-type", HeaderValue::from_static("application/json"));
        }
        let url = format!("http://{}{}", call.address, call.path);
        let request = self.client.request(call.method, url).headers(headers).body(call.body);
        let response = timeout(call.timeout, request.send())
            .await
            .map_err(|_| CallFailure::NoResponse)?
            .map_err(|e| CallFailure::from(call_error(&e)))?;
        let status = response.status().as_u16();
        let body = read_body(response).await?;
        Ok(HttpResponse { status, body })
    }
}

async fn read_body(mut response: Response) -> Result<Bytes, CallFailure> {
    let mut body = BytesMut::new();
    loop {
        match timeout(BODY_STALL_TIMEOUT, response.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Err(_)) | Err(_) => return Err(CallFailure::NoResponse),
        }
    }
}

impl From<CallError> for CallFailure {
    fn from(e: CallError) -> CallFailure {
        if e.is_not_sent() { CallFailure::NotSent } else { CallFailure::NoResponse }
    }
}
