//! The edge: authenticates requests to the public API, which is compatible with OpenAI's, charges
//! token budgets and selects models.
//!
//! A front end passes a [`ChatRequest`] to [`Edge::start`], which reserves the request's tokens in
//! the ledger and submits the request to the core along the model's fallback chain, one submission
//! at a time. It returns an [`AnswerStream`] once an attempt has begun to answer, or one final
//! [`Rejection`]. Interactive requests and batch lines are handled in the same way.
//!
//! Guarantees: a request is charged once, for the tokens that were forwarded or used, at the price
//! in effect when the request began; its reservation is released however the request ends; the
//! attempt limit applies to all submissions of a request together; at most one submission of a
//! request is in flight; a rejection is returned immediately.
//!
//! The edge owns the current configuration, the ledger and the model inventory. It does not depend
//! on HTTP: front ends parse requests and write responses. It delegates its decisions:
//! [`routing`](crate::routing) selects models, [`spend`](crate::spend) accounts for tokens,
//! [`identity`](crate::identity) checks keys, and the decision module selects model servers and
//! attempts. The platform's routers run without the edge.

mod answer_stream;
mod budget_cutoff;
mod caller;
mod chat_body;
mod chat_request;
pub mod config;
mod listings;
pub mod model_discovery;
mod prompt;
mod raw_object;
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
pub(crate) use raw_object::RawObject;
use rejection::authentication_error;
pub use rejection::{Rejection, RejectionCause};
use state::EdgeState;

/// The expected time to the first token of a model without measurements, if no class has a
/// first-token objective.
const DEFAULT_FIRST_TOKEN_TIME: Span = Span::from_secs(1);

/// The part of a request class's settings that the edge uses.
#[derive(Clone, Debug)]
struct RequestClass {
    name: String,
    /// How long a client waits for the first token, if the request specifies no timeout.
    deadline: Duration,
    /// Whether a request may be submitted again although an earlier attempt may have run.
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

/// A configuration that was read from its files but is not applied yet.
#[derive(Debug)]
pub struct LoadedConfig {
    config: EdgeConfig,
    /// The numbers of all models ever configured, including the models of `config`.
    model_numbers: ModelNumbers,
}

/// The edge of a router, shared by all front ends.
pub struct Edge {
    /// The path of the edge's configuration file, which a reload reads again.
    file: PathBuf,
    classes: Vec<RequestClass>,
    /// The maximum number of attempts per request, over all its submissions.
    max_attempts: u32,
    /// The number of the edge's first tenant. Lower numbers are the tenants of the router's
    /// settings.
    first_tenant: u32,
    core: CoreHandle,
    clock: Clock,
    state: Mutex<EdgeState>,
    /// Notified when a new configuration has been applied.
    config_changed: Notify,
}

impl Edge {
    /// Creates an edge with a configuration that was read from `file`.
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

    /// Reads the monotonic and the wall clock, for the ledger.
    fn clock_reading(&self) -> ClockReading {
        clock_reading(self.clock)
    }

    /// Reads the configuration files again. Blocks, without holding the edge's lock during the
    /// reads.
    pub fn load_config(&self) -> Result<LoadedConfig, ConfigError> {
        let classes: Vec<String> = self.classes.iter().map(|c| c.name.clone()).collect();
        let mut model_numbers = self.state().model_numbers.clone();
        let config = EdgeConfig::load(&self.file, &classes, &mut model_numbers)?;
        Ok(LoadedConfig {
            config,
            model_numbers,
        })
    }

    /// Applies the most recently loaded configuration. If it is invalid, returns an error and
    /// changes nothing. Requests in flight keep their fallback chain and price.
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
            warn!("{file}: tenants or quotas changed; the change takes effect after a restart");
        }
        state.model_numbers = model_numbers;
        state.replace_config(config);
        info!("{file}: configuration applied: {}", state.config.summary());
        self.config_changed.notify_one();
        Ok(())
    }

    /// Authenticates the caller by the value of the `Authorization` header.
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

    /// The tenant number that the core gets for a caller; 0 if the caller has no tenant.
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
