//! HTTP routes for operators, `/v1/admin/*`; `docs/operators-api.md` describes them.

use crate::admin_api::{self, EntryOutcome, KeyInfo, KeyStanding, OpResult, Outcome, Standing};
use crate::answer::Reply;
use crate::dispatch;
use crate::entry::Entry;
use crate::event::Event;
use crate::hold::Holds;
use crate::ids::*;
use crate::jobs::PLATFORM_LOST_AFTER;
use crate::kind::{Kind, Refusal};
use crate::node::ProposalStatus;
use crate::peer::PeerStatus;
use crate::record::{Record, SectionChange};
use crate::state::{RejectReason, State};
use crate::state_diff::describe_hold;
use crate::sync;
use parking_lot::Mutex;
use rocket::data::{Data, ToByteUnit};
use rocket::request::{FromRequest, Request};
use rocket::{Route, get, post, routes};
use serde::de::DeserializeOwned;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a command's body in bytes.
const MAX_BODY_LEN: u64 = 1024 * 1024;
/// Timeout for reading a command's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the log to accept or reject a command's record; afterwards the command is
/// answered as pending.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between status requests to peers while a caller waits for a command.
const PEER_STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of commands whose proposals are remembered.
const MAX_REMEMBERED_COMMANDS: usize = 1_000;

/// Returns the routes.
pub fn routes() -> Vec<Route> {
    routes![
        sections,
        publish,
        keys,
        grant_key,
        withdraw_key,
        instance_out,
        instance_back,
        zone_out,
        zone_back,
        op,
        status,
    ]
}

/// Proposals of the commands that this entry instance submitted to the log.
#[derive(Default)]
pub struct SubmittedCommands {
    tickets: Mutex<Tickets>,
}

#[derive(Default)]
struct Tickets {
    by_op: HashMap<OpId, u64>,
    order: VecDeque<OpId>,
}

impl SubmittedCommands {
    /// Creates an empty set of commands.
    pub fn new() -> SubmittedCommands {
        SubmittedCommands::default()
    }

    /// Returns the proposal ticket of a command, and proposes its record if this was not done
    /// before.
    fn ticket(&self, op: &OpId, propose: impl FnOnce() -> u64) -> u64 {
        let mut tickets = self.tickets.lock();
        if let Some(ticket) = tickets.by_op.get(op) {
            return *ticket;
        }
        let ticket = propose();
        tickets.by_op.insert(op.clone(), ticket);
        tickets.order.push_back(op.clone());
        if tickets.order.len() > MAX_REMEMBERED_COMMANDS
            && let Some(oldest) = tickets.order.pop_front()
        {
            tickets.by_op.remove(&oldest);
        }
        ticket
    }

    fn get(&self, op: &OpId) -> Option<u64> {
        self.tickets.lock().by_op.get(op).copied()
    }

    /// Removes a command whose record was never sent, so that it can be proposed again.
    fn forget(&self, op: &OpId) {
        self.tickets.lock().by_op.remove(op);
    }
}

/// Request guard for the entry instance that serves a request.
struct CurrentEntry<'r>(&'r Arc<Entry>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CurrentEntry<'r> {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> rocket::request::Outcome<CurrentEntry<'r>, ()> {
        match Entry::of(req) {
            Some(entry) => rocket::request::Outcome::Success(CurrentEntry(entry)),
            None => rocket::request::Outcome::Error((rocket::http::Status::ServiceUnavailable, ())),
        }
    }
}

fn into_reply(answer: Result<Reply, Refusal>) -> Reply {
    answer.unwrap_or_else(Reply::from)
}

