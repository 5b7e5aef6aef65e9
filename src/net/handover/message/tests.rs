//! Compares each message with its literal JSON text, because processes of different versions
//! exchange messages.

use rstest::rstest;

use super::*;

/// The endpoint list as discovery writes it, with every key.
const LIST: &str = r#"{"revision":7,"complete":true,"members":[{"id":"s-a","host_port":"127.0.0.1:9","locality":"z1","flavor":"large","cell":2,"phase":"SERVING","size":1.5,"up_since_ms":3}]}"#;

fn list() -> EndpointList {
    serde_json::from_str(LIST).unwrap()
}

fn maintenance() -> MaintenanceState {
    serde_json::from_str(r#"{"bans":[{"name":"s-a","since":5}],"drained":true}"#).unwrap()
}

#[rstest]
#[case::hello(PeerMessage::Hello { version: 1, shares_ids: false }, r#"{"hello":{"version":1}}"#)]
#[case::hello_acknowledged_without_endpoints(
    PeerMessage::HelloAcknowledged { maintenance: MaintenanceState::default(), endpoints: None, id_key: None },
    r#"{"met":{"orders":{"bans":[],"drained":false},"list":null}}"#
)]
#[case::hello_acknowledged(
    PeerMessage::HelloAcknowledged { maintenance: maintenance(), endpoints: Some(list()), id_key: None },
    &format!(r#"{{"met":{{"orders":{{"bans":[{{"name":"s-a","since":5}}],"drained":true}},"list":{LIST}}}}}"#)
)]
#[case::hello_with_ids(
    PeerMessage::Hello { version: 1, shares_ids: true },
    r#"{"hello":{"version":1,"shares_ids":true}}"#
)]
#[case::hello_acknowledged_with_key(
    PeerMessage::HelloAcknowledged {
        maintenance: MaintenanceState::default(),
        endpoints: None,
        id_key: Some(IdKey([1, u64::MAX])),
    },
    r#"{"met":{"orders":{"bans":[],"drained":false},"list":null,"id_key":[1,18446744073709551615]}}"#
)]
#[case::ids(PeerMessage::IdsTaken(vec![IdHash(1), IdHash(u64::MAX)]), r#"{"ids":[1,18446744073709551615]}"#)]
#[case::free_ids(PeerMessage::IdsReleased(vec![IdHash(2)]), r#"{"free_ids":[2]}"#)]
#[case::claim(PeerMessage::IdClaimed { number: 1, id: IdHash(2) }, r#"{"claim":{"number":1,"id":2}}"#)]
#[case::claimed(
    PeerMessage::IdClaimAnswered { number: 1, granted: true },
    r#"{"claimed":{"number":1,"granted":true}}"#
)]
#[case::endpoints_updated(PeerMessage::EndpointsUpdated(list()), &format!(r#"{{"list":{LIST}}}"#))]
#[case::limits_transferred(PeerMessage::LimitsTransferred([1, 20, 300].into()), r#"{"share":[1,20,300]}"#)]
#[case::successor_serving(PeerMessage::SuccessorServing, r#""ready""#)]
#[case::takeover_acknowledged(PeerMessage::TakeoverAcknowledged, r#""taken""#)]
#[case::drain(
    PeerMessage::AdminCommand { id: 1, command: AdminCommand::Drain, key: None },
    r#"{"call":{"id":1,"call":"drain"}}"#
)]
#[case::undrain(
    PeerMessage::AdminCommand { id: 2, command: AdminCommand::Undrain, key: None },
    r#"{"call":{"id":2,"call":"undrain"}}"#
)]
#[case::disable(
    PeerMessage::AdminCommand { id: 3, command: AdminCommand::Disable("s-a".into()), key: None },
    r#"{"call":{"id":3,"call":{"disable":"s-a"}}}"#
)]
#[case::enable(
    PeerMessage::AdminCommand { id: 4, command: AdminCommand::Enable("s-a".into()), key: None },
    r#"{"call":{"id":4,"call":{"enable":"s-a"}}}"#
)]
#[case::identified_command(
    PeerMessage::AdminCommand { id: 5, command: AdminCommand::Drain, key: Some(CommandId(9)) },
    r#"{"call":{"id":5,"call":"drain","key":9}}"#
)]
#[case::command_succeeded(
    PeerMessage::AdminCommandResult { id: 4, succeeded: true },
    r#"{"done":{"id":4,"done":true}}"#
)]
#[case::command_failed(
    PeerMessage::AdminCommandResult { id: 5, succeeded: false },
    r#"{"done":{"id":5,"done":false}}"#
)]
fn message_format_is_stable(#[case] message: PeerMessage, #[case] text: &str) {
    assert_eq!(serde_json::to_string(&message).unwrap(), text);
    let read: PeerMessage = serde_json::from_str(text).unwrap();
    assert_eq!(format!("{read:?}"), format!("{message:?}"));
}

#[rstest]
#[case::too_short(r#"{"share":[1,2]}"#)]
#[case::too_long(r#"{"share":[1,2,3,4]}"#)]
#[case::negative(r#"{"share":[1,2,-3]}"#)]
#[case::object(r#"{"share":{"client_sockets":1}}"#)]
fn limits_are_three_counts(#[case] text: &str) {
    assert!(serde_json::from_str::<PeerMessage>(text).is_err());
}
