//! The head of a caller's request: what it asks for, and the headers that pass to the upstream.

use crate::ids::ServiceId;
use crate::kind::{Kind, Refusal};
use crate::node::Call;
use crate::protocol;
use crate::record::Class;
use bytes::Bytes;
use rocket::Request;
use rocket::http::{HeaderMap as CallerHeaders, Method};
use std::str::FromStr;
use std::time::Duration;

/// Header with the key.
pub const KEY_HEADER: &str = "jacinthhook-key";
/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "jacinthhook-request-id";
/// Header with the class.
pub const CLASS_HEADER: &str = "jacinthhook-class";
/// Header with the time that the caller allows, in milliseconds.
pub const DEADLINE_HEADER: &str = protocol::DEADLINE_HEADER;
/// Header that says whether the request may be sent twice.
pub const IDEMPOTENT_HEADER: &str = "jacinthhook-idempotent";

/// Longest request id of a caller in bytes.
const MAX_REQUEST_ID_LEN: usize = 128;
/// Longest key in bytes.
const MAX_KEY_LEN: usize = 256;

/// The parsed headers that this system understands.
#[derive(Clone, Debug)]
pub struct CallHeaders {
    pub key: Option<Bytes>,
    pub class: Option<Class>,
    pub deadline: Option<Duration>,
    pub idempotent: Option<bool>,
    pub request_id: Option<String>,
}

impl CallHeaders {
    /// Reads the headers; a malformed or repeated one is refused rather than ignored.
    pub fn read(headers: &CallerHeaders<'_>) -> Result<CallHeaders, Refusal> {
        let key = one(headers, KEY_HEADER)?;
        if key.is_some_and(|k| k.len() > MAX_KEY_LEN || !k.is_ascii()) {
            return Err(Refusal::new(Kind::KeyUnknown));
        }
        Ok(CallHeaders {
            key: key.map(|k| Bytes::copy_from_slice(k.as_bytes())),
            class: one(headers, CLASS_HEADER)?.map(parse_class).transpose()?,
            deadline: one(headers, DEADLINE_HEADER)?.map(parse_deadline).transpose()?,
            idempotent: one(headers, IDEMPOTENT_HEADER)?.map(parse_idempotent).transpose()?,
            request_id: one(headers, REQUEST_ID_HEADER)?.map(parse_request_id).transpose()?,
        })
    }

    /// The call on a service by a method.
    pub fn into_call(self, service: ServiceId, method: Method) -> Call {
        Call {
            service,
            key: self.key,
            class: self.class,
            deadline: self.deadline,
            idempotent: self.idempotent.unwrap_or(is_idempotent(method)),
            request_id: self.request_id,
        }
    }
}

/// Refuses heads over `max` bytes in all.
pub fn check_size(req: &Request<'_>, max: usize) -> Result<(), Refusal> {
    let headers: usize = req.headers().iter().map(|h| h.name.len() + h.value.len() + 4).sum();
    let uri = req.uri().path().len() + req.uri().query().map_or(0, |q| q.len());
    if headers + uri > max {
        let message = format!("the request's head exceeds {max} bytes");
        return Err(Refusal::new(Kind::TooLarge).with_message(message));
    }
    Ok(())
}

/// Declared length of a body in bytes; 0 without a body.
///
/// # Errors
///
/// Refuses chunked coding: `rocket` 0.5.2 ends a request body at a framing error or a lost connection as
/// if it were complete, so only a declared length tells a whole body from a cut one.
pub fn body_length(req: &Request<'_>) -> Result<u64, Refusal> {
    let bad = |message: &str| Refusal::new(Kind::BadRequest).with_message(message);
    if req.headers().contains("transfer-encoding") {
        return Err(bad("a body needs content-length; chunked coding is not accepted"));
    }
    match one(req.headers(), "content-length")? {
        None => Ok(0),
        Some(text) => parse_digits(text).ok_or_else(|| bad("content-length is no number")),
    }
}

/// RFC 9110 section 9.2.2.
fn is_idempotent(method: Method) -> bool {
    match method {
        Method::Get | Method::Head | Method::Put | Method::Delete | Method::Options => true,
        Method::Trace => true,
        Method::Post | Method::Patch | Method::Connect => false,
    }
}

/// A header that may occur once: two values could be read differently further on.
fn one<'h>(headers: &'h CallerHeaders<'_>, name: &str) -> Result<Option<&'h str>, Refusal> {
    let mut values = headers.get(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(malformed(name, "it occurs more than once"));
    }
    Ok(first)
}

fn parse_class(value: &str) -> Result<Class, Refusal> {
    match value {
        "urgent" => Ok(Class::Urgent),
        "planned" => Ok(Class::Planned),
        "overnight" => Ok(Class::Overnight),
        _ => Err(malformed(CLASS_HEADER, "allowed: urgent, planned, overnight")),
    }
}

fn parse_deadline(value: &str) -> Result<Duration, Refusal> {
    let ms = parse_digits(value).filter(|ms| *ms > 0);
    let ms = ms.ok_or_else(|| malformed(DEADLINE_HEADER, "allowed: whole milliseconds from 1"))?;
    Ok(Duration::from_millis(ms))
}

/// `FromStr` of integers accepts a leading `+`; only digits are allowed here.
pub fn parse_digits(value: &str) -> Option<u64> {
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    u64::from_str(value).ok()
}

fn parse_idempotent(value: &str) -> Result<bool, Refusal> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(malformed(IDEMPOTENT_HEADER, "allowed: true, false")),
    }
}

fn parse_request_id(value: &str) -> Result<String, Refusal> {
    let fits = !value.is_empty() && value.len() <= MAX_REQUEST_ID_LEN;
    if !fits || !value.bytes().all(|b| b.is_ascii_graphic()) {
        let allowed = format!("allowed: 1 to {MAX_REQUEST_ID_LEN} visible ASCII characters");
        return Err(malformed(REQUEST_ID_HEADER, &allowed));
    }
    Ok(value.to_string())
}

fn malformed(header: &str, why: &str) -> Refusal {
    Refusal::new(Kind::BadRequest).with_message(format!("header {header}: {why}"))
}
