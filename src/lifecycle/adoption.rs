//! What the maintenance state of another process has and this process lacks, as commands.

use super::AdminCommand;
use crate::ops::exclusions::Exclusion;
use crate::ops::maintenance_state::MaintenanceState;

/// Returns the commands that bring `ours` up to date with `theirs`. The times of both must be in
/// wall-clock time. An exclusion that only `ours` has is kept.
pub(super) fn missing_commands(
    ours: &MaintenanceState,
    theirs: &MaintenanceState,
) -> Vec<AdminCommand> {
    let mut commands: Vec<_> = theirs
        .exclusions
        .iter()
        .filter_map(|exclusion| missing_command(&ours.exclusions, exclusion))
        .collect();
    if ours.is_drained != theirs.is_drained {
        commands.push(if theirs.is_drained {
            AdminCommand::Drain
        } else {
            AdminCommand::Undrain
        });
    }
    commands
}

fn missing_command(ours: &[Exclusion], theirs: &Exclusion) -> Option<AdminCommand> {
    let name = theirs.name.clone();
    let our_exclusion = ours.iter().find(|exclusion| exclusion.name == theirs.name);
    match (our_exclusion, theirs.restored_at) {
        (None, None) => Some(AdminCommand::Disable(name)),
        (None, Some(_)) => None,
        (Some(ours), None) => {
            let restored_before = ours
                .restored_at
                .is_some_and(|restored| restored < theirs.excluded_at);
            restored_before.then_some(AdminCommand::Disable(name))
        }
        (Some(ours), Some(restored)) => {
            let excluded_before = ours.restored_at.is_none() && ours.excluded_at <= restored;
            excluded_before.then_some(AdminCommand::Enable(name))
        }
    }
}

#[cfg(test)]
mod tests;
