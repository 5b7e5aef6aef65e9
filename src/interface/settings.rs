//! The settings of the decision module. The callers read the settings file and define its keys.

use super::{Class, LoadReportField, Span};

/// The settings of the decision module, constant for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of routers in the deployment.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: u32,
    /// Minimum time between two steps.
    pub step_interval: Span,
    /// Whether the endpoint list must be requested (by a poll or a watch) because it is not pushed.
    pub endpoints_on_request: bool,
    /// Maximum time between a change of the endpoint list and the time at which the router counts
    /// as notified of the change, even if it did not request the list.
    pub staleness_bound: Span,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants' quotas, in requests per second over all routers; infinite for no quota.
    pub quotas: Vec<f64>,
    /// The fraction of its priority weight, from 0 to 1, that a request beyond its tenant's quota
    /// keeps.
    pub over_quota_weight: f64,
    /// Whether a broken stream may be resumed at another replica.
    pub stream_resumption: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of a request may run at the same time.
    pub hedged_requests: bool,
    /// Whether health checks are allowed.
    pub health_checks: bool,
    /// Whether rejections may carry a Retry-After time.
    pub retry_after: bool,
    /// Maximum Retry-After time that clients obey.
    pub max_retry_after: Span,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Idle time after which a connection is closed.
    pub idle_connection_timeout: Span,
    /// Cost of an attempt in another zone. All costs are in units of priority weight.
    pub cross_zone_cost: f64,
    /// Cost of a new connection.
    pub connection_cost: f64,
    /// Cost of work whose result no client received.
    pub wasted_work_cost: f64,
    /// Cost of a health check.
    pub health_check_cost: f64,
    /// Time within which attempts at a draining or removed replica must end.
    pub drain_grace: Span,
    /// A replica that is warming up fails if it is sent more than this multiple of its capacity
    /// within [`Settings::overload_window`].
    pub overload_factor: f64,
    /// The window over which a replica's load is compared with its capacity.
    pub overload_window: Span,
    /// The minimum fraction of its capacity, from 0 to 1, that a replica has when it starts.
    pub slow_start_floor: f64,
    /// Time after its start at which a replica has its full capacity.
    pub slow_start_duration: Span,
    /// Whether the weights in the endpoint list are the sizes of the replicas. Otherwise they
    /// follow the load with too long a delay for decisions.
    pub weights_are_sizes: bool,
    /// The values of a load report, in the order in which replicas are to report them.
    pub load_report_fields: Vec<LoadReportField>,
    /// Whether replicas send load reports with answers too, and not only with health checks.
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
