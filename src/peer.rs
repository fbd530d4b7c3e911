//! Calls between entry instances over `jsonrpsee`: relay of the log's tail, the view for a fresh
//! instance, use of issued request ids, holds, and how far an instance has folded the log.

use crate::entry::Entry;
use crate::ids::*;
use crate::kind::{Kind, Refusal};
use crate::node::{Relayed, RequestIdStep};
use crate::protocol::hex_bytes;
use crate::record::Record;
use bytes::{Bytes, BytesMut};
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most entries in one relay answer; with entries of at most 256 KiB in hex this stays under
/// `MAX_ANSWER_LEN` but for extreme entries, which `relay_that_fits` cuts.
pub const RELAY_MAX: usize = 256;
/// Largest request or answer between peers in bytes.
const MAX_ANSWER_LEN: u32 = 4 * 1024 * 1024;
/// Bytes of entries in one relay answer; hex doubles them.
const RELAY_BYTES: usize = 1024 * 1024;
/// Bytes of the view in one part; hex doubles them.
const VIEW_PART_LEN: usize = 1024 * 1024;
/// How long an encoded view is kept for the next part.
const VIEW_KEPT: Duration = Duration::from_secs(20);
/// Connections served at once; a fleet has tens of entry instances.
const MAX_CONNECTIONS: u32 = 256;

/// How far an entry instance has folded the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    pub id: EntryId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// First offset not folded; 0 without a view.
    pub next: Offset,
    /// Age of the view in milliseconds.
    pub view_age_ms: u64,
    /// Holds in force there.
    pub holds: Vec<OpId>,
}

/// One part of an encoded view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewPart {
    /// crc32 of the whole; differs when the view was encoded anew between two parts.
    pub crc: u32,
    /// Length of the whole in bytes; 0 when the peer has no view.
    pub total: usize,
    #[serde(with = "hex_bytes")]
    pub data: Bytes,
}

/// Answer to `use_id`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdUse {
    /// Whether the asking instance may run the request.
    pub run: bool,
    /// Why not.
    pub kind: Option<Kind>,
    /// Whether the earlier use ran.
    pub ran: Option<crate::kind::Ran>,
    pub message: String,
}

impl IdUse {
    fn from_step(step: RequestIdStep) -> IdUse {
        match step {
            RequestIdStep::Run => {
                IdUse { run: true, kind: None, ran: None, message: String::new() }
            }
            RequestIdStep::Refuse(r) => {
                IdUse { run: false, kind: Some(r.kind), ran: Some(r.ran), message: r.message }
            }
            // Only the issuer answers with knowledge; anything else leaves the id unresolved.
            RequestIdStep::AskIssuer { .. } | RequestIdStep::WaitClaim(_) => {
                IdUse::from_step(RequestIdStep::Refuse(Refusal::new(Kind::IdUnresolved)))
            }
        }
    }

    /// The refusal that the answer stands for; `None` when the request may run.
    pub fn refusal(self) -> Option<Refusal> {
        if self.run {
            return None;
        }
        let refusal = Refusal::new(self.kind.unwrap_or(Kind::IdUnresolved));
        let ran = self.ran.unwrap_or(refusal.ran);
        Some(refusal.with_ran(ran).with_message(self.message))
    }
}

/// The calls between entry instances.
#[rpc(server, client, namespace = "peer")]
pub trait PeerApi {
    /// Entries from `from` on that the peer still has.
    #[method(name = "relay")]
    async fn relay(&self, from: Offset, max: usize) -> RpcResult<Relayed>;

    /// Bytes of the encoded view from `at` on.
    #[method(name = "view")]
    async fn view(&self, at: usize) -> RpcResult<ViewPart>;

    /// Marks an id that the peer issued as used.
    #[method(name = "use_id")]
    async fn use_id(&self, id: String) -> RpcResult<IdUse>;

    /// Takes a hold; answers whether it was new.
    #[method(name = "hold")]
    async fn hold(&self, hold: Record) -> RpcResult<bool>;

    /// Holds in force at the peer.
    #[method(name = "holds")]
    async fn holds(&self) -> RpcResult<Vec<Record>>;

    /// How far the peer has folded the log.
    #[method(name = "seen")]
    async fn seen(&self) -> RpcResult<PeerStatus>;
}

/// Serves the calls of other entry instances.
struct PeerServer {
    entry: Arc<Entry>,
    /// The view that a peer is fetching part by part.
    view: Mutex<Option<(Instant, Bytes)>>,
}

impl PeerServer {
    /// The encoded view; the first part encodes it anew.
    fn encoded_view(&self, at: usize) -> Bytes {
        let mut kept = self.view.lock();
        let fresh = |(since, _): &(Instant, Bytes)| since.elapsed() < VIEW_KEPT;
        if at == 0 || !kept.as_ref().is_some_and(fresh) {
            *kept = Some((Instant::now(), self.entry.node.lock().view_bytes()));
        }
        kept.as_ref().map(|(_, bytes)| bytes.clone()).unwrap_or_default()
    }
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn relay(&self, from: Offset, max: usize) -> RpcResult<Relayed> {
        let now = self.entry.now();
        let relayed = self.entry.node.lock().relay_view(now, from, max.min(RELAY_MAX));
        Ok(relay_that_fits(relayed))
    }

    async fn view(&self, at: usize) -> RpcResult<ViewPart> {
        let bytes = self.encoded_view(at);
        if at > bytes.len() {
            let message = format!("the view has {} bytes, not {at}", bytes.len());
            return Err(ErrorObjectOwned::owned(INVALID_PARAMS, message, None::<()>));
        }
        let end = bytes.len().min(at + VIEW_PART_LEN);
        let crc = crc32fast::hash(&bytes);
        Ok(ViewPart { crc, total: bytes.len(), data: bytes.slice(at..end) })
    }

