//! Reads a request body from a caller and streams it to an upstream.
//!
//! A short body is buffered completely before the request is queued, so that it can be sent again
//! and a slow caller occupies no slot. A longer body is streamed.

use crate::kind::{Kind, Refusal};
use bytes::{Bytes, BytesMut};
use rocket::data::{Data, DataStream, ToByteUnit};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::mpsc;

/// Bodies up to this length in bytes are buffered completely.
pub const MAX_BUFFERED_LEN: usize = 64 * 1024;
/// Maximum number of bytes read from a caller at a time.
const CHUNK_LEN: usize = 32 * 1024;

/// A body of which the first part has been read.
pub struct CallerBody<'r> {
    /// The whole body, or its first `MAX_BUFFERED_LEN` bytes.
    pub buffered: Bytes,
    /// The unread rest; `None` if `buffered` is the whole body.
    pub rest: Option<Box<BodyRest<'r>>>,
}

/// The part of a body that has not been read yet.
pub struct BodyRest<'r> {
    stream: DataStream<'r>,
    /// Number of bytes not yet read.
    remaining: u64,
    /// Declared length of the whole body.
    pub length: u64,
}

/// Reads the first part of a body.
///
/// # Errors
///
/// Returns `TooLarge` if the declared length exceeds `max` bytes, and `BadRequest` if the body ends
/// early.
pub async fn read<'r>(data: Data<'r>, length: u64, max: u64) -> Result<CallerBody<'r>, Refusal> {
    if length > max {
        return Err(too_large(max));
    }
    if length == 0 {
        return Ok(CallerBody { buffered: Bytes::new(), rest: None });
    }
    let mut stream = data.open(length.bytes());
    let (buffered, ended) = read_up_to(&mut stream, MAX_BUFFERED_LEN).await.map_err(body_error)?;
    let remaining = length - buffered.len() as u64;
    match (remaining, ended) {
        (0, _) => Ok(CallerBody { buffered, rest: None }),
        (_, true) => Err(body_error(io::ErrorKind::UnexpectedEof.into())),
        (_, false) => Ok(CallerBody {
            buffered,
            rest: Some(Box::new(BodyRest { stream, remaining, length })),
        }),
    }
}

/// Reads up to `max` bytes; also returns whether the source has ended.
async fn read_up_to(
    source: &mut (impl AsyncRead + Unpin),
    max: usize,
) -> io::Result<(Bytes, bool)> {
    let mut buf = BytesMut::new();
    while buf.len() < max {
        if source.take((max - buf.len()) as u64).read_buf(&mut buf).await? == 0 {
            return Ok((buf.freeze(), true));
        }
    }
    Ok((buf.freeze(), false))
}

/// Returns the refusal of a body that exceeds `max` bytes.
pub fn too_large(max: u64) -> Refusal {
    Refusal::new(Kind::TooLarge).with_message(format!("the body exceeds {max} bytes"))
}

fn body_error(e: io::Error) -> Refusal {
    Refusal::new(Kind::BadRequest).with_message(format!("the body broke off: {e}"))
}

/// Sends a streamed body to one attempt. Only `send_rest` ends the body normally. If the sender is
/// dropped before that, the attempt receives an error, so that the upstream never takes a truncated
/// body for a complete one.
pub struct BodySender {
    tx: mpsc::Sender<io::Result<Bytes>>,
    complete: bool,
}

/// Creates a sender with `buffered` as the first chunk, and the receiver for the attempt.
pub fn body_channel(buffered: Bytes) -> (BodySender, mpsc::Receiver<io::Result<Bytes>>) {
    let (tx, rx) = mpsc::channel(1);
    // Succeeds because the channel is empty and has capacity for one chunk.
    let _ = tx.try_send(Ok(buffered));
    (BodySender { tx, complete: false }, rx)
}

impl BodySender {
    /// Waits until the attempt has taken the first chunk. Before that, nothing has been written.
    pub async fn first_chunk_taken(&self) {
        // An error means that the attempt has ended, which its own result reports.
        let _ = self.tx.reserve().await;
    }

    /// Sends the rest of the body. Returns early if reading the body fails or the attempt ends.
    pub async fn send_rest(mut self, mut rest: Box<BodyRest<'_>>) -> Result<(), Refusal> {
        while rest.remaining > 0 {
            let (data, ended) =
                read_up_to(&mut rest.stream, CHUNK_LEN).await.map_err(body_error)?;
            rest.remaining = rest.remaining.saturating_sub(data.len() as u64);
            if ended && rest.remaining > 0 {
                return Err(body_error(io::ErrorKind::UnexpectedEof.into()));
            }
            if self.tx.send(Ok(data)).await.is_err() {
                return Ok(());
            }
        }
        self.complete = true;
        Ok(())
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if self.complete {
            return;
        }
        let tx = self.tx.clone();
        let error = || Err(io::ErrorKind::UnexpectedEof.into());
        if let Err(mpsc::error::TrySendError::Full(error)) = tx.try_send(error()) {
            // The cloned sender keeps the channel open until the error has been sent.
            tokio::spawn(async move { tx.send(error).await });
        }
    }
}
