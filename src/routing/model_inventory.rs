//! The inventory of models: which host has which, by the endpoint list and by the hosts' own
//! reports, which take precedence.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::Catalog;
use crate::interface::{EndpointState, ReplicaId, ServedModel, ServedModels, Span, Timestamp};

/// The most models of one report; the rest of a longer one is ignored.
const MAX_REPORTED_MODELS: usize = 4096;

/// The difference between the endpoint list and the report of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryMismatch {
    /// Models that are listed and not reported.
    pub missing: Vec<String>,
    /// Models that are reported and not listed.
    pub unlisted: Vec<String>,
}

impl InventoryMismatch {
    /// The difference; none where there is no difference.
    fn between(listed: &[String], reported: &[String]) -> Option<InventoryMismatch> {
        let mismatch = InventoryMismatch {
            missing: difference(listed, reported),
            unlisted: difference(reported, listed),
        };
        let is_empty = mismatch.missing.is_empty() && mismatch.unlisted.is_empty();
        (!is_empty).then_some(mismatch)
    }
}

/// The names that are in the first list and not in the second.
fn difference(names: &[String], without: &[String]) -> Vec<String> {
    names
        .iter()
        .filter(|name| !without.contains(name))
        .cloned()
        .collect()
}

/// What the report of a host changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Nothing: it repeats the last report, or is from an earlier start of the host.
    Unchanged,
    /// The inventory of the host.
    Changed {
        /// How the report differs from the endpoint list, where that names models and they differ.
        mismatch: Option<InventoryMismatch>,
    },
}

/// The models of one host, by their names.
struct HostModels {
    state: EndpointState,
    /// When the host was last started.
    started_at: Timestamp,
    /// The models that the endpoint list names; none where it names none.
    listed: Option<Vec<String>>,
    /// The models that the host has reported since its start, sorted; none before its first report.
    reported: Option<Vec<String>>,
}

/// The models of all hosts.
#[derive(Default)]
pub struct ModelInventory {
    hosts: FxHashMap<ReplicaId, HostModels>,
    /// The number of hosts in service that have a model, loaded or not, by the model's number.
    host_counts: FxHashMap<u32, u32>,
}

impl ModelInventory {
    /// Sets what the endpoint list says of a host. A host that has been started again may have lost
    /// the models that it had loaded, so its reports from before are dropped.
    pub fn set_listed(
        &mut self,
        replica: ReplicaId,
        state: EndpointState,
        started_at: Timestamp,
        models: Option<&[String]>,
    ) {
        let previous = self.hosts.remove(&replica);
        if state == EndpointState::Removed {
            return;
        }
        let same_start = previous.filter(|host| host.started_at == started_at);
        let host = HostModels {
            state,
            started_at,
            listed: models.map(<[String]>::to_vec),
            reported: same_start.and_then(|host| host.reported),
        };
        self.hosts.insert(replica, host);
    }

    /// Removes all hosts except these.
    pub fn retain(&mut self, is_kept: impl Fn(ReplicaId) -> bool) {
        self.hosts.retain(|id, _| is_kept(*id));
    }

    /// Records the models that a host reports. `started_at` is the start of the host that the
    /// report was requested of.
    pub fn record_report(
        &mut self,
        replica: ReplicaId,
        started_at: Timestamp,
        mut names: Vec<String>,
    ) -> ReportOutcome {
        let host = self.hosts.get_mut(&replica);
        let Some(host) = host.filter(|host| host.started_at == started_at) else {
            return ReportOutcome::Unchanged;
        };
        names.truncate(MAX_REPORTED_MODELS);
        names.sort_unstable();
        names.dedup();
        if host.reported.as_ref() == Some(&names) {
            return ReportOutcome::Unchanged;
        }
        let listed = host.listed.as_ref();
        let mismatch = listed.and_then(|listed| InventoryMismatch::between(listed, &names));
        host.reported = Some(names);
        ReportOutcome::Changed { mismatch }
    }

    /// The models of these catalogs (the one in force, and those that requests in flight still use)
    /// that a host serves, for the decision module. A host of which nothing is known is taken to
    /// have every base model.
    pub fn servable_models(&self, replica: ReplicaId, catalogs: &[Arc<Catalog>]) -> ServedModels {
        match self.hosts.get(&replica) {
            Some(host) => ServedModels::only(catalogs.iter().flat_map(|c| host.served_models(c))),
            None => ServedModels::only([]),
        }
    }

    /// Counts the hosts of each model again. It must be called after each change, before
    /// [`ModelInventory::host_count`].
    pub fn recount_hosts(&mut self, catalogs: &[Arc<Catalog>]) {
        self.host_counts.clear();
        for host in self.hosts.values() {
            if host.state != EndpointState::InService {
                continue;
            }
            let models = catalogs.iter().flat_map(|c| host.served_models(c));
            let mut numbers: Vec<u32> = models.map(|served| served.model).collect();
            numbers.sort_unstable();
            numbers.dedup();
            for number in numbers {
                *self.host_counts.entry(number).or_default() += 1;
            }
        }
    }

    /// The number of hosts in service that have the model with this number.
    pub fn host_count(&self, model: u32) -> u32 {
        self.host_counts.get(&model).copied().unwrap_or(0)
    }
}

impl HostModels {
    /// The models that the host serves, each with the time to load it: zero where it is loaded.
    fn served_models<'a>(&'a self, catalog: &'a Catalog) -> impl Iterator<Item = ServedModel> + 'a {
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

    /// The models that the host has as far as is known.
    fn known_models(&self) -> Option<&Vec<String>> {
        self.reported.as_ref().or(self.listed.as_ref())
    }

    /// Whether the host has a base model. Where nothing is known it is taken to have it.
    fn has_model(&self, name: &String) -> bool {
        self.known_models()
            .is_none_or(|models| models.contains(name))
    }

    /// Whether the host has loaded an adapter. Where nothing is known it is taken not to have.
    fn has_adapter(&self, name: &String) -> bool {
        self.known_models()
            .is_some_and(|models| models.contains(name))
    }
}

#[cfg(test)]
mod tests;
