//! The endpoint list that this process uses, in discovery's format, published for a successor
//! process. If no successor can connect, only its revision is kept.

use std::collections::BTreeMap;

use tokio::sync::watch;

use super::endpoint_list::{EndpointList, EndpointRecord};

/// The current endpoints by id, their revision, and the channel on which both are published.
/// Endpoints and revision only change together: a list is never handed on under the revision of
/// another one.
pub(super) struct CurrentList {
    revision: u64,
    endpoints: BTreeMap<String, EndpointRecord>,
    publisher: Option<watch::Sender<Option<EndpointList>>>,
}

impl CurrentList {
    /// Starts from the list of this revision, which is already published.
    pub(super) fn new(
        revision: u64,
        publisher: Option<watch::Sender<Option<EndpointList>>>,
    ) -> CurrentList {
        let published = publisher.as_ref().and_then(|list| list.borrow().clone());
        let records = published.map(|list| list.endpoints).unwrap_or_default();
        CurrentList {
            revision,
            endpoints: by_id(records),
            publisher,
        }
    }

    /// The revision of the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a response from discovery and publishes the result, unless the response changes
    /// nothing.
    pub(super) fn apply(&mut self, update: &EndpointList) {
        let changes_nothing =
            !update.complete && update.endpoints.is_empty() && update.revision == self.revision;
        if changes_nothing {
            return;
        }
        self.revision = update.revision;
        if self.publisher.is_none() {
            return;
        }
        if update.complete {
            self.endpoints.clear();
        }
        for record in &update.endpoints {
            if record.is_deleted() {
                self.endpoints.remove(&record.id);
            } else {
                self.endpoints.insert(record.id.clone(), record.clone());
            }
        }
        self.publish();
    }

    /// Replaces the list by that of the predecessor process, if that is newer. Returns whether it
    /// is.
    pub(super) fn adopt(&mut self, list: &EndpointList) -> bool {
        if list.revision <= self.revision {
            return false;
        }
        self.revision = list.revision;
        if self.publisher.is_some() {
            self.endpoints = by_id(list.endpoints.clone());
            self.publish();
        }
        true
    }

    fn publish(&self) {
        if let Some(publisher) = &self.publisher {
            publisher.send_replace(Some(EndpointList {
                revision: self.revision,
                complete: true,
                endpoints: self.endpoints.values().cloned().collect(),
            }));
        }
    }
}

fn by_id(records: Vec<EndpointRecord>) -> BTreeMap<String, EndpointRecord> {
    records
        .into_iter()
        .map(|record| (record.id.clone(), record))
        .collect()
}

#[cfg(test)]
mod tests;
