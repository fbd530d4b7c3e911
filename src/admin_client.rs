//! Client for the operators' HTTP interface of one entry instance.

use crate::admin_api::*;
use crate::config::Mistake;
use crate::exit::CommandError;
use crate::kind::Ran;
use reqwest::{Client, Method, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of a call, in addition to the wait that the request asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times a command is sent if its answer is lost, each time with the same op id.
const MAX_SENDS: u32 = 3;
/// Maximum size of an answer in bytes; a status at the design size has about 2 MB.
const MAX_ANSWER_LEN: usize = 16 * 1024 * 1024;

/// Client for one entry instance.
pub struct AdminClient {
    at: SocketAddr,
    http: Client,
}

/// Error of one call.
enum AdminCallError {
    /// Nothing was sent.
    NotSent(String),
    /// The request was sent, but no valid answer was received.
    Lost(String),
    Refused(RefusalBody, Vec<Mistake>),
}

/// Result of sending a command.
enum SendResult {
    Answered(Outcome),
    /// No answer was received that tells whether the command took effect.
    Lost(String),
}

impl AdminClient {
    /// Creates a client for the entry instance at an address.
    pub fn new(at: SocketAddr) -> Result<AdminClient, CommandError> {
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(CALL_TIMEOUT)
            .build()
            .map_err(|e| CommandError::Process { message: e.to_string() })?;
        Ok(AdminClient { at, http })
    }

    /// Reads a resource without changing anything.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let answer = self.call(Method::GET, path, None::<&()>, CALL_TIMEOUT).await;
        answer.map_err(|e| match e {
            AdminCallError::NotSent(message) | AdminCallError::Lost(message) => {
                self.unreachable(message)
            }
            AdminCallError::Refused(refusal, mistakes) => {
                CommandError::Refused { refusal, mistakes }
            }
        })
    }

    /// Sends a command and waits until it is in force on every known entry instance or `wait` has
    /// elapsed. If the answer is lost, the command is sent again with the same op id.
    pub async fn command<B: Serialize>(
        &self,
        path: &str,
        op: &str,
        body: &B,
        wait: Duration,
    ) -> Result<Outcome, CommandError> {
        let until = Instant::now() + wait;
        let outcome = match self.send(path, body).await? {
            SendResult::Answered(outcome) => outcome,
            SendResult::Lost(message) => self
                .query_outcome(op, until)
                .await
                .ok_or_else(|| CommandError::FateUnknown { op: op.to_string(), message })?,
        };
        match outcome.result {
            OpResult::Rejected { .. } => Ok(outcome),
            _ if outcome.in_force_everywhere() => Ok(outcome),
            _ => Ok(self.poll_outcome(op, outcome, until).await),
        }
    }

    async fn send<B: Serialize>(&self, path: &str, body: &B) -> Result<SendResult, CommandError> {
        let mut lost = None;
        for _ in 0..MAX_SENDS {
            let answer = self.call(Method::POST, path, Some(body), CALL_TIMEOUT).await;
            let message = match answer {
                Ok(outcome) => return Ok(SendResult::Answered(outcome)),
                Err(AdminCallError::NotSent(message)) if lost.is_none() => {
                    return Err(self.unreachable(message));
                }
                Err(AdminCallError::Refused(refusal, mistakes))
                    if lost.is_none() && refusal.ran == Ran::NotRun =>
                {
                    return Err(CommandError::Refused { refusal, mistakes });
                }
                // An earlier send may have taken effect, regardless of the answer to a later one.
                Err(AdminCallError::NotSent(message) | AdminCallError::Lost(message)) => message,
                Err(AdminCallError::Refused(refusal, _)) => refusal.message,
            };
            lost = Some(message);
        }
        Ok(SendResult::Lost(lost.unwrap_or_default()))
    }

    /// Queries the outcome of a command whose answers were lost; `None` if the entry instance does
    /// not know the command.
    async fn query_outcome(&self, op: &str, until: Instant) -> Option<Outcome> {
        let unknown = Outcome { op: op.into(), result: OpResult::Unknown, entries: Vec::new() };
        let outcome = self.poll_outcome(op, unknown, until).await;
        (outcome.result != OpResult::Unknown).then_some(outcome)
    }

    /// Polls the outcome of a command until it is in force everywhere, is rejected, or `until` has
    /// passed.
    async fn poll_outcome(&self, op: &str, initial: Outcome, until: Instant) -> Outcome {
        let mut outcome = initial;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let wait_ms = u64::try_from(left.as_millis()).unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS);
            if wait_ms == 0 {
                return outcome;
            }
            let path = format!("{OPS}/{op}?wait_ms={wait_ms}");
            let wait = Duration::from_millis(wait_ms) + CALL_TIMEOUT;
            // If this answer is lost, the last known outcome is still valid.
            let Ok(next) = self.call(Method::GET, &path, None::<&()>, wait).await else {
                return outcome;
            };
            outcome = next;
            if outcome.in_force_everywhere() || matches!(outcome.result, OpResult::Rejected { .. })
            {
                return outcome;
            }
        }
    }

    fn unreachable(&self, message: String) -> CommandError {
        CommandError::Unreachable { at: self.at.to_string(), message }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<T, AdminCallError> {
        let url = format!("http://{}{path}", self.at);
        let mut req = self.http.request(method, url).timeout(timeout);
        if let Some(body) = body {
            req = req.json(body);
        }
        let resp = req.send().await.map_err(|e| {
            let message = with_sources(&e);
            if e.is_connect() {
                AdminCallError::NotSent(message)
            } else {
                AdminCallError::Lost(message)
            }
        })?;
        decode_response(resp).await
    }
}

/// Decodes a response to a value or a refusal.
async fn decode_response<T: DeserializeOwned>(resp: Response) -> Result<T, AdminCallError> {
    let status = resp.status();
    let text = read_body(resp).await?;
    let lost = |e: serde_json::Error| AdminCallError::Lost(format!("status {status}: {e}"));
    if status.is_success() {
        return serde_json::from_slice(&text).map_err(lost);
    }
    if let Ok(MistakesBody { refusal, mistakes }) = serde_json::from_slice(&text) {
        return Err(AdminCallError::Refused(refusal, mistakes));
    }
    let refusal: RefusalBody = serde_json::from_slice(&text).map_err(lost)?;
    Err(AdminCallError::Refused(refusal, Vec::new()))
}

async fn read_body(mut resp: Response) -> Result<Vec<u8>, AdminCallError> {
    let mut body = Vec::new();
    let lost = |e: reqwest::Error| AdminCallError::Lost(with_sources(&e));
    while let Some(part) = resp.chunk().await.map_err(lost)? {
        if body.len() + part.len() > MAX_ANSWER_LEN {
            return Err(AdminCallError::Lost(format!("answer exceeds {MAX_ANSWER_LEN} bytes")));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Formats an error with its chain of sources, since `reqwest` names the cause only there.
fn with_sources(e: &reqwest::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
