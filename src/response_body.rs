//! Forwards an upstream's response to a caller.
//!
//! A short response that completes quickly is buffered and sent as a whole, so that a failure while
//! it is read can still be answered with an error. Any other response is streamed. When a streamed
//! response breaks off, the caller's connection is closed, since `rocket` would end a chunked body
//! as if it were complete (`tests/cut.rs`).

use crate::connection;
use crate::health::AttemptOutcome;
use crate::kind::Refusal;
use crate::upstream::AttemptResponse;
use bytes::{Buf, Bytes, BytesMut};
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, StreamExt};
use reqwest::header::HeaderMap;
use rocket::http::{Header, Status};
use rocket::response::Response;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// Maximum size in bytes of a response that is buffered.
const MAX_BUFFERED_LEN: usize = 64 * 1024;
/// Time after which a response that is being buffered is streamed instead.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum bytes passed to the HTTP library at a time.
const CHUNK_LEN: usize = 64 * 1024;

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// The whole body was read from the upstream.
    Complete,
    /// The upstream's connection broke, its body had the wrong length, or the deadline passed.
    Broken,
}

/// Callback for the end of a body. It is dropped without a call if the caller disconnects first.
pub type OnEnd = Box<dyn FnOnce(BodyEnd) + Send>;

/// Head of an upstream's response.
pub struct ResponseHead {
    pub status: u16,
    pub headers: HeaderMap,
    /// Declared length of the body in bytes.
    pub length: Option<u64>,
}

/// Body of an upstream's response.
pub type ResponseBody = BoxStream<'static, Result<Bytes, AttemptOutcome>>;

/// Splits an upstream's response into head and body. `idle_timeout` limits the wait for each chunk.
pub fn split(answer: AttemptResponse, idle_timeout: Duration) -> (ResponseHead, ResponseBody) {
    let head = ResponseHead {
        status: answer.status.as_u16(),
        headers: answer.headers.clone(),
        length: answer.length,
    };
    let body = stream::unfold(Some(answer), move |answer| async move {
        let mut answer = answer?;
        match answer.next_chunk(idle_timeout).await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(answer))),
            Ok(None) => None,
            Err(end) => Some((Err(end), None)),
        }
    });
    (head, body.boxed())
}

/// Addresses of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerSocket {
    pub local_port: u16,
    pub remote: Option<SocketAddr>,
}

impl CallerSocket {
    /// Aborts the connection, so that the caller cannot mistake the response for complete.
    fn close(self) {
        let Some(remote) = self.remote else { return };
        // The connection is not found if the caller has already closed it.
        let _ = connection::abort(self.local_port, remote);
    }
}

/// Start of a body, and whether it is the whole body.
pub struct BufferedStart {
    pub data: Bytes,
    pub complete: bool,
}

/// Reads the start of a body: the whole body if it is short and completes within `BUFFER_TIMEOUT`.
pub async fn buffer_start(
    head: &ResponseHead,
    body: &mut ResponseBody,
) -> Result<BufferedStart, AttemptOutcome> {
    let mut buf = BytesMut::new();
    if head.length.is_some_and(|len| len > MAX_BUFFERED_LEN as u64) {
        return Ok(BufferedStart { data: Bytes::new(), complete: false });
    }
    match timeout(BUFFER_TIMEOUT, collect(body, &mut buf)).await {
        Ok(complete) => Ok(BufferedStart { complete: complete?, data: buf.freeze() }),
        Err(_) => Ok(BufferedStart { complete: false, data: buf.freeze() }),
    }
}

async fn collect(body: &mut ResponseBody, buf: &mut BytesMut) -> Result<bool, AttemptOutcome> {
    while buf.len() <= MAX_BUFFERED_LEN {
        match body.next().await {
            Some(data) => buf.extend_from_slice(&data?),
            None => return Ok(true),
        }
    }
    Ok(false)
}

