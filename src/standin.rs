//! Common parts of the platform and upstream stand-ins: a `rocket` server on a given or free port,
//! and fault switches that are set with `PUT /faults`.

use crate::connection;
use crate::http_server;
use crate::protocol::EXCHANGE_HEADER;
use bytes::Bytes;
use futures::stream::BoxStream;
use parking_lot::Mutex;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::request::{self, FromRequest, Request};
use rocket::response::{self, Responder, Response, stream::ByteStream};
use rocket::{Build, Rocket, Route, Shutdown, State};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Maximum number of remote addresses tracked for `silence_open`.
const MAX_REMEMBERED_ADDRS: usize = 65_536;
/// Maximum length of the body of `PUT /faults` in bytes.
const MAX_FAULTS_LEN: u64 = 4 * 1024;

/// Fault switches. The default injects no fault.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Closes the connection of every call before processing it.
    pub down: bool,
    /// Fails every call, and an upstream's tasks as well.
    pub fail: bool,
    /// Number of next calls that are processed but whose connection is closed instead of sending an
    /// answer.
    pub lose_answers: u32,
    /// Number of next answers that are delayed by `late_ms` after the call has been processed.
    pub late_answers: u32,
    /// Delay of `late_answers` in milliseconds.
    pub late_ms: u64,
    /// Number of next answers that carry the exchange header of an earlier call.
    pub crossed_answers: u32,
    /// Keeps the connections used so far open but sends nothing on them any more. New connections
    /// work. Applied once, when it is set.
    pub silence_open: bool,
}

/// Error of starting a stand-in.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// The server could not bind its port or could not be launched.
    #[snafu(display("stand-in on {addr} did not start: {message}"))]
    Launch { addr: SocketAddr, message: String },
}

/// Tracks which connections were in use when `silence_open` was set.
#[derive(Debug, Default)]
struct SilencedConnections {
    /// Number of times that `silence_open` has been set.
    epoch: u64,
    /// Epoch in which each remote address was first seen. Connections of an earlier epoch are
    /// silent.
    first_epochs: HashMap<SocketAddr, u64>,
}

/// State of the fault switches of one stand-in.
#[derive(Debug, Default)]
pub struct FaultSwitches {
    faults: Mutex<Faults>,
    silence: Mutex<SilencedConnections>,
    /// Exchange header of the last call that was answered.
    last_exchange: Mutex<String>,
}

impl FaultSwitches {
    /// Replaces all switches.
    pub fn set(&self, mut faults: Faults) {
        if std::mem::take(&mut faults.silence_open) {
            self.silence.lock().epoch += 1;
        }
        *self.faults.lock() = faults;
    }

    /// Returns the current switches. Counters show the remaining number of faults.
    pub fn get(&self) -> Faults {
        self.faults.lock().clone()
    }

    fn is_silenced(&self, remote: SocketAddr) -> bool {
        let mut silence = self.silence.lock();
        let epoch = silence.epoch;
        if silence.first_epochs.len() >= MAX_REMEMBERED_ADDRS {
            silence.first_epochs.retain(|_, first_epoch| *first_epoch < epoch);
        }
        *silence.first_epochs.entry(remote).or_insert(epoch) < epoch
    }

    /// Uses up one occurrence of a counted fault. Returns false if none is left.
    fn consume(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock();
        let remaining = counter(&mut faults);
        let was_set = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        was_set
    }

    /// Returns the exchange header for an answer: the call's own, or that of an earlier call if
    /// `crossed_answers` applies.
    fn exchange_for(&self, own: &str) -> String {
        let mut last = self.last_exchange.lock();
        if self.consume(|f| &mut f.crossed_answers) {
            return if last.is_empty() { "crossed".to_string() } else { last.clone() };
        }
        own.clone_into(&mut last);
        own.to_string()
    }
}

/// Request guard that injects the faults into one call.
pub struct FaultGuard {
    switches: Arc<FaultSwitches>,
    exchange: Option<String>,
    remote: SocketAddr,
    port: u16,
    shutdown: Shutdown,
    /// Whether the handler must fail the call.
    pub failing: bool,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for FaultGuard {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> request::Outcome<FaultGuard, ()> {
        match FaultGuard::apply_before(req).await {
            Some(guard) => request::Outcome::Success(guard),
            None => request::Outcome::Error((Status::ServiceUnavailable, ())),
        }
    }
}

impl FaultGuard {
    /// Applies the faults that act before the call is processed. Returns `None` if the connection
    /// was closed.
    pub async fn apply_before(req: &Request<'_>) -> Option<FaultGuard> {
        let switches = req.rocket().state::<Arc<FaultSwitches>>()?.clone();
        let faults = switches.get();
        let guard = FaultGuard {
            switches,
            exchange: req.headers().get_one(EXCHANGE_HEADER).map(str::to_string),
            remote: req.remote()?,
            port: req.rocket().config().port,
            shutdown: req.rocket().shutdown(),
            failing: faults.fail,
        };
        guard.hang_if_silenced().await;
        if faults.down {
            guard.abort_connection().await;
            return None;
        }
        pause(faults.slow_ms).await;
        Some(guard)
    }

