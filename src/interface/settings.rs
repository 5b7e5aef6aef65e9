//! The settings of the decision module. The settings file and its keys belong to the callers.

use super::{Class, LoadReportField, Span};

/// The settings of the decision module, constant for the life of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of routers in the deployment.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: u32,
    /// The least time between two steps.
    pub step_interval: Span,
    /// The endpoint list has to be requested (by a poll or a watch), and is not pushed.
    pub endpoints_on_request: bool,
    /// A change of the endpoint list counts as notified this long after it, at the latest, even
    /// where the list was not requested.
    pub staleness_bound: Span,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants' quotas, in requests a second over all routers; infinite where there is none.
    pub quotas: Vec<f64>,
    /// The fraction of its priority weight, from 0 to 1, that a request beyond its tenant's quota
    /// has.
    pub over_quota_weight: f64,
    /// A broken stream may be resumed at another replica.
    pub stream_resumption: bool,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Two attempts of a request may run at once.
    pub hedged_requests: bool,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// Rejections may carry a Retry-After time.
    pub retry_after: bool,
    /// The longest Retry-After time that clients obey.
    pub max_retry_after: Span,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// A connection that is idle for this long is closed.
    pub idle_connection_timeout: Span,
    /// Cost of an attempt in another zone, in units of priority weight, like the costs below.
    pub cross_zone_cost: f64,
    /// Cost of a new connection.
    pub connection_cost: f64,
    /// Cost of work that served nobody.
    pub wasted_work_cost: f64,
    /// Cost of a health check.
    pub health_check_cost: f64,
    /// Attempts at a draining or removed replica have to end within this.
    pub drain_grace: Span,
    /// A replica that is warming up fails when it is sent more than this multiple of its capacity
    /// within [`Settings::overload_window`].
    pub overload_factor: f64,
    /// The window over which a replica's load is compared with its capacity.
    pub overload_window: Span,
    /// The fraction of its capacity, from 0 to 1, that a replica has at least when it starts.
    pub slow_start_floor: f64,
    /// A replica has its full capacity this long after its start.
    pub slow_start_duration: Span,
    /// Weights in the endpoint list are the sizes of the replicas. Otherwise they follow the load,
    /// too late to decide on.
    pub weights_are_sizes: bool,
    /// The values of a load report, in the order in which replicas are to report them.
    pub load_report_fields: Vec<LoadReportField>,
    /// Load reports come with answers, and not only with health checks.
    pub load_reports_in_answers: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            router_count: 1,
            zone: 0,
            step_interval: Span::from_millis(2),
            endpoints_on_request: false,
            staleness_bound: Span::from_secs(10),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_weight: 1.0,
            stream_resumption: false,
            clients_mark_retries: false,
            cancellation: false,
            hedged_requests: false,
            health_checks: false,
            retry_after: false,
            max_retry_after: Span::ZERO,
            max_attempts: 2,
            idle_connection_timeout: Span::from_secs(5),
            cross_zone_cost: 0.0,
            connection_cost: 0.0,
            wasted_work_cost: 0.0,
            health_check_cost: 0.0,
            drain_grace: Span::ZERO,
            overload_factor: 2.0,
            overload_window: Span::from_secs(1),
            slow_start_floor: 0.1,
            slow_start_duration: Span::from_secs(20),
            weights_are_sizes: true,
            load_report_fields: Vec::new(),
            load_reports_in_answers: false,
        }
    }
}
