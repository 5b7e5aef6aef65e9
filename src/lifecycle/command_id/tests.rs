use super::*;

#[test]
fn latest_commands_are_remembered() {
    let mut recent = RecentCommands::default();
    let ids: Vec<_> = (0..=REMEMBERED_COMMANDS)
        .map(|_| CommandId::random())
        .collect();
    for &id in &ids {
        assert!(!recent.contains(id));
        recent.record(id);
    }
    assert!(!recent.contains(ids[0]));
    assert!(ids[1..].iter().all(|&id| recent.contains(id)));
}
