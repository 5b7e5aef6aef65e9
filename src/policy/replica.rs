//! The state of one replica as this router sees it: its entry in the endpoint list, the attempts in
//! flight there, and measurements. Fields are changed by `membership` (entry, listed), `attempts`
//! (attempts in flight), `maturity` (maturity, failures) and `measurements` (the rest).

use std::collections::VecDeque;

use super::estimators::prefill_model::{LinearFit, LinearModel};
use super::estimators::replica_load::ReplicaLoad;
use super::estimators::step_time::StepTimeSums;
use crate::interface::{EndpointState, ReplicaEntry, RequestId, Span, Timestamp};

/// An attempt whose first token has not come.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitedFirstToken {
    /// The request.
    pub(super) request: RequestId,
    /// The attempt's number.
    pub(super) attempt: usize,
    /// The time from which on its first token counts as overdue.
    pub(super) overdue_at: Timestamp,
}

/// A replica as this router sees it.
#[derive(Default)]
pub(super) struct ReplicaState {
    /// Its latest entry in the endpoint list.
    pub(super) entry: ReplicaEntry,
    /// Whether it is in the endpoint list.
    pub(super) listed: bool,
    /// First-token times measured here.
    pub(super) prefill_fit: LinearFit,
    /// The model through them, as of the last one.
    pub(super) prefill_model: LinearModel,
    /// When the last of them was recorded.
    pub(super) measured_at: Timestamp,
    /// Whether an attempt of this router ever had a first token here.
    pub(super) has_answered: bool,
    /// Decode steps measured here, relative to the fleet's.
    pub(super) step_time: StepTimeSums,
    /// The time from which on it takes requests again.
    pub(super) maturity: Timestamp,
    /// Its position among the mature replicas, while it is one.
    pub(super) mature_position: Option<usize>,
    /// Attempts whose first tokens have not come, in the order of their sends.
    pub(super) awaited: VecDeque<AwaitedFirstToken>,
    /// Uncached prompt tokens of those attempts.
    pub(super) awaited_tokens: f64,
    /// Attempts in flight by class.
    pub(super) in_flight_by_class: Vec<u32>,
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// The times since which connections to it are idle, the latest last.
    pub(super) idle_connections: VecDeque<Timestamp>,
    /// Consecutive faults.
    pub(super) consecutive_failures: u32,
    /// The running mean of attempts that failed, from 0 to 1.
    pub(super) failure_rate: f64,
    /// Uncached prompt tokens sent to it since its maturity was last set.
    pub(super) dispatched_tokens: f64,
    /// Its last load report.
    pub(super) load: ReplicaLoad,
}

impl ReplicaState {
    /// Whether the endpoint list has it in service.
    pub(super) fn is_in_service(&self) -> bool {
        self.listed && self.entry.state == EndpointState::InService
    }

    /// Whether it is listed and not withdrawn.
    pub(super) fn is_present(&self) -> bool {
        self.listed && self.entry.state != EndpointState::Removed
    }

    /// Whether it serves a model, loaded or not.
    pub(super) fn serves(&self, model: u32) -> bool {
        self.entry.models.load_time(model).is_some()
    }

    /// Whether a load report or a first token of it is younger than `age`.
    pub(super) fn has_recent_data(&self, now: Timestamp, age: Span) -> bool {
        self.load.is_recent(now, age) || (self.has_answered && now - self.measured_at < age)
    }

    /// Its size relative to other replicas', as the endpoint list states it; 1 where it states
    /// none.
    pub(super) fn size(&self) -> f64 {
        if self.entry.weight > 0.0 {
            self.entry.weight
        } else {
            1.0
        }
    }
}
