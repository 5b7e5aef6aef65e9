//! A change of the maintenance state by an operator's command: its check and its result.

use crate::storage::Version;

/// Whether a command requires that an endpoint list in this process has named its model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerCheck {
    /// The command fails if no endpoint list has named the model server.
    Required,
    /// The process that forwarded the command has checked it already.
    DoneByPeer,
}

/// A change of the maintenance state that is in effect in this process.
pub(super) struct AppliedChange {
    /// The text for the operator.
    pub(super) message: String,
    /// The version that has to be persisted; `None` if the state is not written to a file.
    pub(super) version: Option<Version>,
}
