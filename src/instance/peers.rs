//! Calls between instances: any of them asks the owner about jobs and queues.

use crate::batch::job::JobState;
use crate::event::Event;
use crate::instance::shared::Shared;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Time for an answer of the owner; a caller is better refused early than late.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections served at once; each instance uses a few.
const MAX_CONNECTIONS: u32 = 512;
/// The owner's word that a job does not exist holds if it has read callers' jobs within this.
const JOBS_FRESH: Duration = Duration::from_millis(2_000);

/// What the owner knows of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobView {
    Known(JobState),
    /// There is no such job.
    Absent,
    /// The one asked does not own the decisions, or has not read callers' jobs for a while.
    Unsure,
}

/// The calls.
#[rpc(server, client, namespace = "batch")]
pub trait BatchApi {
    /// The term in which the one asked owns the decisions; `None` where it does not.
    #[method(name = "term")]
    async fn term(&self) -> RpcResult<Option<u64>>;

    /// State of a job.
    #[method(name = "job")]
    async fn job(&self, id: String) -> RpcResult<JobView>;

    /// Jobs of a queue of which no task has started; `None` where the one asked cannot tell.
    #[method(name = "pending")]
    async fn pending(&self, queue: String) -> RpcResult<Option<u64>>;
}

struct Answers {
    shared: Arc<Shared>,
}

#[async_trait]
impl BatchApiServer for Answers {
    async fn term(&self) -> RpcResult<Option<u64>> {
        Ok(*self.shared.term.lock())
    }

    async fn job(&self, id: String) -> RpcResult<JobView> {
        Ok(own_job(&self.shared, &id))
    }

    async fn pending(&self, queue: String) -> RpcResult<Option<u64>> {
        Ok(own_pending(&self.shared, &queue))
    }
}

/// Starts to answer other instances.
pub async fn listen(shared: Arc<Shared>) -> io::Result<ServerHandle> {
    let cfg = ServerConfig::builder().max_connections(MAX_CONNECTIONS).http_only().build();
    let server = ServerBuilder::with_config(cfg).build(shared.cfg.peers).await?;
    Ok(server.start(Answers { shared }.into_rpc()))
}

/// Whether the owner of an earlier term gives no orders any more, by its own word. An instance that
/// was started anew answers for its earlier life, which is over.
pub async fn is_over(address: &str, term: u64) -> bool {
    let url = format!("http://{address}");
    let Ok(client) = HttpClientBuilder::default().request_timeout(ASK_TIMEOUT).build(url) else {
        return false;
    };
    // Without an answer it may go on.
    client.term().await.is_ok_and(|now| now != Some(term))
}

fn own_job(shared: &Shared, id: &str) -> JobView {
    let lock = shared.owner.lock();
    let Some(owner) = lock.as_ref() else { return JobView::Unsure };
    match owner.jobs.get(id) {
        Some(job) => JobView::Known(job.published_state),
        None if shared.jobs_age() < JOBS_FRESH => JobView::Absent,
        None => JobView::Unsure,
    }
}

fn own_pending(shared: &Shared, queue: &str) -> Option<u64> {
    let lock = shared.owner.lock();
    let owner = lock.as_ref()?;
    (shared.jobs_age() < JOBS_FRESH).then(|| owner.pending_jobs(queue))
}

/// Asks the owner, which may be this instance.
#[derive(Default)]
pub struct OwnerClient {
    /// Client of the owner's address; replaced when the owner changes.
    client: Mutex<Option<(String, Arc<HttpClient>)>>,
}

impl OwnerClient {
    /// State of a job.
    pub async fn job(&self, shared: &Shared, id: &str) -> JobView {
        match own_job(shared, id) {
            JobView::Unsure => {}
            known => return known,
        }
        let Some(client) = self.to_owner(shared) else { return JobView::Unsure };
        match client.job(id.to_string()).await {
            Ok(view) => view,
            Err(e) => {
                note_failure(shared, &e.to_string());
                JobView::Unsure
            }
        }
    }

    /// Jobs of a queue of which no task has started; `None` where nobody can tell.
    pub async fn pending(&self, shared: &Shared, queue: &str) -> Option<u64> {
        if let Some(pending) = own_pending(shared, queue) {
            return Some(pending);
        }
        let client = self.to_owner(shared)?;
        match client.pending(queue.to_string()).await {
            Ok(pending) => pending,
            Err(e) => {
                note_failure(shared, &e.to_string());
                None
            }
        }
    }

    fn to_owner(&self, shared: &Shared) -> Option<Arc<HttpClient>> {
        let leader = shared.lead.lock().clone()?;
        if leader.name == shared.cfg.name {
            return None;
        }
        let mut lock = self.client.lock();
        if let Some((address, client)) = lock.as_ref()
            && *address == leader.peers
        {
            return Some(client.clone());
        }
        let url = format!("http://{}", leader.peers);
        let built = HttpClientBuilder::default().request_timeout(ASK_TIMEOUT).build(url);
        let client = match built {
            Ok(client) => Arc::new(client),
            Err(e) => {
                note_failure(shared, &e.to_string());
                return None;
            }
        };
        *lock = Some((leader.peers, client.clone()));
        Some(client)
    }
}

fn note_failure(shared: &Shared, error: &str) {
    let term = shared.lead.lock().as_ref().map_or(0, |l| l.term);
    shared.log.event(Event::OwnerSilent, &[("term", term.into()), ("error", error.into())]);
}
