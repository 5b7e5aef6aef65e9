//! The identity of a command, by which a process recognizes a command that reaches it twice.

use std::collections::VecDeque;
use std::hash::{BuildHasher, Hasher, RandomState};

use serde::{Deserialize, Serialize};

/// The number of commands that a process remembers. A second copy of a command arrives within the
/// time that its operator waits.
const REMEMBERED_COMMANDS: usize = 64;

/// Identifies a command at all processes of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandId(pub u64);

impl CommandId {
    /// Returns a random id.
    pub fn random() -> CommandId {
        CommandId(RandomState::new().build_hasher().finish())
    }
}

/// The ids of the commands that a process has executed last.
#[derive(Default)]
pub(super) struct RecentCommands {
    /// Oldest first.
    ids: VecDeque<CommandId>,
}

impl RecentCommands {
    /// Whether the command has been recorded.
    pub(super) fn contains(&self, id: CommandId) -> bool {
        self.ids.contains(&id)
    }

    /// Records a command, and forgets the oldest one if there are too many.
    pub(super) fn record(&mut self, id: CommandId) {
        if self.ids.len() == REMEMBERED_COMMANDS {
            self.ids.pop_front();
        }
        self.ids.push_back(id);
    }
}

#[cfg(test)]
mod tests;
