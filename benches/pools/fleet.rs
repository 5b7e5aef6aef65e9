//! The fleet and the settings of its balancers.

use stilespan::Balancer;
use stilespan::interface::{
    Class, EndpointListKind, Event, ReplicaEntry, ReplicaId, ServedModel, ServedModels, Settings,
    Span, Timestamp,
};

/// Hosts of the fleet. The first half serves the small model only, the others both models.
pub const HOSTS: usize = 8;
pub const SMALL_MODEL: u32 = 1;
pub const LARGE_MODEL: u32 = 2;

/// The latest first token that is in time, in microseconds after the arrival.
pub const FIRST_TOKEN_OBJECTIVE: u64 = 400_000;
/// How long a request is worth an answer, in microseconds after the arrival.
pub const DEADLINE: u64 = 1_500_000;
const TOKEN_INTERVAL_OBJECTIVE: Span = Span::from_millis(60);

/// How the models' requests are balanced.
#[derive(Clone, Copy, Debug)]
pub enum Topology {
    /// A balancer for each model, which sees the hosts of that model only.
    BalancerPerModel,
    /// One balancer that knows which hosts serve which model.
    SharedBalancer,
}

/// A balancer, with the events that its next step gets.
pub struct Pool {
    pub balancer: Balancer,
    pub events: Vec<Event>,
}

impl Pool {
    fn new(seed: u64, entries: Vec<ReplicaEntry>) -> Pool {
        let endpoints = Event::EndpointsUpdated {
            kind: EndpointListKind::Complete,
            entries: entries.into(),
        };
        Pool {
            balancer: Balancer::new(settings(), seed, Timestamp::ZERO),
            events: vec![endpoints],
        }
    }
}

/// The balancers of a topology; those of models are in the order of the models' numbers.
pub fn pools(topology: Topology) -> Vec<Pool> {
    match topology {
        Topology::BalancerPerModel => [SMALL_MODEL, LARGE_MODEL]
            .map(|model| Pool::new(model.into(), entries_of_model(model)))
            .into(),
        Topology::SharedBalancer => vec![Pool::new(1, entries_with_models())],
    }
}

fn settings() -> Settings {
    let class = Class {
        first_token_objective: Span::from_micros(FIRST_TOKEN_OBJECTIVE),
        token_interval_objective: TOKEN_INTERVAL_OBJECTIVE,
        deadline: Span::from_micros(DEADLINE),
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        ..Settings::default()
    }
}

fn models_of(host: usize) -> &'static [u32] {
    if host < HOSTS / 2 {
        &[SMALL_MODEL]
    } else {
        &[SMALL_MODEL, LARGE_MODEL]
    }
}

/// The hosts that serve a model, as entries that name no models.
fn entries_of_model(model: u32) -> Vec<ReplicaEntry> {
    (0..HOSTS)
        .filter(|&host| models_of(host).contains(&model))
        .map(|host| entry(host, ServedModels::default()))
        .collect()
}

/// All hosts, each with the models that it serves.
fn entries_with_models() -> Vec<ReplicaEntry> {
    (0..HOSTS)
        .map(|host| entry(host, served_models(host)))
        .collect()
}

fn served_models(host: usize) -> ServedModels {
    ServedModels::only(models_of(host).iter().map(|&model| ServedModel {
        model,
        load_time: Span::ZERO,
    }))
}

fn entry(host: usize, models: ServedModels) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(host as u64),
        weight: 1.0,
        models,
        ..ReplicaEntry::default()
    }
}
