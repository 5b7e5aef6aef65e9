//! Which host has which models: as the list names them and as the hosts tell, who are believed.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::Catalog;
use crate::interface::{Models, ReplicaId, Span, State, Timestamp};

/// Models that a host's word may hold; the rest of a longer one is not read.
const MAX_REPORTED_MODELS: usize = 4096;

/// The list and a host differ in what it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryMismatch {
    /// Models of the list that the host does not tell of.
    pub missing: Vec<String>,
    /// Models that it tells of and the list does not name.
    pub unlisted: Vec<String>,
}

struct HostModels {
    state: State,
    started: Timestamp,
    listed: Option<Vec<String>>,
    reported: Option<Vec<String>>,
}

/// What all hosts have.
#[derive(Default)]
pub struct ModelInventory {
    hosts: FxHashMap<ReplicaId, HostModels>,
    /// Hosts in service that have each model, loaded or not, by its number.
    counts: FxHashMap<u32, u32>,
}

impl ModelInventory {
    /// A host as the list has it now. What a host told before it started anew is forgotten: it may
    /// have lost what it had loaded.
    pub fn set_listed(
        &mut self,
        replica: ReplicaId,
        state: State,
        started: Timestamp,
        models: Option<&[String]>,
    ) {
        if state == State::Terminated {
            self.hosts.remove(&replica);
            return;
        }
        let listed = models.map(<[String]>::to_vec);
        let reported = self
            .hosts
            .remove(&replica)
            .filter(|h| h.started == started)
            .and_then(|h| h.reported);
        self.hosts.insert(
            replica,
            HostModels {
                state,
                started,
                listed,
                reported,
            },
        );
    }

    /// Only these hosts are left.
    pub fn retain(&mut self, keep: impl Fn(ReplicaId) -> bool) {
        self.hosts.retain(|id, _| keep(*id));
    }

    /// What a host tells of itself, as of its start at `started`. Whether that is news, and how it
    /// differs from the list, where that is news.
    pub fn record_report(
        &mut self,
        replica: ReplicaId,
        started: Timestamp,
        mut names: Vec<String>,
    ) -> (bool, Option<InventoryMismatch>) {
        let Some(host) = self
            .hosts
            .get_mut(&replica)
            .filter(|h| h.started == started)
        else {
            return (false, None);
        };
        names.truncate(MAX_REPORTED_MODELS);
        names.sort_unstable();
        names.dedup();
        if host.reported.as_ref() == Some(&names) {
            return (false, None);
        }
        let differ = host.listed.as_ref().and_then(|listed| {
            let without = |a: &[String], b: &[String]| -> Vec<String> {
                a.iter().filter(|n| !b.contains(n)).cloned().collect()
            };
            let (missing, unlisted) = (without(listed, &names), without(&names, listed));
            (!missing.is_empty() || !unlisted.is_empty())
                .then_some(InventoryMismatch { missing, unlisted })
        });
        host.reported = Some(names);
        (true, differ)
    }

    /// What a host serves of these catalogs (the one in force, and those that something under way
    /// still goes by), for the decision module. A host of which nothing is known is taken to have
    /// every base model.
    pub fn servable_models(&self, replica: ReplicaId, catalogs: &[Arc<Catalog>]) -> Models {
        let Some(host) = self.hosts.get(&replica) else {
            return Models::only([]);
        };
        Models::only(catalogs.iter().flat_map(|c| host.has(c)))
    }

    /// Counts anew who has what. To be called after news, ahead of [`ModelInventory::host_count`].
    pub fn recount_hosts(&mut self, catalogs: &[Arc<Catalog>]) {
        self.counts.clear();
        for host in self.hosts.values().filter(|h| h.state == State::InService) {
            let mut numbers: Vec<u32> = catalogs
                .iter()
                .flat_map(|c| host.has(c))
                .map(|m| m.0)
                .collect();
            numbers.sort_unstable();
            numbers.dedup();
            for number in numbers {
                *self.counts.entry(number).or_default() += 1;
            }
        }
    }

    /// Hosts in service that have the model of a number.
    pub fn host_count(&self, number: u32) -> u32 {
        self.counts.get(&number).copied().unwrap_or(0)
    }
}

