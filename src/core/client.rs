//! The client of a request, as far as the core knows it. Its connection belongs to the front end.

/// Reports whether a client is still connected.
pub trait Client: Send + Sync + std::fmt::Debug {
    /// Whether the client has closed its connection, according to the system at this moment; the
    /// message about it may come later.
    fn has_disconnected(&self) -> bool;
}
