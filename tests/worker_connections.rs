//! Orders to a worker that restarts under its id and address. A local listener stands in for its processes.

use indexmap::IndexMap;
use jacinthhook::batch::job::{JobSpec, TaskId};
use jacinthhook::batch::orders::{StartOrder, StartOutcome};
use jacinthhook::batch::stray_lease::LeaseOrderEnd;
use jacinthhook::instance::workers::poll_end;
use jacinthhook::platform::http::Http;
use jacinthhook::platform::worker_client::{PollError, PollRequest, WorkerClient, WorkerTarget};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Incarnations of the worker before and after its restart.
const EARLIER: u64 = 1_000;
const LATER: u64 = 2_000;
/// Stands for a process that reads requests and answers none.
const SILENT: u64 = u64::MAX;
/// Longer than any lease by the clock of the later incarnation, which starts anew.
const LEASE: Duration = Duration::from_secs(90);

/// One process of the worker; its connections end with it.
struct Process {
    address: SocketAddr,
    received: Arc<parking_lot::Mutex<Vec<(String, Value)>>>,
    /// Incarnation that answers. It changes under open connections where an intermediary keeps them.
    incarnation: Arc<AtomicU64>,
    tasks: JoinSet<()>,
}

impl Process {
    /// Starts a process that answers at `port`, 0 for any, until it is dropped.
    async fn start(port: u16, incarnation: u64) -> Process {
        let listener = listen(port);
        let address = listener.local_addr().expect("an address");
        let received: Arc<parking_lot::Mutex<Vec<(String, Value)>>> = Arc::default();
        let incarnation = Arc::new(AtomicU64::new(incarnation));
        let (log, answering, mut tasks) = (received.clone(), incarnation.clone(), JoinSet::new());
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, answering.clone(), log.clone()));
            }
        });
        Process { address, received, incarnation, tasks }
    }

    async fn crash(mut self) {
        self.tasks.shutdown().await;
    }

    /// Returns what requests with this path carried.
    fn received(&self, path: &str) -> Vec<Value> {
        let received = self.received.lock();
        received.iter().filter(|(p, _)| p == path).map(|(_, body)| body.clone()).collect()
    }
}

fn listen(port: u16) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Connections of the process before may linger.
    socket.set_reuseaddr(true).expect("the option");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port))).expect("a port");
    socket.listen(16).expect("a listener")
}

async fn serve(
    mut stream: TcpStream,
    incarnation: Arc<AtomicU64>,
    log: Arc<parking_lot::Mutex<Vec<(String, Value)>>>,
) {
    while let Some((path, body)) = read_request(&mut stream).await {
        log.lock().push((path, body));
        let born = incarnation.load(Ordering::Relaxed);
        if born == SILENT {
            continue;
        }
        let body = json!({ "clockMs": 100, "born": born, "running": [], "finished": [] });
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all((head + &body).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request; returns its path and body.
async fn read_request(stream: &mut TcpStream) -> Option<(String, Value)> {
    let mut buf = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk).await.ok().filter(|read| *read > 0)?;
        buf.extend_from_slice(&chunk[..read]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if let Ok(body) = serde_json::from_str(body) {
            return Some((head.split(' ').nth(1)?.to_string(), body));
        }
    }
}

fn target(address: SocketAddr, incarnation: u64) -> WorkerTarget {
    WorkerTarget { address: address.to_string().into(), worker: "w0".into(), fence: 7, incarnation }
}

fn start_order(incarnation: u64) -> StartOrder {
    let task = TaskId { job: "00000000000000a1".into(), occurrence: 0, step: 0, index: 0 };
    StartOrder {
        worker: "w0".into(),
        task,
        run: 1,
        spec: Arc::new(JobSpec::default()),
        checkpoint: "".into(),
        fence: 7,
        incarnation,
    }
}

async fn start(client: &WorkerClient, address: SocketAddr, incarnation: u64) -> StartOutcome {
    let (target, order) = (target(address, incarnation), start_order(incarnation));
    client.start(&target, &order, LEASE, Arc::new(|| true)).await.0
}

fn lease_request(acknowledged: u64) -> PollRequest {
    PollRequest { lease: Some(LEASE), acknowledged, wait: Duration::ZERO }
}

/// Returns a client with a kept connection to a process that has crashed since, and the process that listens
/// at the same address now.
async fn restarted_worker() -> (WorkerClient, Process) {
    let earlier = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let address = earlier.address;
    assert_eq!(start(&client, address, EARLIER).await, StartOutcome::Started);
    let answer = client.poll(&target(address, EARLIER), lease_request(3), Duration::ZERO).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.report.incarnation, answer.acknowledged), (EARLIER, 3));
    assert_eq!(earlier.received("/-/run-start").len(), 1);
    earlier.crash().await;
    (client, Process::start(address.port(), LATER).await)
}

/// Guards against a start that is meant for the process before a restart and carried out by the next one,
/// under the longest lease: the task ran twice.
#[tokio::test]
async fn start_restarted_worker() {
    let (client, later) = restarted_worker().await;
    let outcome = start(&client, later.address, EARLIER).await;
    assert!(matches!(outcome, StartOutcome::Restarted | StartOutcome::Unknown), "{outcome:?}");
    assert_eq!(start(&client, later.address, EARLIER).await, StartOutcome::Restarted);
    assert_eq!(later.received("/-/run-start"), Vec::<Value>::new());
    assert_eq!(start(&client, later.address, LATER).await, StartOutcome::Started);
    assert_eq!(later.received("/-/run-start").len(), 1);
}

