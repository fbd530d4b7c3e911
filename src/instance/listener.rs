//! HTTP server of one listener, whose connections and their memory are bounded.
//!
//! `connection_table` decides; this module reads, counts and cuts off. A connection that is cut off while its request is
//! incomplete gets a short response that says so, if its socket takes it at once.

use crate::batch::declarations::RequestLimits;
use crate::event::{Event, Log};
use crate::instance::caller_limits::{ListenerBounds, MIN_READ_BUFFER_BYTES, SOCKET_BUFFER_BYTES};
use crate::instance::connection_table::{
    ConnectionId, ConnectionTable, CutReason, Phase, Place, Take,
};
use crate::metrics::Metrics;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::future::poll_fn;
use std::io::{self, IoSlice, Write};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

/// Time between two checks for connections whose time is over, and between two log lines of one reason.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for requests in progress to be answered when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept, as when no descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a new connection or body waits until another client pauses. Clients that send everything have ended by
/// then; a longer wait would keep others waiting too.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Largest step by which the buffer of a body grows.
const MAX_BODY_STEP: usize = 64 << 10;

type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Returns the limits on a request that are in force.
pub type LimitsInForce = Box<dyn Fn() -> RequestLimits + Send + Sync>;

/// One listener and its connections.
pub struct Listener {
    /// Name in logs and metrics.
    name: &'static str,
    bounds: ListenerBounds,
    limits: LimitsInForce,
    log: Log,
    metrics: Arc<Metrics>,
    table: Mutex<ConnectionTable>,
    /// Wakes the tasks of connections that are cut off.
    cut_signals: Mutex<IndexMap<ConnectionId, Arc<Notify>>>,
    /// Notified when memory becomes free or a connection is closed.
    freed: Notify,
    /// Refusals and cut connections by reason since the last log line.
    counts: Mutex<IndexMap<CutReason, u64>>,
}

impl Listener {
    /// Creates a listener without connections.
    pub fn new(
        name: &'static str,
        bounds: ListenerBounds,
        limits: LimitsInForce,
        log: Log,
        metrics: Arc<Metrics>,
    ) -> Listener {
        Listener {
            name,
            bounds,
            limits,
            log,
            metrics,
            table: Mutex::new(ConnectionTable::new(bounds.body_bytes)),
            cut_signals: Mutex::default(),
            freed: Notify::new(),
            counts: Mutex::default(),
        }
    }

    /// Counts a request that is refused, or a connection that is cut off.
    fn count(&self, reason: CutReason) {
        self.metrics.record_cut(self.name, reason.as_str());
        // Ordinary clients' connections end so as well.
        if !matches!(reason, CutReason::Idle | CutReason::Stopping) {
            *self.counts.lock().entry(reason).or_insert(0) += 1;
        }
    }

    fn signal_cut(&self, ids: &[ConnectionId]) {
        let signals = self.cut_signals.lock();
        ids.iter().filter_map(|id| signals.get(id)).for_each(|signal| signal.notify_one());
    }

    /// Cuts off connections whose time is over, and logs what was refused or cut off since the last check.
    fn check(&self) {
        let (overdue, open, held) = {
            let mut table = self.table.lock();
            let overdue = match self.bounds {
                ListenerBounds::NONE => Vec::new(),
                _ => table.cut_overdue(&(self.limits)(), Instant::now()),
            };
            (overdue, table.len(), table.held())
        };
        self.signal_cut(&overdue);
        self.metrics.set_connections(self.name, open, held);
        for (reason, count) in std::mem::take(&mut *self.counts.lock()) {
            let fields = [
                ("listener", self.name.into()),
                ("reason", reason.as_str().into()),
                ("count", count.into()),
                ("connections", (open as u64).into()),
                ("held_bytes", (held as u64).into()),
            ];
            self.log.event(Event::CallersCut, &fields);
        }
    }
}

