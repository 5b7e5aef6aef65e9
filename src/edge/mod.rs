//! The edge: authenticates requests of our own API, charges budgets and routes between models.
//!
//! A front end hands over a [`ChatRequest`]. [`Edge::start`] reserves its tokens in the ledger,
//! submits it to the core along its model's fallback chain, one submission at a time, and returns
//! an [`AnswerStream`] once an attempt has begun to answer, or one final [`Rejection`]. Live
//! requests and lines of batches are treated alike.
//!
//! Guarantees: a request is charged once, for what was forwarded or used, at the price in force
//! when it began; a reservation ends with its request, however that ends; the attempts of all
//! submissions count together, and no two submissions of a request are in flight at once; a
//! rejection is immediate.
//!
//! The edge owns the configuration in force, the ledger and the inventory of models. It knows no
//! HTTP: front ends parse requests and write answers. Its decisions are made elsewhere: models by
//! [`routing`](crate::routing), tokens by [`spend`](crate::spend), keys by
//! [`identity`](crate::identity), servers and attempts by the decision module. It is off on the
//! platform.

mod answer_stream;
mod budget_cutoff;
mod caller;
mod chat_body;
mod chat_request;
pub mod config;
mod listings;
pub mod model_discovery;
mod prompt;
mod rejection;
mod request_plan;
mod reservation_guard;
mod state;
mod submissions;
mod usage_meter;

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tracing::{info, warn};

use crate::api::ApiError;
use crate::config::{Config, ConfigError};
use crate::core::Clock;
use crate::core::CoreHandle;
use crate::interface::{Class, Idempotency, Settings, Span, Timestamp};
use crate::routing::{FirstTokenEstimates, ModelNumbers};
use crate::spend::{BudgetTreeError, ClockReading, Ledger};
pub use answer_stream::{AnswerStream, StreamItem};
pub use budget_cutoff::BudgetCutoff;
pub use caller::Caller;
pub use chat_body::ChatBody;
pub use chat_request::ChatRequest;
use config::EdgeConfig;
pub use prompt::SharedPrefix;
pub(crate) use prompt::{prompt_tokens, shared_prefix};
use rejection::authentication_error;
pub use rejection::{Rejection, RejectionCause};
use state::EdgeState;

/// The time to a first token that is expected of a model before anything was measured, where no
/// class has an objective.
const DEFAULT_FIRST_TOKEN_TIME: Span = Span::from_secs(1);

/// A class of the settings, as far as the edge uses it.
#[derive(Clone, Debug)]
struct RequestClass {
    name: String,
    /// How long a client waits for the first token, if it names no timeout.
    deadline: Duration,
    /// A request may be submitted again even if an attempt may have run.
    idempotent: bool,
}

impl RequestClass {
    fn new(name: &str, class: &Class) -> RequestClass {
        RequestClass {
            name: name.into(),
            deadline: class.deadline.into(),
            idempotent: class.idempotency == Idempotency::Idempotent,
        }
    }
}

/// A configuration as its files have it, not in force yet.
#[derive(Debug)]
pub struct LoadedConfig {
    config: EdgeConfig,
    /// The numbers of all models that were ever configured, with its own.
    model_numbers: ModelNumbers,
}

/// The edge of a router; front ends share it.
pub struct Edge {
    /// The edge's file, for reloads.
    file: PathBuf,
    classes: Vec<RequestClass>,
    /// The most attempts of a request, over all submissions.
    max_attempts: u32,
    /// The number of the first tenant of the edge; those before it are the platform's.
    first_tenant: u32,
    core: CoreHandle,
    clock: Clock,
    state: Mutex<EdgeState>,
    /// Notified when a new configuration is in force.
    config_changed: Notify,
}

impl Edge {
    /// The edge with this configuration, which was read from `file`.
    pub fn new(
        file: PathBuf,
        edge_config: EdgeConfig,
        model_numbers: ModelNumbers,
        config: &Config,
        core: CoreHandle,
    ) -> Result<Edge, ConfigError> {
        let clock = Clock::start();
        let ledger = Ledger::new(&edge_config.tree, clock_reading(clock))
            .map_err(|error| invalid_tree(&file, &error))?;
        let estimates = FirstTokenEstimates::new(expected_first_token_time(&config.settings));
        let classes = config.classes.iter().zip(&config.settings.classes);
        Ok(Edge {
            file,
            classes: classes
                .map(|(name, class)| RequestClass::new(name, class))
                .collect(),
            max_attempts: config.settings.max_attempts,
            first_tenant: config.tenants.len() as u32,
            core,
            clock,
            state: Mutex::new(EdgeState::new(
                edge_config,
                model_numbers,
                ledger,
                estimates,
            )),
            config_changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, EdgeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        self.clock.time_at(Instant::now())
    }

    /// Both clocks, for the ledger.
    fn clock_reading(&self) -> ClockReading {
        clock_reading(self.clock)
    }

    /// Reads the files again. Blocks, and holds no lock meanwhile.
    pub fn load_config(&self) -> Result<LoadedConfig, ConfigError> {
        let classes: Vec<String> = self.classes.iter().map(|c| c.name.clone()).collect();
        let mut model_numbers = self.state().model_numbers.clone();
        let config = EdgeConfig::load(&self.file, &classes, &mut model_numbers)?;
        Ok(LoadedConfig {
            config,
            model_numbers,
        })
    }

    /// Puts a configuration into force that was loaded last, or, if it has an error, changes
    /// nothing. Requests in flight keep their fallback chain and price.
    pub fn apply(&self, loaded: LoadedConfig) -> Result<(), ConfigError> {
        let LoadedConfig {
            config,
            model_numbers,
        } = loaded;
        let now = self.clock_reading();
        let mut state = self.state();
        state
            .ledger
            .reload(&config.tree, now)
            .map_err(|error| invalid_tree(&self.file, &error))?;
        let file = self.file.display();
        if config.tenants != state.config.tenants {
            warn!("{file}: tenants or quotas changed: this takes effect after a restart");
        }
        state.model_numbers = model_numbers;
        state.replace_config(config);
        info!("{file}: in force: {}", state.config.summary());
        self.config_changed.notify_one();
        Ok(())
    }

    /// The caller that sends this value of `Authorization`.
    pub fn authenticate(&self, authorization: Option<&str>) -> Result<Caller, ApiError> {
        let state = self.state();
        let Some(keys) = &state.config.keys else {
            return Ok(Caller::default());
        };
        match keys.authenticate(authorization) {
            Ok(key) => Ok(Caller::authenticated(key.id, key.node)),
            Err(error) => Err(authentication_error(error)),
        }
    }

    /// The number of a caller's tenant in the settings; 0 for a caller without one.
    fn tenant_number(&self, config: &EdgeConfig, caller: &Caller) -> u32 {
        let tenant = caller.node().and_then(|node| config.tenant_of(node));
        tenant.map_or(0, |index| self.first_tenant + index as u32)
    }
}

fn invalid_tree(file: &Path, error: &BudgetTreeError) -> ConfigError {
    ConfigError::malformed(file, error.problem.to_string())
}

/// The shortest first-token objective of all classes.
fn expected_first_token_time(settings: &Settings) -> Span {
    let objectives = settings
        .classes
        .iter()
        .map(|class| class.first_token_objective);
    objectives.min().unwrap_or(DEFAULT_FIRST_TOKEN_TIME)
}

fn clock_reading(clock: Clock) -> ClockReading {
    ClockReading {
        monotonic: clock.time_at(Instant::now()),
        wall: clock.wall_time(),
    }
}
