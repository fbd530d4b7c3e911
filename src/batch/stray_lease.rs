//! Leases that a worker may hold by orders that were meant for its earlier processes.
//!
//! A worker that restarts under its id cannot tell such an order from one of its own, and a deadline by the
//! clock of the earlier process brings the longest lease. Connections keep these orders back as long as they
//! end with the process that accepted them (`platform::worker_connections`). An order without a response may
//! still be carried out later, and an intermediary may keep a connection open across a restart.

use crate::ids::Time;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time after which an order without a response is carried out. The platform says seconds.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Returns the time from sending an order to the end of a lease of up to `longest_lease` that it brings, by the
/// owner's clock, however late it is carried out.
pub fn order_horizon(longest_lease: Duration) -> Duration {
    MAX_ORDER_DELAY + longest_lease
}

/// Identifies an order with a lease to one worker.
pub type LeaseOrderId = u64;

/// How an order with a lease ended for its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOrderEnd {
    /// The process for which it was meant answered, or it was not sent.
    Settled,
    /// Another process of the worker answered.
    Misdirected,
    /// There was no response: it may have taken effect, or may still do so.
    Unanswered,
}

#[derive(Clone, Copy, Debug)]
struct LeaseOrder {
    /// When its lease has expired, however late it is carried out.
    until: Time,
    misdirected: bool,
}

/// Orders with a lease to one worker which the process that they were meant for has not answered.
#[derive(Clone, Debug, Default)]
pub struct LeaseOrders {
    open: IndexMap<LeaseOrderId, LeaseOrder>,
    last_id: LeaseOrderId,
    /// When the leases of orders of earlier owners have expired, however late these are carried out.
    earlier_owners_until: Time,
}

impl LeaseOrders {
    /// Creates the orders of an owner after others, whose orders may bring leases until `earlier_owners_until`.
    pub fn new(earlier_owners_until: Time) -> LeaseOrders {
        LeaseOrders { earlier_owners_until, ..LeaseOrders::default() }
    }

    /// Records that the leases of earlier owners' orders have expired by `until`.
    pub fn limit_earlier_owners(&mut self, until: Time) {
        self.earlier_owners_until = self.earlier_owners_until.min(until);
    }

    /// Whether orders of earlier owners may still bring a lease.
    pub fn may_be_earlier_owners(&self, now: Time) -> bool {
        now < self.earlier_owners_until
    }

    /// Adds an order that is about to be sent, with the horizon of `order_horizon`.
    pub fn begin(&mut self, now: Time, horizon: Duration) -> LeaseOrderId {
        self.open.retain(|_, order| now < order.until);
        self.last_id += 1;
        self.open.insert(self.last_id, LeaseOrder { until: now + horizon, misdirected: false });
        self.last_id
    }

    /// Records the end of an order.
    pub fn end(&mut self, id: LeaseOrderId, end: LeaseOrderEnd) {
        match end {
            LeaseOrderEnd::Settled => {
                self.open.swap_remove(&id);
            }
            LeaseOrderEnd::Misdirected => {
                if let Some(order) = self.open.get_mut(&id) {
                    order.misdirected = true;
                }
            }
            LeaseOrderEnd::Unanswered => {}
        }
    }

    /// Returns why a process that is new to the owner may hold a lease by one of the orders; `None` if it cannot.
    pub fn stray_source(&self, now: Time) -> Option<StraySource> {
        let open = || self.open.values().filter(|order| now < order.until);
        if open().any(|order| order.misdirected) {
            Some(StraySource::Misdirected)
        } else if open().next().is_some() {
            Some(StraySource::Unanswered)
        } else {
            self.may_be_earlier_owners(now).then_some(StraySource::EarlierOwner)
        }
    }
}

/// What may have brought a stray lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StraySource {
    /// An order that another process answered than the one it was meant for.
    Misdirected,
    /// An order without a response.
    Unanswered,
    /// An order of an earlier owner, whose responses are not known.
    EarlierOwner,
}

impl StraySource {
    /// Returns the name in the event log.
    pub fn as_str(self) -> &'static str {
        match self {
            StraySource::Misdirected => "misdirected",
            StraySource::Unanswered => "unanswered",
            StraySource::EarlierOwner => "earlier_owner",
        }
    }
}

/// Whether a later owner learns of a stray lease from the owner records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announcement {
    Missing,
    /// The record that names it is being stored.
    Sent,
    Stored,
}

/// Lease that a worker's process may hold by orders that were meant for an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StrayLease {
    None,
    /// Such orders may still arrive: the process has not answered under a fence that voids them.
    Open(StraySource),
    /// No more of them can arrive, and their leases have expired by `at`, by the owner's clock. The worker
    /// gets starts only while the announcement is stored.
    Until {
        at: Time,
        announcement: Announcement,
    },
}

impl StrayLease {
    /// Returns when the lease has expired, if a report has settled that.
    pub fn expires_at(self) -> Option<Time> {
        match self {
            StrayLease::None | StrayLease::Open(_) => None,
            StrayLease::Until { at, .. } => Some(at),
        }
    }

    /// Returns the time that is left, if the lease may last.
    pub fn left(self, now: Time) -> Option<Duration> {
        let left = self.expires_at()?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the worker must get no starts yet: an owner that is killed would take its knowledge of the
    /// lease along.
    pub fn is_unannounced(self, now: Time) -> bool {
        match self {
            StrayLease::None => false,
            StrayLease::Open(_) => true,
            StrayLease::Until { announcement, .. } => {
                announcement != Announcement::Stored && self.left(now).is_some()
            }
        }
    }

    /// Returns the lease with another state of its announcement.
    pub fn with_announcement(self, announcement: Announcement) -> StrayLease {
        match self {
            StrayLease::None | StrayLease::Open(_) => self,
            StrayLease::Until { at, .. } => StrayLease::Until { at, announcement },
        }
    }

    /// Records that the owner record of the latest announcement is stored.
    pub fn record_announced(self) -> StrayLease {
        match self {
            StrayLease::Until { announcement: Announcement::Sent, .. } => {
                self.with_announcement(Announcement::Stored)
            }
            StrayLease::None | StrayLease::Open(_) | StrayLease::Until { .. } => self,
        }
    }
}