/// Guards against a lease and an acknowledgement that are meant for the process before a restart: the next one
/// kept its runs for the longest lease, and dropped ends that the owner had not seen.
#[tokio::test]
async fn poll_restarted_worker() {
    let (client, later) = restarted_worker().await;
    let target = target(later.address, EARLIER);
    let mut answer = client.poll(&target, lease_request(5), Duration::ZERO).await;
    if answer.is_err() {
        // The kept connection ended under the request.
        answer = client.poll(&target, lease_request(5), Duration::ZERO).await;
    }
    let answer = answer.expect("an answer");
    assert_eq!((answer.report.incarnation, answer.acknowledged), (LATER, 0));
    for body in later.received("/-/hold") {
        assert_eq!(body.get("deadlineMs"), None, "{body}");
        assert_eq!(body["ackIndex"], 0, "{body}");
    }
}

/// Guards against a poll for each order: the connection of an answered one is used again.
#[tokio::test]
async fn start_kept_connection() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    for _ in 0..5 {
        assert_eq!(start(&client, process.address, EARLIER).await, StartOutcome::Started);
    }
    assert_eq!(process.received("/-/hold").len(), 1);
    assert_eq!(process.received("/-/run-start").len(), 5);
}

/// Guards against an acknowledgement that counts as sent although the poll had to find out first who answers.
#[tokio::test]
async fn poll_new_connection() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let target = target(process.address, EARLIER);
    for acknowledged in [0, 4] {
        let answer = client.poll(&target, lease_request(4), Duration::ZERO).await;
        assert_eq!(answer.expect("an answer").acknowledged, acknowledged);
    }
    let holds = process.received("/-/hold");
    let acknowledged: Vec<u64> =
        holds.iter().filter_map(|body| body["ackIndex"].as_u64()).collect();
    assert_eq!(acknowledged, [0, 4]);
}

/// Guards against refusing orders for good to a worker whose lists do not name its incarnation.
#[tokio::test]
async fn start_unnamed_incarnation() {
    let process = Process::start(0, 0).await;
    let client = WorkerClient::new(Http::new());
    assert_eq!(start(&client, process.address, EARLIER).await, StartOutcome::Started);
    let target = target(process.address, EARLIER);
    for acknowledged in [1, 1] {
        let answer = client.poll(&target, lease_request(acknowledged), Duration::ZERO).await;
        assert_eq!(answer.expect("an answer").acknowledged, acknowledged);
    }
    let leases: IndexMap<String, usize> = process
        .received("/-/hold")
        .iter()
        .map(|body| (body["ackIndex"].to_string(), body.as_object().map_or(0, |o| o.len())))
        .collect();
    assert_eq!(leases["1"], 3, "fence, acknowledgement and lease");
}

/// An intermediary keeps a connection open over the worker's restart. Guards against taking the answer of the next
/// process for one of the process that the lease was meant for.
#[tokio::test]
async fn poll_end_kept_connection_other_process() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let target = target(process.address, EARLIER);
    let first = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert_eq!(
        poll_end(&target, &first),
        LeaseOrderEnd::Settled,
        "a new connection carries no lease"
    );
    let second = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert_eq!(poll_end(&target, &second), LeaseOrderEnd::Settled);
    process.incarnation.store(LATER, Ordering::Relaxed);
    let third = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert!(third.as_ref().is_ok_and(|answer| answer.lease_sent), "{third:?}");
    assert_eq!(poll_end(&target, &third), LeaseOrderEnd::Misdirected);
}

/// Guards against counting with a lease that was not sent, since no connection to the worker was left.
#[tokio::test]
async fn poll_end_unreached() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let target = target(process.address, EARLIER);
    process.crash().await;
    let result = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert_eq!(result, Err(PollError::Unreached));
    assert_eq!(poll_end(&target, &result), LeaseOrderEnd::Settled);
}

/// Guards against taking a poll that got no answer for one without effect: it may be carried out later.
#[tokio::test]
async fn poll_end_unanswered() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let target = target(process.address, EARLIER);
    let first = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert!(first.is_ok());
    process.incarnation.store(SILENT, Ordering::Relaxed);
    let second = client.poll(&target, lease_request(0), Duration::ZERO).await;
    assert_eq!(second, Err(PollError::Lost));
    assert_eq!(poll_end(&target, &second), LeaseOrderEnd::Unanswered);
}

/// The answer to a poll is lost. Guards against waiting for its timeout to learn what the lists say, and against a
/// lease or an acknowledgement in the request beside it, which would be accounted for twice.
#[tokio::test]
async fn look_unanswered_poll() {
    let process = Process::start(0, EARLIER).await;
    let client = WorkerClient::new(Http::new());
    let target = target(process.address, EARLIER);
    assert!(client.poll(&target, lease_request(0), Duration::ZERO).await.is_ok());
    process.incarnation.store(SILENT, Ordering::Relaxed);
    let lost = client.poll(&target, lease_request(3), Duration::ZERO);
    let look = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        process.incarnation.store(EARLIER, Ordering::Relaxed);
        client.look(&target, Duration::ZERO).await
    };
    tokio::select! {
        answer = lost => panic!("{answer:?}"),
        report = look => assert_eq!(report.map(|r| r.incarnation), Ok(EARLIER)),
    }
    let holds = process.received("/-/hold");
    assert_eq!(holds.len(), 3);
    assert_eq!(holds[2].as_object().map(|o| o.len()), Some(2), "fence and index: {holds:?}");
    let next = client.poll(&target, lease_request(3), Duration::ZERO).await;
    assert!(next.is_ok_and(|answer| answer.lease_sent), "on the connection that has answered");
}
