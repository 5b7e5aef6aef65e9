use std::path::PathBuf;

use rstest::rstest;
use socket2::{Domain, SockAddr, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::time::timeout;

use super::*;
use crate::net::http::Buffer;
use crate::ops::maintenance_state::MaintenanceState;

/// Generous timeout, so that a busy machine does not fail the tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A router's folder, removed at the end of the test.
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

/// Replies to each hello and keeps the connections open.
async fn answer_hellos(listener: UnixListener) {
    let mut open = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let mut connection = Connection::new(stream);
        if let Ok(Some(PeerMessage::Hello { .. })) = connection.reader.read().await {
            let answer = PeerMessage::HelloAcknowledged {
                maintenance: MaintenanceState::default(),
                endpoints: None,
                id_key: None,
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
        .connect_within(TEST_TIMEOUT)
        .await
        .expect("a predecessor");
    assert!(link.reply.maintenance.is_some());
}

/// The first half of a reply to a hello.
const PARTIAL_REPLY: &[u8] = b"{\"met\":{\"orders\":{";

/// Accepts one connection, sends a partial reply and closes the connection, as the system does for
/// a killed process. If the hello was not read, the close resets the connection.
async fn close_during_reply(listener: &UnixListener, reads: bool) {
    let (mut stream, _) = listener.accept().await.unwrap();
    if reads {
        let mut hello = Buffer::default();
        hello.fill(&mut stream).await.unwrap();
    }
    stream.write_all(PARTIAL_REPLY).await.unwrap();
}

/// The predecessor is killed while it writes its reply, and another process listens when the
/// connection is retried.
#[rstest]
#[case::end(true)]
#[case::reset(false)]
#[tokio::test]
async fn killed_predecessor_replacement_is_found(#[case] reads: bool) {
    let test = TestFolder::new();
    let killed = UnixListener::bind(test.socket_path()).unwrap();
    let path = test.socket_path();
    tokio::spawn(async move {
        close_during_reply(&killed, reads).await;
        std::fs::remove_file(&path).unwrap();
        answer_hellos(UnixListener::bind(&path).unwrap()).await;
    });
    let link = test
        .rendezvous
        .connect_within(TEST_TIMEOUT)
        .await
        .expect("a predecessor");
    assert!(link.reply.maintenance.is_some());
}

/// The predecessor is killed while it writes its reply, and no other process listens.
#[rstest]
#[case::end(true)]
#[case::reset(false)]
#[tokio::test]
async fn killed_predecessor_counts_as_none(#[case] reads: bool) {
    let test = TestFolder::new();
    let killed = UnixListener::bind(test.socket_path()).unwrap();
    tokio::spawn(async move { close_during_reply(&killed, reads).await });
    let link = timeout(
        TEST_TIMEOUT,
        test.rendezvous.connect_within(2 * TEST_TIMEOUT),
    )
    .await
    .expect("an end");
    assert!(link.is_none());
}

/// A process that closes each connection must not delay the start beyond the time limit.
#[tokio::test]
async fn closing_peer_delay_is_limited() {
    let test = TestFolder::new();
    let listener = UnixListener::bind(test.socket_path()).unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let link = timeout(
        TEST_TIMEOUT,
        test.rendezvous.connect_within(Duration::from_millis(100)),
    )
    .await
    .expect("an end");
    assert!(link.is_none());
}
