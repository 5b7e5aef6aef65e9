//! The state of admission control, for metrics and the log.

use super::{ExclusionCounts, Span};

/// Why a request's first token was not in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissCause {
    /// The decode steps are too long for the token interval objective.
    SlowSteps,
    /// The time ran out before the request was sent.
    NoTimeLeft,
    /// All attempts failed.
    AttemptsFailed,
}

impl MissCause {
    /// The labels of the causes in metrics, in the order of the variants.
    pub const LABELS: [&str; 3] = ["slow_steps", "no_time_left", "attempts_failed"];
}

/// The state of admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionStatus {
    /// The fraction of arriving requests that is admitted, from 0 to 1: the lowest fraction of all
    /// models, each as of the model's last arrival or outcome.
    pub admitted_fraction: f64,
    /// The weighted fraction of recent first tokens that were not in time, from 0 to 1: the highest
    /// of all models.
    pub miss_rate: f64,
    /// The number of replicas that take requests now.
    pub mature_replicas: usize,
    /// The number of attempts in flight.
    pub attempts_in_flight: u32,
    /// The number of replicas that get no requests because a first token is overdue there.
    pub overdue_replicas: usize,
    /// The predicted first-token time of a typical uncached prompt at a replica without a queue.
    pub predicted_first_token: Span,
    /// The least predicted first-token time of such a prompt at a single replica in service, behind
    /// what this router sent there; `None` if no replica is in service.
    pub least_predicted_first_token: Option<Span>,
    /// Why replicas were not chosen for the last request that was not served.
    pub exclusions: ExclusionCounts,
    /// For how long requests have been queued although a warm replica is in service and nothing is
    /// in flight.
    pub stalled_for: Span,
    /// The longest such time since the start.
    pub longest_stall: Span,
    /// The number of misses since the start, by cause in the order of [`MissCause`].
    pub misses: [u64; MissCause::LABELS.len()],
}
