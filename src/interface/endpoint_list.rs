//! The endpoint list as the decision module gets it: replicas, their states and their models.

use std::sync::Arc;

use super::{ReplicaId, Span, Timestamp};

/// A model that a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServedModel {
    /// The model's number, as the router assigned it; never 0.
    pub model: u32,
    /// How long its first use there takes to load it; zero once it is loaded.
    pub load_time: Span,
}

/// The models that a replica serves. A model is a number that the router assigned; 0 stands for
/// whatever the replica has, so requests that name no model go anywhere.
///
/// Where the list names no models ([`ServedModels::default`]) a replica takes every model, as on
/// the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServedModels(Option<Arc<[ServedModel]>>);

impl ServedModels {
    /// Only the given models. Of a model that is given twice the shorter load time counts.
    pub fn only(models: impl IntoIterator<Item = ServedModel>) -> ServedModels {
        let mut models: Vec<ServedModel> = models.into_iter().collect();
        models.sort_unstable();
        models.dedup_by_key(|served| served.model);
        ServedModels(Some(models.into()))
    }

    /// How long a model takes to load, zero once it is loaded; `None` where the replica doesn't
    /// serve it.
    pub fn load_time(&self, model: u32) -> Option<Span> {
        match &self.0 {
            Some(models) if model != 0 => models
                .binary_search_by_key(&model, |served| served.model)
                .ok()
                .map(|position| models[position].load_time),
            _ => Some(Span::ZERO),
        }
    }
}

/// The state of a replica in the endpoint list; ordered as a replica passes through them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    InService,
    /// Completes its requests in flight; takes no further ones.
    Draining,
    /// Withdrawn from the list.
    Removed,
}

/// A replica in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: u32,
    /// Its cell; duplicates of a keyed request may be dropped within one cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; [`Timestamp::ZERO`]: long ago.
    pub started_at: Timestamp,
    /// Its capacity relative to the other replicas.
    pub weight: f64,
    /// Its kind of machine; replicas of one kind are equally fast for their weight.
    pub machine_kind: u32,
    /// The models that it serves.
    pub models: ServedModels,
}

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The entries that changed.
    Partial,
    /// The complete list.
    Complete,
    /// The complete list as this router last stored it, perhaps out of date.
    Persisted,
    /// A poll failed or the watch broke; the current list stays in force.
    Error,
}
