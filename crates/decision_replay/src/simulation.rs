//! Simulates everything around the routers: requests, endpoint list changes and router restarts,
//! drawn at random from a seed. The routers themselves are instances in an adapter process.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::deployments::Deployment;
use crate::event_queue::EventQueue;
use crate::fleet::{Fleet, ZONES};
use crate::in_flight::InFlightRequest;
use crate::pending_event::PendingEvent;
use crate::replies::{format_time, parse_action};
use crate::totals::Totals;

/// The time at the start of the simulation, in microseconds.
const START_TIME_US: u64 = 1_000_000_000;
/// Number of the sheet for complete endpoint lists.
const COMPLETE_SHEET: usize = 0;
/// Number of the sheet for changes to the endpoint list.
const CHANGES_SHEET: usize = 1;

/// A simulated deployment without its routers.
#[derive(Debug)]
pub struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    seed: u64,
    pub(crate) random: StdRng,
    pub(crate) fleet: Fleet,
    pub(crate) pending: EventQueue<PendingEvent>,
    pub(crate) requests: HashMap<u32, InFlightRequest>,
    /// Whether each router receives changes of the endpoint list.
    pub(crate) watching: Vec<bool>,
    /// The current time in microseconds.
    pub(crate) now: u64,
    pub(crate) last_request: u32,
    /// Counts so far.
    pub totals: Totals,
    batch: String,
}

impl<'a> Simulation<'a> {
    /// Creates the simulation and begins its first batch.
    pub fn start(deployment: &'a Deployment, seed: u64) -> Simulation<'a> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation {
            deployment,
            seed,
            fleet: Fleet::new(deployment.replicas, START_TIME_US, &mut random),
            random,
            pending: EventQueue::new(),
            requests: HashMap::new(),
            watching: vec![false; deployment.routers],
            now: START_TIME_US,
            last_request: 0,
            totals: Totals::default(),
            batch: String::new(),
        };
        simulation.begin_batch();
        simulation
            .batch
            .push_str(&simulation.fleet.complete_list(COMPLETE_SHEET));
        for router in 0..deployment.routers {
            simulation.start_router(router, seed);
        }
        simulation
    }

    /// Applies the actions of a reply, advances the time and draws the next batch.
    pub fn advance(&mut self, reply: &str) {
        for action in reply.lines().filter_map(parse_action) {
            self.apply_action(action);
        }
        self.now += self.random.random_range(2_000..12_000);
        self.begin_batch();
        self.change_fleet();
        self.send_due_events();
        self.send_requests();
    }

    /// Completes the current batch and returns it for the adapters.
    pub fn take_batch(&mut self) -> String {
        let mut batch = std::mem::take(&mut self.batch);
        batch.push_str("EOF_BATCH\n");
        batch
    }

    fn begin_batch(&mut self) {
        self.totals.batches += 1;
        self.batch = format!(
            "CLOCK now={} seq={}\n",
            format_time(self.now),
            self.totals.batches
        );
    }

    /// Adds an event's line to the batch.
    pub(crate) fn send(&mut self, line: &str) {
        self.totals.events += 1;
        self.batch.push_str(line);
        self.batch.push('\n');
    }

    fn start_router(&mut self, router: usize, seed: u64) {
        self.watching[router] = false;
        let settings = self.deployment.settings(router as u32 % ZONES);
        self.send(&format!(
            "INIT i={router} init-seed={} config={settings}",
            seed * 1_000 + router as u64
        ));
        self.send(&format!(
            "MEMBERSHIP i={router} how=Persisted generation=1 sheet=0"
        ));
    }

    /// Draws whether to send an endpoint list update, report a failed update, or restart a router.
    fn change_fleet(&mut self) {
        if self.random.random_bool(0.02) {
            let lines = self.fleet.change(
                CHANGES_SHEET,
                self.now,
                self.deployment.live_weights,
                &mut self.random,
            );
            self.batch.push_str(&lines);
            self.publish("Partial", CHANGES_SHEET);
        } else if self.random.random_bool(0.005) {
            let lines = self.fleet.complete_list(COMPLETE_SHEET);
            self.batch.push_str(&lines);
            self.publish("Complete", COMPLETE_SHEET);
        } else if self.random.random_bool(0.004) {
            let router = self.random.random_range(0..self.deployment.routers);
            self.send(&format!(
                "MEMBERSHIP i={router} how=Error generation=1 sheet=0"
            ));
        } else if self.random.random_bool(0.002) {
            let router = self.random.random_range(0..self.deployment.routers);
            self.send(&format!("HALT i={router}"));
            self.requests.retain(|_, request| request.router != router);
            let lines = self.fleet.complete_list(COMPLETE_SHEET);
            self.batch.push_str(&lines);
            self.start_router(router, self.seed + self.totals.batches);
        }
    }

    fn publish(&mut self, how: &str, sheet: usize) {
        for router in 0..self.deployment.routers {
            // a router that does not watch the endpoint list receives only complete lists
            if self.watching[router] || how == "Complete" {
                self.send(&format!(
                    "MEMBERSHIP i={router} how={how} generation=1 sheet={sheet}"
                ));
            }
        }
    }
}
