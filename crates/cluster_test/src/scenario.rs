//! Scenarios: the size of the cluster, the clients' load, and which faults happen when.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// A scenario as its TOML file has it. Times are milliseconds since the run's start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, as its records have it.
    pub name: String,
    /// Seeds of its schedules, one run each.
    pub seeds: Vec<u64>,
    /// Number of router processes.
    pub routers: usize,
    /// Number of fake model servers.
    pub servers: usize,
    /// How long clients send requests.
    pub duration_ms: u64,
    /// Time between two requests to the same router.
    pub request_interval_ms: u64,
    /// How long a client waits for the first token.
    pub client_timeout_ms: u64,
    /// The steps. What a step leaves open is drawn from the seed.
    #[serde(default, rename = "step")]
    pub steps: Vec<PlannedStep>,
}

/// A step as the scenario plans it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStep {
    /// When it starts; drawn within the first half of the run where absent.
    pub at_ms: Option<u64>,
    /// After how long it ends; it stays in force where absent.
    pub duration_ms: Option<u64>,
    /// What is done.
    pub action: Action,
    /// Index of the router; drawn where absent.
    pub router: Option<usize>,
    /// Index of the server; drawn where absent.
    pub server: Option<usize>,
}

/// What a step does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Puts a fault on the link from a router to discovery.
    DiscoveryLink(LinkFault),
    /// Puts a fault on the link from a router to a server.
    ServerLink(LinkFault),
    /// Puts a fault on the link from the clients to a router.
    ClientLink(LinkFault),
    /// Suspends a router (SIGSTOP); its end resumes it (SIGCONT).
    SuspendRouter,
    /// Kills a router (SIGKILL); its end starts it again.
    KillRouter,
    /// Lists a server as draining. Never ends.
    DrainServer,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// Nothing passes: open connections stay open and silent, new ones too.
    Stall,
    /// Nothing passes from the connecting side; the other direction works.
    StallRequests,
    /// Nothing passes to the connecting side; the other direction works.
    StallResponses,
    /// Connections are closed, new ones at once.
    Disconnect,
    /// Each chunk of data is delayed by this number of milliseconds.
    Delay(u64),
    /// This percentage of the chunks closes its connection instead of passing.
    DisconnectPercent(u8),
}

/// A step of a schedule: the start or the end of an action.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct ScheduledStep {
    /// When, in milliseconds since the run's start.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
    /// To which router and server it is done.
    pub target: Target,
    /// Whether the action starts or, otherwise, ends here.
    pub is_start: bool,
}

/// The router and the server that a step concerns; an action that needs only one ignores the other.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct Target {
    /// Index of the router.
    pub router: usize,
    /// Index of the server.
    pub server: usize,
}

impl Scenario {
    /// Parses a scenario's TOML. Errors name the line, and a key that is unknown.
    pub fn parse(text: &str) -> Result<Scenario, toml::de::Error> {
        toml::from_str(text)
    }

    /// The steps in the order of their time; always the same for the same seed.
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

    /// The start of a planned step. All values are drawn, whether used or not, so that a value
    /// that is given changes no other.
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
