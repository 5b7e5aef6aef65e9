//! What can be wrong in the edge's file or the keys' file. The texts are what operators read.

use thiserror::Error;

use super::{MAX_INSTANCES, MAX_OUTPUT_SLICE};
use crate::routing::{AliasProblem, ModelProblem, PriceProblem};
use crate::spend::{BudgetNodeError, MAX_BUDGET_TOKENS};

/// What is wrong at a place of a file.
#[derive(Debug, Error)]
pub(super) enum Problem {
    #[error("{}", .0.message())]
    Syntax(#[source] toml::de::Error),
    #[error("no time zone {0:?}")]
    UnknownTimeZone(String),
    #[error("{0:?} is no day after the one before")]
    TermOutOfOrder(String),
    #[error("{name} must be {min} to {max}")]
    OutOfRange {
        name: &'static str,
        min: f64,
        max: f64,
    },
    #[error("instances must be 1 to {MAX_INSTANCES}")]
    InstancesOutOfRange,
    #[error("slice must be 1 to {MAX_OUTPUT_SLICE} tokens")]
    SliceOutOfRange,
    #[error("tokens must be 0 to {MAX_BUDGET_TOKENS}")]
    TokensOutOfRange,
    #[error("a rate goes with tokens (its burst) alone")]
    RateWithPeriod,
    #[error("a budget needs per (hour, day, week, term) or per_second")]
    BudgetWithoutPeriod,
    #[error("a term needs the days of terms")]
    TermsMissing,
    #[error("per {0:?} is no hour, day, week or term")]
    UnknownPeriod(String),
    #[error("a term has no length to drip over")]
    TermWithoutLength,
    #[error("refill must be start or drip")]
    UnknownRefill,
    #[error("no model or alias {0:?}")]
    UnknownModel(String),
    #[error("no class {0:?}")]
    UnknownClass(String),
    #[error("no [[model]]")]
    NoModels,
    #[error("only a school (district/school) has a weight")]
    WeightOfNoTenant,
    #[error(transparent)]
    Model(#[from] ModelProblem),
    #[error(transparent)]
    Alias(#[from] AliasProblem),
    #[error(transparent)]
    Price(#[from] PriceProblem),
    #[error(transparent)]
    Node(#[from] BudgetNodeError),
    #[error("{0:?} is no id of 1 to 32 letters, digits and _")]
    InvalidKeyId(String),
    #[error("key {id}: no node {node:?}")]
    UnknownNode { id: String, node: String },
    #[error("key {0}: its hash must be sha256: and 64 hex digits")]
    InvalidKeyHash(String),
    #[error("key id {0:?} stands there twice, or there are too many")]
    DuplicateKey(String),
}
