//! How many lines may be in flight.
//!
//! A limit that grows while lines are completed, and is halved when one is rejected before any
//! attempt. While interactive requests are served, a second limit holds as well: it starts at one
//! line and grows only as long as lines, and the interactive requests, start as promptly as they
//! did at best, since a longer wait for a slot is the first sign of congestion.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::core::{CoreHandle, FirstTokenWaits};

/// How often a line that waits checks the limit: interactive requests change it without a
/// notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Rejections within this time halve the limit once: they have one cause.
const REJECTION_WINDOW: Duration = Duration::from_millis(250);
/// How long only one line may be in flight after an interactive request was rejected.
const YIELD_TIME: Duration = Duration::from_secs(1);
/// Interactive traffic counts as over after this time without a request.
const INTERACTIVE_IDLE_TIME: Duration = Duration::from_secs(2);
/// Latencies over this multiple of the best one are late.
const LATE_FACTOR: f64 = 1.25;
/// The weight of a line's latency in the smoothed one, and the part of the shared limit that a late
/// line costs.
const NEW_LINE_WEIGHT: f64 = 1.0 / 8.0;
/// The factor by which the best latency grows with each observation, so that it is forgotten.
const BEST_LATENCY_GROWTH: f64 = 1.002;
/// Interactive answers whose mean latency makes one observation.
const ANSWERS_PER_OBSERVATION: u64 = 8;
/// How much the shared limit grows over as many punctual lines as it allows.
const SHARED_LIMIT_GROWTH: f64 = 0.25;

/// A smoothed latency, and the best that it has been. The unit is up to the owner.
#[derive(Debug)]
struct Latency {
    /// Zero until the first observation.
    smoothed: f64,
    best: f64,
}

impl Latency {
    fn new() -> Latency {
        Latency {
            smoothed: 0.0,
            best: f64::INFINITY,
        }
    }

    /// Takes in a latency; `smooth` combines the smoothed one with it.
    fn observe(&mut self, latency: f64, smooth: impl FnOnce(f64, f64) -> f64) {
        self.smoothed = if self.smoothed > 0.0 {
            smooth(self.smoothed, latency)
        } else {
            latency
        };
        self.best = (self.best * BEST_LATENCY_GROWTH).min(self.smoothed);
    }

    fn is_late(&self) -> bool {
        self.smoothed > LATE_FACTOR * self.best
    }
}

#[derive(Debug)]
struct State {
    in_flight: usize,
    /// The limit by rejections.
    limit: f64,
    /// The limit beside interactive requests.
    shared_limit: f64,
    /// Seconds from the submission of a line to the start of its answer.
    line_latency: Latency,
    /// Microseconds until the first token of interactive answers.
    interactive_latency: Latency,
    /// The first tokens that the latest observation took in.
    observed_waits: FirstTokenWaits,
    last_halved: Option<Instant>,
    /// Interactive requests rejected so far.
    interactive_rejected: u64,
    /// When an interactive request was last seen to be rejected.
    last_interactive_rejection: Option<Instant>,
    /// When an interactive request was last in flight.
    last_interactive: Option<Instant>,
}

/// The limit; clones share it.
#[derive(Clone)]
pub struct ConcurrencyLimit {
    max_in_flight: usize,
    core: CoreHandle,
    state: Arc<Mutex<State>>,
    released: Arc<Notify>,
}

/// The permit for one line to be in flight; it is returned when dropped.
pub struct Permit {
    limit: ConcurrencyLimit,
}

