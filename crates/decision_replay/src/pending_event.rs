//! Events that the simulation sends at a later time.

/// An event that is not due yet. Times are in microseconds.
#[derive(Debug)]
pub(crate) enum PendingEvent {
    FirstToken {
        request: u32,
        attempt: u32,
        elapsed: u64,
    },
    AttemptEnded(AttemptEnd),
    RequestExpired {
        request: u32,
    },
    HealthChecked {
        router: usize,
        replica: String,
        elapsed: u64,
    },
    TimerDue {
        router: usize,
        timer_id: u64,
    },
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) request: u32,
    pub(crate) attempt: u32,
    /// Microseconds since the attempt's start.
    pub(crate) elapsed: u64,
    /// The protocol's code for the outcome.
    pub(crate) outcome: u32,
    pub(crate) cached_tokens: u32,
    /// The replica's name; empty if the attempt was cancelled.
    pub(crate) replica: String,
}
