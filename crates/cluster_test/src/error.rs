//! Why a cluster can't be run.

/// Why a cluster, or a process of it, can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A file, a socket or a system call failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A process has exited.
    #[error("the process has gone")]
    ProcessExited,
    /// A process did not become ready; contains its log.
    #[error("never ready: {0}")]
    NotReady(String),
    /// The fault injector's library can't be built; contains cargo's output.
    #[error("no fault injector: {0}")]
    InjectorUnavailable(String),
}
