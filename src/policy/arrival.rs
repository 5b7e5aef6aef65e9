//! A request's arrival: its latency objective, its priority weight, and whether it is admitted to
//! the queue or rejected at once.

use rand::RngExt;

use super::balancer::Balancer;
use super::in_flight::InFlightRequest;
use crate::interface::{Action, Arrival, Class, Span, Timestamp, UnservedReason};

/// The fraction of its priority weight that a request has which its client marked as a retry.
/// Value: a design choice against retry storms; it has spent much of its latency objective on
/// earlier attempts.
const CLIENT_RETRY_WEIGHT: f64 = 0.25;

impl Balancer {
    /// A client's request arrived: it is queued, or rejected at once.
    pub(super) fn on_request_received(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let last_class = self.settings.classes.len().saturating_sub(1);
        let class_index = (arrival.class as usize).min(last_class);
        let arrival = Arrival {
            class: class_index as u32,
            ..arrival
        };
        let Some(class) = self.settings.classes.get(class_index) else {
            return;
        };
        let due = first_token_due(&arrival, class, self.now);
        let useful_until = if class.late_weight > 0.0 {
            arrival.expires_at
        } else {
            due
        };
        let retry_weight = if arrival.is_retry {
            CLIENT_RETRY_WEIGHT
        } else {
            1.0
        };
        let priority_weight = retry_weight * class.priority_weight;
        // a session's next turn costs little where its prompt is cached, and so is shed less often
        let cost = self.relative_cost(&arrival, self.cached_at(&arrival));
        let tenant_weight =
            self.admission
                .tenant_weight(&self.settings, arrival.tenant as usize, self.now);
        let priority_weight = priority_weight * tenant_weight * self.session_value_factor(&arrival);
        let slow_start_slot = self.draw_slow_start_slot();
        let admission_draw = self.rng.random();
        let request = InFlightRequest {
            useful_until,
            priority_weight,
            slow_start_slot,
            admission_draw,
            ..InFlightRequest::new(arrival, due, self.now)
        };
        self.requests.insert(arrival.request, request);
        self.enqueue(arrival.request);
        let admission = self
            .admission
            .for_model(arrival.model, &self.settings, self.now);
        let admitted = admission.admits(priority_weight / cost, admission_draw, self.now);
        let reason = if !admitted {
            Some(UnservedReason::Shed)
        } else if !self.has_eligible_replica(arrival.request) {
            Some(UnservedReason::NoReplica)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.complete(arrival.request, reason, actions);
        }
    }
}

/// When a request's first token is due: by its class's latency objective, which grows with the
/// request's own work and its prompt, but never after the client stops waiting.
fn first_token_due(arrival: &Arrival, class: &Class, now: Timestamp) -> Timestamp {
    let expected_work = arrival.expected_work.as_micros() as f64;
    let stretch = (class.first_token_objective_stretch * expected_work) as u64;
    let objective = class.first_token_objective.as_micros();
    let stretched = objective.saturating_add(stretch);
    let bounded = Span::from_micros(stretched.min(class.deadline.as_micros()));

    let per_1000 = class
        .first_token_objective_per_1000_prompt_tokens
        .as_micros();
    let for_prompt = per_1000.saturating_mul(u64::from(arrival.prompt_tokens)) / 1000;

    let due = now + bounded + Span::from_micros(for_prompt);
    due.min(arrival.expires_at)
}
