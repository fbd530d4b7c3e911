//! What the stand-ins for platform and upstream share: a `rocket` server on a given or free port,
//! and fault switches at `PUT /faults`.

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

/// Most remote addresses remembered for `silence_open`.
const MAX_SEEN: usize = 65_536;
/// Largest body of `PUT /faults` in bytes.
const MAX_FAULTS_LEN: u64 = 4 * 1024;

/// Fault switches; the default is no fault.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Every connection is closed before its call takes effect.
    pub down: bool,
    /// Every call fails; an upstream's tasks fail as well.
    pub fail: bool,
    /// The next calls take effect, but the connection is closed instead of an answer.
    pub lose_answers: u32,
    /// The next answers come late by `late_ms`, after the effect.
    pub late_answers: u32,
    /// How late `late_answers` are, in milliseconds.
    pub late_ms: u64,
    /// The next answers carry the exchange header of an earlier call.
    pub crossed_answers: u32,
    /// Connections used so far stay open and answer nothing any more; new ones work. Acts once.
    pub silence_open: bool,
}

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// The server could not bind or launch.
    #[snafu(display("stand-in on {addr} did not start: {message}"))]
    Launch { addr: SocketAddr, message: String },
}

/// The connections that a stand-in has seen, and when silence fell on them.
#[derive(Debug, Default)]
struct Silence {
    /// Number of `silence_open` commands so far.
    epoch: u64,
    /// Epoch in which each remote address was first seen; one of an earlier epoch is silent.
    seen: HashMap<SocketAddr, u64>,
}

/// Switches of one stand-in.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
    silence: Mutex<Silence>,
    /// Exchange header of the last call answered.
    last_exchange: Mutex<String>,
}

impl Switches {
    /// Replaces all switches.
    pub fn set(&self, mut faults: Faults) {
        if std::mem::take(&mut faults.silence_open) {
            self.silence.lock().epoch += 1;
        }
        *self.faults.lock() = faults;
    }

    /// The switches now; counters show what is left.
    pub fn get(&self) -> Faults {
        self.faults.lock().clone()
    }

    fn is_silent(&self, remote: SocketAddr) -> bool {
        let mut silence = self.silence.lock();
        let epoch = silence.epoch;
        if silence.seen.len() >= MAX_SEEN {
            silence.seen.retain(|_, first| *first < epoch);
        }
        *silence.seen.entry(remote).or_insert(epoch) < epoch
    }

    /// Takes one of a counted fault.
    fn take(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock();
        let left = counter(&mut faults);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }

    /// The exchange header to answer with: the call's own, or an earlier call's when crossed.
    fn exchange_for(&self, own: &str) -> String {
        let mut last = self.last_exchange.lock();
        if self.take(|f| &mut f.crossed_answers) {
            return if last.is_empty() { "crossed".to_string() } else { last.clone() };
        }
        own.clone_into(&mut last);
        own.to_string()
    }
}

/// One call on its way through the switches.
pub struct Gate {
    switches: Arc<Switches>,
    exchange: Option<String>,
    remote: SocketAddr,
    port: u16,
    shutdown: Shutdown,
    /// Whether the call must fail.
    pub failing: bool,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Gate {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> request::Outcome<Gate, ()> {
        match Gate::enter(req).await {
            Some(gate) => request::Outcome::Success(gate),
            None => request::Outcome::Error((Status::ServiceUnavailable, ())),
        }
    }
}

impl Gate {
    /// Applies the switches that act before the effect; `None` when the connection was closed.
    pub async fn enter(req: &Request<'_>) -> Option<Gate> {
        let switches = req.rocket().state::<Arc<Switches>>()?.clone();
        let faults = switches.get();
        let gate = Gate {
            switches,
            exchange: req.headers().get_one(EXCHANGE_HEADER).map(str::to_string),
            remote: req.remote()?,
            port: req.rocket().config().port,
            shutdown: req.rocket().shutdown(),
            failing: faults.fail,
        };
        gate.stay_silent().await;
        if faults.down {
            gate.cut().await;
            return None;
        }
        pause(faults.slow_ms).await;
        Some(gate)
    }

    /// Applies the switches that act between the effect and the answer.
    pub async fn leave(self, answer: Answer) -> Answer {
        self.stay_silent().await;
        if self.switches.take(|f| &mut f.late_answers) {
            pause(self.switches.get().late_ms).await;
        }
        if self.switches.take(|f| &mut f.lose_answers) {
            self.cut().await;
        }
        match &self.exchange {
            Some(own) => answer.with_header(EXCHANGE_HEADER, self.switches.exchange_for(own)),
            None => answer,
        }
    }

    /// Closes the call's connection; what is answered after that reaches nobody.
    pub async fn cut(&self) {
        connection::abort_response(self.port, self.remote).await;
    }

    /// What is needed to close the connection later.
    pub fn connection(&self) -> (u16, SocketAddr) {
        (self.port, self.remote)
    }

    /// Returns at once unless the connection is silent; then only at the end of the server.
    async fn stay_silent(&self) {
        if self.switches.is_silent(self.remote) {
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
    /// Sent with a length.
    Full(Bytes),
    /// Sent in chunks as they come.
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
pub struct Running {
    addr: SocketAddr,
    shutdown: Shutdown,
    task: Option<JoinHandle<()>>,
}

impl Running {
    /// The address it is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends the server and its connections as a crash would, without waiting for calls in flight.
    pub async fn stop(mut self) {
        self.shutdown.clone().notify();
        if let Some(task) = self.task.take() {
            // The task ends with the server; a panic in it has been reported by the runtime.
            let _ = task.await;
        }
    }

    /// Returns when the server has ended.
    pub async fn ended(&mut self) {
        if let Some(task) = &mut self.task {
            let _ = task.await;
            self.task = None;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// A server with the `/faults` routes that is not launched yet.
pub fn build(addr: SocketAddr, switches: Arc<Switches>) -> Rocket<Build> {
    // A stand-in ends as a crash would: at once.
    http_server::base_with_shutdown(addr, 0, 0).manage(switches).mount("/", fault_routes())
}

fn fault_routes() -> Vec<Route> {
    rocket::routes![put_faults, get_faults]
}

#[rocket::put("/faults", data = "<data>")]
async fn put_faults(data: Data<'_>, switches: &State<Arc<Switches>>) -> Answer {
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
fn get_faults(switches: &State<Arc<Switches>>) -> Answer {
    Answer::json(200, &switches.get())
}

/// Launches a server and returns once it is bound.
pub async fn launch(addr: SocketAddr, rocket: Rocket<Build>) -> Result<Running, StandinError> {
    match http_server::launch(rocket).await {
        Ok((addr, shutdown, task)) => Ok(Running { addr, shutdown, task: Some(task) }),
        Err(message) => Err(StandinError::Launch { addr, message }),
    }
}
