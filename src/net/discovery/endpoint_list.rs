//! The JSON format of the endpoint list, as discovery, the configuration and the handover to a
//! successor process use it, and its conversion for the core.

use std::collections::hash_map::Entry as MapEntry;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::core::{Endpoint, EndpointsUpdate};
use crate::interface::{
    EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Timestamp, stable_hash,
};

const PHASE_SERVING: &str = "SERVING";
const PHASE_DRAINING: &str = "DRAINING";
const PHASE_DELETED: &str = "DELETED";

/// The relative capacity of an endpoint whose record doesn't specify one.
const DEFAULT_SIZE: f64 = 1.0;

/// An endpoint list at one revision: all endpoints, or only those that changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    pub(super) revision: u64,
    /// Whether the list contains all endpoints, not only those that changed.
    #[serde(default)]
    pub(super) complete: bool,
    #[serde(default, rename = "members")]
    pub(super) endpoints: Vec<EndpointRecord>,
}

/// One endpoint of the list. The phase is a string, so that a phase unknown to this version reaches
/// a successor process unchanged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct EndpointRecord {
    pub(super) id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

fn default_size() -> f64 {
    DEFAULT_SIZE
}

impl EndpointRecord {
    pub(super) fn is_deleted(&self) -> bool {
        self.phase == PHASE_DELETED
    }

    fn state(&self) -> EndpointState {
        match self.phase.as_str() {
            PHASE_SERVING => EndpointState::InService,
            PHASE_DRAINING => EndpointState::Draining,
            PHASE_DELETED => EndpointState::Removed,
            unknown => {
                // don't send new requests to a server that may not be serving
                warn!(
                    "{}: unknown phase {unknown:?}; treating the model server as draining",
                    self.id
                );
                EndpointState::Draining
            }
        }
    }

    fn into_endpoint(self, localities: &[String]) -> Endpoint {
        let entry = ReplicaEntry {
            replica: ReplicaId::from_name(&self.id),
            zone: zone_number(&self.locality, localities),
            cell: self.cell,
            state: self.state(),
            started_at: Timestamp::from_millis(self.up_since_ms),
            weight: self.size,
            machine_kind: stable_hash(&self.flavor) as u32,
            ..Default::default()
        };
        Endpoint {
            name: self.id,
            address: self.host_port,
            entry,
            models: None,
        }
    }
}

impl EndpointList {
    /// Converts the list for the core. Zones are numbered by their position in `localities`.
    pub fn resolved(self, kind: EndpointListKind, localities: &[String]) -> EndpointsUpdate {
        let endpoints = self
            .endpoints
            .into_iter()
            .map(|record| record.into_endpoint(localities));
        EndpointsUpdate {
            kind,
            endpoints: without_duplicates(endpoints),
        }
    }

    /// The list's version, which increases with each change at discovery.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

/// Removes duplicate names and keeps the order of the endpoints. Of duplicates, the one whose state
/// is closest to termination is kept, because a server that the same list contains as draining or
/// deleted must not receive requests.
fn without_duplicates(endpoints: impl ExactSizeIterator<Item = Endpoint>) -> Vec<Endpoint> {
    let mut unique: Vec<Endpoint> = Vec::with_capacity(endpoints.len());
    let mut positions: FxHashMap<ReplicaId, usize> = FxHashMap::default();
    for endpoint in endpoints {
        match positions.entry(endpoint.entry.replica) {
            MapEntry::Vacant(position) => {
                position.insert(unique.len());
                unique.push(endpoint);
            }
            MapEntry::Occupied(position) => {
                warn!(
                    "{} is listed more than once; using the state closest to termination",
                    endpoint.name
                );
                let first = &mut unique[*position.get()];
                if endpoint.entry.state > first.entry.state {
                    *first = endpoint;
                }
            }
        }
    }
    unique
}

/// Returns the number of a zone: its position in `names`, or else the number or the position in the
/// alphabet that its name represents, or else `u32::MAX`.
pub fn zone_number(zone: &str, names: &[String]) -> u32 {
    let position = names
        .iter()
        .position(|name| name == zone)
        .map(|position| position as u32);
    let letter = || match zone.as_bytes() {
        [letter @ b'a'..=b'z'] => Some(u32::from(letter - b'a')),
        _ => None,
    };
    position
        .or_else(|| zone.parse().ok())
        .or_else(letter)
        .unwrap_or(u32::MAX)
}
