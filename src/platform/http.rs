//! One HTTP client for all services of the platform.

use crate::transport::{self, CallError, TransportOptions, call_error};
use bytes::Bytes;
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Client, Method};
use snafu::{ResultExt, Snafu};
use std::time::Duration;

/// Time to open a connection; a partition makes it hang, and zones are a few ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Unacknowledged bytes end a connection after this, so that one gone silent is noticed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections are closed after this; the platform's clients keep theirs for 15 s.
const IDLE: Duration = Duration::from_secs(12);
/// Idle connections kept a host.
const IDLE_PER_HOST: usize = 8;

/// The client could not be made.
#[derive(Debug, Snafu)]
#[snafu(display("HTTP client: {source}"))]
pub struct ClientError {
    source: reqwest::Error,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Lost {
    /// No connection came about: the call has no effect.
    #[snafu(display("not sent"))]
    NotSent,
    /// It may have taken effect, or may still.
    #[snafu(display("no answer"))]
    NoAnswer,
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null where it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// The client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

/// A call.
pub struct Call<'a> {
    pub method: Method,
    /// `IP:PORT`.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    pub timeout: Duration,
}

impl Http {
    /// A client without connections yet.
    pub fn new() -> Result<Http, ClientError> {
        let options = TransportOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE,
            user_timeout: Some(USER_TIMEOUT),
            ..TransportOptions::default()
        };
        let client = transport::client(&options, IDLE_PER_HOST).context(ClientSnafu)?;
        Ok(Http { client })
    }

    /// Makes a call and reads its whole answer.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, Lost> {
        let mut headers = HeaderMap::new();
        for (name, value) in call.headers {
            // Values are ids and numbers; one that no header can hold means nothing to the platform.
            let Ok(value) = HeaderValue::from_str(value) else { return Err(Lost::NotSent) };
            headers.insert(*name, value);
        }
        if !call.body.is_empty() {
            headers.insert("content-type", HeaderValue::from_static("application/json"));
        }
        let url = format!("http://{}{}", call.address, call.path);
        let request = self
            .client
            .request(call.method, url)
            .headers(headers)
            .body(call.body)
            .timeout(call.timeout);
        let response = request.send().await.map_err(|e| Lost::from(call_error(&e)))?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(|_| Lost::NoAnswer)?;
        Ok(Answer { status, body })
    }
}

impl From<CallError> for Lost {
    fn from(e: CallError) -> Lost {
        if e.is_not_sent() { Lost::NotSent } else { Lost::NoAnswer }
    }
}
