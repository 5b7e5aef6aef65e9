mod orders;

use rstest::rstest;

use super::*;
use crate::ops::maintenance_state::MaintenanceState;
use crate::request_ids::IdHash;

fn list() -> EndpointList {
    serde_json::from_str(r#"{"revision":7}"#).unwrap()
}

fn forwarded(command: AdminCommand, confirmation: oneshot::Sender<bool>) -> ForwardedCommand {
    ForwardedCommand {
        command,
        id: CommandId(1),
        confirmation,
    }
}

/// The effect of each message depends on whether the peer is the predecessor or the successor.
#[rstest]
#[case::command(PeerMessage::AdminCommand { id: 3, command: AdminCommand::Drain, key: None }, "ExecuteCommand", "ExecuteCommand")]
#[case::result(PeerMessage::AdminCommandResult { id: 3, succeeded: true }, "Nothing", "Nothing")]
#[case::endpoints(PeerMessage::EndpointsUpdated(list()), "UpdateEndpoints", "Nothing")]
#[case::limits(PeerMessage::LimitsTransferred([1, 2, 3].into()), "AddLimits", "Nothing")]
#[case::serving(PeerMessage::SuccessorServing, "Nothing", "YieldToSuccessor")]
#[case::acknowledged(PeerMessage::TakeoverAcknowledged, "Nothing", "Nothing")]
#[case::late_reply(
    PeerMessage::HelloAcknowledged { maintenance: MaintenanceState::default(), endpoints: None, id_key: None },
    "AdoptReply",
    "Nothing"
)]
#[case::ids_taken(PeerMessage::IdsTaken(vec![IdHash(1)]), "RecordIds", "RecordIds")]
#[case::ids_released(PeerMessage::IdsReleased(vec![IdHash(1)]), "ForgetIds", "ForgetIds")]
#[case::claim(PeerMessage::IdClaimed { number: 1, id: IdHash(1) }, "ClaimId", "Nothing")]
#[case::claim_answered(PeerMessage::IdClaimAnswered { number: 1, granted: true }, "Nothing", "Nothing")]
#[case::late_hello(PeerMessage::Hello { version: 1, shares_ids: true }, "Nothing", "Nothing")]
fn message_effects_by_peer(
    #[case] message: PeerMessage,
    #[case] from_predecessor: &str,
    #[case] from_successor: &str,
) {
    let text = serde_json::to_string(&message).unwrap();
    for (peer, expected) in [
        (Peer::Predecessor, from_predecessor),
        (Peer::Successor, from_successor),
    ] {
        let message = serde_json::from_str(&text).unwrap();
        let effect = format!("{:?}", Session::new(peer).receive(message));
        assert!(effect.starts_with(expected), "{peer:?}: {effect}");
    }
}

#[test]
fn successor_takes_over_once_serving() {
    let mut session = Session::new(Peer::Successor);
    assert!(!session.peer_took_over());
    session.receive(PeerMessage::SuccessorServing);
    assert!(session.peer_took_over());
}

#[test]
fn predecessor_never_takes_over() {
    let mut session = Session::new(Peer::Predecessor);
    session.receive(PeerMessage::SuccessorServing);
    assert!(!session.peer_took_over());
}

#[test]
fn results_reach_their_commands() {
    let mut session = Session::new(Peer::Successor);
    let (first, mut first_result) = oneshot::channel();
    let (second, mut second_result) = oneshot::channel();
    session.forward_command(forwarded(AdminCommand::Drain, first));
    let message = session.forward_command(forwarded(AdminCommand::Undrain, second));
    assert!(matches!(message, PeerMessage::AdminCommand { id: 2, .. }));
    for (id, succeeded) in [(9, true), (2, false), (1, true)] {
        session.receive(PeerMessage::AdminCommandResult { id, succeeded });
    }
    assert_eq!(first_result.try_recv(), Ok(true));
    assert_eq!(second_result.try_recv(), Ok(false));
}

#[test]
fn abandoned_commands_leave_no_entry() {
    let mut session = Session::new(Peer::Successor);
    for _ in 0..100 {
        let (result, _) = oneshot::channel();
        session.forward_command(forwarded(AdminCommand::Drain, result));
    }
    assert_eq!(session.pending_commands.len(), 1);
}

#[test]
fn acknowledgement_reaches_the_takeover() {
    let mut session = Session::new(Peer::Predecessor);
    let early = session.receive(PeerMessage::TakeoverAcknowledged);
    assert!(matches!(early, Effect::Nothing));
    let message = session.announce_takeover();
    assert!(matches!(message, PeerMessage::SuccessorServing));
    let effect = session.receive(PeerMessage::TakeoverAcknowledged);
    assert!(matches!(effect, Effect::CompleteTakeover));
}
