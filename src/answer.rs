//! Responses that an entry instance generates itself: JSON, plain text, bytes and refusals.

use crate::kind::{Kind, Ran, Refusal};
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{HeaderName, HeaderValue};
use rocket::http::{Header, Status};
use rocket::response::{Responder, Response, Result as RocketResult};
use rocket::{Request, catch};
use serde::Serialize;
use serde_json::json;
use std::io::Cursor;
use std::time::Duration;

/// Header with the name of the error kind.
pub const KIND_HEADER: &str = "jacinthhook-kind";
/// Header that states whether refused or failed work ran.
pub const RAN_HEADER: &str = crate::protocol::RAN_HEADER;
/// Header with a new request id for the caller's next request.
pub const NEXT_ID_HEADER: &str = "jacinthhook-next-id";

/// A complete response of known length.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Reply {
    /// Creates a response with `value` as JSON.
    pub fn json(status: u16, value: &impl Serialize) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => Reply { status, headers: vec![("content-type", JSON.into())], body },
            Err(e) => Reply::from(Refusal::new(Kind::Internal).with_message(e.to_string())),
        }
    }

    /// Creates a plain text response.
    pub fn text(status: u16, body: impl Into<String>) -> Reply {
        let headers = vec![("content-type", "text/plain; charset=utf-8".into())];
        Reply { status, headers, body: body.into().into_bytes() }
    }

    /// Creates a response of raw bytes.
    pub fn bytes(status: u16, body: impl Into<Vec<u8>>) -> Reply {
        let headers = vec![("content-type", "application/octet-stream".into())];
        Reply { status, headers, body: body.into() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds the headers with the error kind and with whether the work ran.
    pub fn with_error_headers(self, name: &'static str, ran: Ran) -> Reply {
        self.with_header(KIND_HEADER, name).with_header(RAN_HEADER, ran.as_str())
    }

    /// Converts the reply to a `hyper` response.
    pub fn into_http(self) -> hyper::Response<Full<Bytes>> {
        let mut response = hyper::Response::new(Full::new(self.body.into()));
        if let Ok(status) = hyper::StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        for (name, value) in self.headers {
            // Values made of callers' text may be no valid header; such a header is left out.
            if let Ok(value) = HeaderValue::try_from(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        response
    }

    /// Converts the reply to a `rocket` response.
    pub fn into_response<'r>(self) -> Response<'r> {
        let mut response = Response::new();
        response.set_status(Status::new(self.status));
        for (name, value) in self.headers {
            response.set_header(Header::new(name, value));
        }
        response.set_sized_body(self.body.len(), Cursor::new(self.body));
        response
    }
}

const JSON: &str = "application/json";

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Reply {
        let info = refusal.kind.info();
        let mut value = json!({
            "kind": info.name,
            "ran": refusal.ran.as_str(),
            "message": refusal.message,
        });
        if let Some(after) = refusal.retry_after {
            value["retry_after_ms"] = json!(after.as_millis() as u64);
        }
        let mut reply = Reply::json(info.status, &value).with_error_headers(info.name, refusal.ran);
        if let Some(after) = refusal.retry_after {
            reply = reply.with_header("retry-after", retry_after_seconds(after).to_string());
        }
        if refusal.kind == Kind::Stopping {
            reply = reply.with_header("connection", "close");
        }
        reply
    }
}

/// Rounds up to the whole seconds of `Retry-After`; rounding down would let a caller retry too
/// early.
fn retry_after_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000) as u64
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> RocketResult<'static> {
        Ok(self.into_response())
    }
}

/// Responds to requests that match no route or that `rocket` refuses itself.
#[catch(default)]
pub fn catch_unrouted(status: Status, _: &Request<'_>) -> Reply {
    let kind = match status.code {
        404 | 405 => Kind::NotFound,
        413 | 431 => Kind::TooLarge,
        503 => Kind::NoView,
        code if code < 500 => Kind::BadRequest,
        _ => Kind::Internal,
    };
    let ran = if kind == Kind::Internal { Ran::Unknown } else { Ran::NotRun };
    Reply::from(Refusal::new(kind).with_ran(ran))
}