async fn parse_body<T: DeserializeOwned>(data: Data<'_>) -> Result<T, Refusal> {
    let bad_request = |message: String| Refusal::new(Kind::BadRequest).with_message(message);
    let read = data.open(MAX_BODY_LEN.bytes()).into_bytes();
    let body = tokio::time::timeout(BODY_TIMEOUT, read).await;
    let body = body.map_err(|_| bad_request("the body did not arrive in time".into()))?;
    let body = body.map_err(|e| bad_request(format!("the body broke off: {e}")))?;
    if !body.is_complete() {
        let message = format!("the body exceeds {MAX_BODY_LEN} bytes");
        return Err(Refusal::new(Kind::TooLarge).with_message(message));
    }
    serde_json::from_slice(&body).map_err(|e| bad_request(format!("body: {e}")))
}

#[get("/v1/admin/sections")]
fn sections(current: CurrentEntry<'_>) -> Reply {
    let node = current.0.node.lock();
    if !node.has_view() {
        return Reply::from(Refusal::new(Kind::NoView));
    }
    let answer = admin_api::Declarations {
        next: node.next_offset(),
        view_age_ms: millis(node.view_age(current.0.now())),
        sections: node.state().sections.clone(),
    };
    Reply::json(200, &answer)
}

#[post("/v1/admin/publish", data = "<data>")]
async fn publish(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    into_reply(try_publish(current.0, data).await)
}

async fn try_publish(entry: &Arc<Entry>, data: Data<'_>) -> Result<Reply, Refusal> {
    let body: admin_api::Publish = parse_body(data).await?;
    if let Some(mistakes) = check_publish(entry, &body)? {
        return Ok(mistakes);
    }
    execute_command(entry, Record::Publish { op: body.op, changes: body.changes }).await
}

/// Checks a publish before it is proposed; returns an answer that lists every mistake, if there are
/// any.
fn check_publish(entry: &Entry, body: &admin_api::Publish) -> Result<Option<Reply>, Refusal> {
    let mut config = {
        let node = entry.node.lock();
        let state = node.state();
        if state.op_offset(&body.op).is_some() {
            return Ok(None);
        }
        check_bases(state, &body.changes)?;
        state.config.clone()
    };
    let Err(mistakes) = config.change(&body.changes) else { return Ok(None) };
    let refusal = admin_api::RefusalBody::from(&Refusal::new(Kind::CheckFailed));
    let answer = Kind::CheckFailed.info();
    let body = admin_api::MistakesBody { refusal, mistakes };
    Ok(Some(Reply::json(answer.status, &body).with_error_headers(answer.name, answer.ran)))
}

fn check_bases(state: &State, changes: &[SectionChange]) -> Result<(), Refusal> {
    for change in changes {
        let current = state.sections.get(&change.section).map(|section| section.version);
        if current != change.base {
            let message = format!(
                "section {:?} is at version {current:?}, not {:?}",
                change.section, change.base
            );
            return Err(Refusal::new(Kind::Conflict).with_message(message));
        }
    }
    Ok(())
}

#[get("/v1/admin/keys")]
fn keys(current: CurrentEntry<'_>) -> Reply {
    let node = current.0.node.lock();
    let held = node.holds();
    let is_held =
        |id: &KeyId| held.iter().any(|r| matches!(r, Record::KeyWithdraw { key, .. } if key == id));
    let info = |(id, key): (&KeyId, &crate::state::Key)| KeyInfo {
        key: id.clone(),
        team: key.team.clone(),
        standing: match key.withdrawn_at {
            Some(_) => KeyStanding::Withdrawn,
            None if is_held(id) => KeyStanding::Held,
            None => KeyStanding::Granted,
        },
    };
    Reply::json(200, &admin_api::Keys { keys: node.state().keys.iter().map(info).collect() })
}

#[post("/v1/admin/keys/grant", data = "<data>")]
async fn grant_key(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::KeyGrant>(data).await.map(|body| Record::KeyGrant {
        op: body.op,
        key: body.key,
        team: body.team,
        hash: body.hash,
    });
    submit(current.0, record).await
}

