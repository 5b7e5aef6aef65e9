//! The interface of the decision module: its settings, its input events, its output actions, and
//! the types of identifiers and time.
//!
//! Only types are defined here: `policy` makes the decisions, and `core` carries them out.

mod action;
mod admission_status;
mod class;
mod endpoint_list;
mod event;
mod ids;
mod load_report;
mod replica_exclusion;
mod settings;
mod time;
mod unserved_reason;

pub use action::Action;
pub use admission_status::{AdmissionStatus, MissCause};
pub use class::{Class, DeduplicationScope, Idempotency};
pub use endpoint_list::{EndpointListKind, EndpointState, ReplicaEntry, ServedModel, ServedModels};
pub use event::{Arrival, AttemptEnded, Event, HealthCheckEnded, Outcome};
pub use ids::{ReplicaId, RequestId, stable_hash};
pub use load_report::{LoadReport, LoadReportField, MAX_LOAD_REPORT_FIELDS};
pub use replica_exclusion::{ExclusionCounts, ReplicaExclusion};
pub use settings::Settings;
pub use time::{Span, Timestamp};
pub use unserved_reason::UnservedReason;
