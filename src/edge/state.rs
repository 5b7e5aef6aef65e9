//! What changes while the edge serves: the configuration in force, the ledger, and what is known of
//! the models' hosts.

use std::sync::{Arc, Weak};

use super::Caller;
use super::config::EdgeConfig;
use super::rejection::authentication_error;
use crate::api::ApiError;
use crate::identity::AuthenticationError;
use crate::routing::{Catalog, FirstTokenEstimates, ModelInventory, ModelNumbers};
use crate::spend::{Ledger, NodeId};

/// The state of the edge. Owned by [`Edge`](super::Edge), behind its lock.
pub(super) struct EdgeState {
    /// The configuration in force.
    pub(super) config: Arc<EdgeConfig>,
    /// The numbers of all models that were ever configured.
    pub(super) model_numbers: ModelNumbers,
    /// Catalogs of earlier configurations, which requests in flight may still use.
    earlier_catalogs: Vec<Weak<Catalog>>,
    pub(super) ledger: Ledger,
    /// Which host has which models.
    pub(super) inventory: ModelInventory,
    /// How long each model takes to a first token.
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

    /// Puts a configuration into force. Requests in flight keep their catalog.
    pub(super) fn replace_config(&mut self, config: EdgeConfig) {
        self.earlier_catalogs
            .push(Arc::downgrade(&self.config.catalog));
        self.config = Arc::new(config);
    }

    /// The catalog in force and the earlier ones that are still in use.
    pub(super) fn catalogs(&mut self) -> Vec<Arc<Catalog>> {
        self.earlier_catalogs
            .retain(|catalog| catalog.strong_count() > 0);
        let earlier = self.earlier_catalogs.iter().filter_map(Weak::upgrade);
        std::iter::once(self.config.catalog.clone())
            .chain(earlier)
            .collect()
    }

    /// The node that a caller's requests are charged to; none for an unauthenticated caller.
    /// Guards against a key that was revoked, or whose node was removed, since the caller showed
    /// it: a batch runs for hours.
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

    /// Whether a caller may use a model, given as an index into the catalog in force.
    pub(super) fn may_use(&self, caller: &Caller, model: usize) -> bool {
        caller
            .node()
            .is_none_or(|node| self.config.may_use(node, model))
    }

    /// The index of the model of a name or alias, if the caller may use it.
    pub(super) fn find_usable_model(&self, caller: &Caller, name: &str) -> Option<usize> {
        let model = self.config.catalog.find(name)?;
        self.may_use(caller, model).then_some(model)
    }
}