#[post("/v1/admin/keys/withdraw", data = "<data>")]
async fn withdraw_key(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::KeyWithdraw>(data).await;
    submit(current.0, record.map(|body| Record::KeyWithdraw { op: body.op, key: body.key })).await
}

#[post("/v1/admin/instances/out", data = "<data>")]
async fn instance_out(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::InstanceOut>(data)
        .await
        .map(|body| Record::InstanceOut { op: body.op, instance: body.instance });
    submit(current.0, record).await
}

#[post("/v1/admin/instances/back", data = "<data>")]
async fn instance_back(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::InstanceBack>(data).await.map(|body| {
        Record::InstanceBack { op: body.op, instance: body.instance, undoes: body.undoes }
    });
    submit(current.0, record).await
}

#[post("/v1/admin/zones/out", data = "<data>")]
async fn zone_out(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::ZoneOut>(data).await;
    submit(current.0, record.map(|body| Record::ZoneOut { op: body.op, zone: body.zone })).await
}

#[post("/v1/admin/zones/back", data = "<data>")]
async fn zone_back(current: CurrentEntry<'_>, data: Data<'_>) -> Reply {
    let record = parse_body::<admin_api::ZoneBack>(data).await.map(|body| Record::ZoneBack {
        op: body.op,
        zone: body.zone,
        undoes: body.undoes,
    });
    submit(current.0, record).await
}

async fn submit(entry: &Arc<Entry>, record: Result<Record, Refusal>) -> Reply {
    match record {
        Ok(record) => into_reply(execute_command(entry, record).await),
        Err(refusal) => Reply::from(refusal),
    }
}

/// Returns the op id of an operators' command.
fn command_op(record: &Record) -> Option<&OpId> {
    match record {
        Record::Publish { op, .. }
        | Record::KeyGrant { op, .. }
        | Record::ZoneBack { op, .. }
        | Record::InstanceBack { op, .. } => Some(op),
        other => Holds::restrictive_op(other),
    }
}

/// Executes a command, and logs an event if it is refused.
async fn execute_command(entry: &Arc<Entry>, record: Record) -> Result<Reply, Refusal> {
    let op = command_op(&record).cloned().unwrap_or_else(|| "".into());
    let answer = try_execute(entry, record).await;
    if let Err(refusal) = &answer {
        let kind = refusal.kind.info().name;
        entry.log.event(Event::CommandRefused, &[("op", (&op).into()), ("kind", kind.into())]);
    }
    answer
}

/// Executes a command through the log. A restrictive command also takes effect as a hold, even
/// while the log is unreachable.
async fn try_execute(entry: &Arc<Entry>, record: Record) -> Result<Reply, Refusal> {
    let _in_flight = entry.admit()?;
    let op = command_op(&record).cloned().ok_or_else(|| Refusal::new(Kind::Internal))?;
    let restricts = Holds::restrictive_op(&record).is_some();
    if !restricts {
        require_log(entry)?;
    }
    // A restrictive command takes effect here and on the peers before it is in the log.
    if restricts {
        distribute_hold(entry, &record).await;
    }
    if entry.time_since_platform_answer() <= PLATFORM_LOST_AFTER {
        propose_and_wait(entry, &op, record).await?;
    }
    sync::refresh_peer_statuses(entry).await;
    Ok(Reply::json(200, &outcome(entry, &op)))
}

fn require_log(entry: &Entry) -> Result<(), Refusal> {
    if !entry.node.lock().has_view() {
        return Err(Refusal::new(Kind::NoView));
    }
    if entry.time_since_platform_answer() > PLATFORM_LOST_AFTER {
        return Err(Refusal::new(Kind::LogUnavailable));
    }
    Ok(())
}

async fn distribute_hold(entry: &Arc<Entry>, record: &Record) {
    sync::add_holds(entry, vec![record.clone()]);
    let peers = entry.peer_addrs();
    let calls = peers.iter().map(|peer| entry.peers.hold(peer, record.clone()));
    // An unreachable peer is listed as not heard, and `spread_holds` sends it the hold later.
    futures::future::join_all(calls).await;
}

