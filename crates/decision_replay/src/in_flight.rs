//! Requests in flight and their attempts.

/// A request in flight.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) router: usize,
    /// The deadline in microseconds.
    pub(crate) expires_at: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    pub(crate) current: Option<CurrentAttempt>,
    /// Whether the router has answered the request with an error: it rejected or failed it.
    pub(crate) answered_with_error: bool,
}

/// The attempt of a request that is currently in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentAttempt {
    pub(crate) number: u32,
    pub(crate) has_first_token: bool,
}
