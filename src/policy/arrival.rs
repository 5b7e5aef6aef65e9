//! Handles the arrival of a request: computes its latency objective and priority weight, and either
//! admits it to the queue or rejects it immediately.

use rand::RngExt;

use super::balancer::Balancer;
use super::in_flight::InFlightRequest;
use crate::interface::{Action, Arrival, Class, Span, Timestamp, UnservedReason};

/// Factor on the priority weight of a request that its client marked as a retry. It limits retry
/// storms: such a request has spent much of its latency objective on earlier attempts.
const CLIENT_RETRY_WEIGHT: f64 = 0.25;

/// Time within which a prompt is due whose prefill takes longer than the objective, as a multiple of
/// its predicted first-token time. It leaves time for the prefill that it waits for.
const LONG_PREFILL_SLACK: f64 = 1.5;

impl Balancer {
    /// Handles a request that arrived from a client: queues it, or rejects it immediately.
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
        let objective_due = first_token_due(&arrival, class, self.now);
        let due = self.achievable_due(&arrival, objective_due);
        let queued_until = if class.late_weight > 0.0 {
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
        // The next turn of a session costs little at a replica that has its prompt cached, and is
        // therefore shed less often.
        let cost = self.relative_cost(&arrival, self.cached_at(&arrival));
        let tenant_weight =
            self.admission
                .tenant_weight(&self.settings, arrival.tenant as usize, self.now);
        let priority_weight = priority_weight * tenant_weight * self.session_value_factor(&arrival);
        let slow_start_slot = self.draw_slow_start_slot();
        let admission_draw = self.rng.random();
        let request = InFlightRequest {
            queued_until,
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
        let admitted = admission.admits(priority_weight / cost, admission_draw, self.now)
            || self.attempts_in_flight == 0
            || admission_draw <= self.spare_capacity_share(arrival.request);
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

impl Balancer {
    /// Returns when a request's first token is due: at `objective_due`, or later if the request's
    /// own prefill takes longer, although the fleet would serve a typical request by then or has
    /// unused capacity. Otherwise, a session that has lost its cached prompt would be rejected while
    /// the fleet has room. In overload the fleet does not serve typical requests in time, and nothing
    /// is extended.
    fn achievable_due(&self, arrival: &Arrival, objective_due: Timestamp) -> Timestamp {
        let fleet_model = self.fleet_prefill_models.fleet_model(self.now);
        let typical = Span::from_secs_f64(fleet_model.seconds(self.typical_tokens));
        if self.now + typical > objective_due && !self.has_unused_capacity() {
            return objective_due;
        }
        let uncached_seconds = self.uncached_first_token_seconds(arrival);
        let cached_seconds = self.cached_at(arrival).map(|replica| {
            let tokens = self.uncached_tokens(arrival, Some(replica));
            self.prefill_model(replica).seconds(tokens)
        });
        let seconds =
            cached_seconds.map_or(uncached_seconds, |cached| cached.min(uncached_seconds));
        let achievable = self.now + Span::from_secs_f64(LONG_PREFILL_SLACK * seconds);
        achievable.max(objective_due).min(arrival.expires_at)
    }
}

/// Returns when a request's first token is due by its objective. This is the arrival time plus the
/// latency objective of the request's class, extended by the request's expected work and the length
/// of its prompt, but not later than the time at which the client stops waiting.
fn first_token_due(arrival: &Arrival, class: &Class, now: Timestamp) -> Timestamp {
    let expected_work = arrival.expected_work.as_micros() as f64;
    let work_extension = (class.first_token_objective_stretch * expected_work) as u64;
    let objective = class.first_token_objective.as_micros();
    let extended = objective.saturating_add(work_extension);
    let bounded = Span::from_micros(extended.min(class.deadline.as_micros()));

    let per_1000 = class
        .first_token_objective_per_1000_prompt_tokens
        .as_micros();
    let prompt_extension = per_1000.saturating_mul(u64::from(arrival.prompt_tokens)) / 1000;

    let due = now + bounded + Span::from_micros(prompt_extension);
    due.min(arrival.expires_at)
}