/// Proposes the record of a command and waits up to `PROPOSAL_TIMEOUT` until it is accepted or
/// rejected.
async fn propose_and_wait(entry: &Arc<Entry>, op: &OpId, record: Record) -> Result<(), Refusal> {
    let restricts = Holds::restrictive_op(&record).is_some();
    let ticket = entry.commands.ticket(op, || entry.propose(record));
    match entry.wait_for_proposal(ticket, entry.now() + PROPOSAL_TIMEOUT).await {
        ProposalStatus::Pending if !restricts && entry.node.lock().withdraw(ticket) => {
            entry.commands.forget(op);
            Err(Refusal::new(Kind::LogUnavailable))
        }
        ProposalStatus::Rejected(_, reason @ RejectReason::VersionConflict { .. }) => {
            Err(Refusal::new(Kind::Conflict).with_message(reason.to_string()))
        }
        _ => Ok(()),
    }
}

#[get("/v1/admin/ops/<op>?<wait_ms>")]
async fn op(current: CurrentEntry<'_>, op: &str, wait_ms: Option<u64>) -> Reply {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(admin_api::MAX_WAIT_MS));
    let until = current.0.now() + wait;
    let op = OpId::from(op);
    loop {
        sync::refresh_peer_statuses(current.0).await;
        let outcome = outcome(current.0, &op);
        let is_final = outcome.in_force_everywhere()
            || matches!(outcome.result, OpResult::Rejected { .. })
            || current.0.now() >= until;
        if is_final {
            return Reply::json(200, &outcome);
        }
        tokio::time::sleep(PEER_STATUS_INTERVAL).await;
    }
}

/// Returns the outcome of a command and its standing on all entry instances, as known here.
fn outcome(entry: &Entry, op: &OpId) -> Outcome {
    let result = op_result(entry, op);
    let offset = match result {
        OpResult::Applied { offset } => Some(offset),
        _ => None,
    };
    let own = own_standing(entry, op, offset);
    let others = known_entries(entry).into_iter().map(|known| EntryOutcome {
        standing: known.standing(op, offset),
        entry: known.id,
        zone: known.zone,
    });
    let own_outcome =
        EntryOutcome { entry: entry.id().clone(), zone: entry.zone().clone(), standing: own };
    Outcome {
        op: op.clone(),
        result,
        entries: std::iter::once(own_outcome).chain(others).collect(),
    }
}

fn op_result(entry: &Entry, op: &OpId) -> OpResult {
    let ticket = entry.commands.get(op);
    let node = entry.node.lock();
    if let Some(offset) = node.state().op_offset(op) {
        return OpResult::Applied { offset };
    }
    let held = node.holds().iter().any(|hold| Holds::restrictive_op(hold) == Some(op));
    match ticket.map(|ticket| node.proposal_status(ticket)) {
        Some(ProposalStatus::Rejected(offset, reason)) => {
            OpResult::Rejected { offset, reason: reason.to_string() }
        }
        Some(ProposalStatus::Applied(offset)) => OpResult::Applied { offset },
        _ if held => OpResult::Held,
        Some(ProposalStatus::Pending | ProposalStatus::Unknown) => OpResult::Pending,
        None => OpResult::Unknown,
    }
}

fn own_standing(entry: &Entry, op: &OpId, offset: Option<Offset>) -> Standing {
    if let Some(offset) = offset {
        return Standing::InForce { offset };
    }
    let held = entry.node.lock().holds().iter().any(|hold| Holds::restrictive_op(hold) == Some(op));
    if held { Standing::Held } else { Standing::NotHeard { ago_ms: 0 } }
}

