//! What the decision module is started with. The settings file and its keys belong to the callers.

use super::{Class, Span};

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many gateways there are.
    pub instances: u32,
    /// The zone of this one.
    pub zone: u32,
    /// The least time between two steps.
    pub period: Span,
    /// The list of replicas comes only when asked for.
    pub ask: bool,
    /// A gateway that has not asked for so long counts as told.
    pub must_ask_in: Span,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants' shares, in requests a second over all gateways; infinite where there is none.
    pub quotas: Vec<f64>,
    /// What a request beyond its tenant's share is worth, as a part.
    pub over_share_worth: f64,
    /// A broken stream may go on elsewhere.
    pub resume: bool,
    /// Clients flag their repeats.
    pub marks_retry: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Two attempts of a request may run together.
    pub second_copies: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest wait that they heed.
    pub max_retry_after: Span,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// An idle connection is closed after this.
    pub conn_idle: Span,
    /// Price of an attempt that crosses zones.
    pub cross_price: f64,
    /// Price of a new connection.
    pub handshake_price: f64,
    /// Price of work that served nobody.
    pub waste_price: f64,
    /// Price of a probe.
    pub probe_price: f64,
    /// Sends to a draining or gone replica end within this.
    pub drain_grace: Span,
    /// A cold replica falls when sent more than this multiple of what it can do,
    pub fall_multiple: f64,
    /// for so long.
    pub fall: Span,
    /// It starts at this share of its capacity or more
    pub start_capacity: f64,
    /// and is warm after this.
    pub warm_after: Span,
    /// Ratings in the list are sizes; otherwise they change with the load, too late to go by.
    pub sized: bool,
    /// The values of a load report.
    pub report: Vec<Field>,
    /// Reports come with answers, not only with probes.
    pub report_in_answers: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            instances: 1,
            zone: 0,
            period: Span::from_millis(2),
            ask: false,
            must_ask_in: Span::from_secs(10),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_share_worth: 1.0,
            resume: false,
            marks_retry: false,
            cancel: false,
            second_copies: false,
            probes: false,
            retry_after: false,
            max_retry_after: Span::ZERO,
            max_attempts: 2,
            conn_idle: Span::from_secs(5),
            cross_price: 0.0,
            handshake_price: 0.0,
            waste_price: 0.0,
            probe_price: 0.0,
            drain_grace: Span::ZERO,
            fall_multiple: 2.0,
            fall: Span::from_secs(1),
            start_capacity: 0.1,
            warm_after: Span::from_secs(20),
            sized: true,
            report: Vec::new(),
            report_in_answers: false,
        }
    }
}

/// What a value in a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests being handled.
    Inflight,
    /// Requests waiting.
    Queue,
    /// Share of the slots in use.
    Util,
    /// Errors a second.
    Errors,
    /// Requests served a second.
    Served,
    /// Anything else.
    Other,
}
