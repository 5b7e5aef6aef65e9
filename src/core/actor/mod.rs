//! The core's actor: converts messages into events for the [`Balancer`] and executes the actions
//! that the balancer returns. The actor owns the requests in flight, their attempts and all their
//! timers; the balancer makes the decisions.

mod actions;
mod attempts;
mod endpoints;
mod maintenance;
mod options;
mod requests;
mod run;
mod timers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

use super::in_flight_request::InFlightRequest;
use super::stall_detector::StallDetector;
use super::start_times::StartTimes;
use super::{
    Clock, Connector, CoreHandle, CoreLoad, CoreMessage, DiscoveryCommand, MAILBOX_CAPACITY,
    MaintenanceCommand,
};
use crate::Balancer;
use crate::interface::{Action, Class, Event, Idempotency, ReplicaId, RequestId, Span};
use crate::ops::exclusions::Exclusions;
use crate::ops::metrics::Metrics;
use crate::ops::unserved_requests::UnservedSummary;
use endpoints::UpstreamHandle;
use maintenance::MaintenanceReply;
use timers::TimerQueue;

pub use options::CoreOptions;

/// How long before the client stops waiting the decision module has to answer (10 ms). The margin
/// leaves time to write the answer and to transmit it to the client.
const CLIENT_ANSWER_MARGIN: Span = Span::from_millis(10);
/// How long before the client stops waiting the core itself answers a request that the decision
/// module has not answered (3 ms).
const FALLBACK_ANSWER_MARGIN: Span = Span::from_millis(3);
/// The maximum number of operators' commands that wait for the core.
const MAINTENANCE_MAILBOX_CAPACITY: usize = 16;

/// Returns how long requests of a class may be retried; `None` means without limit.
fn retry_window(class: &Class) -> Option<Duration> {
    (class.idempotency == Idempotency::Keyed).then(|| Duration::from(class.deduplication_window))
}

/// The core's actor.
pub struct Core {
    balancer: Balancer,
    clock: Clock,
    /// The minimum time between two steps of the decision module.
    step_interval: Duration,
    max_attempts: u32,
    max_requests_in_flight: usize,
    attempt_start_timeout: Duration,
    /// How long requests of each class may be retried; `None` means without limit.
    retry_windows: Vec<Option<Duration>>,
    connector: Box<dyn Connector>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    messages: mpsc::Receiver<CoreMessage>,
    maintenance: mpsc::Receiver<MaintenanceCommand>,
    maintenance_replies: Vec<MaintenanceReply>,
    start_times: StartTimes,
    exclusions: Exclusions,
    metrics: Arc<Metrics>,
    unserved_requests: UnservedSummary,
    /// When the metrics of the fleet were last published; `None` if they are due with the next
    /// step.
    fleet_metrics_published_at: Option<Instant>,
    stalls: StallDetector,
    upstreams: FxHashMap<ReplicaId, UpstreamHandle>,
    requests: FxHashMap<RequestId, InFlightRequest>,
    load: Arc<CoreLoad>,
    last_id: u32,
    timers: TimerQueue,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Core {
    /// Starts the actor on this thread's runtime, without endpoints. Returns a handle to the actor
    /// and the sender of its mailbox.
    pub fn start(options: CoreOptions) -> (CoreHandle, mpsc::Sender<CoreMessage>) {
        let clock = Clock::start();
        let (message_sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
        let (maintenance_sender, maintenance) = mpsc::channel(MAINTENANCE_MAILBOX_CAPACITY);
        let settings = options.settings;
        let core = Core {
            step_interval: Duration::from(settings.step_interval),
            max_attempts: settings.max_attempts,
            max_requests_in_flight: options.max_requests_in_flight,
            attempt_start_timeout: options.attempt_start_timeout,
            retry_windows: settings.classes.iter().map(retry_window).collect(),
            balancer: Balancer::new(settings, options.seed, clock.time_at(Instant::now())),
            clock,
            connector: options.connector,
            discovery: options.discovery,
            messages,
            maintenance,
            maintenance_replies: Vec::new(),
            start_times: StartTimes::default(),
            exclusions: Exclusions::new(options.exclusions),
            unserved_requests: UnservedSummary::new(options.metrics.class_names()),
            metrics: options.metrics,
            fleet_metrics_published_at: None,
            stalls: StallDetector::new(Instant::now()),
            upstreams: FxHashMap::default(),
            requests: FxHashMap::default(),
            load: Arc::default(),
            last_id: 0,
            timers: TimerQueue::default(),
            events: Vec::new(),
            actions: Vec::new(),
        };
        let handle = CoreHandle::new(
            message_sender.clone(),
            maintenance_sender,
            core.load.clone(),
            core.metrics.clone(),
        );
        tokio::spawn(core.run());
        (handle, message_sender)
    }
}