    async fn use_id(&self, id: String) -> RpcResult<IdUse> {
        let now = self.entry.now();
        Ok(IdUse::from_step(self.entry.node.lock().use_id(now, &id)))
    }

    async fn hold(&self, hold: Record) -> RpcResult<bool> {
        let now = self.entry.now();
        Ok(self.entry.node.lock().add_hold(now, hold))
    }

    async fn holds(&self) -> RpcResult<Vec<Record>> {
        Ok(self.entry.node.lock().holds())
    }

    async fn seen(&self) -> RpcResult<PeerStatus> {
        Ok(self.entry.own_status())
    }
}

/// JSON-RPC 2.0, section 5.1.
const INVALID_PARAMS: i32 = -32602;

/// Cuts an answer so that it stays under `MAX_ANSWER_LEN`; the reader asks again for the rest.
fn relay_that_fits(mut relayed: Relayed) -> Relayed {
    let mut sum = 0;
    let entries = &mut relayed.answer.entries;
    let fits = entries.iter().take_while(|entry| {
        sum += entry.data.len();
        sum <= RELAY_BYTES
    });
    let keep = fits.count().max(1);
    entries.truncate(keep);
    relayed
}

/// Starts the server for peers; answers the address that it is bound to.
pub async fn listen(addr: SocketAddr) -> io::Result<(PeerListener, SocketAddr)> {
    let cfg = jsonrpsee::server::ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_ANSWER_LEN)
        .max_response_body_size(MAX_ANSWER_LEN)
        .http_only()
        .build();
    let server = ServerBuilder::with_config(cfg).build(addr).await?;
    let bound = server.local_addr()?;
    Ok((PeerListener { server }, bound))
}

/// A bound server for peers that answers nothing yet.
pub struct PeerListener {
    server: jsonrpsee::server::Server,
}

impl PeerListener {
    /// Starts to answer; the server ends with its handle's `stop`.
    pub fn start(self, entry: Arc<Entry>) -> ServerHandle {
        self.server.start(PeerServer { entry, view: Mutex::new(None) }.into_rpc())
    }
}

/// Why a peer did not answer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The call failed or timed out.
    #[snafu(display("peer {addr}: {source}"))]
    Call { addr: String, source: ClientError },
    /// The parts of a view do not make up a whole.
    #[snafu(display("peer {addr} sent a view that does not match its checksum"))]
    View { addr: String },
}

/// Clients of other entry instances, one per address.
pub struct PeerClients {
    /// Longest wait for an answer.
    timeout: Duration,
    clients: Mutex<HashMap<String, Arc<HttpClient>>>,
}

impl PeerClients {
    /// Clients without connections yet.
    pub fn new(timeout: Duration) -> PeerClients {
        PeerClients { timeout, clients: Mutex::default() }
    }

    /// The client for an address.
    pub fn at(&self, addr: &str) -> Result<Arc<HttpClient>, PeerError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(addr) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .max_request_size(MAX_ANSWER_LEN)
            .max_response_size(MAX_ANSWER_LEN)
            .build(format!("http://{addr}"))
            .map_err(|source| PeerError::Call { addr: addr.to_string(), source })?;
        let client = Arc::new(client);
        clients.insert(addr.to_string(), client.clone());
        Ok(client)
    }

    /// Drops the clients of addresses that are no longer known.
    pub fn keep(&self, addrs: &[String]) {
        self.clients.lock().retain(|addr, _| addrs.contains(addr));
    }

    /// The tail of the log as a peer has it.
    pub async fn relay(&self, addr: &str, from: Offset) -> Result<Relayed, PeerError> {
        self.at(addr)?.relay(from, RELAY_MAX).await.map_err(|source| call_error(addr, source))
    }

    /// Whether an id that the peer issued may be used.
    pub async fn use_id(&self, addr: &str, id: &str) -> Result<IdUse, PeerError> {
        self.at(addr)?.use_id(id.to_string()).await.map_err(|source| call_error(addr, source))
    }

    /// Hands a hold to a peer.
    pub async fn hold(&self, addr: &str, hold: Record) -> Result<bool, PeerError> {
        self.at(addr)?.hold(hold).await.map_err(|source| call_error(addr, source))
    }

    /// Holds in force at a peer.
    pub async fn holds(&self, addr: &str) -> Result<Vec<Record>, PeerError> {
        self.at(addr)?.holds().await.map_err(|source| call_error(addr, source))
    }

    /// How far a peer has folded the log.
    pub async fn seen(&self, addr: &str) -> Result<PeerStatus, PeerError> {
        self.at(addr)?.seen().await.map_err(|source| call_error(addr, source))
    }

    /// The encoded view of a peer; `None` when it has none.
    pub async fn view(&self, addr: &str) -> Result<Option<Bytes>, PeerError> {
        let client = self.at(addr)?;
        let mut view = BytesMut::new();
        loop {
            let part = client.view(view.len()).await.map_err(|source| call_error(addr, source))?;
            if part.total == 0 {
                return Ok(None);
            }
            view.extend_from_slice(&part.data);
            if view.len() >= part.total || part.data.is_empty() {
                let whole = view.len() == part.total && crc32fast::hash(&view) == part.crc;
                let damaged = PeerError::View { addr: addr.to_string() };
                return if whole { Ok(Some(view.freeze())) } else { Err(damaged) };
            }
        }
    }
}

fn call_error(addr: &str, source: ClientError) -> PeerError {
    PeerError::Call { addr: addr.to_string(), source }
}