/// Parts of a streamed response.
pub struct StreamedResponse<'r> {
    pub held: Bytes,
    pub body: ResponseBody,
    /// Deadline after which the response counts as broken.
    pub until: Instant,
    /// Sends the rest of the caller's body if the upstream responded before its end.
    pub upload: Option<BoxFuture<'r, Result<(), Refusal>>>,
    pub caller: CallerSocket,
    pub on_end: OnEnd,
}

/// Builds the response to a caller from a buffered body.
pub fn buffered_response<'r>(head: &ResponseHead, body: Bytes) -> Response<'r> {
    let mut response = response_with_head(head);
    // A response without a body, as to HEAD, keeps the length that the upstream declared.
    let size = head.length.map_or(body.len(), |len| len as usize);
    response.set_sized_body(size, io::Cursor::new(body));
    response.set_max_chunk_size(CHUNK_LEN);
    response
}

/// Builds the response to a caller with a streamed body.
pub fn streamed_response<'r>(
    head: &ResponseHead,
    streamed_response: StreamedResponse<'r>,
) -> Response<'r> {
    let mut response = response_with_head(head);
    let reader = StreamReader {
        expected: head.length,
        held: streamed_response.held,
        body: streamed_response.body,
        until: Box::pin(sleep_until(streamed_response.until)),
        upload: streamed_response.upload,
        caller: streamed_response.caller,
        on_end: Some(streamed_response.on_end),
    };
    match head.length {
        Some(len) => response.set_sized_body(len as usize, reader),
        None => response.set_streamed_body(reader),
    }
    response.set_max_chunk_size(CHUNK_LEN);
    response
}

fn response_with_head<'r>(head: &ResponseHead) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(head.status));
    for (name, value) in &head.headers {
        // `rocket` stores header values as text, so invalid UTF-8 is replaced.
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        response.adjoin_header(Header::new(name.as_str().to_owned(), value));
    }
    response
}

/// Reader of a streamed response for the HTTP library.
struct StreamReader<'r> {
    held: Bytes,
    body: ResponseBody,
    /// Bytes of the body still expected; `None` if the length is not declared.
    expected: Option<u64>,
    until: Pin<Box<Sleep>>,
    upload: Option<BoxFuture<'r, Result<(), Refusal>>>,
    caller: CallerSocket,
    on_end: Option<OnEnd>,
}

impl StreamReader<'_> {
    fn end(&mut self, end: BodyEnd) {
        if end == BodyEnd::Broken {
            self.caller.close();
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn fail(&mut self, kind: io::ErrorKind) -> Poll<io::Result<()>> {
        self.end(BodyEnd::Broken);
        Poll::Ready(Err(kind.into()))
    }

    fn poll_upload(&mut self, cx: &mut Context<'_>) {
        if let Some(upload) = &mut self.upload
            && upload.as_mut().poll(cx).is_ready()
        {
            self.upload = None;
        }
    }

    fn copy_buffered(&mut self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let len = self.held.len().min(buf.remaining());
        if self.expected.is_some_and(|expected| expected < len as u64) {
            return self.fail(io::ErrorKind::InvalidData);
        }
        self.expected = self.expected.map(|expected| expected - len as u64);
        buf.put_slice(&self.held[..len]);
        self.held.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for StreamReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_upload(cx);
        loop {
            if !self.held.is_empty() {
                return self.copy_buffered(buf);
            }
            match self.body.poll_next_unpin(cx) {
                Poll::Ready(Some(Ok(data))) => self.held = data,
                Poll::Ready(Some(Err(_))) => return self.fail(io::ErrorKind::ConnectionReset),
                Poll::Ready(None) if self.expected.unwrap_or(0) > 0 => {
                    return self.fail(io::ErrorKind::UnexpectedEof);
                }
                Poll::Ready(None) => {
                    self.end(BodyEnd::Complete);
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending if self.until.as_mut().poll(cx).is_ready() => {
                    return self.fail(io::ErrorKind::TimedOut);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// `rocket` requires a seekable body where the length is given, but does not seek in it.
impl AsyncSeek for StreamReader<'_> {
    fn start_seek(self: Pin<&mut Self>, _: io::SeekFrom) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }
}
