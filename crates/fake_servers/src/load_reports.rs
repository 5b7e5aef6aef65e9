//! Load reports, which a model server answers `GET /_load` with: errors and served requests per
//! second, the fraction of its slots in use, and the fraction of its memory that running requests
//! hold. As on the platform, a report is measured once per period, arrives late and is inexact.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::report_fault::ReportFault;

/// How often reports are measured, how late they are and how exact.
#[derive(Clone, Copy, Debug)]
pub struct ReportTiming {
    /// Time between two measurements.
    pub period: Duration,
    /// Time from a measurement until it is reported.
    pub delay: Duration,
    /// Maximum error of a value, as a fraction of the value.
    pub noise: f64,
}

impl Default for ReportTiming {
    fn default() -> ReportTiming {
        ReportTiming {
            period: Duration::from_millis(700),
            delay: Duration::from_millis(200),
            noise: 0.04,
        }
    }
}

impl ReportTiming {
    /// Draws a timing from the ranges of the platform's sites.
    pub fn draw(rng: &mut StdRng) -> ReportTiming {
        ReportTiming {
            period: Duration::from_millis(rng.random_range(350..970)),
            delay: Duration::from_millis(rng.random_range(68..470)),
            noise: rng.random_range(0.0004..0.08),
        }
    }
}

/// What a server answers to a request for its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// A response with status 200 after this time.
    Response {
        /// Time until the response is sent.
        delay: Duration,
        /// The body of the response.
        body: String,
    },
    /// A response with status 500.
    Error,
    /// Nothing.
    Unanswered,
}

/// Measures the load of one server. Clones share their state.
#[derive(Clone)]
pub struct LoadReporter {
    slots: usize,
    timing: ReportTiming,
    state: Arc<Mutex<ReporterState>>,
}

struct ReporterState {
    running: usize,
    served: u32,
    failed: u32,
    /// End of the current period.
    period_end: Instant,
    /// The measurement that is reported, and the one that is not reported yet.
    reported: Measurement,
    measured: Measurement,
    fault: ReportFault,
    frozen: Option<String>,
    rng: StdRng,
}

#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    errors_per_second: f64,
    served_per_second: f64,
    utilization: f64,
}

/// A request that counts as running until this is dropped.
pub struct RunningRequest {
    reporter: LoadReporter,
    served: bool,
}

impl RunningRequest {
    /// Records that the request was answered completely. Otherwise, it counts as failed.
    pub fn served(mut self) {
        self.served = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.reporter.state();
        self.reporter.measure(&mut state);
        state.running -= 1;
        if self.served {
            state.served += 1;
        } else {
            state.failed += 1;
        }
    }
}

impl LoadReporter {
    /// Creates the reporter of a server that has served nothing yet.
    pub fn new(slots: usize, timing: ReportTiming, seed: u64) -> LoadReporter {
        let mut rng = StdRng::seed_from_u64(seed);
        // the servers' periods do not begin at the same time
        let first_period = timing.period.mul_f64(rng.random());
        let state = ReporterState {
            running: 0,
            served: 0,
            failed: 0,
            period_end: Instant::now() + first_period,
            reported: Measurement::default(),
            measured: Measurement::default(),
            fault: ReportFault::None,
            frozen: None,
            rng,
        };
        LoadReporter {
            slots: slots.max(1),
            timing,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the fault of the reports.
    pub fn set_fault(&self, fault: ReportFault) {
        let mut state = self.state();
        state.fault = fault;
        state.frozen = None;
    }

    /// Records that a request begins to run.
    pub fn begin_request(&self) -> RunningRequest {
        let mut state = self.state();
        self.measure(&mut state);
        state.running += 1;
        RunningRequest {
            reporter: self.clone(),
            served: false,
        }
    }

    /// Returns the answer to a request for the load.
    pub fn answer(&self) -> ReportAnswer {
        let mut state = self.state();
        self.measure(&mut state);
        let mut delay = Duration::ZERO;
        let body = match state.fault {
            ReportFault::Failing => return ReportAnswer::Error,
            ReportFault::Unanswered => return ReportAnswer::Unanswered,
            ReportFault::Missing => String::new(),
            ReportFault::Garbled => "TEXT eps=,qps=\u{1f}x;util==0.3,=,\u{fffd}".into(),
            ReportFault::Absurd => "TEXT eps=-1, qps=1e30, util=1e8, x0=nan".into(),
            ReportFault::Boasting => "TEXT eps=0, qps=10000, util=0.1, x0=0".into(),
            ReportFault::Frozen => {
                let text = self.report_text(&mut state);
                state.frozen.get_or_insert(text).clone()
            }
            ReportFault::Late(late) => {
                delay = late;
                self.report_text(&mut state)
            }
            ReportFault::None => self.report_text(&mut state),
        };
        ReportAnswer::Response { delay, body }
    }

    fn state(&self) -> MutexGuard<'_, ReporterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the measurement of the current period if it has ended.
    fn measure(&self, state: &mut ReporterState) {
        let now = Instant::now();
        while now >= state.period_end {
            let seconds = self.timing.period.as_secs_f64();
            state.reported = state.measured;
            state.measured = Measurement {
                errors_per_second: f64::from(state.failed) / seconds,
                served_per_second: f64::from(state.served) / seconds,
                utilization: state.running as f64 / self.slots as f64,
            };
            (state.served, state.failed) = (0, 0);
            state.period_end += self.timing.period;
        }
    }

    fn report_text(&self, state: &mut ReporterState) -> String {
        let measured_at = state.period_end - self.timing.period;
        let measurement = if measured_at.elapsed() >= self.timing.delay {
            state.measured
        } else {
            state.reported
        };
        let noise = self.timing.noise;
        let mut inexact = |value: f64| value * (1.0 + noise * state.rng.random_range(-1.0..=1.0));
        format!(
            "TEXT eps={:.3}, qps={:.3}, util={:.4}, x0={:.4}",
            inexact(measurement.errors_per_second),
            inexact(measurement.served_per_second),
            inexact(measurement.utilization),
            inexact(measurement.utilization),
        )
    }
}
