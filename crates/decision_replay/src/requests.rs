//! Draws the clients' requests at random.

use rand::RngExt;

use crate::in_flight::InFlightRequest;
use crate::pending_event::PendingEvent;
use crate::replies::format_time;
use crate::simulation::Simulation;

/// Number of sessions that requests belong to.
const SESSIONS: u64 = 60;
/// The mean time between two batches in seconds.
const MEAN_BATCH_INTERVAL_S: f64 = 0.007;

impl Simulation<'_> {
    /// Sends the requests of one batch.
    pub(crate) fn send_requests(&mut self) {
        let mean = self.deployment.requests_per_second * MEAN_BATCH_INTERVAL_S;
        let count = self.random.random_range(0.0..2.0 * mean).round() as u32;
        for _ in 0..count {
            self.send_request();
        }
    }

    fn send_request(&mut self) {
        self.last_request += 1;
        let request = self.last_request;
        let router = self.random.random_range(0..self.deployment.routers);
        let class = self.random.random_range(0..self.deployment.classes);
        let expires_at = self.now + self.random.random_range(300_000..4_000_000);
        let prompt_tokens = self.random.random_range(10..4_000);
        let output_tokens = self.random.random_range(1..300);
        let attributes = self.draw_attributes(request, prompt_tokens);
        self.send(&format!(
            "INBOUND i={router} ref={request} cls={class} valid-until={} prompt-len={prompt_tokens} \
             output-cap={output_tokens}{attributes}",
            format_time(expires_at)
        ));
        let in_flight = InFlightRequest {
            router,
            expires_at,
            prompt_tokens,
            output_tokens,
            attempts: 0,
            current: None,
            answered_with_error: false,
        };
        self.requests.insert(request, in_flight);
        self.pending
            .push(expires_at, PendingEvent::RequestExpired { request });
    }

    /// Draws the fields that only some requests have: tenant, session, shared prefix, retry mark.
    fn draw_attributes(&mut self, request: u32, prompt_tokens: u32) -> String {
        let mut fields = String::new();
        if self.deployment.tenants > 0 {
            let tenant = self.random.random_range(0..self.deployment.tenants);
            fields.push_str(&format!(" account={tenant}"));
        }
        if self.random.random_bool(0.6) {
            let session = 77 + self.random.random_range(0..SESSIONS);
            fields.push_str(&format!(" key={session:016x}"));
        }
        if self.random.random_bool(0.3) {
            let prefix = 5 + request % 4;
            let shared = prompt_tokens / 3;
            fields.push_str(&format!(" shared-prefix={prefix:016x} shared-len={shared}"));
        }
        if self.random.random_bool(0.1) {
            fields.push_str(" options=2");
        }
        fields
    }
}