impl HostModels {
    /// The numbers of the models that it has, each with its time to load.
    fn has<'a>(&'a self, catalog: &'a Catalog) -> impl Iterator<Item = (u32, Span)> + 'a {
        let names = self.reported.as_ref().or(self.listed.as_ref());
        let named = move |at: usize| names.is_none_or(|n| n.contains(&catalog.model(at).name));
        catalog
            .models()
            .iter()
            .enumerate()
            .filter_map(move |(at, model)| match model.base {
                // where nothing is known adapters are taken to be unloaded
                Some(base) if names.is_none() || !named(at) => {
                    named(base).then_some((model.number, model.load_time))
                }
                _ => named(at).then_some((model.number, Span::ZERO)),
            })
    }
}

#[cfg(test)]
mod tests {
    use super::super::{ModelNumbers, ModelSpec, Named};
    use super::*;

    fn catalog() -> [Arc<Catalog>; 1] {
        let spec = |name: &str, base: Option<&str>| ModelSpec {
            name: name.into(),
            base: base.map(String::from),
            load_time: Span::from_micros(if base.is_some() { 800_000 } else { 0 }),
            context_window: 100,
            max_output_tokens: 10,
            ..ModelSpec::default()
        };
        let specs = [
            spec("small", None),
            spec("large", None),
            spec("maths", Some("small")),
        ];
        let alias = Named {
            name: "mark".into(),
            value: "large".into(),
        };
        [Arc::new(
            Catalog::build(&specs, &[alias], &[], &mut ModelNumbers::default()).unwrap(),
        )]
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| n.to_string()).collect()
    }

    #[test]
    fn the_host_is_believed_and_a_difference_reported() {
        let (catalog, id) = (catalog(), ReplicaId(7));
        let mut inventory = ModelInventory::default();
        inventory.set_listed(
            id,
            State::InService,
            Timestamp::from_micros(5),
            Some(&names(&["small", "large"])),
        );
        let models = inventory.servable_models(id, &catalog);
        assert_eq!(
            [1, 2, 3].map(|m| models.ready_in(m)),
            [
                Some(Span::ZERO),
                Some(Span::ZERO),
                Some(Span::from_millis(800))
            ]
        );
        let (news, differ) =
            inventory.record_report(id, Timestamp::from_micros(5), names(&["small", "maths"]));
        let differ = differ.unwrap();
        assert!(news && differ.missing == ["large"] && differ.unlisted == ["maths"]);
        let models = inventory.servable_models(id, &catalog);
        assert_eq!(
            [1, 2, 3].map(|m| models.ready_in(m)),
            [Some(Span::ZERO), None, Some(Span::ZERO)]
        );
        assert_eq!(
            inventory.record_report(id, Timestamp::from_micros(5), names(&["maths", "small"])),
            (false, None)
        );
        // a new start: what was told is forgotten, and a late word of the old one is not heard
        inventory.set_listed(
            id,
            State::InService,
            Timestamp::from_micros(9),
            Some(&names(&["small"])),
        );
        assert_eq!(
            inventory.record_report(id, Timestamp::from_micros(5), names(&["large"])),
            (false, None)
        );
        assert_eq!(
            inventory.servable_models(id, &catalog).ready_in(3),
            Some(Span::from_millis(800))
        );
    }

    #[test]
    fn only_hosts_in_service_count() {
        let (catalog, mut inventory) = (catalog(), ModelInventory::default());
        inventory.set_listed(
            ReplicaId(1),
            State::InService,
            Timestamp::ZERO,
            Some(&names(&["small"])),
        );
        inventory.set_listed(
            ReplicaId(2),
            State::Terminating,
            Timestamp::ZERO,
            Some(&names(&["large"])),
        );
        inventory.set_listed(ReplicaId(3), State::InService, Timestamp::ZERO, None);
        inventory.recount_hosts(&catalog);
        assert_eq!([1, 2, 3].map(|m| inventory.host_count(m)), [2, 1, 2]);
        inventory.set_listed(ReplicaId(3), State::Terminated, Timestamp::ZERO, None);
        inventory.recount_hosts(&catalog);
        assert_eq!([1, 2, 3].map(|m| inventory.host_count(m)), [1, 0, 1]);
    }
}
