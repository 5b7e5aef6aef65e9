//! The inventory of models: which model server has which models. The sources are the endpoint list
//! and the model servers' own reports; the reports take precedence.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::Catalog;
use crate::interface::{EndpointState, ReplicaId, ServedModel, ServedModels, Span, Timestamp};

/// The maximum number of models in one report; further models are ignored.
const MAX_REPORTED_MODELS: usize = 4096;

/// The difference between the endpoint list and the report of a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryMismatch {
    /// Models that are listed but not reported.
    pub missing: Vec<String>,
    /// Models that are reported but not listed.
    pub unlisted: Vec<String>,
}

impl InventoryMismatch {
    /// Returns the difference, or `None` if there is none.
    fn between(listed: &[String], reported: &[String]) -> Option<InventoryMismatch> {
        let mismatch = InventoryMismatch {
            missing: difference(listed, reported),
            unlisted: difference(reported, listed),
        };
        let is_empty = mismatch.missing.is_empty() && mismatch.unlisted.is_empty();
        (!is_empty).then_some(mismatch)
    }
}

/// Returns the names that are in `names` but not in `without`.
fn difference(names: &[String], without: &[String]) -> Vec<String> {
    names
        .iter()
        .filter(|name| !without.contains(name))
        .cloned()
        .collect()
}

/// What a model server's report changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report changed nothing: it repeats the last one, was requested before the model server
    /// was last started, or is from a model server that the inventory does not contain.
    Unchanged,
    /// The report changed the inventory of the model server.
    Changed {
        /// How the report differs from the endpoint list; `None` if it does not, or if the list
        /// names no models for this model server.
        mismatch: Option<InventoryMismatch>,
    },
}

/// The names of the models of one model server.
struct ServerModels {
    state: EndpointState,
    /// When the model server was last started.
    started_at: Timestamp,
    /// The models that the endpoint list names; `None` if the list names none.
    listed: Option<Vec<String>>,
    /// The models in the last report since the start, sorted; `None` before the first report.
    reported: Option<Vec<String>>,
}

/// The models of all model servers.
#[derive(Default)]
pub struct ModelInventory {
    servers: FxHashMap<ReplicaId, ServerModels>,
    /// By model number: the number of model servers in service that can serve the model, also if
    /// they have to load it first.
    host_counts: FxHashMap<u32, u32>,
}

impl ModelInventory {
    /// Sets the state and the models that the endpoint list gives for a model server. A restarted
    /// model server may have lost the models that it had loaded, so its earlier report is dropped.
    pub fn set_listed(
        &mut self,
        replica: ReplicaId,
        state: EndpointState,
        started_at: Timestamp,
        models: Option<&[String]>,
    ) {
        let previous = self.servers.remove(&replica);
        if state == EndpointState::Removed {
            return;
        }
        let unrestarted = previous.filter(|server| server.started_at == started_at);
        let server = ServerModels {
            state,
            started_at,
            listed: models.map(<[String]>::to_vec),
            reported: unrestarted.and_then(|server| server.reported),
        };
        self.servers.insert(replica, server);
    }

    /// Keeps only the model servers for which `is_kept` is true.
    pub fn retain(&mut self, is_kept: impl Fn(ReplicaId) -> bool) {
        self.servers.retain(|id, _| is_kept(*id));
    }

    /// Records the models that a model server reports. `started_at`: the start time of the model
    /// server that was known when the report was requested.
    pub fn record_report(
        &mut self,
        replica: ReplicaId,
        started_at: Timestamp,
        mut names: Vec<String>,
    ) -> ReportOutcome {
        let server = self.servers.get_mut(&replica);
        let Some(server) = server.filter(|server| server.started_at == started_at) else {
            return ReportOutcome::Unchanged;
        };
        names.truncate(MAX_REPORTED_MODELS);
        names.sort_unstable();
        names.dedup();
        if server.reported.as_ref() == Some(&names) {
            return ReportOutcome::Unchanged;
        }
        let listed = server.listed.as_ref();
        let mismatch = listed.and_then(|listed| InventoryMismatch::between(listed, &names));
        server.reported = Some(names);
        ReportOutcome::Changed { mismatch }
    }

    /// Returns the models that a model server can serve, for the decision module. `catalogs`: the
    /// current one and those that requests in flight still use. A model server with neither listed
    /// nor reported models is assumed to have every base model; one that the inventory does not
    /// contain can serve none.
    pub fn servable_models(&self, replica: ReplicaId, catalogs: &[Arc<Catalog>]) -> ServedModels {
        match self.servers.get(&replica) {
            Some(server) => ServedModels::only(catalogs.iter().flat_map(|c| server.servable_in(c))),
            None => ServedModels::only([]),
        }
    }

    /// Counts the model servers of each model again. Must be called after each change and before
    /// [`ModelInventory::host_count`].
    pub fn recount_hosts(&mut self, catalogs: &[Arc<Catalog>]) {
        self.host_counts.clear();
        for server in self.servers.values() {
            if server.state != EndpointState::InService {
                continue;
            }
            let models = catalogs.iter().flat_map(|c| server.servable_in(c));
            let mut numbers: Vec<u32> = models.map(|served| served.model).collect();
            numbers.sort_unstable();
            numbers.dedup();
            for number in numbers {
                *self.host_counts.entry(number).or_default() += 1;
            }
        }
    }

    /// Returns the number of model servers in service that can serve the model with this number.
    pub fn host_count(&self, model: u32) -> u32 {
        self.host_counts.get(&model).copied().unwrap_or(0)
    }
}

impl ServerModels {
    /// Returns the models that the model server can serve, each with the time to load it; zero if
    /// it is loaded.
    fn servable_in<'a>(&'a self, catalog: &'a Catalog) -> impl Iterator<Item = ServedModel> + 'a {
        catalog.models().iter().filter_map(|model| {
            let load_time = match model.base {
                Some(base) if !self.has_adapter(&model.name) => self
                    .has_model(&catalog.model(base).name)
                    .then_some(model.load_time),
                _ => self.has_model(&model.name).then_some(Span::ZERO),
            };
            Some(ServedModel {
                model: model.number,
                load_time: load_time?,
            })
        })
    }

    /// Returns the reported models, or else the listed ones; `None` if neither is known.
    fn known_models(&self) -> Option<&Vec<String>> {
        self.reported.as_ref().or(self.listed.as_ref())
    }

    /// Whether the model server has a base model. Assumed to be true if its models are not
    /// known.
    fn has_model(&self, name: &String) -> bool {
        self.known_models()
            .is_none_or(|models| models.contains(name))
    }

    /// Whether the model server has loaded an adapter. Assumed to be false if its models are not
    /// known.
    fn has_adapter(&self, name: &String) -> bool {
        self.known_models()
            .is_some_and(|models| models.contains(name))
    }
}

#[cfg(test)]
mod tests;
