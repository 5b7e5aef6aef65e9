//! The sender of a request: its API key and the node that the key belongs to.

use std::sync::Arc;

use super::config::tenant_path;

/// The sender of a request. The default is an unauthenticated caller, which occurs only if the
/// configuration has no keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    credentials: Option<Credentials>,
}

/// A key that was valid when the caller was authenticated.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Credentials {
    /// The id of the key.
    pub(super) key_id: Arc<str>,
    /// The path of the key's node.
    pub(super) node: Arc<str>,
}

impl Caller {
    /// Creates a caller that was authenticated with this key.
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

    /// The path of the caller's node; `None` for an unauthenticated caller.
    pub fn node(&self) -> Option<&str> {
        self.credentials().map(|credentials| &*credentials.node)
    }

    /// The path of the caller's tenant, or of its own node if that node is above the tenants.
    pub fn tenant(&self) -> Option<&str> {
        self.node().map(tenant_path)
    }

    /// Whether this caller may access objects created by `owner`: a caller has access to the
    /// objects of its own node and of all nodes below it. An unauthenticated caller has access to
    /// all.
    pub fn sees(&self, owner: &Caller) -> bool {
        let Some(node) = self.node() else { return true };
        let below = owner.node().and_then(|owner| owner.strip_prefix(node));
        below.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
