//! Limits how many batch lines are in flight.
//!
//! The rejection limit grows with each completed line, and is halved when a submission of a line
//! ends before an attempt has reached a model server. While interactive requests are served, the
//! latency limit also applies. It starts at one line, and grows only while the latencies of both
//! lines and interactive requests are close to the best ones observed: a longer wait for a slot is
//! the first sign of congestion.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::core::{CoreHandle, FirstTokenWaits};

/// How often a waiting line checks the limit again. Interactive requests change the limit without
/// sending a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Several rejections within this time halve the limit only once, as they have the same cause.
const REJECTION_WINDOW: Duration = Duration::from_millis(250);
/// How long the limit is one line after an interactive request was rejected.
const INTERACTIVE_REJECTION_BACKOFF: Duration = Duration::from_secs(1);
/// Interactive traffic is considered to have ended after this time without a request in flight.
const INTERACTIVE_IDLE_TIME: Duration = Duration::from_secs(2);
/// A smoothed latency above this multiple of the best latency is late.
const LATE_FACTOR: f64 = 1.25;
/// The weight of a new line's latency in the smoothed latency. Also the fraction by which the
/// latency limit decreases when a line completes while the lines' latency is late.
const LINE_LATENCY_WEIGHT: f64 = 1.0 / 8.0;
/// The factor by which the best latency grows with each observation, so that old minimums expire.
const BEST_LATENCY_GROWTH: f64 = 1.002;
/// The minimum number of interactive answers whose mean latency forms one observation.
const ANSWERS_PER_OBSERVATION: u64 = 8;
/// How much the latency limit grows in total over as many lines as it allows, if none is late.
const LATENCY_LIMIT_GROWTH: f64 = 0.25;

/// A smoothed latency and its minimum. The caller chooses the unit.
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

    /// Adds a latency. `smooth` combines the previous smoothed latency with the new one.
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
    /// The limit that decreases when lines are rejected.
    rejection_limit: f64,
    /// The limit that decreases when latencies are late; it applies during interactive traffic.
    latency_limit: f64,
    /// The time from the submission of a line to the start of its answer, in seconds.
    line_latency: Latency,
    /// The time until the first token of interactive answers, in microseconds.
    interactive_latency: Latency,
    /// The core's totals at the latest observation of interactive answers.
    observed_waits: FirstTokenWaits,
    last_halved: Option<Instant>,
    /// The number of interactive requests rejected so far.
    interactive_rejected: u64,
    /// When a new rejection of an interactive request was last noticed.
    last_interactive_rejection: Option<Instant>,
    /// When an interactive request was last in flight.
    last_interactive: Option<Instant>,
}

/// The limit on lines in flight. Clones share its state.
#[derive(Clone)]
pub struct ConcurrencyLimit {
    max_in_flight: usize,
    core: CoreHandle,
    state: Arc<Mutex<State>>,
    released: Arc<Notify>,
}

/// The permit for one line to be in flight. Dropping the permit releases it.
pub struct Permit {
    limit: ConcurrencyLimit,
}

impl ConcurrencyLimit {
    /// Creates a limit of at most `max_in_flight` lines.
    pub fn new(max_in_flight: usize, core: CoreHandle) -> ConcurrencyLimit {
        let max_in_flight = max_in_flight.max(1);
        let state = State {
            in_flight: 0,
            rejection_limit: max_in_flight as f64,
            latency_limit: 1.0,
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

    /// Whether an interactive request is in flight, or was within [`INTERACTIVE_IDLE_TIME`]. Resets
    /// the latency limit when interactive traffic starts.
    fn has_interactive_traffic(&self, state: &mut State, now: Instant) -> bool {
        let had_interactive_traffic = state
            .last_interactive
            .is_some_and(|at| now - at < INTERACTIVE_IDLE_TIME);
        if self.core.load().interactive_in_flight() == 0 {
            return had_interactive_traffic;
        }
        state.last_interactive = Some(now);
        if !had_interactive_traffic {
            state.latency_limit = 1.0;
        }
        true
    }

    /// Adds the latencies of recent interactive answers. The latency limit is halved if the
    /// smoothed latency is late. The latencies of lines would show congestion too late, as a few
    /// lines can occupy the last free slots.
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
            state.latency_limit = (state.latency_limit / 2.0).max(1.0);
        }
    }

    /// How many lines may be in flight now: at least one, so that batches progress under any load.
    fn current_limit(&self, state: &mut State) -> usize {
        let now = Instant::now();
        let interactive_rejected = self.core.load().interactive_rejected();
        if interactive_rejected != state.interactive_rejected {
            state.interactive_rejected = interactive_rejected;
            state.last_interactive_rejection = Some(now);
            state.latency_limit = 1.0;
        }
        self.observe_interactive_latency(state);
        if state
            .last_interactive_rejection
            .is_some_and(|at| now - at < INTERACTIVE_REJECTION_BACKOFF)
        {
            return 1;
        }
        let limit = if self.has_interactive_traffic(state, now) {
            state.rejection_limit.min(state.latency_limit)
        } else {
            state.rejection_limit
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
    /// Records that the line was completed. `start_latency`: the time from its submission to the
    /// start of its answer.
    pub fn completed(&self, start_latency: Duration) {
        let max_limit = self.limit.max_in_flight as f64;
        let mut state = self.limit.state();
        let state = &mut *state;
        state.rejection_limit =
            (state.rejection_limit + 1.0 / state.rejection_limit).min(max_limit);
        let smooth = |old: f64, new: f64| old + (new - old) * LINE_LATENCY_WEIGHT;
        state
            .line_latency
            .observe(start_latency.as_secs_f64(), smooth);
        self.limit.observe_interactive_latency(state);
        if state.interactive_latency.is_late() {
            return;
        }
        state.latency_limit = if state.line_latency.is_late() {
            (state.latency_limit * (1.0 - LINE_LATENCY_WEIGHT)).max(1.0)
        } else {
            (state.latency_limit + LATENCY_LIMIT_GROWTH / state.latency_limit).min(max_limit)
        };
    }

    /// Records that a submission of the line ended before an attempt had reached a model server.
    pub fn rejected(&self) {
        let mut state = self.limit.state();
        let now = Instant::now();
        let is_new_cause = state
            .last_halved
            .is_none_or(|at| now - at > REJECTION_WINDOW);
        if is_new_cause {
            state.rejection_limit = (state.rejection_limit / 2.0).max(1.0);
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
