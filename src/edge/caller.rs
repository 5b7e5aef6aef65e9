//! Who sends a request: the key that was shown and the node that it belongs to.

use std::sync::Arc;

use super::config::tenant_path;

/// The sender of a request. The default is an unauthenticated one, which exists only where the
/// configuration has no keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    credentials: Option<Credentials>,
}

/// A key that was valid when it was shown.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Credentials {
    /// The id of the key.
    pub(super) key_id: Arc<str>,
    /// The path of the key's node.
    pub(super) node: Arc<str>,
}

impl Caller {
    /// The caller that showed this key.
    pub(super) fn authenticated(key_id: &str, node: &str) -> Caller {
        Caller {
            credentials: Some(Credentials {
                key_id: key_id.into(),
                node: node.into(),
            }),
        }
    }

    pub(super) fn credentials(&self) -> Option<&Credentials> {
        self.credentials.as_ref()
    }

    /// The path of its node; none for an unauthenticated caller.
    pub fn node(&self) -> Option<&str> {
        self.credentials().map(|credentials| &*credentials.node)
    }

    /// The path of its tenant, or of its own node if that is above the tenants.
    pub fn tenant(&self) -> Option<&str> {
        self.node().map(tenant_path)
    }

    /// Whether it may see what another caller has made: what belongs to its own node and to those
    /// below.
    pub fn sees(&self, owner: &Caller) -> bool {
        let Some(node) = self.node() else { return true };
        let below = owner.node().and_then(|owner| owner.strip_prefix(node));
        below.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
