//! The data shared by all submissions of a request: its route, reservation and attributes.

use std::sync::Arc;
use std::time::Duration;

use super::config::EdgeConfig;
use super::rejection::{model_not_found, route_error};
use super::reservation_guard::ReservationGuard;
use super::{ChatRequest, Edge};
use crate::api::ApiError;
use crate::core::RequestAttributes;
use crate::interface::Span;
use crate::routing::{ChatQuery, Route};

/// The maximum time that a client may wait for the first token; longer timeouts are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// A validated request, ready for its first submission.
pub(super) struct RequestPlan {
    pub(super) route: Route,
    pub(super) reservation: ReservationGuard,
    /// The attributes for the core, without the values that differ between submissions.
    pub(super) attributes: RequestAttributes,
    /// The number of output tokens reserved at a time if the client sets no limit.
    pub(super) output_slice: u32,
}

impl Edge {
    /// Validates a request against the current configuration.
    pub(super) fn plan(self: &Arc<Edge>, request: &ChatRequest) -> Result<RequestPlan, ApiError> {
        let chat = &request.chat;
        let state = self.state();
        let config = state.config.clone();
        let model = state
            .find_usable_model(&request.caller, &chat.model)
            .ok_or_else(|| model_not_found(&chat.model))?;
        let class = self.find_class(request.class.as_ref(), &config, model)?;
        let node = state.charged_node(&request.caller)?;
        drop(state);
        let timeout = request.timeout.unwrap_or(self.classes[class].deadline);
        let timeout = timeout.min(MAX_TIMEOUT);
        let received_at = self.clock.time_at(request.received_at);
        let query = ChatQuery {
            model,
            prompt_tokens: chat.prompt_tokens,
            max_output_tokens: chat.max_output_tokens,
            expires_at: received_at + Span::from(timeout),
            max_attempts: self.max_attempts,
            idempotent: self.classes[class].idempotent,
        };
        let node_path = request.caller.node();
        let allowed = |model| node_path.is_none_or(|node| config.may_use(node, model));
        let route = Route::new(config.catalog.clone(), query, allowed)
            .map_err(|error| route_error(error, &chat.model, chat.prompt_tokens))?;
        let prompt_tokens = chat.prompt_tokens.into();
        Ok(RequestPlan {
            route,
            reservation: ReservationGuard::new(self.clone(), node, prompt_tokens),
            attributes: self.attributes(request, class, &config, timeout),
            output_slice: config.output_slice,
        })
    }

    /// The index of the request's class: the requested class, else the model's class, else the
    /// first class of the settings.
    fn find_class(
        &self,
        requested: Option<&String>,
        config: &EdgeConfig,
        model: usize,
    ) -> Result<usize, ApiError> {
        let model_class = config.catalog.model(model).class.as_ref();
        let class = match requested.or(model_class) {
            Some(name) => self.classes.iter().position(|class| class.name == *name),
            None => Some(0).filter(|_| !self.classes.is_empty()),
        };
        class.ok_or_else(|| ApiError::new(400, "X-Qos", "X-Qos names no class"))
    }

    fn attributes(
        &self,
        request: &ChatRequest,
        class: usize,
        config: &EdgeConfig,
        timeout: Duration,
    ) -> RequestAttributes {
        let chat = &request.chat;
        let prefix = chat.shared_prefix;
        RequestAttributes {
            class: class as u32,
            tenant: self.tenant_number(config, &request.caller),
            session: chat.session,
            prefix: prefix.map(|prefix| prefix.hash),
            prompt_tokens: chat.prompt_tokens,
            shared_prefix_tokens: prefix.map_or(0, |prefix| prefix.tokens),
            max_output_tokens: 0,
            expected_work: Duration::ZERO,
            received_at: request.received_at,
            timeout,
            client_retry: false,
            resumed: false,
            interactive: request.interactive,
            model: 0,
            prior_attempts: 0,
        }
    }
}
