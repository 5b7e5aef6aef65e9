//! Errors of starting and running a cluster.

/// An error of a cluster or of one of its processes.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A file, a socket or a system call failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A process has exited.
    #[error("the process has exited")]
    ProcessExited,
    /// A process did not become ready; contains its log.
    #[error("the process did not become ready; its log: {0}")]
    NotReady(String),
    /// The fault injector library could not be built; contains Cargo's output.
    #[error("the fault injector library could not be built: {0}")]
    InjectorUnavailable(String),
}
