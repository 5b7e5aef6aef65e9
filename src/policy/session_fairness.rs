//! Fairness between sessions: requests of a session that was rejected before are admitted with a
//! higher probability, so that the same sessions are not rejected every time.

use super::balancer::Balancer;
use crate::interface::Arrival;

/// Factor by which each consecutive rejection raises the value of a session's next request while
/// nearly all requests are admitted.
const VALUE_PER_REJECTION: f64 = 1.5;
/// Maximum number of consecutive rejections that are counted.
const MAX_REJECTIONS: u32 = 16;

/// Returns the factor on the value of a session's request after the given number of consecutive
/// rejections. The factor grows more slowly the lower the admitted fraction is: under heavy
/// overload it is better to serve some sessions completely than all of them in part.
pub(super) fn value_factor(rejections: u32, admitted_fraction: f64) -> f64 {
    let weight = admitted_fraction * admitted_fraction;
    VALUE_PER_REJECTION.powf(f64::from(rejections) * weight)
}

impl Balancer {
    /// Returns the factor on a request's value that results from earlier rejections of its session.
    pub(super) fn session_value_factor(&mut self, arrival: &Arrival) -> f64 {
        let rejections = self.consecutive_rejections(arrival);
        if rejections == 0 {
            return 1.0;
        }
        let admission = self
            .admission
            .for_model(arrival.model, &self.settings, self.now);
        value_factor(rejections, admission.admitted_fraction(self.now))
    }

    /// Records that a request of a session was rejected or failed.
    pub(super) fn record_session_rejection(&mut self, arrival: &Arrival) {
        if let Some(session) = arrival.session {
            let rejections = (self.consecutive_rejections(arrival) + 1).min(MAX_REJECTIONS);
            self.session_rejections.insert(session, rejections);
        }
    }

    /// Records that a request of a session was answered, which resets its rejections.
    pub(super) fn record_session_answer(&mut self, arrival: &Arrival) {
        if let Some(session) = arrival.session
            && self.consecutive_rejections(arrival) > 0
        {
            self.session_rejections.insert(session, 0);
        }
    }

    fn consecutive_rejections(&self, arrival: &Arrival) -> u32 {
        arrival
            .session
            .and_then(|session| self.session_rejections.get(&session))
            .unwrap_or(0)
    }
}
