use super::*;

/// Executes a command on one peer that treats it like this.
async fn executed(treat: impl FnOnce(ForwardedCommand)) -> bool {
    let peers = Peers::default();
    let RegisteredPeer {
        commands: mut forwarded,
        ..
    } = peers.add();
    let peer = async {
        treat(forwarded.recv().await.unwrap());
        std::future::pending::<()>().await;
    };
    tokio::select! {
        confirmed = peers.execute_on_all(AdminCommand::Drain) => confirmed,
        () = peer => unreachable!(),
    }
}

#[tokio::test]
async fn peer_confirms_or_declines() {
    assert!(executed(|forwarded| forwarded.confirmation.send(true).unwrap()).await);
    assert!(!executed(|forwarded| forwarded.confirmation.send(false).unwrap()).await);
}

#[tokio::test]
async fn silent_peer_times_out() {
    let mut unanswered = None;
    assert!(!executed(|forwarded| unanswered = Some(forwarded)).await);
    assert!(unanswered.is_some());
}

#[tokio::test]
async fn exited_peer_counts_as_confirmed() {
    assert!(executed(drop).await);
    let peers = Peers::default();
    let RegisteredPeer {
        id,
        commands: forwarded,
    } = peers.add();
    drop(forwarded);
    assert!(peers.execute_on_all(AdminCommand::Drain).await);
    peers.remove(id);
    assert!(peers.connected().is_empty());
}
