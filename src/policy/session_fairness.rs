//! Fairness between sessions: a session that was rejected before is admitted more easily, so that
//! the same ones are not rejected throughout.

use super::balancer::Balancer;
use crate::interface::Arrival;

/// By how much each rejection in a row raises the value of a session's next request, where nearly
/// all requests are admitted.
const VALUE_PER_REJECTION: f64 = 1.5;
/// The most rejections in a row that count.
const MAX_REJECTIONS: u32 = 16;

/// What the value of a session's request is multiplied by, after so many rejections in a row and
/// where this fraction of all requests is admitted. It grows less the fewer are: under heavy
/// overload it is better to serve some sessions completely than all of them in part.
pub(super) fn value_factor(rejections: u32, admitted_fraction: f64) -> f64 {
    let weight = admitted_fraction * admitted_fraction;
    VALUE_PER_REJECTION.powf(f64::from(rejections) * weight)
}

impl Balancer {
    /// What the value of a request is multiplied by because of its session's rejections.
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

    /// A request of a session was rejected or failed.
    pub(super) fn record_session_rejection(&mut self, arrival: &Arrival) {
        if let Some(session) = arrival.session {
            let rejections = (self.consecutive_rejections(arrival) + 1).min(MAX_REJECTIONS);
            self.session_rejections.insert(session, rejections);
        }
    }

    /// A request of a session was answered.
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