/// Another entry instance, as known from the log and from its own status reports.
struct KnownEntry {
    id: EntryId,
    zone: ZoneId,
    http_addr: String,
    /// First offset that it had not applied when it last renewed its lease.
    renewed_next: Offset,
    departing: bool,
    expired: bool,
    /// Its last status report, and the age of the report.
    last_status: Option<(Duration, PeerStatus)>,
}

impl KnownEntry {
    /// Returns the first offset that it is not known to have applied.
    fn next(&self) -> Offset {
        self.last_status
            .as_ref()
            .map_or(self.renewed_next, |(_, status)| status.next.max(self.renewed_next))
    }

    fn last_status_age(&self, entry: &Entry) -> Duration {
        self.last_status.as_ref().map_or(entry.now(), |(ago, _)| *ago)
    }

    fn standing(&self, op: &OpId, offset: Option<Offset>) -> Standing {
        if let Some(offset) = offset.filter(|offset| self.next() > *offset) {
            return Standing::InForce { offset };
        }
        match &self.last_status {
            Some((_, status)) if status.holds.contains(op) => Standing::Held,
            Some((ago, _)) => Standing::NotHeard { ago_ms: millis(*ago) },
            None => Standing::NotHeard { ago_ms: u64::MAX },
        }
    }
}

/// Returns all other entry instances that are not recorded as gone.
fn known_entries(entry: &Entry) -> Vec<KnownEntry> {
    let node = entry.node.lock();
    let holders = node.state().holders.iter();
    let others = holders.filter(|(id, holder)| **id != entry.incarnation() && !holder.gone);
    let known = others.map(|(incarnation, holder)| KnownEntry {
        id: holder.id.clone(),
        zone: holder.addresses.zone.clone(),
        http_addr: holder.addresses.http_addr.clone(),
        renewed_next: holder.seen,
        departing: holder.departing,
        expired: holder.expired,
        last_status: entry.last_peer_status(*incarnation),
    });
    known.collect()
}

#[get("/v1/admin/status")]
async fn status(current: CurrentEntry<'_>) -> Reply {
    sync::refresh_peer_statuses(current.0).await;
    Reply::json(200, &fleet_status(current.0))
}

fn fleet_status(entry: &Entry) -> admin_api::Status {
    let others = known_entries(entry);
    let now = entry.now();
    let node = entry.node.lock();
    let state = node.state();
    let holds = node.holds();
    let own = admin_api::EntryStatus {
        entry: entry.id().clone(),
        zone: entry.zone().clone(),
        http_addr: node.config().http_addr.clone(),
        seen: node.next_offset(),
        heard_ms_ago: 0,
        departing: node.is_stopping(),
        expired: !state.is_live(entry.incarnation()),
    };
    let others = others.iter().map(|known| admin_api::EntryStatus {
        entry: known.id.clone(),
        zone: known.zone.clone(),
        http_addr: known.http_addr.clone(),
        seen: known.next(),
        heard_ms_ago: millis(known.last_status_age(entry)),
        departing: known.departing,
        expired: known.expired,
    });
    let entries = std::iter::once(own).chain(others).collect();
    let dispatcher = entry.dispatcher.lock();
    admin_api::Status {
        entry: entry.id().clone(),
        zone: entry.zone().clone(),
        ready: entry.is_ready_with(&node),
        stopping: node.is_stopping(),
        log_reachable: entry.time_since_platform_answer() <= PLATFORM_LOST_AFTER,
        next: node.next_offset(),
        view_age_ms: millis(node.view_age(now)),
        digest: state.digest(),
        published_at: state.sections.values().map(|section| section.version).max(),
        entries,
        zones: zones(state, &holds),
        pools: pools(state, &dispatcher),
        teams: teams(state, &dispatcher),
        instances: instances(entry, state, &holds),
        holds: holds.iter().filter_map(hold_status).collect(),
        jobs: open_jobs(state),
    }
}

