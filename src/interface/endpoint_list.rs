//! The endpoint list as passed to the decision module: replicas, their states and their models.

use std::sync::Arc;

use super::{ReplicaId, Span, Timestamp};

/// A model that a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServedModel {
    /// The number that the router assigned to the model; never 0.
    pub model: u32,
    /// How long the replica takes to load the model on its first use; zero once it is loaded.
    pub load_time: Span,
}

/// The models that a replica serves. A model is a number that the router assigned; 0 stands for
/// any model of the replica, so requests that name no model can go to every replica.
///
/// If the list names no models ([`ServedModels::default`]), the replica takes every model, as on
/// the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServedModels(Option<Arc<[ServedModel]>>);

impl ServedModels {
    /// Only the given models. If a model is given twice, its shorter load time is used.
    pub fn only(models: impl IntoIterator<Item = ServedModel>) -> ServedModels {
        let mut models: Vec<ServedModel> = models.into_iter().collect();
        models.sort_unstable();
        models.dedup_by_key(|served| served.model);
        ServedModels(Some(models.into()))
    }

    /// How long a model takes to load, zero once it is loaded; `None` if the replica doesn't serve
    /// the model.
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

/// The state of a replica in the endpoint list, in the order in which a replica passes through
/// the states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// The replica takes requests.
    #[default]
    InService,
    /// The replica completes its requests in flight and takes no new ones.
    Draining,
    /// The replica is no longer in the list.
    Removed,
}

/// A replica in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// The replica's zone.
    pub zone: u32,
    /// The replica's cell; duplicates of a keyed request may be dropped within one cell.
    pub cell: u32,
    /// The replica's state.
    pub state: EndpointState,
    /// When the replica last started; [`Timestamp::ZERO`] means long ago.
    pub started_at: Timestamp,
    /// The replica's capacity relative to the other replicas.
    pub weight: f64,
    /// The kind of machine; replicas of one kind are equally fast for their weight.
    pub machine_kind: u32,
    /// The models that the replica serves.
    pub models: ServedModels,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The entries that changed.
    Partial,
    /// The complete list.
    Complete,
    /// The complete list as this router last stored it; it may be out of date.
    Persisted,
    /// A poll failed or the watch broke; the current list remains in effect.
    Error,
}
