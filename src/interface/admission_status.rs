//! The state of admission control, for metrics and the log.

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
    /// The number of misses since the start, by cause in the order of [`MissCause`].
    pub misses: [u64; MissCause::LABELS.len()],
}
