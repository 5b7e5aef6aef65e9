//! The edge: our own API's live side. Keys, models, budgets and routes come together here with the
//! core.
//!
//! An RPC of ours comes in as a [`Chat`](chat::Chat) with a [`Caller`]. [`Edge::start`] reserves
//! its tokens, takes it along its model's chain, one leg at a time through the core, and hands back
//! a [`Serving`](service::Serving) once an attempt has begun to answer; or one final refusal. Live
//! requests and the lines of batches go the same way.
//!
//! **What it promises.** Every RPC is charged once, for what was passed on or used, at the price
//! that it began with; a reservation ends with its RPC, however that ends. The attempts of all legs
//! count together, and no leg runs beside another. What is refused is refused at once.
//!
//! **What it never does.** It knows no HTTP: the fronts bring requests as values and write answers.
//! It decides nothing by itself: models by [`routing`](crate::routing), tokens by
//! [`spend`](crate::spend), keys by [`identity`](crate::identity), servers and attempts by the
//! decision module. It is off on the platform.

pub mod chat;
pub mod config;
pub mod members;
pub mod meter;
mod refusals;
pub mod service;

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::api::ApiError;
use crate::config::{Config, ConfigError};
use crate::core::Clock;
use crate::core::CoreHandle;
use crate::identity::AuthenticationError;
use crate::interface::{Dur, Effect, Time};
use crate::routing::{Catalog, FirstTokenEstimates, ModelInventory, ModelNumbers};
use crate::spend::{ClockReading, Ledger, MICRO_TOKENS_PER_TOKEN, NodeId};
use config::Book;
use refusals::bad_key;
pub use refusals::{exhausted, no_model};

/// Who asks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller(Option<Known>);

#[derive(Clone, Debug, PartialEq)]
struct Known {
    key: Arc<str>,
    node: Arc<str>,
}

impl Caller {
    /// The path of its node; none where nobody has to show a key.
    pub fn node(&self) -> Option<&str> {
        self.0.as_ref().map(|k| &*k.node)
    }

    /// The path of its school, or of its node where that stands higher.
    pub fn school(&self) -> Option<&str> {
        let node = self.node()?;
        Some(
            &node[..node
                .match_indices('/')
                .nth(1)
                .map_or(node.len(), |(at, _)| at)],
        )
    }

