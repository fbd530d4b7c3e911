//! Client of the operators' interface of one entry instance.

use crate::admin_api::*;
use crate::config::Mistake;
use crate::exit::CommandError;
use crate::kind::Ran;
use reqwest::{Client, Method, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for an answer, beyond the wait that a request asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a command is sent when its answer is lost; each time with the same op id.
const SENDS: u32 = 3;
/// Longest answer that is read, in bytes; a status at the design size has about 2 MB.
const MAX_ANSWER_LEN: usize = 16 * 1024 * 1024;

/// Client of one entry instance.
pub struct AdminClient {
    at: SocketAddr,
    http: Client,
}

/// Why one call gave no value.
enum CallError {
    /// Nothing was sent.
    NotSent(String),
    /// Something was sent and no proper answer came.
    Lost(String),
    Refused(RefusalBody, Vec<Mistake>),
}

/// What sending a command came to.
enum Sent {
    Answered(Outcome),
    /// No answer came that tells its fate.
    Lost(String),
}

impl AdminClient {
    /// A client of the entry instance at an address.
    pub fn new(at: SocketAddr) -> Result<AdminClient, CommandError> {
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(ANSWER_TIMEOUT)
            .build()
            .map_err(|e| CommandError::Process { message: e.to_string() })?;
        Ok(AdminClient { at, http })
    }

    /// Reads something; nothing changes.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let answer = self.call(Method::GET, path, None::<&()>, ANSWER_TIMEOUT).await;
        answer.map_err(|e| match e {
            CallError::NotSent(message) | CallError::Lost(message) => self.unreachable(message),
            CallError::Refused(refusal, mistakes) => CommandError::Refused { refusal, mistakes },
        })
    }

    /// Sends a command, again with the same op id when its answer is lost, and waits until it is in
    /// force on every known entry instance or `wait` is over.
    pub async fn command<B: Serialize>(
        &self,
        path: &str,
        op: &str,
        body: &B,
        wait: Duration,
    ) -> Result<Outcome, CommandError> {
        let until = Instant::now() + wait;
        let outcome = match self.send(path, body).await? {
            Sent::Answered(outcome) => outcome,
            Sent::Lost(message) => self
                .ask(op, until)
                .await
                .ok_or_else(|| CommandError::FateUnknown { op: op.to_string(), message })?,
        };
        match outcome.result {
            OpResult::Rejected { .. } => Ok(outcome),
            _ if outcome.in_force_everywhere() => Ok(outcome),
            _ => Ok(self.follow(op, outcome, until).await),
        }
    }

    async fn send<B: Serialize>(&self, path: &str, body: &B) -> Result<Sent, CommandError> {
        let mut lost = None;
        for _ in 0..SENDS {
            let answer = self.call(Method::POST, path, Some(body), ANSWER_TIMEOUT).await;
            let message = match answer {
                Ok(outcome) => return Ok(Sent::Answered(outcome)),
                Err(CallError::NotSent(message)) if lost.is_none() => {
                    return Err(self.unreachable(message));
                }
                Err(CallError::Refused(refusal, mistakes))
                    if lost.is_none() && refusal.ran == Ran::NotRun =>
                {
                    return Err(CommandError::Refused { refusal, mistakes });
                }
                // An earlier send may have taken effect, whatever a later one says.
                Err(CallError::NotSent(message) | CallError::Lost(message)) => message,
                Err(CallError::Refused(refusal, _)) => refusal.message,
            };
            lost = Some(message);
        }
        Ok(Sent::Lost(lost.unwrap_or_default()))
    }

    /// Asks for a command whose answers were lost; `None` when it is not known there.
    async fn ask(&self, op: &str, until: Instant) -> Option<Outcome> {
        let nothing = Outcome { op: op.into(), result: OpResult::Unknown, entries: Vec::new() };
        let outcome = self.follow(op, nothing, until).await;
        (outcome.result != OpResult::Unknown).then_some(outcome)
    }

    /// Asks where a command is in force until it is everywhere or the time is over.
    async fn follow(&self, op: &str, first: Outcome, until: Instant) -> Outcome {
        let mut outcome = first;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let wait_ms = u64::try_from(left.as_millis()).unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS);
            if wait_ms == 0 {
                return outcome;
            }
            let path = format!("{OPS}/{op}?wait_ms={wait_ms}");
            let wait = Duration::from_millis(wait_ms) + ANSWER_TIMEOUT;
            // The outcome known so far stays true when this answer is lost.
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
    ) -> Result<T, CallError> {
        let url = format!("http://{}{path}", self.at);
        let mut req = self.http.request(method, url).timeout(timeout);
        if let Some(body) = body {
            req = req.json(body);
        }
        let resp = req.send().await.map_err(|e| {
            let message = with_sources(&e);
            if e.is_connect() { CallError::NotSent(message) } else { CallError::Lost(message) }
        })?;
        answer(resp).await
    }
}

/// Reads an answer: a value, or a refusal.
async fn answer<T: DeserializeOwned>(resp: Response) -> Result<T, CallError> {
    let status = resp.status();
    let text = read_body(resp).await?;
    let lost = |e: serde_json::Error| CallError::Lost(format!("status {status}: {e}"));
    if status.is_success() {
        return serde_json::from_slice(&text).map_err(lost);
    }
    if let Ok(MistakesBody { refusal, mistakes }) = serde_json::from_slice(&text) {
        return Err(CallError::Refused(refusal, mistakes));
    }
    let refusal: RefusalBody = serde_json::from_slice(&text).map_err(lost)?;
    Err(CallError::Refused(refusal, Vec::new()))
}

async fn read_body(mut resp: Response) -> Result<Vec<u8>, CallError> {
    let mut body = Vec::new();
    let lost = |e: reqwest::Error| CallError::Lost(with_sources(&e));
    while let Some(part) = resp.chunk().await.map_err(lost)? {
        if body.len() + part.len() > MAX_ANSWER_LEN {
            return Err(CallError::Lost(format!("answer exceeds {MAX_ANSWER_LEN} bytes")));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// An error with the errors behind it; `reqwest` names the cause only there.
fn with_sources(e: &reqwest::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
