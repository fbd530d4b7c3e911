//! HTTP client for all services of the platform.

use crate::platform::json;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use snafu::Snafu;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;
use tower_service::Service;

/// Limits the time to connect. Connecting hangs during a network partition; zones are a few ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection is closed if sent bytes stay unacknowledged this long, which detects a dead
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections are closed after this; the platform's clients keep theirs for 15 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest pause within the body of a response. There is no limit on the whole body: how long it
/// takes depends on the link, and a page that is given up would not arrive at the next try either.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest body of a response. The platform's pages carry 1 MB, or one larger record.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum number of idle connections per host. With thousands of workers, idle connections use up
/// the descriptors of the owner.
pub const MAX_IDLE_PER_HOST: usize = 3;

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
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Parses a page of entries as JSON. Entries that cannot be read are null, and so is the whole page
    /// if it is not valid JSON.
    pub fn json_page(&self) -> Value {
        json::parse_tolerant(&self.body).unwrap_or_default()
    }
}

/// Tells whether a request may still be written.
pub type Permit = Arc<dyn Fn() -> bool + Send + Sync>;

/// The permit of a request ended before the request was written.
#[derive(Debug, Snafu)]
#[snafu(display("the request is not permitted any more"))]
struct PermitEnded;

/// Body of a request. Checks the permit when the connection takes the body to write it: connecting may have taken
/// any time. Without its body, a request has no effect.
struct RequestBody {
    bytes: Option<Bytes>,
    permit: Option<Permit>,
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestBody").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = PermitEnded;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PermitEnded>>> {
        if self.permit.as_ref().is_some_and(|may_write| !may_write()) {
            return Poll::Ready(Some(Err(PermitEnded)));
        }
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// HTTP client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, RequestBody>,
    connector: HttpConnector,
}

/// One connection to a service. It ends with the process that accepted it, so a request on it reaches that
/// process or none, whatever listens at the address by then.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
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

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}

impl Http {
    /// Creates a client without connections.
    pub fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector.clone());
        Http { client, connector }
    }

    /// Connects to `address`, `IP:PORT`. The only error is `CallFailure::NotSent`.
    pub async fn connect(&self, address: &str) -> Result<Connection, CallFailure> {
        let uri = Uri::builder().scheme("http").authority(address).path_and_query("/").build();
        let uri = uri.map_err(|_| CallFailure::NotSent)?;
        let mut connector = self.connector.clone();
        poll_fn(|cx| connector.poll_ready(cx)).await.map_err(|_| CallFailure::NotSent)?;
        let io = connector.call(uri).await.map_err(|_| CallFailure::NotSent)?;
        let (sender, connection) = http1::handshake(io).await.map_err(|_| CallFailure::NotSent)?;
        // Ends with `sender`; its errors show in the calls.
        tokio::spawn(connection);
        Ok(Connection { sender })
    }

    /// Sends a request and reads the whole response.
    pub async fn call(&self, call: Call<'_>) -> Result<HttpResponse, CallFailure> {
        let limit = call.timeout;
        // Ids, numbers and addresses of the platform are all valid in a request.
        let request = build_request(call, None).ok_or(CallFailure::NotSent)?;
        let response = timeout(limit, self.client.request(request))
            .await
            .map_err(|_| CallFailure::NoResponse)?
            .map_err(|e| match e.is_connect() {
                true => CallFailure::NotSent,
                false => CallFailure::NoResponse,
            })?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body()).await?;
        Ok(HttpResponse { status, body })
    }
}

impl Connection {
    /// Whether the other end has not closed the connection, as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request, if `permit` allows it when the request is written, and reads the whole response. The
    /// connection must not be used after an error.
    pub async fn call(
        &mut self,
        call: Call<'_>,
        permit: Option<Permit>,
    ) -> Result<HttpResponse, CallFailure> {
        let limit = call.timeout;
        let host = HeaderValue::from_str(call.address).map_err(|_| CallFailure::NotSent)?;
        let path = call.path.parse().map_err(|_| CallFailure::NotSent)?;
        let mut request = build_request(call, permit).ok_or(CallFailure::NotSent)?;
        // The request itself names only the path, and the header the host.
        *request.uri_mut() = path;
        request.headers_mut().insert(HOST, host);
        let response = timeout(limit, async {
            self.sender.ready().await.map_err(|_| CallFailure::NotSent)?;
            let response = self.sender.try_send_request(request).await;
            // A message that is returned was not written.
            response.map_err(|mut e| match e.take_message() {
                Some(_) => CallFailure::NotSent,
                None => CallFailure::NoResponse,
            })
        });
        let response = response.await.map_err(|_| CallFailure::NoResponse)??;
        let status = response.status().as_u16();
        let body = read_body(response.into_body()).await?;
        Ok(HttpResponse { status, body })
    }
}

/// Whether a service that responds with this status has not carried out the call. Other errors may
/// come from a call that was carried out.
pub fn had_no_effect(status: u16) -> bool {
    matches!(status, 400..=499 | 503 | 507)
}

/// Percent-encodes a value for a query string.
pub fn percent_encode(value: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    let bytes = value.bytes();
    bytes
        .map(|b| if is_unreserved(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}

/// Returns `None` if a part is not valid in a request.
fn build_request(call: Call<'_>, permit: Option<Permit>) -> Option<Request<RequestBody>> {
    let uri = Uri::builder().scheme("http").authority(call.address).path_and_query(call.path);
    let mut headers = HeaderMap::with_capacity(call.headers.len() + 2);
    for (name, value) in call.headers {
        headers.insert(*name, HeaderValue::from_str(value).ok()?);
    }
    if !call.body.is_empty() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let bytes = Some(call.body).filter(|bytes| !bytes.is_empty());
    let mut request = Request::new(RequestBody { bytes, permit });
    *request.method_mut() = call.method;
    *request.uri_mut() = uri.build().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

async fn read_body(mut body: Incoming) -> Result<Bytes, CallFailure> {
    let mut buf = BytesMut::new();
    loop {
        match timeout(BODY_STALL_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(chunk) = frame.into_data() {
                    if chunk.len() > MAX_BODY_BYTES - buf.len() {
                        return Err(CallFailure::NoResponse);
                    }
                    buf.extend_from_slice(&chunk);
                }
            }
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(_))) | Err(_) => return Err(CallFailure::NoResponse),
        }
    }
}
