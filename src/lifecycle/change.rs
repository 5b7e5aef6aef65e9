//! A change of the maintenance state by an operator's command: its precondition and its result.

use crate::storage::Version;

/// Whether a command may name a model server that no endpoint list here has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerCheck {
    /// The command fails then.
    Required,
    /// The process that forwarded the command has checked it.
    DoneByPeer,
}

/// A change of the maintenance state that is in effect in this process.
pub(super) struct AppliedChange {
    /// The text that the operator reads.
    pub(super) message: String,
    /// The version to be persisted; `None` where nothing is.
    pub(super) version: Option<Version>,
}