    /// Whether it may see what another has made: of its own node and those below.
    pub fn sees(&self, owner: &Caller) -> bool {
        let Some(node) = self.node() else { return true };
        let below = owner.node().and_then(|n| n.strip_prefix(node));
        below.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// A class of the settings, as the edge needs it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How long a client waits.
    pub deadline: Duration,
    /// A repeat is harmless.
    pub safe: bool,
}

/// What changes while it serves.
struct State {
    book: Arc<Book>,
    numbers: ModelNumbers,
    /// Catalogs that were in force and that something under way may still go by.
    earlier: Vec<Weak<Catalog>>,
    ledger: Ledger,
    inventory: ModelInventory,
    estimates: FirstTokenEstimates,
}

impl State {
    /// The catalog in force and those still in use.
    fn catalogs(&mut self) -> Vec<Arc<Catalog>> {
        self.earlier.retain(|c| c.strong_count() > 0);
        let earlier = self.earlier.iter().filter_map(Weak::upgrade);
        std::iter::once(self.book.catalog.clone())
            .chain(earlier)
            .collect()
    }
}

/// The edge.
pub struct Edge {
    file: PathBuf,
    classes: Vec<Class>,
    attempts: u32,
    /// Where the schools begin among the settings' tenants.
    tenants: u32,
    core: CoreHandle,
    clock: Clock,
    state: Mutex<State>,
    /// A new book is in force.
    changed: Notify,
}

impl Edge {
    /// An edge with this book.
    pub fn new(
        file: PathBuf,
        book: Book,
        numbers: ModelNumbers,
        config: &Config,
        core: CoreHandle,
    ) -> Result<Edge, ConfigError> {
        let clock = Clock::start();
        let malformed = |what: String| ConfigError::malformed(&file, what);
        let ledger = Ledger::new(&book.tree, moment(clock)).map_err(|f| malformed(f.problem))?;
        let classes = config.classes.iter().zip(&config.settings.classes);
        let class = |(name, class): (&String, &crate::interface::Class)| Class {
            name: name.clone(),
            deadline: Duration::from_micros(class.deadline.0),
            safe: class.effect == Effect::Safe,
        };
        let first = config
            .settings
            .classes
            .iter()
            .map(|c| c.aim)
            .min()
            .unwrap_or(Dur(1_000_000));
        let state = State {
            book: Arc::new(book),
            numbers,
            earlier: Vec::new(),
            ledger,
            inventory: ModelInventory::default(),
            estimates: FirstTokenEstimates::new(first),
        };
        Ok(Edge {
            file,
            classes: classes.map(class).collect(),
            attempts: config.settings.max_attempts,
            tenants: config.tenants.len() as u32,
            core,
            clock,
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.clock.time_at(Instant::now())
    }

    /// The time as budgets go by it.
    fn moment(&self) -> ClockReading {
        moment(self.clock)
    }

    /// Reads the file anew: all of it in force, or nothing. What is under way keeps its chain and
    /// price.
    pub fn reload(&self) -> Result<(), ConfigError> {
        let names: Vec<String> = self.classes.iter().map(|c| c.name.clone()).collect();
        let now = self.moment();
        let mut state = self.state();
        let state = &mut *state;
        // names that a bad file brings keep their numbers: they mean nothing until a book uses them
        let book = Book::load(&self.file, &names, &mut state.numbers)?;
        let malformed = |what: String| ConfigError::malformed(&self.file, what);
        state
            .ledger
            .reload(&book.tree, now)
            .map_err(|f| malformed(f.problem))?;
        if book.schools != state.book.schools {
            warn!(
                "{}: schools' shares changed: they come into force with the next start",
                self.file.display()
            );
        }
        state.earlier.push(Arc::downgrade(&state.book.catalog));
        state.book = Arc::new(book);
        info!(
            "{}: in force: {}",
            self.file.display(),
            state.book.summary()
        );
        self.changed.notify_one();
        Ok(())
    }

    /// Who shows this `Authorization`.
    pub fn identify(&self, authorization: Option<&str>) -> Result<Caller, ApiError> {
        let state = self.state();
        let Some(keys) = &state.book.keys else {
            return Ok(Caller::default());
        };
        match keys.authenticate(authorization) {
            Ok((key, node)) => Ok(Caller(Some(Known {
                key: key.into(),
                node: node.into(),
            }))),
            Err(why) => {
                let (message, code) = match why {
                    AuthenticationError::Missing => (
                        "no API key was given: Authorization: Bearer KEY",
                        "missing_api_key",
                    ),
                    AuthenticationError::Unknown => ("the API key is not valid", "invalid_api_key"),
                };
                Err(bad_key(message, code))
            }
        }
    }

    /// The tenant of a caller's school.
    fn tenant(&self, book: &Book, caller: &Caller) -> u32 {
        let school = caller.node().and_then(|n| book.school(n));
        school.map_or(0, |at| self.tenants + at as u32)
    }

    /// The models that a caller may use, in the public form.
    pub fn models(&self, caller: &Caller) -> Value {
        let state = self.state();
        let all = state.book.catalog.models().iter().enumerate();
        let data: Vec<Value> = all
            .filter(|(at, _)| state.may_use(caller, *at))
            .map(|(at, _)| state.model(at))
            .collect();
        json!({"object": "list", "data": data})
    }

    /// One model, by its name or an alias.
    pub fn model(&self, caller: &Caller, name: &str) -> Result<Value, ApiError> {
        let state = self.state();
        let at = state
            .book
            .catalog
            .find(name)
            .filter(|at| state.may_use(caller, *at));
        at.map(|at| state.model(at)).ok_or_else(|| no_model(name))
    }

    /// A caller's own node and those below it: limits, what is used and reserved, and when they
    /// refill.
    pub fn budgets(&self, caller: &Caller) -> Value {
        let now = self.moment();
        let mut state = self.state();
        let node: Option<NodeId> = caller.node().and_then(|n| state.ledger.find_node(n));
        let reports = node
            .map(|node| state.ledger.subtree_usage(node, now))
            .unwrap_or_default();
        let whole = |amount: u64| amount.div_ceil(MICRO_TOKENS_PER_TOKEN);
        let data: Vec<Value> = reports
            .into_iter()
            .map(|report| {
                let budget = |(name, reading): &(String, crate::spend::BudgetStatus)| {
                    let refills = (reading.refills_at.0 < u64::MAX).then_some(reading.refills_at.0 / 1_000_000);
                    json!({"name": name, "limit": reading.limit / MICRO_TOKENS_PER_TOKEN, "used": whole(reading.spent),
                    "reserved": whole(report.reserved), "refills_at": refills})
                };
                json!({"object": "budget", "node": report.path, "uncharged": whole(report.uncharged),
                "budgets": report.budgets.iter().map(budget).collect::<Vec<_>>()})
            })
            .collect();
        json!({"object": "list", "data": data})
    }
}

impl State {
    /// The node that a caller spends at; none where nobody has to show a key. Guards against a key
    /// that was revoked, or whose node is gone, since its caller showed it: a batch runs long.
    fn spender(&self, caller: &Caller) -> Result<Option<NodeId>, ApiError> {
        let Some(Known { key, node }) = &caller.0 else {
            return Ok(None);
        };
        let valid = self
            .book
            .keys
            .as_ref()
            .is_some_and(|keys| keys.is_valid_for(key, node));
        let node = self.ledger.find_node(node).filter(|_| valid);
        node.map(Some)
            .ok_or_else(|| bad_key("the API key is not valid", "invalid_api_key"))
    }

    fn may_use(&self, caller: &Caller, model: usize) -> bool {
        caller
            .node()
            .is_none_or(|node| self.book.may_use(node, model))
    }

    fn model(&self, at: usize) -> Value {
        let catalog = &self.book.catalog;
        let model = catalog.model(at);
        let name = |at: &usize| catalog.model(*at).name.clone();
        json!({"id": model.name, "object": "model", "created": 0, "owned_by": "stilespan",
            "context_window": model.context_window, "max_output_tokens": model.max_output_tokens,
            "base": model.base.as_ref().map(name), "aliases": catalog.aliases(at),
            "fallbacks": model.fallback_chain[1..].iter().map(name).collect::<Vec<_>>(),
            "hosts": self.inventory.host_count(model.number)})
    }
}

fn moment(clock: Clock) -> ClockReading {
    ClockReading {
        monotonic: clock.time_at(Instant::now()),
        wall: clock.wall_time(),
    }
}
