use tokio::net::UnixStream;
use tokio::sync::mpsc;

use super::*;

#[tokio::test]
async fn what_is_given_away_and_taken_never_adds_up_to_more_than_the_whole() {
    let (old, new) = (Shares::new(140, 100, true), Shares::new(140, 100, false));
    let whole = old.held();
    assert_eq!((whole, new.held()), ([50, 50, 100], [0; 3]));
    // ten clients are connected there: their sockets come as they go
    let mut held = Vec::new();
    for _ in 0..45 {
        held.push(old.clients.take().await);
    }
    let (given, mut shares) = mpsc::unbounded_channel();
    let ceding = async { futures_util::future::join_all([0, 1, 2].map(|k| old.cede(k, 25, &given))).await };
    tokio::pin!(ceding);
    let mut got = [0; 3];
    loop {
        tokio::select! {
            _ = &mut ceding => break,
            Some(share) = shares.recv() => {
                new.grow(share);
                (0..3).for_each(|k| got[k] += share[k]);
                // what is on its way counts with neither
                assert!((0..3).all(|k| old.held()[k] + new.held()[k] <= whole[k]));
                held.pop();
            }
        }
        if got[0] < 25 && shares.is_empty() {
            held.pop();
        }
    }
    while let Ok(share) = shares.try_recv() {
        new.grow(share);
    }
    assert_eq!((old.held(), new.held()), ([25, 25, 75], [25, 25, 25]));
    // the other has ended: all of it, and no more however often it is said
    for _ in 0..2 {
        new.grow_to(1);
        new.grow([3, 3, 3]);
    }
    assert_eq!(new.held(), whole);
}

#[tokio::test]
async fn a_socket_is_met_in_a_folder_with_a_long_path() {
    let folder = std::env::temp_dir().join(format!("stilespan-{}-{}", std::process::id(), "a".repeat(120)));
    std::fs::create_dir_all(&folder).unwrap();
    let room = Room::new(&folder).unwrap();
    assert!(room.meet().await.is_none());
    let listener = room.bind().unwrap();
    let (met, accepted) = tokio::join!(UnixStream::connect(room.socket()), listener.accept());
    assert!(met.is_ok() && accepted.is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}