impl ConcurrencyLimit {
    /// A limit that allows this many lines at most.
    pub fn new(max_in_flight: usize, core: CoreHandle) -> ConcurrencyLimit {
        let max_in_flight = max_in_flight.max(1);
        let state = State {
            in_flight: 0,
            limit: max_in_flight as f64,
            shared_limit: 1.0,
            line_latency: Latency::new(),
            interactive_latency: Latency::new(),
            observed_waits: core.load().first_token_waits(),
            last_halved: None,
            interactive_rejected: core.load().interactive_rejected(),
            last_interactive_rejection: None,
            last_interactive: None,
        };
        ConcurrencyLimit {
            max_in_flight,
            core,
            state: Arc::new(Mutex::new(state)),
            released: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether interactive requests are being served, or were until just now.
    fn is_shared(&self, state: &mut State, now: Instant) -> bool {
        let was_shared = state
            .last_interactive
            .is_some_and(|at| now - at < INTERACTIVE_IDLE_TIME);
        if self.core.load().interactive_in_flight() == 0 {
            return was_shared;
        }
        state.last_interactive = Some(now);
        if !was_shared {
            state.shared_limit = 1.0;
        }
        true
    }

    /// Takes in the latencies of interactive answers; each observation that is late halves the
    /// shared limit. Lines alone would show it too late: a few of them can take the last slots.
    fn observe_interactive_latency(&self, state: &mut State) {
        let waits = self.core.load().first_token_waits();
        let count = waits.count - state.observed_waits.count;
        let micros = waits.total_micros - state.observed_waits.total_micros;
        if count < ANSWERS_PER_OBSERVATION {
            return;
        }
        state.observed_waits = waits;
        let mean = micros as f64 / count as f64;
        state.interactive_latency.observe(mean, f64::midpoint);
        if state.interactive_latency.is_late() {
            state.shared_limit = (state.shared_limit / 2.0).max(1.0);
        }
    }

    /// The lines that may be in flight now: at least one, so that batches go on under any load.
    fn current_limit(&self, state: &mut State) -> usize {
        let now = Instant::now();
        let interactive_rejected = self.core.load().interactive_rejected();
        if interactive_rejected != state.interactive_rejected {
            state.interactive_rejected = interactive_rejected;
            state.last_interactive_rejection = Some(now);
            state.shared_limit = 1.0;
        }
        self.observe_interactive_latency(state);
        if state
            .last_interactive_rejection
            .is_some_and(|at| now - at < YIELD_TIME)
        {
            return 1;
        }
        let limit = if self.is_shared(state, now) {
            state.limit.min(state.shared_limit)
        } else {
            state.limit
        };
        (limit as usize).max(1)
    }

    /// Waits until another line may be in flight. Cancel safe.
    pub async fn acquire(&self) -> Permit {
        loop {
            {
                let mut state = self.state();
                if state.in_flight < self.current_limit(&mut state) {
                    state.in_flight += 1;
                    return Permit {
                        limit: self.clone(),
                    };
                }
            }
            let _ = tokio::time::timeout(RECHECK_INTERVAL, self.released.notified()).await;
        }
    }
}

impl Permit {
    /// The line was completed; its answer started after this time.
    pub fn completed(&self, start_latency: Duration) {
        let max_limit = self.limit.max_in_flight as f64;
        let mut state = self.limit.state();
        let state = &mut *state;
        state.limit = (state.limit + 1.0 / state.limit).min(max_limit);
        let smooth = |old: f64, new: f64| old + (new - old) * NEW_LINE_WEIGHT;
        state
            .line_latency
            .observe(start_latency.as_secs_f64(), smooth);
        self.limit.observe_interactive_latency(state);
        if state.interactive_latency.is_late() {
            return;
        }
        state.shared_limit = if state.line_latency.is_late() {
            (state.shared_limit * (1.0 - NEW_LINE_WEIGHT)).max(1.0)
        } else {
            (state.shared_limit + SHARED_LIMIT_GROWTH / state.shared_limit).min(max_limit)
        };
    }

    /// The line was rejected before any attempt.
    pub fn rejected(&self) {
        let mut state = self.limit.state();
        let now = Instant::now();
        let is_new_cause = state
            .last_halved
            .is_none_or(|at| now - at > REJECTION_WINDOW);
        if is_new_cause {
            state.limit = (state.limit / 2.0).max(1.0);
            state.last_halved = Some(now);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limit.state().in_flight -= 1;
        self.limit.released.notify_one();
    }
}
