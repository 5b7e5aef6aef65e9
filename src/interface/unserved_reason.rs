//! Why a request is not served.

/// Why a request is rejected or failed. For the log and the metrics alone: no decision rests on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Admission control sheds it.
    Shed,
    /// No listed replica can serve it: none has its model, or none is in service.
    NoReplica,
    /// Its first token can't come in time any more.
    NoTimeLeft,
    /// It would have to leave the replica that has its prompt cached, and that is too expensive.
    ExpensiveMigration,
    /// Its attempts have failed, and no further one is allowed.
    AttemptsFailed,
    /// As many requests are in flight as the settings allow.
    InFlightLimit,
    /// The decision module had given no answer by its expiry.
    Expired,
    /// The router ends.
    Ending,
}

impl UnservedReason {
    /// The reasons, in the order of their labels.
    pub const LABELS: [&str; 8] = [
        "shed",
        "no_replica",
        "no_time_left",
        "expensive_migration",
        "attempts_failed",
        "in_flight_limit",
        "expired",
        "ending",
    ];

    /// Its label in metrics and in the log.
    pub fn label(self) -> &'static str {
        UnservedReason::LABELS[self as usize]
    }
}