/// A running server.
pub struct Server {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and answers requests with `handler`.
    pub fn start<H, F, B>(addr: SocketAddr, listener: Listener, handler: H) -> io::Result<Server>
    where
        H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<B>, BoxError>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let socket = bind(addr, listener.bounds.backlog())?;
        let (stop, stopping) = watch::channel(false);
        let task = tokio::spawn(run(Arc::new(listener), socket, handler, stopping));
        Ok(Server { stop, task })
    }

    /// Accepts no more connections, closes those that wait between two requests, and answers requests in progress.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until a stopped server has ended.
    pub async fn ended(self) {
        // The runtime has already reported a panic of the server.
        let _ = self.task.await;
    }
}

fn bind(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted sockets have the buffers of the listening one. A system that does not take these sizes has its own.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES as u32);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES as u32);
    socket.bind(addr)?;
    socket.listen(backlog)
}

async fn run<H, F, B>(
    listener: Arc<Listener>,
    socket: TcpListener,
    handler: H,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, BoxError>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    let mut next_check = Instant::now() + CHECK_INTERVAL;
    loop {
        tokio::select! {
            biased;
            _ = stopping.changed() => break,
            () = sleep_until(next_check.into()) => {
                listener.check();
                next_check = Instant::now() + CHECK_INTERVAL;
            }
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => accept(&listener, stream, &handler, &stopping).await,
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
    drop(socket);
    let all_closed = async {
        loop {
            let freed = listener.freed.notified();
            if listener.table.lock().is_empty() {
                return;
            }
            freed.await;
        }
    };
    if timeout(STOP_TIMEOUT, all_closed).await.is_err() {
        let cut = listener.table.lock().cut_all();
        listener.signal_cut(&cut);
        tokio::task::yield_now().await;
    }
    listener.check();
}

/// Starts the task of a new connection. If there are too many, another one is cut off for it, or else it is refused.
async fn accept<H, F, B>(
    listener: &Arc<Listener>,
    stream: TcpStream,
    handler: &H,
    stopping: &watch::Receiver<bool>,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, BoxError>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    let max = listener.bounds.connections_for((listener.limits)().max_head_bytes);
    let give_up_at = Instant::now() + ROOM_TIMEOUT;
    while listener.table.lock().len() >= max {
        let place = listener.table.lock().cut_for_place(Instant::now());
        match place {
            Place::Cut(id) => {
                listener.signal_cut(&[id]);
                // Its task closes it before another connection is accepted.
                tokio::task::yield_now().await;
            }
            Place::Soon if Instant::now() < give_up_at => sleep(ROOM_RETRY_DELAY).await,
            Place::Soon | Place::Refused => {
                listener.count(CutReason::Connections);
                return refuse(stream);
            }
        }
    }
    // Without it, responses only arrive later.
    let _ = stream.set_nodelay(true);
    let id = listener.table.lock().open(Instant::now());
    let cut_signal = Arc::new(Notify::new());
    listener.cut_signals.lock().insert(id, cut_signal.clone());
    let wire = Wire { stream, listener: listener.clone(), id };
    tokio::spawn(serve(wire, cut_signal, handler.clone(), stopping.clone()));
}

fn refuse(stream: TcpStream) {
    // The socket is new, so its buffer has room; if not, the client only sees the connection close.
    if let Ok(mut stream) = stream.into_std() {
        let _ = stream.write(&farewell(CutReason::Connections));
    }
}

/// Serves one connection until it ends or is cut off.
async fn serve<H, F, B>(
    wire: Wire,
    cut_signal: Arc<Notify>,
    handler: H,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Result<Response<B>, BoxError>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    let (listener, id) = (wire.listener.clone(), wire.id);
    let service = service_fn(|req: Request<Incoming>| {
        let has_body = !req.body().is_end_stream();
        listener.table.lock().head_complete(id, has_body, Instant::now());
        let listener = listener.clone();
        let body = |incoming| RequestBody { incoming, listener: listener.clone(), id };
        let response = handler(req.map(body));
        async move {
            let response = response.await;
            listener.table.lock().answer_ready(id, Instant::now());
            response.map_err(io::Error::other)
        }
    });
    let max_head = (listener.limits)().max_head_bytes;
    let mut builder = http1::Builder::new();
    // `Listener::check` limits the time of heads.
    builder.max_buf_size(max_head.max(MIN_READ_BUFFER_BYTES)).max_header_size(max_head);
    builder.header_read_timeout(None);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(wire), service));
    let mut is_stopping = *stopping.borrow();
    if is_stopping {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            biased;
            () = cut_signal.notified() => return,
            _ = stopping.changed(), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            result = connection.as_mut() => {
                // Other errors are those of the client or the network.
                if result.is_err_and(|e| e.is_parse_too_large()) {
                    listener.count(CutReason::HeadLong);
                }
                return;
            }
        }
    }
}

