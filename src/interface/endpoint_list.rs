//! The endpoint list as the decision module gets it: replicas, their states and their models.

use std::sync::Arc;

use super::{ReplicaId, Span, Timestamp};

/// The models that a replica serves, and what the first use of one there costs it. A model is a
/// number that the gateway gave it; 0 stands for whatever the replica has, so requests that name no
/// model go anywhere.
///
/// Where nothing was told ([`Models::default`]) a replica takes every model: the platform's lists
/// name none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Models(Option<Arc<[(u32, Span)]>>);

impl Models {
    /// Just these, each with its time to load; of a model that stands there twice the shorter time
    /// counts.
    pub fn only(models: impl IntoIterator<Item = (u32, Span)>) -> Models {
        let mut models: Vec<(u32, Span)> = models.into_iter().collect();
        models.sort_unstable();
        models.dedup_by_key(|m| m.0);
        Models(Some(models.into()))
    }

    /// How long a model takes to be ready, zero once it is loaded; none where the replica doesn't
    /// serve it.
    pub fn ready_in(&self, model: u32) -> Option<Span> {
        match &self.0 {
            Some(models) if model != 0 => models
                .binary_search_by_key(&model, |m| m.0)
                .ok()
                .map(|at| models[at].1),
            _ => Some(Span::ZERO),
        }
    }
}

/// The state of a replica, as the list has it; in the order in which it goes through them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Takes requests.
    #[default]
    InService,
    /// Finishes what it has; send nothing further.
    Terminating,
    /// Withdrawn.
    Terminated,
}

/// A replica in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which one.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: u32,
    /// Its cell: replicas that know which keys each has seen.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// When it last started; zero: long ago.
    pub started: Timestamp,
    /// Its size beside the others'.
    pub rating: f64,
    /// Its kind of machine; those of one kind are alike in speed for their size.
    pub kind: u32,
    /// What it serves.
    pub models: Models,
}

/// What a piece of discovery's news holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Partial,
    /// The whole list.
    Complete,
    /// The whole list as this gateway last held it, perhaps out of date.
    Persisted,
    /// A call failed or the subscription broke; the list held stays.
    Error,
}
