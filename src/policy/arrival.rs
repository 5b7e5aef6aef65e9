//! A request's arrival: its latency objective, its priority weight, and whether it is admitted to
//! the queue or rejected at once.

use rand::RngExt;

use super::balancer::Balancer;
use super::in_flight::InFlightRequest;
use crate::interface::{Action, Arrival, Class, Span, Timestamp};

/// The part of its priority weight that a client's flagged retry has. Value: a design choice
/// against retry storms; it has spent much of its latency objective on earlier attempts.
const CLIENT_RETRY_WEIGHT: f64 = 0.25;

impl Balancer {
    /// A client's request came: it is queued, or rejected.
    pub(super) fn on_arrival(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
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
        let expires = if class.late_weight > 0.0 {
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
        // a session's next turn costs little where its prompt is cached, and so is shed last
        let cost = self.relative_cost(&arrival, self.cached_at(&arrival));
        let tenant_weight =
            self.admission
                .tenant_weight(&self.settings, arrival.tenant as usize, self.now);
        let priority_weight = priority_weight * tenant_weight;
        let slow_start_slot = self.draw_slow_start_slot();
        let request = InFlightRequest {
            expires,
            priority_weight,
            slow_start_slot,
            ..InFlightRequest::new(arrival, due, self.now)
        };
        self.requests.insert(arrival.request, request);
        self.enqueue(arrival.request);
        let admitted = self
            .admission
            .for_model(arrival.model, &self.settings, self.now)
            .admits(priority_weight / cost, self.rng.random(), self.now);
        if !admitted || !self.is_routable(arrival.request) {
            self.complete(arrival.request, out);
        }
    }
}

/// When a request's first token is due: by its class's latency objective, which grows with the
/// request's own work and its prompt, but never after the client gives up.
fn first_token_due(arrival: &Arrival, class: &Class, now: Timestamp) -> Timestamp {
    let stretched = class.first_token_objective.as_micros().saturating_add(
        (class.first_token_objective_stretch * arrival.expected_work.as_micros() as f64) as u64,
    );
    let for_prompt = class
        .first_token_objective_per_1000_prompt_tokens
        .as_micros()
        .saturating_mul(u64::from(arrival.prompt_tokens))
        / 1000;
    (now + Span::from_micros(stretched.min(class.deadline.as_micros()))
        + Span::from_micros(for_prompt))
    .min(arrival.expires_at)
}