/// Response on a connection that is cut off before its request was complete. Nothing of such a request is carried out.
fn farewell(reason: CutReason) -> Vec<u8> {
    let (status, body) = match reason {
        CutReason::HeadSlow | CutReason::BodySlow => {
            ("408 Request Timeout", r#"{"error":"the request came too slowly"}"#)
        }
        CutReason::BodyLong => ("413 Content Too Large", r#"{"error":"the body is too long"}"#),
        _ => ("503 Service Unavailable\r\nretry-after: 1", r#"{"error":"too many open requests"}"#),
    };
    let length = body.len();
    let head = "connection: close\r\ncontent-type: application/json\r\ncontent-length";
    format!("HTTP/1.1 {status}\r\n{head}: {length}\r\n\r\n{body}").into_bytes()
}

/// Socket of a connection. Tells the table what is read and written, and that the connection is closed when it is
/// dropped.
struct Wire {
    stream: TcpStream,
    listener: Arc<Listener>,
    id: ConnectionId,
}

impl Drop for Wire {
    fn drop(&mut self) {
        let cut = self.listener.table.lock().close(self.id);
        self.listener.cut_signals.lock().swap_remove(&self.id);
        if let Some((reason, phase)) = cut {
            self.listener.count(reason);
            if matches!(phase, Phase::Head | Phase::Body) {
                // A client whose socket does not take it sees the connection close.
                let _ = self.stream.try_write(&farewell(reason));
            }
        }
        self.listener.freed.notify_waiters();
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        if count > 0 {
            let max_body = (self.listener.limits)().max_body_bytes;
            let cut = self.listener.table.lock().read(self.id, count, max_body, Instant::now());
            if cut {
                self.listener.signal_cut(&[self.id]);
            }
        }
        result
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.listener.table.lock().flushed(self.id, Instant::now());
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Wire {
    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.listener.table.lock().written(self.id, Instant::now());
        }
    }
}

/// Body of a request. Its end is reported to the table, and so is the memory that `read` takes.
pub struct RequestBody {
    incoming: Incoming,
    listener: Arc<Listener>,
    id: ConnectionId,
}

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    TooLong,
    /// It broke off, or its connection was cut off.
    Incomplete,
    /// There is no memory for it.
    NoRoom,
}

impl RequestBody {
    /// Reads the whole body.
    pub async fn read(mut self) -> Result<HeldBody, BodyError> {
        let max = (self.listener.limits)().max_body_bytes;
        if self.size_hint().lower() > max as u64 {
            self.listener.count(CutReason::BodyLong);
            return Err(BodyError::TooLong);
        }
        let mut body = HeldBody {
            bytes: Vec::new(),
            charge: Charge { listener: self.listener.clone(), held: Held::Body(self.id, 0) },
        };
        while let Some(frame) = self.frame().await {
            // Trailers have no meaning here.
            let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
            let (len, capacity) = (body.bytes.len() + data.len(), body.bytes.capacity());
            if len > max {
                self.listener.count(CutReason::BodyLong);
                return Err(BodyError::TooLong);
            }
            if len > capacity {
                let more =
                    len.max((2 * capacity).min(capacity + MAX_BODY_STEP)).min(max) - capacity;
                body.charge.take(more).await?;
                body.bytes.reserve_exact(capacity + more - body.bytes.len());
            }
            body.bytes.extend_from_slice(&data);
        }
        // Nothing is done for a client that was cut off meanwhile.
        if !self.listener.table.lock().body_complete(self.id, Instant::now()) {
            return Err(BodyError::Incomplete);
        }
        Ok(body)
    }
}

impl Drop for RequestBody {
    /// A handler that reads no further may act on the request, so its connection is no longer one that waits.
    fn drop(&mut self) {
        self.listener.table.lock().body_complete(self.id, Instant::now());
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            let may_serve = self.listener.table.lock().body_complete(self.id, Instant::now());
            if !may_serve {
                return Poll::Ready(Some(Err("the connection was cut off".into())));
            }
        }
        frame.map(|frame| frame.map(|frame| frame.map_err(BoxError::from)))
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled, so that the table learns of it.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A whole body in memory.
pub struct HeldBody {
    bytes: Vec<u8>,
    charge: Charge,
}

impl HeldBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Replaces the body by the record that was made of it. The memory counts until all clones of the returned bytes are
    /// gone.
    pub fn into_record(self, record: Bytes) -> Bytes {
        let HeldBody { bytes, mut charge } = self;
        drop(bytes);
        charge.change_to_record(record.len());
        Bytes::from_owner(HeldRecord { record, _charge: charge })
    }
}

struct HeldRecord {
    record: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for HeldRecord {
    fn as_ref(&self) -> &[u8] {
        &self.record
    }
}

/// What holds memory.
#[derive(Clone, Copy)]
enum Held {
    Body(ConnectionId, usize),
    Record(usize),
}

/// Memory that counts until it is dropped.
struct Charge {
    listener: Arc<Listener>,
    held: Held,
}

impl Charge {
    /// Takes more memory for a body; waits until connections that are cut off for it are gone.
    async fn take(&mut self, bytes: usize) -> Result<(), BodyError> {
        let Held::Body(id, held) = self.held else { return Err(BodyError::Incomplete) };
        let give_up_at = Instant::now() + ROOM_TIMEOUT;
        loop {
            let mut freed = pin!(self.listener.freed.notified());
            freed.as_mut().enable();
            let taken = self.listener.table.lock().take(id, bytes, Instant::now());
            match taken {
                Take::Taken => {
                    self.held = Held::Body(id, held + bytes);
                    return Ok(());
                }
                Take::Soon if Instant::now() < give_up_at => {
                    sleep(ROOM_RETRY_DELAY).await;
                    continue;
                }
                Take::Soon | Take::Refused => {
                    self.listener.count(CutReason::Memory);
                    return Err(BodyError::NoRoom);
                }
                Take::Wait(cut) => self.listener.signal_cut(&cut),
            }
            poll_fn(|cx| match self.listener.table.lock().is_cut(id) {
                true => Poll::Ready(Err(BodyError::Incomplete)),
                false => freed.as_mut().poll(cx).map(Ok),
            })
            .await?;
        }
    }

    fn change_to_record(&mut self, record_bytes: usize) {
        if let Held::Body(id, held) = self.held {
            self.listener.table.lock().body_became_record(id, held, record_bytes);
            self.held = Held::Record(record_bytes);
            self.listener.freed.notify_waiters();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        {
            let mut table = self.listener.table.lock();
            match self.held {
                Held::Body(id, bytes) => table.give_back(id, bytes),
                Held::Record(bytes) => table.record_done(bytes),
            }
        }
        self.listener.freed.notify_waiters();
    }
}
