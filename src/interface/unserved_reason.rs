//! The reasons for which a request is not served.

/// Why a request is rejected or fails. Used only in the log and the metrics, not for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Admission control sheds the request.
    Shed,
    /// No listed replica can serve the request: none has its model, or none is in service.
    NoReplica,
    /// The first token can no longer arrive in time.
    NoTimeLeft,
    /// The request would have to leave the replica that has its prompt cached, which is too
    /// expensive.
    ExpensiveMigration,
    /// The attempts of the request have failed, and no further attempt is allowed.
    AttemptsFailed,
    /// The number of requests in flight has reached the limit of the settings.
    InFlightLimit,
    /// The decision module gave no answer before the request expired.
    Expired,
    /// The router is shutting down.
    Ending,
}

impl UnservedReason {
    /// The labels of the reasons, in the order of the variants.
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

    /// The label of the reason in metrics and in the log.
    pub fn label(self) -> &'static str {
        UnservedReason::LABELS[self as usize]
    }
}
