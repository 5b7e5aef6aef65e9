use rstest::rstest;

use super::*;
use crate::interface::Timestamp;

fn state(excluded_at: u64, restored_at: Option<u64>) -> MaintenanceState {
    MaintenanceState {
        exclusions: vec![Exclusion {
            name: "s-a".into(),
            excluded_at: Timestamp::from_micros(excluded_at),
            restored_at: restored_at.map(Timestamp::from_micros),
        }],
        is_drained: false,
    }
}

fn disable() -> Option<AdminCommand> {
    Some(AdminCommand::Disable("s-a".into()))
}

fn enable() -> Option<AdminCommand> {
    Some(AdminCommand::Enable("s-a".into()))
}

#[rstest]
#[case::unknown_exclusion(MaintenanceState::default(), state(5, None), disable())]
#[case::unknown_restoration(MaintenanceState::default(), state(5, Some(6)), None)]
#[case::both_exclude(state(4, None), state(5, None), None)]
#[case::restored_there(state(4, None), state(4, Some(6)), enable())]
#[case::excluded_again_here(state(7, None), state(4, Some(6)), None)]
#[case::restored_here(state(4, Some(6)), state(4, None), None)]
#[case::excluded_again_there(state(4, Some(6)), state(7, None), disable())]
#[case::only_here(state(4, None), MaintenanceState::default(), None)]
fn later_change_of_an_exclusion_wins(
    #[case] ours: MaintenanceState,
    #[case] theirs: MaintenanceState,
    #[case] expected: Option<AdminCommand>,
) {
    let expected: Vec<_> = expected.into_iter().collect();
    assert_eq!(missing_commands(&ours, &theirs), expected);
}

#[rstest]
#[case::drained(true, AdminCommand::Drain)]
#[case::not_drained(false, AdminCommand::Undrain)]
fn drain_is_that_of_the_predecessor(#[case] is_drained: bool, #[case] expected: AdminCommand) {
    let of = |is_drained| MaintenanceState {
        is_drained,
        ..MaintenanceState::default()
    };
    let commands = missing_commands(&of(!is_drained), &of(is_drained));
    assert_eq!(commands, [expected]);
    assert_eq!(missing_commands(&of(is_drained), &of(is_drained)), []);
}
