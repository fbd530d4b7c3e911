//! An upstream's answer on its way to a caller.
//!
//! A short answer that is complete soon is held and sent whole, so that a break in it becomes a
//! clear failure. Any other answer is streamed. When a streamed answer breaks, the caller's
//! connection is closed: `rocket` would end a chunked body as if it were complete
//! (`tests/cut.rs`).

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

/// Longest answer in bytes that is held whole.
const MAX_BUFFERED_LEN: usize = 64 * 1024;
/// How long a held answer may take to complete before it is streamed instead.
const HOLD_TIME: Duration = Duration::from_millis(50);
/// Bytes handed to the HTTP library at a time.
const CHUNK_LEN: usize = 64 * 1024;

/// How an answer's body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// Read from the upstream to its end.
    Complete,
    /// The upstream's connection broke, or the deadline passed.
    Broken,
}

/// What is told the end of a body; dropped without a call when the caller goes away first.
pub type OnEnd = Box<dyn FnOnce(BodyEnd) + Send>;

/// The head of an upstream's answer.
pub struct ResponseHead {
    pub status: u16,
    pub headers: HeaderMap,
    /// Declared length in bytes.
    pub length: Option<u64>,
}

/// The body of an upstream's answer.
pub type ResponseBody = BoxStream<'static, Result<Bytes, AttemptOutcome>>;

/// Splits an upstream's answer into head and body. `idle` is the longest wait for the next piece.
pub fn split(answer: AttemptResponse, idle: Duration) -> (ResponseHead, ResponseBody) {
    let head = ResponseHead {
        status: answer.status.as_u16(),
        headers: answer.headers.clone(),
        length: answer.length,
    };
    let body = stream::unfold(Some(answer), move |answer| async move {
        let mut answer = answer?;
        match answer.next_chunk(idle).await {
            Ok(Some(piece)) => Some((Ok(piece), Some(answer))),
            Ok(None) => None,
            Err(end) => Some((Err(end), None)),
        }
    });
    (head, body.boxed())
}

/// The socket of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerSocket {
    pub local_port: u16,
    pub remote: Option<SocketAddr>,
}

impl CallerSocket {
    /// Closes the connection, so that the caller cannot take the answer for complete.
    fn close(self) {
        let Some(remote) = self.remote else { return };
        // Not found means that the caller has closed it already.
        let _ = connection::abort(self.local_port, remote);
    }
}

/// The part of a body read so far, and whether it is the whole.
pub struct BufferedStart {
    pub data: Bytes,
    pub complete: bool,
}

/// Reads the start of a body: all of it when it is short and complete soon.
pub async fn buffer_start(
    head: &ResponseHead,
    body: &mut ResponseBody,
) -> Result<BufferedStart, AttemptOutcome> {
    let mut buf = BytesMut::new();
    if head.length.is_some_and(|len| len > MAX_BUFFERED_LEN as u64) {
        return Ok(BufferedStart { data: Bytes::new(), complete: false });
    }
    match timeout(HOLD_TIME, collect(body, &mut buf)).await {
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

/// An answer that is streamed.
pub struct StreamedResponse<'r> {
    pub held: Bytes,
    pub body: ResponseBody,
    /// Time after which the answer counts as broken.
    pub until: Instant,
    /// Rest of the caller's body, when the upstream answered before its end.
    pub upload: Option<BoxFuture<'r, Result<(), Refusal>>>,
    pub caller: CallerSocket,
    pub on_end: OnEnd,
}

/// The answer to a caller with a held body.
pub fn buffered_response<'r>(head: &ResponseHead, body: Bytes) -> Response<'r> {
    let mut response = start(head);
    // The length of an answer without a body, as to HEAD, is the upstream's word and not 0.
    let size = head.length.map_or(body.len(), |len| len as usize);
    response.set_sized_body(size, io::Cursor::new(body));
    response.set_max_chunk_size(CHUNK_LEN);
    response
}

/// The answer to a caller with a streamed body.
pub fn streamed_response<'r>(
    head: &ResponseHead,
    streamed_response: StreamedResponse<'r>,
) -> Response<'r> {
    let mut response = start(head);
    let reader = Reader {
        left: head.length,
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

fn start<'r>(head: &ResponseHead) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(head.status));
    for (name, value) in &head.headers {
        // `rocket` keeps header values as text; bytes outside UTF-8 are replaced.
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        response.adjoin_header(Header::new(name.as_str().to_owned(), value));
    }
    response
}

/// Feeds a streamed answer to the HTTP library.
struct Reader<'r> {
    held: Bytes,
    body: ResponseBody,
    /// Bytes that must still come; `None` when the length is not declared.
    left: Option<u64>,
    until: Pin<Box<Sleep>>,
    upload: Option<BoxFuture<'r, Result<(), Refusal>>>,
    caller: CallerSocket,
    on_end: Option<OnEnd>,
}

impl Reader<'_> {
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

    fn give(&mut self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let len = self.held.len().min(buf.remaining());
        if self.left.is_some_and(|left| left < len as u64) {
            return self.fail(io::ErrorKind::InvalidData);
        }
        self.left = self.left.map(|left| left - len as u64);
        buf.put_slice(&self.held[..len]);
        self.held.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Reader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_upload(cx);
        loop {
            if !self.held.is_empty() {
                return self.give(buf);
            }
            match self.body.poll_next_unpin(cx) {
                Poll::Ready(Some(Ok(data))) => self.held = data,
                Poll::Ready(Some(Err(_))) => return self.fail(io::ErrorKind::ConnectionReset),
                Poll::Ready(None) if self.left.unwrap_or(0) > 0 => {
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

/// `rocket` wants a seekable body where the length is given, and does not seek when it is.
impl AsyncSeek for Reader<'_> {
    fn start_seek(self: Pin<&mut Self>, _: io::SeekFrom) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }
}
