//! The simulated deployment around the gateways: requests, changes of the endpoint list and restarts, drawn from a seed.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::deployments::Deployment;
use crate::event_queue::EventQueue;
use crate::fleet::{Fleet, ZONES};
use crate::in_flight::InFlightRequest;
use crate::pending_event::PendingEvent;
use crate::replies::{parse, seconds};
use crate::totals::Totals;

/// The clock at the start, in microseconds.
const START: u64 = 1_000_000_000;
/// Sheet of complete endpoint lists.
const COMPLETE_SHEET: usize = 0;
/// Sheet of changes to the endpoint list.
const CHANGES_SHEET: usize = 1;

/// A deployment without its gateways, drawn from a seed.
#[derive(Debug)]
pub struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    seed: u64,
    pub(crate) random: StdRng,
    pub(crate) fleet: Fleet,
    pub(crate) pending: EventQueue<PendingEvent>,
    pub(crate) requests: HashMap<u32, InFlightRequest>,
    /// Which gateways get the changes of the endpoint list.
    pub(crate) watching: Vec<bool>,
    /// The clock in microseconds.
    pub(crate) now: u64,
    pub(crate) last_request: u32,
    /// Counts so far.
    pub totals: Totals,
    batch: String,
}

impl<'a> Simulation<'a> {
    /// A deployment at its start; the first batch has begun.
    pub fn start(deployment: &'a Deployment, seed: u64) -> Simulation<'a> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation {
            deployment,
            seed,
            fleet: Fleet::new(deployment.replicas, START, &mut random),
            random,
            pending: EventQueue::new(),
            requests: HashMap::new(),
            watching: vec![false; deployment.gateways],
            now: START,
            last_request: 0,
            totals: Totals::default(),
            batch: String::new(),
        };
        simulation.begin_batch();
        simulation
            .batch
            .push_str(&simulation.fleet.complete_list(COMPLETE_SHEET));
        for gateway in 0..deployment.gateways {
            simulation.start_gateway(gateway, seed);
        }
        simulation
    }

    /// Carries out a reply's actions, lets some time pass and draws the next batch.
    pub fn advance(&mut self, reply: &str) {
        for reply in reply.lines().filter_map(parse) {
            self.carry_out(reply);
        }
        self.now += self.random.random_range(2_000..12_000);
        self.begin_batch();
        self.change_fleet();
        self.send_due_events();
        self.send_requests();
    }

    /// Completes the batch that the adapters are to answer next.
    pub fn take_batch(&mut self) -> String {
        let mut batch = std::mem::take(&mut self.batch);
        batch.push_str("EOF_BATCH\n");
        batch
    }

    fn begin_batch(&mut self) {
        self.totals.batches += 1;
        self.batch = format!(
            "CLOCK now={} seq={}\n",
            seconds(self.now),
            self.totals.batches
        );
    }

    /// Adds an event's line to the batch.
    pub(crate) fn send(&mut self, line: &str) {
        self.totals.events += 1;
        self.batch.push_str(line);
        self.batch.push('\n');
    }

    fn start_gateway(&mut self, gateway: usize, seed: u64) {
        self.watching[gateway] = false;
        let settings = self.deployment.settings(gateway as u32 % ZONES);
        self.send(&format!(
            "INIT i={gateway} init-seed={} config={settings}",
            seed * 1_000 + gateway as u64
        ));
        self.send(&format!(
            "MEMBERSHIP i={gateway} how=Persisted generation=1 sheet=0"
        ));
    }

    /// Draws whether the endpoint list changes or a gateway restarts.
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
            let gateway = self.random.random_range(0..self.deployment.gateways);
            self.send(&format!(
                "MEMBERSHIP i={gateway} how=Error generation=1 sheet=0"
            ));
        } else if self.random.random_bool(0.002) {
            let gateway = self.random.random_range(0..self.deployment.gateways);
            self.send(&format!("HALT i={gateway}"));
            self.requests
                .retain(|_, request| request.gateway != gateway);
            let lines = self.fleet.complete_list(COMPLETE_SHEET);
            self.batch.push_str(&lines);
            self.start_gateway(gateway, self.seed + self.totals.batches);
        }
    }

    fn publish(&mut self, how: &str, sheet: usize) {
        for gateway in 0..self.deployment.gateways {
            // a gateway that watches no changes gets complete lists only
            if self.watching[gateway] || how == "Complete" {
                self.send(&format!(
                    "MEMBERSHIP i={gateway} how={how} generation=1 sheet={sheet}"
                ));
            }
        }
    }
}
