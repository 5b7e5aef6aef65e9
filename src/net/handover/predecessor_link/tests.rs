use std::path::PathBuf;

use rstest::rstest;
use socket2::{Domain, SockAddr, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::time::timeout;

use super::*;
use crate::net::http::Buffer;

/// Longer than anything takes, also on a busy machine.
const LONG: Duration = Duration::from_secs(5);

/// A router's folder, removed at the test's end.
struct TestFolder {
    folder: tempfile::TempDir,
    rendezvous: Rendezvous,
}

impl TestFolder {
    fn new() -> TestFolder {
        let folder = tempfile::tempdir().unwrap();
        let rendezvous = Rendezvous::new(folder.path()).unwrap();
        TestFolder { folder, rendezvous }
    }

    fn socket_path(&self) -> PathBuf {
        self.folder.path().join("stilespan.sock")
    }
}

/// A process that answers each hello; its connections stay open.
async fn answer_hellos(listener: UnixListener) {
    let mut open = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let mut connection = Connection::new(stream);
        if let Ok(Some(PeerMessage::Hello { .. })) = connection.reader.read().await {
            let answer = PeerMessage::HelloAcknowledged {
                maintenance: MaintenanceState::default(),
                endpoints: None,
            };
            connection.writer.write(&answer).await.unwrap();
            open.push(connection);
        }
    }
}

#[rstest]
#[case::no_path(Errno::NOENT, true)]
#[case::nobody_listens(Errno::CONNREFUSED, true)]
#[case::no_unix_sockets(Errno::AFNOSUPPORT, true)]
#[case::full_backlog(Errno::AGAIN, false)]
#[case::interrupted(Errno::INTR, false)]
#[case::buffers(Errno::NOBUFS, false)]
#[case::descriptors(Errno::MFILE, false)]
#[case::access(Errno::ACCESS, false)]
fn errors_proving_no_predecessor(#[case] errno: Errno, #[case] proves: bool) {
    assert_eq!(proves_no_predecessor(&errno.into()), proves);
}

#[tokio::test]
async fn full_backlog_is_retried() {
    let test = TestFolder::new();
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None).unwrap();
    socket
        .bind(&SockAddr::unix(test.socket_path()).unwrap())
        .unwrap();
    socket.listen(0).unwrap();
    socket.set_nonblocking(true).unwrap();
    let mut waiting = Vec::new();
    let full = loop {
        match UnixStream::connect(test.socket_path()).await {
            Ok(stream) => waiting.push(stream),
            Err(e) => break e,
        }
    };
    assert_eq!(full.kind(), io::ErrorKind::WouldBlock);
    drop(waiting);
    tokio::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        answer_hellos(UnixListener::from_std(socket.into()).unwrap()).await;
    });
    let link = test
        .rendezvous
        .connect_within(LONG)
        .await
        .expect("a predecessor");
    assert!(link.maintenance.is_some());
}

/// The first half of an answer to a hello.
const HALF_AN_ANSWER: &[u8] = b"{\"met\":{\"orders\":{";

/// Takes one connection and closes it as the system does for a process that is killed: what it had
/// not read makes that a reset.
async fn close_within_answer(listener: &UnixListener, reads: bool) {
    let (mut stream, _) = listener.accept().await.unwrap();
    if reads {
        let mut hello = Buffer::default();
        hello.fill(&mut stream).await.unwrap();
    }
    stream.write_all(HALF_AN_ANSWER).await.unwrap();
}

/// The predecessor is killed while it writes its answer, and another process listens by the next
/// attempt.
#[rstest]
#[case::end(true)]
#[case::reset(false)]
#[tokio::test]
async fn killed_process_replacement_is_found(#[case] reads: bool) {
    let test = TestFolder::new();
    let killed = UnixListener::bind(test.socket_path()).unwrap();
    let path = test.socket_path();
    tokio::spawn(async move {
        close_within_answer(&killed, reads).await;
        std::fs::remove_file(&path).unwrap();
        answer_hellos(UnixListener::bind(&path).unwrap()).await;
    });
    let link = test
        .rendezvous
        .connect_within(LONG)
        .await
        .expect("a predecessor");
    assert!(link.maintenance.is_some());
}

/// The predecessor is killed while it writes its answer, and no other process listens.
#[rstest]
#[case::end(true)]
#[case::reset(false)]
#[tokio::test]
async fn killed_predecessor_counts_as_none(#[case] reads: bool) {
    let test = TestFolder::new();
    let killed = UnixListener::bind(test.socket_path()).unwrap();
    tokio::spawn(async move { close_within_answer(&killed, reads).await });
    let link = timeout(LONG, test.rendezvous.connect_within(2 * LONG))
        .await
        .expect("an end");
    assert!(link.is_none());
}

/// A process that closes each connection does not delay the start for long.
#[tokio::test]
async fn unanswered_hellos_are_limited() {
    let test = TestFolder::new();
    let listener = UnixListener::bind(test.socket_path()).unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let link = timeout(
        LONG,
        test.rendezvous.connect_within(Duration::from_millis(100)),
    )
    .await
    .expect("an end");
    assert!(link.is_none());
}
