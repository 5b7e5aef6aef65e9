//! Scenarios: the size of the cluster, the clients' load, and the schedule of faults.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// A scenario, as read from its TOML file. Times are in milliseconds since the run's start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, which is also written to its records.
    pub name: String,
    /// Seeds of the schedules; the scenario is run once with each.
    pub seeds: Vec<u64>,
    /// Number of router processes.
    pub routers: usize,
    /// Number of fake model servers.
    pub servers: usize,
    /// Time for which clients send requests, in milliseconds.
    pub duration_ms: u64,
    /// Time between two requests to the same router, in milliseconds.
    pub request_interval_ms: u64,
    /// Time for which a client waits for the first token, in milliseconds.
    pub client_timeout_ms: u64,
    /// The planned steps. Values that a step doesn't set are drawn from the seed.
    #[serde(default, rename = "step")]
    pub steps: Vec<PlannedStep>,
}

/// A step of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStep {
    /// When the step starts; drawn from the first half of the run if absent.
    pub at_ms: Option<u64>,
    /// Time from the step's start to its end, in milliseconds; the step never ends if absent.
    pub duration_ms: Option<u64>,
    /// The action.
    pub action: Action,
    /// Index of the router; drawn if absent.
    pub router: Option<usize>,
    /// Index of the server; drawn if absent.
    pub server: Option<usize>,
}

/// The action of a step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Injects a fault into the link from a router to discovery.
    DiscoveryLink(LinkFault),
    /// Injects a fault into the link from a router to a server.
    ServerLink(LinkFault),
    /// Injects a fault into the link from the clients to a router.
    ClientLink(LinkFault),
    /// Suspends a router (SIGSTOP); the end of the step resumes it (SIGCONT).
    SuspendRouter,
    /// Kills a router (SIGKILL); the end of the step restarts it.
    KillRouter,
    /// Lists a server as draining. This action never ends.
    DrainServer,
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// No data passes in either direction; open and new connections stay open.
    Stall,
    /// No data passes from the connecting side; the other direction works.
    StallRequests,
    /// No data passes to the connecting side; the other direction works.
    StallResponses,
    /// Open connections are closed; new ones are closed immediately.
    Disconnect,
    /// Each chunk of data is delayed by this number of milliseconds.
    Delay(u64),
    /// Each chunk of data closes its connection with this probability in percent, and is lost then.
    DisconnectPercent(u8),
}

/// A step of a schedule: the start or the end of an action.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct ScheduledStep {
    /// Time of the step, in milliseconds since the run's start.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
    /// The router and the server that the action applies to.
    pub target: Target,
    /// `true` if the action starts, `false` if it ends.
    pub is_start: bool,
}

/// The router and the server of a step; an action that needs only one of them ignores the other.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct Target {
    /// Index of the router.
    pub router: usize,
    /// Index of the server.
    pub server: usize,
}

impl Scenario {
    /// Parses a scenario from TOML. Errors name the line and, if a key is unknown, the key.
    pub fn parse(text: &str) -> Result<Scenario, toml::de::Error> {
        toml::from_str(text)
    }

    /// The steps, ordered by time. The same seed always gives the same schedule.
    pub fn schedule(&self, seed: u64) -> Vec<ScheduledStep> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Vec::new();
        for planned in &self.steps {
            let start = self.draw_start(planned, &mut rng);
            schedule.push(start);
            schedule.extend(planned.duration_ms.map(|duration_ms| ScheduledStep {
                at_ms: start.at_ms + duration_ms,
                is_start: false,
                ..start
            }));
        }
        schedule.sort_by_key(|step| step.at_ms);
        schedule
    }

    /// The start of a planned step. All values are drawn even if the step sets them, so that
    /// setting a value doesn't change any other drawn value.
    fn draw_start(&self, planned: &PlannedStep, rng: &mut StdRng) -> ScheduledStep {
        let drawn_at_ms = rng.random_range(0..(self.duration_ms / 2).max(1));
        let drawn_router = rng.random_range(0..self.routers.max(1));
        let drawn_server = rng.random_range(0..self.servers.max(1));
        ScheduledStep {
            at_ms: planned.at_ms.unwrap_or(drawn_at_ms),
            action: planned.action,
            target: Target {
                router: planned.router.unwrap_or(drawn_router),
                server: planned.server.unwrap_or(drawn_server),
            },
            is_start: true,
        }
    }
}

#[cfg(test)]
mod tests;
