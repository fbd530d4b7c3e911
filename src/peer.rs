//! JSON-RPC calls between entry instances: relay of the log's tail, transfer of the view to a new
//! instance, use of issued request ids, holds, and the log position of an instance.

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

/// Maximum number of entries in one relay answer. `truncate_relayed` shortens an answer further if
/// its entries, of up to 256 KiB each in hex, would exceed `MAX_ANSWER_LEN`.
pub const MAX_ENTRIES_PER_ANSWER: usize = 256;
/// Maximum size of a request or answer between peers in bytes.
const MAX_ANSWER_LEN: u32 = 4 * 1024 * 1024;
/// Maximum bytes of entries in one relay answer; hex encoding doubles them.
const MAX_ENTRY_BYTES_PER_ANSWER: usize = 1024 * 1024;
/// Maximum bytes of the view in one part; hex encoding doubles them.
const MAX_VIEW_PART_LEN: usize = 1024 * 1024;
/// Time for which an encoded view is cached between requests for its parts.
const VIEW_CACHE_TTL: Duration = Duration::from_secs(20);
/// Maximum number of concurrent connections; a fleet has tens of entry instances.
const MAX_CONNECTIONS: u32 = 256;

/// Log position of an entry instance, and its holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    pub id: EntryId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// First offset that is not applied; 0 without a view.
    pub next: Offset,
    /// Age of the view in milliseconds.
    pub view_age_ms: u64,
    /// Ids of the holds in force on the instance.
    pub holds: Vec<OpId>,
}

/// One part of an encoded view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewPart {
    /// CRC-32 of the whole view; it differs if the view was encoded again between two parts.
    pub crc: u32,
    /// Length of the whole view in bytes; 0 if the peer has no view.
    pub total: usize,
    #[serde(with = "hex_bytes")]
    pub data: Bytes,
}

/// Result of `use_id`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdUse {
    /// Whether the calling instance may run the request.
    pub run: bool,
    /// Kind of the refusal.
    pub kind: Option<Kind>,
    /// Whether the request ran under an earlier use of the id.
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
            // An instance that did not issue the id cannot resolve it.
            RequestIdStep::AskIssuer { .. } | RequestIdStep::WaitClaim(_) => {
                IdUse::from_step(RequestIdStep::Refuse(Refusal::new(Kind::IdUnresolved)))
            }
        }
    }

    /// Converts the answer to a refusal; `None` if the request may run.
    pub fn refusal(self) -> Option<Refusal> {
        if self.run {
            return None;
        }
        let refusal = Refusal::new(self.kind.unwrap_or(Kind::IdUnresolved));
        let ran = self.ran.unwrap_or(refusal.ran);
        Some(refusal.with_ran(ran).with_message(self.message))
    }
}

/// Methods that entry instances call on each other.
#[rpc(server, client, namespace = "peer")]
pub trait PeerApi {
    /// Returns the entries at offset `from` and later that the peer still has.
    #[method(name = "relay")]
    async fn relay(&self, from: Offset, max: usize) -> RpcResult<Relayed>;

    /// Returns the part of the encoded view that starts at byte `at`.
    #[method(name = "view")]
    async fn view(&self, at: usize) -> RpcResult<ViewPart>;

    /// Marks a request id that the peer issued as used.
    #[method(name = "use_id")]
    async fn use_id(&self, id: String) -> RpcResult<IdUse>;

    /// Puts a hold in force on the peer; returns whether it was new.
    #[method(name = "hold")]
    async fn hold(&self, hold: Record) -> RpcResult<bool>;

    /// Returns the holds in force on the peer.
    #[method(name = "holds")]
    async fn holds(&self) -> RpcResult<Vec<Record>>;

    /// Returns the log position and the holds of the peer.
    #[method(name = "seen")]
    async fn status(&self) -> RpcResult<PeerStatus>;
}

/// Server for the calls of other entry instances.
struct PeerServer {
    entry: Arc<Entry>,
    /// Encoded view that a peer fetches in parts, with the time of encoding.
    view: Mutex<Option<(Instant, Bytes)>>,
}

impl PeerServer {
    /// Returns the encoded view; a request for the first part encodes it again.
    fn encoded_view(&self, at: usize) -> Bytes {
        let mut cached = self.view.lock();
        let fresh = |(since, _): &(Instant, Bytes)| since.elapsed() < VIEW_CACHE_TTL;
        if at == 0 || !cached.as_ref().is_some_and(fresh) {
            *cached = Some((Instant::now(), self.entry.node.lock().view_bytes()));
        }
        cached.as_ref().map(|(_, bytes)| bytes.clone()).unwrap_or_default()
    }
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn relay(&self, from: Offset, max: usize) -> RpcResult<Relayed> {
        let now = self.entry.now();
        let relayed = self.entry.node.lock().relay_view(now, from, max.min(MAX_ENTRIES_PER_ANSWER));
        Ok(truncate_relayed(relayed))
    }

