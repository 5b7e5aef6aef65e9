//! The actor's loop: waits, handles messages, fires timers and runs the steps of the decision
//! module.

use std::time::{Duration, Instant};

use tracing::{info, trace};

use super::Core;
use super::timers::Timer;
use crate::core::{CoreMessage, DiscoveryCommand};
use crate::interface::{Event, Span};

/// The maximum number of messages that are handled before a step, so that a flood of messages
/// cannot delay the step.
const MAX_MESSAGES_PER_STEP: usize = 512;
/// The minimum time between two publications of the fleet's metrics, which are published only while
/// there are events. A change of the endpoint list or of the exclusions is published with the next
/// step, even if that is earlier.
const FLEET_METRICS_INTERVAL: Duration = Duration::from_millis(100);
/// The id of a timer that only triggers a step. The decision module never uses this id.
const STEP_ONLY_TIMER_ID: u64 = u64::MAX;

impl Core {
    /// Runs until all senders of messages are dropped.
    pub(super) async fn run(mut self) {
        // The first step sets the decision module's own timers.
        self.step(Instant::now());
        let mut last_step = Instant::now();
        loop {
            let wakeup = tokio::time::sleep_until(self.next_wakeup().into());
            tokio::select! {
                biased;
                Some(command) = self.maintenance.recv() => self.maintain(command),
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = wakeup => {}
            }
            tokio::time::sleep_until((last_step + self.step_interval).into()).await;
            self.handle_waiting_messages();
            last_step = Instant::now();
            self.check_for_stall(last_step);
            self.fire_timers(self.clock.time_at(last_step));
            if !self.events.is_empty() && !self.stalls.is_sending_suspended(last_step) {
                self.step(last_step);
            }
            self.send_maintenance_replies();
        }
    }

    /// Returns when the actor has to run next if no message arrives earlier.
    fn next_wakeup(&self) -> Instant {
        let heartbeat = self.stalls.next_wakeup();
        match self.timers.next_at() {
            Some(at) => self.clock.instant_at(at).min(heartbeat),
            None => heartbeat,
        }
    }

    /// Handles the messages that wait in the mailboxes, operators' commands first.
    fn handle_waiting_messages(&mut self) {
        while let Ok(command) = self.maintenance.try_recv() {
            self.maintain(command);
        }
        for _ in 0..MAX_MESSAGES_PER_STEP {
            let Ok(message) = self.messages.try_recv() else {
                break;
            };
            self.handle(message);
        }
    }

    fn handle(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Submit {
                request,
                answer_sender,
                id_sender,
            } => self.submit(request, answer_sender, id_sender),
            CoreMessage::ClientDisconnected { request } => self.client_disconnected(request),
            CoreMessage::EndpointsUpdated(update) => self.update_endpoints(update),
            CoreMessage::FirstToken { id, at, chunks } => self.first_token(id, at, chunks),
            CoreMessage::AttemptEnded { id, at, result } => self.end_attempt(id, result, at),
            CoreMessage::HealthCheckEnded(end) => {
                trace!(
                    "health check of {:x}: {:?} after {} us, load report {:?}",
                    end.replica.0,
                    end.outcome,
                    end.elapsed.as_micros(),
                    end.load_report
                );
                self.events.push(Event::HealthCheckEnded(end));
            }
        }
    }

    /// Checks whether the process has stalled. After a stall, nothing is sent until the endpoint
    /// list is confirmed, and attempts that have not started are cancelled because they are based
    /// on the list from before the stall.
    fn check_for_stall(&mut self, now: Instant) {
        let Some(stall) = self.stalls.record_wakeup(now) else {
            return;
        };
        info!(
            "the process was suspended for {} ms; refreshing the endpoint list before sending",
            stall.as_millis()
        );
        self.cancel_unstarted(|_| true, now);
        if self.discovery.try_send(DiscoveryCommand::Refresh).is_err() {
            self.stalls.endpoints_confirmed();
        }
    }

    /// Passes the pending events to the decision module and executes the actions that it returns.
    fn step(&mut self, at: Instant) {
        let now = self.clock.time_at(at);
        self.balancer.step(now, &self.events, &mut self.actions);
        self.events.clear();
        self.publish_fleet_metrics(at);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(action, at);
        }
        self.actions = actions;
        if !self.events.is_empty() {
            // The decision module receives the results of its actions, such as a failed send, with
            // the next step. The timer triggers that step even if no further message arrives.
            let next_step = now + Span::from(self.step_interval);
            let timer_id = STEP_ONLY_TIMER_ID;
            self.timers
                .set(next_step, Timer::DecisionModule { timer_id });
        }
    }

    fn publish_fleet_metrics(&mut self, at: Instant) {
        let recent =
            |published: Instant| at.saturating_duration_since(published) < FLEET_METRICS_INTERVAL;
        if self.fleet_metrics_published_at.is_some_and(recent) {
            return;
        }
        self.fleet_metrics_published_at = Some(at);
        self.metrics.set_servers(
            self.exclusions.listed_servers(),
            self.balancer.unavailable_replicas(),
        );
        let status = self.balancer.admission_status();
        self.metrics.set_admission(&status);
        if let Some(unserved_requests) = self.unserved_requests.take_due(at) {
            info!(
                "requests not served: {unserved_requests}; admitted fraction {:.2}, miss rate {:.2}, {} servers take requests, \
                 {} attempts in flight, first tokens overdue at {} servers, predicted in {} ms, at one server in {:?} ms, \
                 servers for the last request: {}; nothing sent for {} ms, misses {:?}",
                status.admitted_fraction,
                status.miss_rate,
                status.mature_replicas,
                status.attempts_in_flight,
                status.overdue_replicas,
                milliseconds(status.predicted_first_token),
                status.least_predicted_first_token.map(milliseconds),
                status.exclusions,
                milliseconds(status.stalled_for),
                status.misses
            );
        }
    }
}

/// A span in whole milliseconds.
fn milliseconds(span: Span) -> u64 {
    span.as_micros() / 1000
}