    /// Applies the faults that act after the call has been processed, before its answer is sent.
    pub async fn apply_after(self, answer: Answer) -> Answer {
        self.hang_if_silenced().await;
        if self.switches.consume(|f| &mut f.late_answers) {
            pause(self.switches.get().late_ms).await;
        }
        if self.switches.consume(|f| &mut f.lose_answers) {
            self.abort_connection().await;
        }
        match &self.exchange {
            Some(own) => answer.with_header(EXCHANGE_HEADER, self.switches.exchange_for(own)),
            None => answer,
        }
    }

    /// Closes the call's connection. An answer returned afterwards reaches nobody.
    pub async fn abort_connection(&self) {
        connection::abort_response(self.port, self.remote).await;
    }

    /// Returns the local port and remote address, with which the connection can be closed later.
    pub fn connection(&self) -> (u16, SocketAddr) {
        (self.port, self.remote)
    }

    /// Returns immediately unless the connection is silent. A silent call hangs until the server
    /// shuts down.
    async fn hang_if_silenced(&self) {
        if self.switches.is_silenced(self.remote) {
            self.shutdown.clone().await;
        }
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// Sent with a `content-length`.
    Full(Bytes),
    /// Sent in chunks as they are produced.
    Stream(BoxStream<'static, Bytes>),
}

/// Answer of a stand-in.
pub struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: AnswerBody,
}

impl Answer {
    /// An answer without a body.
    pub fn new(status: u16) -> Answer {
        Answer { status, headers: Vec::new(), body: AnswerBody::Full(Bytes::new()) }
    }

    /// An answer with a JSON body.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Answer {
        match serde_json::to_vec(value) {
            Ok(body) => Answer::new(status)
                .with_body(AnswerBody::Full(body.into()))
                .with_header("content-type", "application/json"),
            Err(_) => Answer::new(500),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Answer {
        self.headers.push((name, value.into()));
        self
    }

    /// Replaces the body.
    pub fn with_body(mut self, body: AnswerBody) -> Answer {
        self.body = body;
        self
    }
}

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            AnswerBody::Full(body) => {
                let size = body.len();
                Response::build().sized_body(size, std::io::Cursor::new(body)).finalize()
            }
            AnswerBody::Stream(stream) => ByteStream::from(stream).respond_to(req)?,
        };
        response.set_status(Status::new(self.status));
        for (name, value) in self.headers {
            response.set_raw_header(name, value);
        }
        if response.content_type().is_none() {
            response.set_header(ContentType::Binary);
        }
        Ok(response)
    }
}

/// A server that runs until it is stopped or dropped.
pub struct RunningServer {
    addr: SocketAddr,
    shutdown: Shutdown,
    task: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Returns the address that the server is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server and drops its connections as a crash would, without waiting for calls in
    /// flight.
    pub async fn stop(mut self) {
        self.shutdown.clone().notify();
        if let Some(task) = self.task.take() {
            // The task ends with the server, and the runtime has already reported a panic in it.
            let _ = task.await;
        }
    }

    /// Waits until the server has stopped.
    pub async fn wait_until_stopped(&mut self) {
        if let Some(task) = &mut self.task {
            let _ = task.await;
            self.task = None;
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Builds a server with the `/faults` routes, without launching it.
pub fn build(addr: SocketAddr, switches: Arc<FaultSwitches>) -> Rocket<Build> {
    // A stand-in stops like a crashed process, with no time for calls in flight to finish.
    http_server::base_with_shutdown(addr, 0, 0).manage(switches).mount("/", fault_routes())
}

fn fault_routes() -> Vec<Route> {
    rocket::routes![put_faults, get_faults]
}

#[rocket::put("/faults", data = "<data>")]
async fn put_faults(data: Data<'_>, switches: &State<Arc<FaultSwitches>>) -> Answer {
    let Ok(body) = data.open(MAX_FAULTS_LEN.bytes()).into_bytes().await else {
        return Answer::new(400);
    };
    match serde_json::from_slice(&body) {
        Ok(faults) => {
            switches.set(faults);
            Answer::json(200, &switches.get())
        }
        Err(e) => Answer::json(400, &e.to_string()),
    }
}

#[rocket::get("/faults")]
fn get_faults(switches: &State<Arc<FaultSwitches>>) -> Answer {
    Answer::json(200, &switches.get())
}

/// Launches a server and returns once it is bound to its port.
pub async fn launch(
    addr: SocketAddr,
    rocket: Rocket<Build>,
) -> Result<RunningServer, StandinError> {
    match http_server::launch(rocket).await {
        Ok((addr, shutdown, task)) => Ok(RunningServer { addr, shutdown, task: Some(task) }),
        Err(message) => Err(StandinError::Launch { addr, message }),
    }
}
