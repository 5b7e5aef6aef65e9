//! The core's view of the client of a request. The front end owns the client's connection.

/// Reports whether a client is still connected.
pub trait Client: Send + Sync + std::fmt::Debug {
    /// Whether the client has closed its connection, according to the operating system at this
    /// moment. The message that reports the disconnection may arrive later.
    fn has_disconnected(&self) -> bool;
}
