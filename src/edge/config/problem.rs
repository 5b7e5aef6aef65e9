//! Errors in the edge's configuration file or the keys file. Their texts are shown to operators.

use thiserror::Error;

use super::{MAX_INSTANCES, MAX_OUTPUT_SLICE};
use crate::routing::{AliasProblem, ModelProblem, PriceProblem};
use crate::spend::{BudgetNodeError, MAX_BUDGET_TOKENS};

/// The problem at a position of a file.
#[derive(Debug, Error)]
pub(super) enum Problem {
    #[error("{}", .0.message())]
    Syntax(#[source] toml::de::Error),
    #[error("unknown time zone {0:?}")]
    UnknownTimeZone(String),
    #[error("{0:?} is not a date later than the previous term's first day")]
    TermOutOfOrder(String),
    #[error("{name} must be between {min} and {max}")]
    OutOfRange {
        name: &'static str,
        min: f64,
        max: f64,
    },
    #[error("instances must be between 1 and {MAX_INSTANCES}")]
    InstancesOutOfRange,
    #[error("slice must be between 1 and {MAX_OUTPUT_SLICE} tokens")]
    SliceOutOfRange,
    #[error("tokens must be between 0 and {MAX_BUDGET_TOKENS}")]
    TokensOutOfRange,
    #[error("a budget with per_second and tokens (its burst) must not set per, refill or zone")]
    RateWithPeriod,
    #[error("a budget requires per (hour, day, week or term) or per_second")]
    BudgetWithoutPeriod,
    #[error("a budget per term requires the setting terms with the first day of each term")]
    TermsMissing,
    #[error("per must be hour, day, week or term, not {0:?}")]
    UnknownPeriod(String),
    #[error("refill must be start in a budget per term: terms differ in length")]
    TermWithoutLength,
    #[error("refill must be start or drip")]
    UnknownRefill,
    #[error("unknown model or alias {0:?}")]
    UnknownModel(String),
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    #[error("at least one [[model]] is required")]
    NoModels,
    #[error("weight is allowed only for a school (district/school)")]
    WeightOnNonTenant,
    #[error(transparent)]
    Model(#[from] ModelProblem),
    #[error(transparent)]
    Alias(#[from] AliasProblem),
    #[error(transparent)]
    Price(#[from] PriceProblem),
    #[error(transparent)]
    Node(#[from] BudgetNodeError),
    #[error("key id {0:?} is invalid: it must be 1 to 32 letters, digits and _")]
    InvalidKeyId(String),
    #[error("key {id}: unknown node {node:?}")]
    UnknownNode { id: String, node: String },
    #[error("key {0}: hash must be sha256: followed by 64 hex digits")]
    InvalidKeyHash(String),
    #[error("key id {0:?} is listed twice, or there are too many keys")]
    DuplicateKey(String),
}
