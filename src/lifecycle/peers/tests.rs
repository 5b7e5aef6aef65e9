use super::*;

/// Shorter than a test may take, and longer than a peer of a test needs.
const LIMIT: Duration = Duration::from_millis(500);

async fn execute_on_all(peers: &Peers) -> bool {
    let command = AdminCommand::Drain;
    peers
        .forward(&command, CommandId::random(), None)
        .wait(LIMIT)
        .await
}

/// Executes a command on one peer, which receives it in `handle_command`.
async fn execute_with_peer(handle_command: impl FnOnce(ForwardedCommand)) -> bool {
    let peers = Peers::default();
    let RegisteredPeer {
        commands: mut forwarded,
        ..
    } = peers.add(PeerState::Serving);
    let peer = async {
        handle_command(forwarded.recv().await.unwrap());
        std::future::pending::<()>().await;
    };
    tokio::select! {
        confirmed = execute_on_all(&peers) => confirmed,
        () = peer => unreachable!(),
    }
}

#[tokio::test]
async fn peer_confirms_or_declines() {
    assert!(execute_with_peer(|forwarded| forwarded.confirmation.send(true).unwrap()).await);
    assert!(!execute_with_peer(|forwarded| forwarded.confirmation.send(false).unwrap()).await);
}

#[tokio::test]
async fn silent_peer_times_out() {
    let mut unanswered = None;
    assert!(!execute_with_peer(|forwarded| unanswered = Some(forwarded)).await);
    assert!(unanswered.is_some());
}

#[tokio::test]
async fn exited_peer_counts_as_confirmed() {
    assert!(execute_with_peer(drop).await);
    let peers = Peers::default();
    let RegisteredPeer {
        id,
        commands: forwarded,
    } = peers.add(PeerState::Serving);
    drop(forwarded);
    assert!(execute_on_all(&peers).await);
    peers.remove(id);
    assert!(peers.connected().is_empty());
}

#[tokio::test]
async fn full_queue_is_not_confirmed() {
    let peers = Peers::default();
    let mut slow = peers.add(PeerState::Serving);
    let forward = |id| peers.forward(&AdminCommand::Drain, CommandId(id), None);
    let queued: Vec<_> = (0..COMMAND_QUEUE_CAPACITY as u64).map(forward).collect();
    assert!(!forward(u64::MAX).wait(LIMIT).await);
    for (number, confirmations) in queued.into_iter().enumerate() {
        let forwarded = slow.commands.recv().await.unwrap();
        assert_eq!(forwarded.id, CommandId(number as u64));
        forwarded.confirmation.send(true).unwrap();
        assert!(confirmations.wait(LIMIT).await);
    }
}

#[tokio::test]
async fn origin_gets_no_copy() {
    let peers = Peers::default();
    let (origin, mut other) = (peers.add(PeerState::Serving), peers.add(PeerState::Serving));
    let confirmations = peers.forward(&AdminCommand::Drain, CommandId(1), Some(origin.id));
    other
        .commands
        .recv()
        .await
        .unwrap()
        .confirmation
        .send(true)
        .unwrap();
    assert!(confirmations.wait(LIMIT).await);
    assert!({ origin.commands }.try_recv().is_err());
}

/// A peer that serves no clients gets the command later, but ahead of its start.
#[tokio::test]
async fn joining_peer_delays_no_command() {
    let peers = Peers::default();
    let mut joining = peers.add(PeerState::Joining);
    assert!(execute_on_all(&peers).await);
    assert_eq!(
        joining.commands.try_recv().unwrap().command,
        AdminCommand::Drain
    );
    peers.set_serving(joining.id);
    assert!(!execute_on_all(&peers).await);
}