fn zones(state: &State, holds: &[Record]) -> Vec<admin_api::ZoneStatus> {
    let mut names: Vec<ZoneId> = state.config.zones.keys().cloned().collect();
    let used = state.instances.values().map(|instance| &instance.zone);
    for zone in used.chain(state.zones_out.keys()) {
        if !names.contains(zone) {
            names.push(zone.clone());
        }
    }
    let status = |zone: ZoneId| admin_api::ZoneStatus {
        out_since: state.zones_out.get(&zone).copied(),
        held: holds.iter().any(|r| matches!(r, Record::ZoneOut { zone: z, .. } if *z == zone)),
        instances: live(state).filter(|(_, instance)| instance.zone == zone).count() as u32,
        zone,
    };
    names.into_iter().map(status).collect()
}

fn live(state: &State) -> impl Iterator<Item = (&InstanceId, &crate::state::Instance)> {
    state.instances.iter().filter(|(_, instance)| instance.gone_at.is_none())
}

fn pools(state: &State, dispatcher: &dispatch::Dispatcher) -> Vec<admin_api::PoolStatus> {
    let status = |pool: &PoolId| {
        let members: Vec<_> = live(state).filter(|(_, i)| i.pool == *pool).collect();
        admin_api::PoolStatus {
            pool: pool.clone(),
            instances: members.len() as u32,
            usable: dispatcher.usable(pool),
            moving: members.iter().filter(|(_, i)| i.moving.is_some()).count() as u32,
            draining: members.iter().filter(|(_, i)| i.draining.is_some()).count() as u32,
            waiting: dispatcher.sched.pool_load(pool).waiting,
        }
    };
    state.config.pools.keys().map(status).collect()
}

fn teams(state: &State, dispatcher: &dispatch::Dispatcher) -> Vec<admin_api::TeamStatus> {
    let status = |team: &TeamId| admin_api::TeamStatus {
        team: team.clone(),
        limit: state.team_limit(team),
        granted: state.units_in_use(team),
        running: dispatcher.running(team),
        waiting: dispatcher.sched.waiting(team),
    };
    state.config.teams.keys().map(status).collect()
}

fn instances(entry: &Entry, state: &State, holds: &[Record]) -> Vec<admin_api::InstanceStatus> {
    let is_held = |id: &InstanceId| {
        holds.iter().any(|r| matches!(r, Record::InstanceOut { instance, .. } if instance == id))
    };
    let ids: Vec<InstanceId> = live(state).map(|(id, _)| id.clone()).collect();
    let usable = entry.health.lock().usable(entry.now(), &ids);
    let status =
        |(id, instance): (&InstanceId, &crate::state::Instance)| admin_api::InstanceStatus {
            instance: id.clone(),
            pool: instance.pool.clone(),
            zone: instance.zone.clone(),
            out_since: state.instances_out.get(id).copied(),
            held: is_held(id),
            moving_to: instance.moving.as_ref().map(|(pool, _)| pool.clone()),
            draining: instance.draining.is_some(),
            set_aside: !usable.contains(id),
        };
    let unusual = |status: &admin_api::InstanceStatus| {
        status.out_since.is_some()
            || status.held
            || status.moving_to.is_some()
            || status.draining
            || status.set_aside
    };
    live(state).map(status).filter(unusual).collect()
}

fn hold_status(hold: &Record) -> Option<admin_api::HoldStatus> {
    let what = describe_hold(hold)?;
    Some(admin_api::HoldStatus { op: Holds::restrictive_op(hold)?.clone(), what })
}

fn open_jobs(state: &State) -> indexmap::IndexMap<String, u32> {
    use crate::state::JobState;
    let mut counts = indexmap::IndexMap::new();
    for job in state.jobs.values() {
        let name = match job.state {
            JobState::Pending => "pending",
            JobState::Running { .. } => "running",
            JobState::Ended { .. } => continue,
        };
        *counts.entry(name.to_string()).or_insert(0) += 1;
    }
    counts
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
