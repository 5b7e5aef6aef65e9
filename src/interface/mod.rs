//! The interface of the decision module: settings and events in, actions out, and the types of
//! identifiers and time. Types only; what is decided belongs to `policy`, what is done with it to
//! `core`.

mod action;
mod class;
mod endpoint_list;
mod event;
mod ids;
mod settings;
mod time;

pub use action::Action;
pub use class::{Class, Effect, Group};
pub use endpoint_list::{Entry, ListKind, Models, State};
pub use event::{Arrival, Event, Outcome, Report};
pub use ids::{ReplicaId, RequestId};
pub use settings::{Field, Settings};
pub use time::{Span, Timestamp};
