//! Requests in flight and their attempts.

/// A request in flight.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) gateway: usize,
    /// The deadline in microseconds.
    pub(crate) expires_at: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Attempts so far.
    pub(crate) attempts: u32,
    pub(crate) current: Option<CurrentAttempt>,
    /// Whether the gateway has rejected it.
    pub(crate) rejected: bool,
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentAttempt {
    pub(crate) number: u32,
    pub(crate) has_first_token: bool,
}
