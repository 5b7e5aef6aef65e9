//! The mutable state of the edge: the current configuration, the ledger, the model inventory and
//! the first-token estimates.

use std::sync::{Arc, Weak};

use super::Caller;
use super::config::EdgeConfig;
use super::rejection::authentication_error;
use crate::api::ApiError;
use crate::identity::AuthenticationError;
use crate::routing::{Catalog, FirstTokenEstimates, ModelInventory, ModelNumbers};
use crate::spend::{Ledger, NodeId};

/// The mutable state of the edge, owned by [`Edge`](super::Edge) and protected by its mutex.
pub(super) struct EdgeState {
    /// The current configuration.
    pub(super) config: Arc<EdgeConfig>,
    /// The numbers of all models ever configured.
    pub(super) model_numbers: ModelNumbers,
    /// The catalogs of earlier configurations, which requests in flight may still use.
    earlier_catalogs: Vec<Weak<Catalog>>,
    pub(super) ledger: Ledger,
    /// The models available on each host.
    pub(super) inventory: ModelInventory,
    /// The estimated time to the first token of each model.
    pub(super) estimates: FirstTokenEstimates,
}

impl EdgeState {
    pub(super) fn new(
        config: EdgeConfig,
        model_numbers: ModelNumbers,
        ledger: Ledger,
        estimates: FirstTokenEstimates,
    ) -> EdgeState {
        EdgeState {
            config: Arc::new(config),
            model_numbers,
            earlier_catalogs: Vec::new(),
            ledger,
            inventory: ModelInventory::default(),
            estimates,
        }
    }

    /// Replaces the current configuration. Requests in flight keep their catalog.
    pub(super) fn replace_config(&mut self, config: EdgeConfig) {
        self.earlier_catalogs
            .push(Arc::downgrade(&self.config.catalog));
        self.config = Arc::new(config);
    }

    /// The current catalog, followed by the earlier catalogs that are still in use.
    pub(super) fn catalogs(&mut self) -> Vec<Arc<Catalog>> {
        self.earlier_catalogs
            .retain(|catalog| catalog.strong_count() > 0);
        let earlier = self.earlier_catalogs.iter().filter_map(Weak::upgrade);
        std::iter::once(self.config.catalog.clone())
            .chain(earlier)
            .collect()
    }

    /// The node that a caller's requests are charged to; `None` for an unauthenticated caller.
    /// Checks the key again, because it may have been revoked, or its node removed, since the
    /// caller was authenticated: a batch runs for hours.
    pub(super) fn charged_node(&self, caller: &Caller) -> Result<Option<NodeId>, ApiError> {
        let Some(credentials) = caller.credentials() else {
            return Ok(None);
        };
        let valid = self
            .config
            .keys
            .as_ref()
            .is_some_and(|keys| keys.is_valid_for(&credentials.key_id, &credentials.node));
        match self.ledger.find_node(&credentials.node) {
            Some(node) if valid => Ok(Some(node)),
            _ => Err(authentication_error(AuthenticationError::Unknown)),
        }
    }

    /// Whether a caller may use a model, given as an index into the current catalog.
    pub(super) fn may_use(&self, caller: &Caller, model: usize) -> bool {
        caller
            .node()
            .is_none_or(|node| self.config.may_use(node, model))
    }

    /// The index of the model with this name or alias, if the caller may use it.
    pub(super) fn find_usable_model(&self, caller: &Caller, name: &str) -> Option<usize> {
        let model = self.config.catalog.find(name)?;
        self.may_use(caller, model).then_some(model)
    }
}
