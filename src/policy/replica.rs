//! The state of one replica as this router sees it: its entry in the endpoint list, the attempts in
//! flight there, and measurements. Fields are mainly changed by `membership` (entry, listed),
//! `attempts` (attempts in flight, failure rate, dispatched tokens), `maturity` (maturity,
//! consecutive failures), `health_checks` (load report) and `measurements` (first-token times,
//! decode steps, idle connections).

use std::collections::VecDeque;

use super::estimators::prefill_model::{LinearFit, LinearModel};
use super::estimators::replica_load::ReplicaLoad;
use super::estimators::step_time::StepTimeSums;
use crate::interface::{EndpointState, ReplicaEntry, RequestId, Span, Timestamp};

/// An attempt whose first token has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitedFirstToken {
    /// The request.
    pub(super) request: RequestId,
    /// The attempt's number.
    pub(super) attempt: usize,
    /// When its first token starts to count as overdue.
    pub(super) overdue_at: Timestamp,
    /// When the replica is tried again although this first token has not arrived.
    pub(super) retry_at: Timestamp,
}

/// A replica as this router sees it.
#[derive(Default)]
pub(super) struct ReplicaState {
    /// Its latest entry in the endpoint list.
    pub(super) entry: ReplicaEntry,
    /// Its size relative to other replicas. Set by `replica_sizes`.
    pub(super) size: f64,
    /// Whether it is in the endpoint list.
    pub(super) listed: bool,
    /// The fit to the first-token times measured at this replica.
    pub(super) prefill_fit: LinearFit,
    /// The prefill model from that fit, as of the last measurement.
    pub(super) prefill_model: LinearModel,
    /// When the last first-token time was recorded.
    pub(super) measured_at: Timestamp,
    /// Whether any attempt of this router got a first token or an answer from this replica.
    pub(super) has_answered: bool,
    /// Decode steps measured at this replica, relative to those of the fleet.
    pub(super) step_time: StepTimeSums,
    /// When it takes requests again.
    pub(super) maturity: Timestamp,
    /// Its position among the mature replicas; `None` while it is not mature.
    pub(super) mature_position: Option<usize>,
    /// Attempts whose first tokens have not arrived, in the order in which they were sent.
    pub(super) awaited: VecDeque<AwaitedFirstToken>,
    /// Uncached prompt tokens of those attempts.
    pub(super) awaited_tokens: f64,
    /// Attempts in flight by class.
    pub(super) in_flight_by_class: Vec<u32>,
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// Since when each idle connection to this replica has been idle, the latest last.
    pub(super) idle_connections: VecDeque<Timestamp>,
    /// Consecutive faults since the last answer, up to a maximum that `maturity` sets.
    pub(super) consecutive_failures: u32,
    /// Consecutive failed health checks, up to a maximum that `maturity` sets.
    pub(super) consecutive_failed_checks: u32,
    /// Until when other replicas are preferred because a health check failed.
    pub(super) suspected_until: Timestamp,
    /// The running mean of the fraction of attempts that failed, from 0 to 1.
    pub(super) failure_rate: f64,
    /// Uncached prompt tokens sent to this replica since its maturity was last set.
    pub(super) dispatched_tokens: f64,
    /// Its last load report.
    pub(super) load: ReplicaLoad,
}

impl ReplicaState {
    /// Whether it is in service according to the endpoint list.
    pub(super) fn is_in_service(&self) -> bool {
        self.listed && self.entry.state == EndpointState::InService
    }

    /// Whether it is listed and not marked as removed.
    pub(super) fn is_present(&self) -> bool {
        self.listed && self.entry.state != EndpointState::Removed
    }

    /// Whether it serves a model, whether or not the model is loaded.
    pub(super) fn serves(&self, model: u32) -> bool {
        self.entry.models.load_time(model).is_some()
    }

    /// Whether its last answer to a health check or its last first-token measurement is younger
    /// than `age`.
    pub(super) fn has_recent_data(&self, now: Timestamp, age: Span) -> bool {
        self.load.is_recent(now, age) || (self.has_answered && now - self.measured_at < age)
    }

    /// Whether a first token is overdue, and the replica is not to be tried again yet.
    pub(super) fn has_overdue_first_token(&self, now: Timestamp) -> bool {
        let mut awaited = self.awaited.iter();
        let first = awaited.find(|awaited| awaited.retry_at > now);
        first.is_some_and(|awaited| awaited.overdue_at < now)
    }
}