    async fn view(&self, at: usize) -> RpcResult<ViewPart> {
        let bytes = self.encoded_view(at);
        if at > bytes.len() {
            let message = format!("the view has {} bytes, not {at}", bytes.len());
            return Err(ErrorObjectOwned::owned(INVALID_PARAMS, message, None::<()>));
        }
        let end = bytes.len().min(at + MAX_VIEW_PART_LEN);
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

    async fn status(&self) -> RpcResult<PeerStatus> {
        Ok(self.entry.own_status())
    }
}

/// Error code of JSON-RPC 2.0, section 5.1.
const INVALID_PARAMS: i32 = -32602;

/// Truncates an answer to at most `MAX_ENTRY_BYTES_PER_ANSWER` of entries, but to no less than one
/// entry. The caller requests the rest in its next call.
fn truncate_relayed(mut relayed: Relayed) -> Relayed {
    let mut sum = 0;
    let entries = &mut relayed.answer.entries;
    let fits = entries.iter().take_while(|entry| {
        sum += entry.data.len();
        sum <= MAX_ENTRY_BYTES_PER_ANSWER
    });
    let keep = fits.count().max(1);
    entries.truncate(keep);
    relayed
}

/// Binds the server for peers; returns it with its bound address.
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

/// Server for peers that is bound but does not answer calls yet.
pub struct PeerListener {
    server: jsonrpsee::server::Server,
}

impl PeerListener {
    /// Starts to answer calls. The `stop` method of the returned handle stops the server.
    pub fn start(self, entry: Arc<Entry>) -> ServerHandle {
        self.server.start(PeerServer { entry, view: Mutex::new(None) }.into_rpc())
    }
}

/// Error of a call to a peer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The call failed or timed out.
    #[snafu(display("peer {addr}: {source}"))]
    Call { addr: String, source: ClientError },
    /// The parts of a view have the wrong total length or checksum.
    #[snafu(display("peer {addr} sent a view that does not match its checksum"))]
    View { addr: String },
}

/// Clients for other entry instances, one per address.
pub struct PeerClients {
    /// Timeout of one call.
    timeout: Duration,
    clients: Mutex<HashMap<String, Arc<HttpClient>>>,
}

impl PeerClients {
    /// Creates an empty set of clients; connections are opened on demand.
    pub fn new(timeout: Duration) -> PeerClients {
        PeerClients { timeout, clients: Mutex::default() }
    }

    /// Returns the client for an address, creating it if necessary.
    pub fn client(&self, addr: &str) -> Result<Arc<HttpClient>, PeerError> {
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

    /// Drops the clients for all addresses that are not in `addrs`.
    pub fn retain(&self, addrs: &[String]) {
        self.clients.lock().retain(|addr, _| addrs.contains(addr));
    }

    /// Requests the tail of the log from a peer.
    pub async fn relay(&self, addr: &str, from: Offset) -> Result<Relayed, PeerError> {
        self.client(addr)?
            .relay(from, MAX_ENTRIES_PER_ANSWER)
            .await
            .map_err(|source| call_error(addr, source))
    }

    /// Requests the use of an id that the peer issued.
    pub async fn use_id(&self, addr: &str, id: &str) -> Result<IdUse, PeerError> {
        self.client(addr)?.use_id(id.to_string()).await.map_err(|source| call_error(addr, source))
    }

    /// Sends a hold to a peer.
    pub async fn hold(&self, addr: &str, hold: Record) -> Result<bool, PeerError> {
        self.client(addr)?.hold(hold).await.map_err(|source| call_error(addr, source))
    }

    /// Requests the holds in force on a peer.
    pub async fn holds(&self, addr: &str) -> Result<Vec<Record>, PeerError> {
        self.client(addr)?.holds().await.map_err(|source| call_error(addr, source))
    }

    /// Requests the log position and the holds of a peer.
    pub async fn status(&self, addr: &str) -> Result<PeerStatus, PeerError> {
        self.client(addr)?.status().await.map_err(|source| call_error(addr, source))
    }

    /// Fetches the encoded view of a peer; `None` if the peer has none.
    pub async fn view(&self, addr: &str) -> Result<Option<Bytes>, PeerError> {
        let client = self.client(addr)?;
        let mut view = BytesMut::new();
        loop {
            let part = client.view(view.len()).await.map_err(|source| call_error(addr, source))?;
            if part.total == 0 {
                return Ok(None);
            }
            view.extend_from_slice(&part.data);
            if view.len() >= part.total || part.data.is_empty() {
                let intact = view.len() == part.total && crc32fast::hash(&view) == part.crc;
                let damaged = PeerError::View { addr: addr.to_string() };
                return if intact { Ok(Some(view.freeze())) } else { Err(damaged) };
            }
        }
    }
}

fn call_error(addr: &str, source: ClientError) -> PeerError {
    PeerError::Call { addr: addr.to_string(), source }
}
