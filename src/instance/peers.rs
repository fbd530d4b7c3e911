//! RPC between instances, through which any instance queries the owner about jobs and queues.

use crate::batch::declarations::RequestLimits;
use crate::batch::job::JobState;
use crate::event::Event;
use crate::instance::caller_limits::{MAX_PEER_BODY_BYTES, ProcessBounds};
use crate::instance::listener::{Listener, Server};
use crate::instance::shared::Shared;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{
    BatchRequestConfig, HttpRequest, ServerBuilder, ServerConfig, ServerHandle, stop_channel,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tower_service::Service;

/// Timeout of a call to another instance; an early rejection is better for a caller than a late
/// one.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Limits on a request of another instance. Instances keep idle connections for 90 s.
const REQUEST_LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 16 << 10,
    max_body_bytes: MAX_PEER_BODY_BYTES,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(120),
};
/// Maximum number of calls in progress; more are refused.
const MAX_CALLS: u32 = 512;
/// The owner can confirm that a job does not exist only if it read callers' jobs within this time.
const MAX_JOBS_AGE: Duration = Duration::from_millis(2_000);

/// Result of a query for a job's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobLookup {
    Known(JobState),
    /// The job does not exist.
    Absent,
    /// The queried instance is not the owner, or has not read callers' jobs recently.
    Unsure,
}

/// RPC interface of an instance.
#[rpc(server, client, namespace = "batch")]
pub trait BatchApi {
    /// Returns the term of which the queried instance is the owner, or `None` if it is not the
    /// owner.
    #[method(name = "term")]
    async fn term(&self) -> RpcResult<Option<u64>>;

    /// Returns the state of a job.
    #[method(name = "job")]
    async fn job(&self, id: String) -> RpcResult<JobLookup>;

    /// Returns the number of jobs of a queue of which no task has started, or `None` if unknown.
    #[method(name = "pending")]
    async fn pending(&self, queue: String) -> RpcResult<Option<u64>>;
}

struct BatchApiHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl BatchApiServer for BatchApiHandler {
    async fn term(&self) -> RpcResult<Option<u64>> {
        Ok(*self.shared.term.lock())
    }

    async fn job(&self, id: String) -> RpcResult<JobLookup> {
        Ok(local_job(&self.shared, &id))
    }

    async fn pending(&self, queue: String) -> RpcResult<Option<u64>> {
        Ok(local_pending(&self.shared, &queue))
    }
}

/// The RPC server for other instances.
pub struct PeerServer {
    pub server: Server,
    /// The library refuses calls once it is dropped.
    _rpc: ServerHandle,
}

/// Starts the RPC server for other instances.
pub fn start_server(shared: &Arc<Shared>, bounds: &ProcessBounds) -> io::Result<PeerServer> {
    let cfg = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CALLS)
        .max_request_body_size(MAX_PEER_BODY_BYTES as u32)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let (stop, rpc) = stop_channel();
    let methods = BatchApiHandler { shared: shared.clone() }.into_rpc();
    let builder = ServerBuilder::with_config(cfg).to_service_builder();
    let service = builder.build(methods, stop);
    let (log, metrics) = (shared.log.clone(), shared.metrics.clone());
    let listener = Listener::new("peers", bounds.peers, Box::new(|| REQUEST_LIMITS), log, metrics);
    let server = Server::start(shared.cfg.peers_addr, listener, move |req: HttpRequest<_>| {
        service.clone().call(req)
    })?;
    Ok(PeerServer { server, _rpc: rpc })
}

/// Whether the owner of an earlier term confirms that it no longer sends orders. A restarted
/// instance also answers for its earlier incarnation, which has ended.
pub async fn has_ended_term(address: &str, term: u64) -> bool {
    let url = format!("http://{address}");
    let Ok(client) = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT).build(url) else {
        return false;
    };
    // Without a response the earlier owner may still send orders.
    client.term().await.is_ok_and(|current_term| current_term != Some(term))
}

fn local_job(shared: &Shared, id: &str) -> JobLookup {
    let lock = shared.owner.lock();
    let Some(owner) = lock.as_ref() else { return JobLookup::Unsure };
    match owner.jobs.get(id) {
        Some(job) => JobLookup::Known(job.published_state),
        None if shared.job_read_age(id) < MAX_JOBS_AGE => JobLookup::Absent,
        None => JobLookup::Unsure,
    }
}

fn local_pending(shared: &Shared, queue: &str) -> Option<u64> {
    let lock = shared.owner.lock();
    let owner = lock.as_ref()?;
    (shared.jobs_read_age() < MAX_JOBS_AGE).then(|| owner.pending_jobs(queue))
}

/// Queries the owner, which may be this instance.
#[derive(Default)]
pub struct OwnerClient {
    /// Address and client of the current owner; replaced when the owner changes.
    client: Mutex<Option<(String, Arc<HttpClient>)>>,
}

impl OwnerClient {
    /// Returns the state of a job.
    pub async fn job(&self, shared: &Shared, id: &str) -> JobLookup {
        match local_job(shared, id) {
            JobLookup::Unsure => {}
            lookup => return lookup,
        }
        let Some(client) = self.owner_client(shared) else { return JobLookup::Unsure };
        match client.job(id.to_string()).await {
            Ok(lookup) => lookup,
            Err(e) => {
                log_failure(shared, &e.to_string());
                JobLookup::Unsure
            }
        }
    }

    /// Returns the number of jobs of a queue of which no task has started, or `None` if unknown.
    pub async fn pending(&self, shared: &Shared, queue: &str) -> Option<u64> {
        if let Some(pending) = local_pending(shared, queue) {
            return Some(pending);
        }
        let client = self.owner_client(shared)?;
        match client.pending(queue.to_string()).await {
            Ok(pending) => pending,
            Err(e) => {
                log_failure(shared, &e.to_string());
                None
            }
        }
    }

    fn owner_client(&self, shared: &Shared) -> Option<Arc<HttpClient>> {
        let owner_info = shared.known_owner.lock().clone()?;
        if owner_info.name == shared.cfg.name {
            return None;
        }
        let mut lock = self.client.lock();
        if let Some((address, client)) = lock.as_ref()
            && *address == owner_info.peers
        {
            return Some(client.clone());
        }
        let url = format!("http://{}", owner_info.peers);
        let new_client = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT).build(url);
        let client = match new_client {
            Ok(client) => Arc::new(client),
            Err(e) => {
                log_failure(shared, &e.to_string());
                return None;
            }
        };
        *lock = Some((owner_info.peers, client.clone()));
        Some(client)
    }
}

fn log_failure(shared: &Shared, error: &str) {
    let term = shared.known_owner.lock().as_ref().map_or(0, |o| o.term);
    shared.log.event(Event::OwnerSilent, &[("term", term.into()), ("error", error.into())]);
}
